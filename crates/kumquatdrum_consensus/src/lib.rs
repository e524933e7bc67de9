//! Consensus core: elections, replicated log, snapshots and replica changes.
//!
//! [`Node`] is a state machine without clock, socket or disk. The driver passes it an [`Input`]
//! with the current [`Moment`](kumquatdrum_types::Moment) and executes the returned [`Output`]s
//! in order:
//!
//! - `Send` may be executed at once: the node defers messages that depend on unsynced state.
//! - `Persist` is written and synced as one transaction, then answered by `Persisted` with the
//!   same sequence number, or by `PersistFailed`. At most one batch is in flight; later changes
//!   are grouped into the next one (group commit).
//! - `Apply` and `Restore` are passed to the application in order, before any later
//!   `Proposed` or `ReadConfirmed`.
//! - `Wake` sets the moment at which the next `Tick` is due and replaces the previous one.

mod change;
mod durability;
mod election;
mod entry;
mod event;
mod follower;
pub mod following;
mod formation;
mod id;
mod leader;
mod log;
mod message;
mod node;
mod notice;
pub mod placement;
mod progress;
mod read;
pub mod replacement;
mod replicas;
mod replication;
mod settings;
mod status;
mod storage;
pub mod tolerance;

pub use entry::{Content, Entry, Snapshot};
pub use event::{Input, Output, Proposal, ProposalOutcome, StepDownReason};
pub use id::{ClusterId, Incarnation, LogIndex, Member, ReplicaId, Term, Token};
pub use message::{Append, AppendAck, Body, Message, Probe, Rejection, SnapshotChunk, VoteRequest};
pub use node::Node;
pub use notice::{Notice, Verdict};
pub use replicas::Replicas;
pub use settings::{Safeguards, Settings};
pub use status::{PeerStatus, RoleName, Status};
pub use storage::{Batch, HardState, StoredState};
