//! Core: elections, replicated log, snapshots and replica changes.
//!
//! [`Node`] is a state machine without clock, socket or disk. The shell hands it an [`Input`]
//! with the current [`Moment`](kumquatdrum_types::Moment) and carries out the [`Output`]s, in
//! their order:
//!
//! - `Send` may go out at once. The node itself withholds whatever has to be on disk first.
//! - `Persist` is written and synced as one transaction, then answered by `Persisted` with the
//!   same sequence number, or by `PersistFailed`. At most one is outstanding; what comes up
//!   meanwhile rides in the next one, which is the group commit.
//! - `Apply` and `Restore` go to the application in order, before any later
//!   `Proposed` or `ReadConfirmed`.
//! - `Wake` names the moment at which the next `Tick` is due; it replaces the previous one.

mod change;
mod durability;
mod election;
mod entry;
mod event;
mod follower;
mod formation;
mod id;
mod leader;
mod log;
mod message;
mod node;
pub mod placement;
mod progress;
mod read;
mod replicas;
mod replication;
mod settings;
mod status;
mod storage;

pub use entry::{Content, Entry, Snapshot};
pub use event::{Input, Output, Proposal, ProposalOutcome, Resignation};
pub use id::{ClusterId, Incarnation, LogIndex, Member, ReplicaId, Term, Token};
pub use message::{Append, AppendAck, Body, Message, Probe, Reject, SnapshotChunk, Vote};
pub use node::Node;
pub use replicas::Replicas;
pub use settings::{Rules, Settings};
pub use status::{PeerStatus, RoleName, Status};
pub use storage::{Batch, HardState, StoredState};
