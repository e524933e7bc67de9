//! Core: the replicated setup in force, its audit trail and the idempotency claims.
//!
//! [`State`] is the state machine that the replicated log drives: one [`Command`] in, one
//! [`Answer`] out, the same on each replica. It reads no clock; time comes in each command's
//! [`Stamp`]. [`Control`] is what the rest of a daemon speaks to, wherever the log lives, and
//! [`InForce`] is what a daemon without a disk keeps.

pub mod audit;
pub mod claim;
pub mod command;
pub mod control;
pub mod digest;
pub mod history;
pub mod in_force;
pub mod snapshot;
pub mod stamp;
pub mod state;

pub use audit::{Entry, Outcome, Trail};
pub use claim::{Claim, ClaimAnswer, SettleAnswer, Settled, Settlement};
pub use command::{Action, Answer, Apply, ApplyAnswer, ApplyId, Command, RefusedApply, Request};
pub use control::{Control, Failure, Reply, Selector, Shown, Standing, Status};
pub use digest::Digest;
pub use history::History;
pub use in_force::InForce;
pub use stamp::{Stamp, Stamper};
pub use state::{Prepared, State};
