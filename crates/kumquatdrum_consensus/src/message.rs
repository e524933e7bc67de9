//! What replicas say to each other.

use bytes::Bytes;
use kumquatdrum_types::Moment;
use serde::{Deserialize, Serialize};

use crate::{ClusterId, Entry, LogIndex, Member, ReplicaId, Snapshot, Term};

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's cluster; none in messages by which clusters form.
    pub cluster: Option<ClusterId>,
    /// Who speaks.
    pub from: ReplicaId,
    /// The one it is meant for; none for whichever replica the host has.
    pub to: Option<ReplicaId>,
    /// What is said.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Would you vote for me? Changes nothing.
    PreVote(Vote),
    /// Answer to `PreVote`.
    PreVoteAnswer {
        /// The answering replica's term.
        term: Term,
        /// The term that was asked about.
        asked: Term,
        /// Whether it would.
        granted: bool,
    },
    /// Vote for me.
    RequestVote(Vote),
    /// The leader of this term has stopped leading in favour of the one it says this to.
    Succeed {
        /// The term that ends.
        term: Term,
    },
    /// Answer to `RequestVote`, synced.
    VoteAnswer {
        /// The answering replica's term.
        term: Term,
        /// Whether it voted for the candidate in that term.
        granted: bool,
    },
    /// Entries, or a heartbeat where there are none.
    Append(Append),
    /// Answer to `Append`, and to a `SnapshotChunk` that completed a snapshot.
    AppendAck(AppendAck),
    /// A part of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// How much of a snapshot has arrived.
    SnapshotAck {
        /// The answering replica's term.
        term: Term,
        /// The snapshot's index.
        index: LogIndex,
        /// Bytes received without a gap.
        received: u64,
        /// From the chunk that is answered.
        probe: Probe,
    },
    /// A replica that does not vote makes itself known.
    Hello {
        /// Who and where.
        member: Member,
    },
    /// Are you fresh? Asked by the host that would form a cluster.
    Survey,
    /// Answer to `Survey`: I have never voted nor stored an entry.
    Fresh {
        /// Who and where.
        member: Member,
    },
    /// Answer to `Survey`: I have state; no cluster may form.
    Settled,
    /// All initial hosts are fresh: this is the cluster.
    Form {
        /// The empty snapshot that names the cluster and its replicas.
        snapshot: Snapshot,
    },
}

/// A candidate's question.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vote {
    /// The term that the candidate would lead.
    pub term: Term,
    /// The candidate's last entry.
    pub last_index: LogIndex,
    /// The term of that entry.
    pub last_term: Term,
    /// The leader of the term before has given up its lease in favour of the candidate.
    pub succeeds: bool,
}

/// Lets a leader tell which of its messages is answered. Echoed as it is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The leader's heartbeat round.
    pub round: u64,
    /// When the leader sent it, on the leader's clock.
    pub sent_at: Moment,
}

/// Entries that follow a known one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The leader's term.
    pub term: Term,
    /// The entry before the first of `entries`.
    pub previous_index: LogIndex,
    /// The term of that entry.
    pub previous_term: Term,
    /// The entries, contiguous; none in a heartbeat.
    pub entries: Vec<Entry>,
    /// All through here are committed.
    pub commit: LogIndex,
    /// Echoed in the answer.
    pub probe: Probe,
}

/// How far the follower's log matches the leader's.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAck {
    /// The answering replica's term.
    pub term: Term,
    /// Its log matches the leader's through here, synced.
    pub matched: LogIndex,
    /// Set where the entries did not fit.
    pub reject: Option<Reject>,
    /// From the message that is answered.
    pub probe: Probe,
}

/// Why entries did not fit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reject {
    /// The `previous_index` that did not match.
    pub previous_index: LogIndex,
    /// The logs may match through here, and don't match after.
    pub hint: LogIndex,
    /// The replica has no state yet and needs a snapshot to start from.
    pub needs_snapshot: bool,
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: Term,
    /// The snapshot with empty data.
    pub header: Snapshot,
    /// Bytes of the whole snapshot.
    pub total: u64,
    /// Where in the snapshot `data` starts.
    pub offset: u64,
    /// The part.
    pub data: Bytes,
    /// Echoed in the answer.
    pub probe: Probe,
}
