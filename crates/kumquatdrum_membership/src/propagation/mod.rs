//! The spread of the setup in force: every host takes the highest accepted version and never goes
//! back, and text travels only to those who lack it.
//!
//! A control replica that has applied a version offers it. It tells its data centre and one host
//! of each other data centre that it has it; whoever lacks it asks, and is sent the difference to
//! what it holds. Statuses and periodic exchange make up for lost messages.

mod delta;
mod event;
mod fetch;
mod installation;
mod machine;
mod message;
mod notification;
mod startup;
mod text;
pub mod timing;
mod topology;

pub use delta::Part;
pub use event::{Input, Output};
pub use installation::Installation;
pub use machine::{Config, Propagation};
pub use message::{Have, Message, Status, Transfer};
pub use text::{Setup, Text};
