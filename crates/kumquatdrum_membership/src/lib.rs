//! Membership and failure detection of hosts and endpoints, and propagation of the setup in force.
//!
//! [`Membership`] and [`propagation::Propagation`] are state machines without clocks, sockets or
//! randomness: they consume announcements, peer messages and ticks, and emit messages and changes.
//! [`Input::SetupStatus`] and [`Output::SetupStatus`] piggyback the propagation status on pushes.

mod anti_entropy;
mod backlog;
mod data_centre;
mod event;
mod host;
mod key;
mod machine;
mod member;
mod message;
mod notice;
pub mod propagation;
mod push;
mod relay;
mod roster;
mod summary;
mod table;
pub mod timing;

pub use data_centre::Reachability;
pub use event::{Change, Input, Output, Refusal};
pub use host::{Condition, Peer};
pub use key::Key;
pub use machine::Membership;
pub use member::Member;
pub use message::{Departure, Message, Push, Renewal, Snapshot};
pub use summary::{Service, Summary};
pub use table::{Liveness, Record};
