//! Inputs and outputs of a node.

use bytes::Bytes;
use kumquatdrum_types::{HostId, Moment};

use crate::{Batch, LogIndex, Member, Message, Notice, ReplicaId, Snapshot, Term, Token};

/// A payload to be committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Returned in `Proposed`.
    pub token: Token,
    /// The application's bytes.
    pub payload: Bytes,
}

/// An event that the node processes.
#[derive(Debug, Clone)]
pub enum Input {
    /// The moment set by `Wake` has been reached.
    Tick,
    /// A message from another replica.
    Message(Box<Message>),
    /// A payload to be committed.
    Propose(Proposal),
    /// Payloads to be committed in order, with one write.
    ProposeBatch(Vec<Proposal>),
    /// A batch has been written and synced.
    Persisted {
        /// The sequence number of the batch.
        sequence: u64,
    },
    /// A batch could not be written. The node steps down and sends no further messages.
    PersistFailed {
        /// The error of the disk.
        reason: String,
    },
    /// Asks for confirmation that the applied state is current.
    ConfirmRead {
        /// Returned in `ReadConfirmed` or `ReadRefused`.
        token: Token,
    },
    /// The application's state after the applied entry at `index`; the log is compacted.
    Snapshot {
        /// The last applied entry included in the snapshot.
        index: LogIndex,
        /// The application's bytes.
        data: Bytes,
    },
    /// Transfers leadership to the most up-to-date voter, before a planned stop. Has no effect if
    /// this replica does not lead or no other voter has all committed entries.
    TransferLeadership,
    /// Replaces the voters. New ones catch up as learners before the joint change begins; until then a
    /// later request takes the place of an earlier one, whose outcome is `Unknown`.
    ChangeReplicas {
        /// Returned in `Proposed`.
        token: Token,
        /// All voters after the change.
        voters: Vec<Member>,
    },
}

/// An action that the driver must execute.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a host; delivery is not guaranteed.
    Send {
        /// The receiving host.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Write and sync a batch, then answer `Persisted` or `PersistFailed`.
    Persist(Batch),
    /// Apply a committed payload; in log order, each index at most once per node instance.
    Apply {
        /// The index of the entry.
        index: LogIndex,
        /// The term of the entry.
        term: Term,
        /// The application's bytes.
        payload: Bytes,
    },
    /// Replace the application's state by the snapshot.
    Restore(Snapshot),
    /// Report the outcome of a proposal or replica change.
    Proposed {
        /// The token of the proposal or replica change.
        token: Token,
        /// The outcome.
        outcome: ProposalOutcome,
    },
    /// Confirm a read: all entries committed before the request have been applied.
    ReadConfirmed {
        /// The read's token.
        token: Token,
        /// An entry that the applied state includes.
        index: LogIndex,
        /// The heartbeat round, begun after the request, that a majority has answered.
        round: u64,
    },
    /// Refuse a read: the node cannot confirm that its state is current.
    ReadRefused {
        /// The read's token.
        token: Token,
        /// The current leader, if known.
        leader: Option<ReplicaId>,
    },
    /// Ask the application for a snapshot, at a time of its choice, to compact the log.
    SnapshotRequested,
    /// This replica has become the leader.
    BecameLeader {
        /// The term that the replica leads.
        term: Term,
    },
    /// This replica has stopped leading.
    SteppedDown {
        /// The term that the replica led.
        term: Term,
        /// The reason for stepping down.
        reason: StepDownReason,
    },
    /// The disk failed; the node does nothing until it is recreated from its store.
    Halted {
        /// The error of the disk.
        reason: String,
    },
    /// A step of an election or a replica change, for logs.
    Notice(Notice),
    /// Schedule the next `Tick`; replaces the previous `Wake`.
    Wake {
        /// The moment at which the `Tick` is due.
        at: Moment,
    },
}

/// The reason why a leader stopped leading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StepDownReason {
    /// No majority has answered within an election timeout.
    QuorumLost,
    /// The disk has not persisted a batch within the timeout.
    DiskStalled,
    /// The disk has failed.
    DiskFailed,
    /// A later term has begun.
    LaterTerm,
    /// Leadership was transferred on request.
    LeadershipTransferred,
    /// A replica change has removed the leader.
    Removed,
}

impl StepDownReason {
    /// Returns the reason's name as logged.
    ///
    /// ```
    /// assert_eq!(kumquatdrum_consensus::StepDownReason::QuorumLost.as_str(), "quorum lost");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::QuorumLost => "quorum lost",
            Self::DiskStalled => "disk hangs",
            Self::DiskFailed => "disk failed",
            Self::LaterTerm => "later term",
            Self::LeadershipTransferred => "asked to",
            Self::Removed => "removed",
        }
    }
}

/// The outcome of a proposal or replica change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// Committed by a majority, synced, and applied here.
    Committed {
        /// The index of the entry.
        index: LogIndex,
    },
    /// Rejected, as this replica does not lead; will never be committed.
    NotLeader {
        /// The current leader, if known.
        leader: Option<ReplicaId>,
    },
    /// Rejected, as too much is uncommitted or a joint change is in progress.
    Busy,
    /// Accepted, but not known to be committed; it may be committed later.
    Unknown,
}

impl ProposalOutcome {
    /// Returns the outcome's name as logged.
    ///
    /// ```
    /// assert_eq!(kumquatdrum_consensus::ProposalOutcome::Busy.as_str(), "busy");
    /// ```
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Committed { .. } => "committed",
            Self::NotLeader { .. } => "not leader",
            Self::Busy => "busy",
            Self::Unknown => "unknown",
        }
    }
}
