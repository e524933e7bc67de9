//! Core: which hosts and endpoints there are and which of them live, and the spread of the setup
//! in force. Pure state machines, without clocks, sockets or randomness.
//!
//! [`Membership`] takes announcements of endpoints, messages of peers and ticks, and gives out
//! messages and changes. [`propagation::Propagation`] does the same for the setup in force. The two share
//! frames: [`Input::SetupStatus`] and [`Output::SetupStatus`] carry the spread's status along.

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
