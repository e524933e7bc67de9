//! What goes into a node and what comes out.

use bytes::Bytes;
use kumquatdrum_types::{HostId, Moment};

use crate::{Batch, LogIndex, Member, Message, ReplicaId, Snapshot, Term, Token};

/// A payload to be committed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Comes back in `Proposed`.
    pub token: Token,
    /// The application's bytes.
    pub payload: Bytes,
}

/// What happened around the node.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message of another replica.
    Message(Box<Message>),
    /// A payload to be committed.
    Propose(Proposal),
    /// Payloads to be committed in their order, with one write.
    ProposeBatch(Vec<Proposal>),
    /// The batch with this sequence number is on disk, synced.
    Persisted {
        /// The sequence number of the batch.
        sequence: u64,
    },
    /// The disk could not take a batch. The node steps down and says nothing any more.
    PersistFailed {
        /// What the disk said.
        reason: String,
    },
    /// The application asks whether what it has applied is current.
    ConfirmRead {
        /// Comes back in `ReadConfirmed` or `ReadRefused`.
        token: Token,
    },
    /// The application's state after the entry at `index`, which it has applied. The log is cut.
    Snapshot {
        /// The last applied entry that the bytes include.
        index: LogIndex,
        /// The application's bytes.
        data: Bytes,
    },
    /// Stop leading in favour of the voter that is furthest, before a planned stop. Nothing happens
    /// where this replica does not lead, or no voter has all that is committed.
    TransferLeadership,
    /// Replaces the voting replicas. New ones catch up first, then the change is made jointly.
    ChangeReplicas {
        /// Comes back in `Proposed`.
        token: Token,
        /// All voters after the change.
        voters: Vec<Member>,
    },
}

/// What the shell has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message to a host; it may get lost.
    Send {
        /// The host to send to.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// Write and sync a batch, then answer `Persisted` or `PersistFailed`.
    Persist(Batch),
    /// A committed payload, in order, each index at most once in the life of a node.
    Apply {
        /// Its place.
        index: LogIndex,
        /// Its term.
        term: Term,
        /// The application's bytes.
        payload: Bytes,
    },
    /// Replace the application's state by this one.
    Restore(Snapshot),
    /// What became of a proposal.
    Proposed {
        /// The proposal's token.
        token: Token,
        /// What became of it.
        outcome: ProposalOutcome,
    },
    /// All that was committed when the read was asked for has been applied.
    ReadConfirmed {
        /// The read's token.
        token: Token,
        /// The state is at least as new as this entry.
        index: LogIndex,
        /// The round of heartbeats that a majority has answered, begun after the question.
        round: u64,
    },
    /// The node can't tell whether it is current.
    ReadRefused {
        /// The read's token.
        token: Token,
        /// Who leads, where known.
        leader: Option<ReplicaId>,
    },
    /// The log has grown; the application is asked for a snapshot when it suits it.
    SnapshotWanted,
    /// This replica leads from now on.
    BecameLeader {
        /// In this term.
        term: Term,
    },
    /// This replica does not lead any more.
    SteppedDown {
        /// The term in which it led.
        term: Term,
        /// Why it stopped.
        reason: Resignation,
    },
    /// The disk failed; the node is silent until it is made anew from its store.
    Halted {
        /// What the disk said.
        reason: String,
    },
    /// The next `Tick` is due at this moment; replaces the previous `Wake`.
    Wake {
        /// When.
        at: Moment,
    },
}

/// Why a leader stopped leading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resignation {
    /// No majority has answered for an election timeout.
    QuorumLost,
    /// Its disk has owed an answer for too long.
    DiskHangs,
    /// Its disk has failed.
    DiskFailed,
    /// A later term has begun.
    LaterTerm,
    /// It was asked to, before a planned stop.
    Asked,
    /// A change of the replicas that it led has removed it.
    Removed,
}

impl Resignation {
    /// The name, for logs.
    ///
    /// ```
    /// assert_eq!(kumquatdrum_consensus::Resignation::QuorumLost.as_str(), "quorum lost");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::QuorumLost => "quorum lost",
            Self::DiskHangs => "disk hangs",
            Self::DiskFailed => "disk failed",
            Self::LaterTerm => "later term",
            Self::Asked => "asked to",
            Self::Removed => "removed",
        }
    }
}

/// What became of a proposal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// Committed by a majority, synced, and applied here.
    Committed {
        /// Its place.
        index: LogIndex,
    },
    /// Not taken; nothing of it will ever be committed.
    NotLeader {
        /// Who leads, where known.
        leader: Option<ReplicaId>,
    },
    /// Not taken: too much is waiting to be committed, or another replica change is under way.
    Busy,
    /// Taken, and this replica stopped leading before it was committed; it may still be.
    Unknown,
}

impl ProposalOutcome {
    /// The name, for logs.
    ///
    /// ```
    /// assert_eq!(kumquatdrum_consensus::ProposalOutcome::Busy.name(), "busy");
    /// ```
    pub fn name(&self) -> &'static str {
        match self {
            Self::Committed { .. } => "committed",
            Self::NotLeader { .. } => "not leader",
            Self::Busy => "busy",
            Self::Unknown => "unknown",
        }
    }
}
