//! Propagation of the setup in force to all hosts.
//!
//! A control replica that has applied a version notifies its data centre and one host of each other
//! data centre. A host that lacks the version requests it and receives a delta from the version
//! that it has. Statuses and periodic exchanges compensate for lost messages. A host never
//! returns to a lower version.

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
