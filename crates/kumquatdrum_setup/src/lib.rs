//! The replicated setup: the declaration in force, its audit trail and the idempotency claims.
//!
//! [`StateMachine`] is the replicated state machine: it applies each [`Command`] of the log with
//! the same [`Answer`] on each replica. It reads no clock; each command carries its time as a
//! [`Stamp`].
//! [`Control`] is the interface of the control plane, and [`Setup`] is the version in force
//! on a host without a replica.

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
pub use claim::{AttemptStatus, Claim, ClaimAnswer, SettleAnswer, Settlement};
pub use command::{
    Action, Answer, Apply, ApplyAnswer, ApplyId, ApplyRequest, Command, RefusedApply,
};
pub use control::{Control, Failure, ResponseFuture, Revision, Selector, Standing, Status};
pub use digest::Digest;
pub use history::History;
pub use in_force::Setup;
pub use stamp::{Stamp, Stamper};
pub use state::{Preparation, StateMachine};
