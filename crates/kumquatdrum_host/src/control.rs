//! The control plane on this host: the replica, where the host keeps one, and the way to the
//! leading replica from anywhere.

mod link;
mod machine;
mod question;
mod reply;

pub use link::Link;
pub use machine::{Event, Handle, Machine, Parts};
pub use question::{Answer, Question};
