//! Core: which hosts and endpoints there are and which of them live, and the spread of the setup
//! in force. Pure state machines, without clocks, sockets or randomness.
//!
//! [`Membership`] takes announcements of endpoints, messages of peers and ticks, and gives out
//! messages and changes. [`spread::Spread`] does the same for the setup in force. The two share
//! frames: [`Input::Setup`] and [`Output::Setup`] carry the spread's status along.

mod backlog;
mod data_centre;
mod event;
mod exchange;
mod host;
mod key;
mod machine;
mod member;
mod message;
mod notice;
mod push;
mod relay;
mod roster;
pub mod spread;
mod summary;
mod table;
pub mod timing;

pub use data_centre::Reach;
pub use event::{Change, Input, Output, Reason};
pub use host::{Condition, View};
pub use key::Key;
pub use machine::Membership;
pub use member::Member;
pub use message::{Full, Message, Note, Push, Refresh};
pub use summary::{Part, Summary};
pub use table::{Record, State};
