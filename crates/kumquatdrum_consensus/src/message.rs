//! Messages between replicas.

use bytes::Bytes;
use kumquatdrum_types::Moment;
use serde::{Deserialize, Serialize};

use crate::{ClusterId, Entry, LogIndex, Member, ReplicaId, Snapshot, Term};

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The cluster that the message belongs to; `None` in `Hello` and `FormationQuery`, and in other
    /// messages of a sender that has not joined a cluster.
    pub cluster: Option<ClusterId>,
    /// The sender.
    pub from: ReplicaId,
    /// The recipient; `None` addresses any incarnation on the receiving host.
    pub to: Option<ReplicaId>,
    /// The content of the message.
    pub body: Body,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would grant a vote, without changing its term or vote.
    PreVote(VoteRequest),
    /// Answer to `PreVote`.
    PreVoteAnswer {
        /// The answering replica's term.
        term: Term,
        /// The term named in the request.
        asked: Term,
        /// Whether the replica would grant the vote.
        granted: bool,
    },
    /// Requests a vote.
    RequestVote(VoteRequest),
    /// Asks the receiver to start an election at once, as the leader has stepped down in its
    /// favour.
    #[serde(rename = "Succeed")]
    TimeoutNow {
        /// The term of the leader that has stepped down.
        term: Term,
    },
    /// Answer to `RequestVote`, sent after the vote is synced.
    VoteAnswer {
        /// The answering replica's term.
        term: Term,
        /// Whether the replica voted for the candidate in that term.
        granted: bool,
    },
    /// Entries to append; a heartbeat if there are none.
    Append(Append),
    /// Answer to `Append`, and to the `SnapshotChunk` that completes a snapshot.
    AppendAck(AppendAck),
    /// A chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),
    /// Acknowledges the received part of a snapshot.
    SnapshotAck {
        /// The answering replica's term.
        term: Term,
        /// The snapshot's index.
        index: LogIndex,
        /// Contiguous bytes received from the start.
        received: u64,
        /// The probe of the acknowledged chunk.
        probe: Probe,
    },
    /// Announces a replica that does not vote.
    Hello {
        /// The announced replica.
        member: Member,
    },
    /// Asks whether the replica is fresh; sent by the host that forms the cluster.
    #[serde(rename = "Survey")]
    FormationQuery,
    /// Answer to `FormationQuery`: the replica has neither voted nor stored an entry.
    Fresh {
        /// The answering replica.
        member: Member,
    },
    /// Answer to `FormationQuery`: the replica has state, so no cluster may form.
    #[serde(rename = "Settled")]
    NotFresh,
    /// Forms the cluster, as all hosts are fresh.
    Form {
        /// The empty snapshot with the cluster's identifier and replicas.
        snapshot: Snapshot,
    },
}

/// A candidate's request for a vote or pre-vote.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteRequest {
    /// The term in which the candidate would lead.
    pub term: Term,
    /// The index of the candidate's last entry.
    pub last_index: LogIndex,
    /// The term of the candidate's last entry.
    pub last_term: Term,
    /// Whether the leader of the previous term has released its lease in favour of the candidate.
    #[serde(rename = "succeeds")]
    pub is_leadership_transfer: bool,
}

/// Identifies the leader's message that an answer belongs to; echoed unchanged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The leader's heartbeat round.
    pub round: u64,
    /// The send time on the leader's clock.
    pub sent_at: Moment,
}

/// Entries to append after a known entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Append {
    /// The leader's term.
    pub term: Term,
    /// The index of the entry before the first of `entries`.
    pub previous_index: LogIndex,
    /// The term of the entry at `previous_index`.
    pub previous_term: Term,
    /// Contiguous entries; empty in a heartbeat.
    pub entries: Vec<Entry>,
    /// The last committed entry.
    pub commit: LogIndex,
    /// The probe that the answer echoes.
    pub probe: Probe,
}

/// Acknowledges or rejects entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendAck {
    /// The answering replica's term.
    pub term: Term,
    /// The last synced entry up to which the log matches the leader's.
    pub matched: LogIndex,
    /// The rejection, if the follower's log has no matching previous entry.
    pub reject: Option<Rejection>,
    /// The probe of the answered message.
    pub probe: Probe,
}

/// Reports that the previous entry of an append does not match the follower's log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The `previous_index` that did not match.
    pub previous_index: LogIndex,
    /// The last entry up to which the logs may match.
    pub hint: LogIndex,
    /// Whether the replica has no state and needs a snapshot first.
    pub needs_snapshot: bool,
}

/// A chunk of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The leader's term.
    pub term: Term,
    /// The snapshot with empty data.
    pub header: Snapshot,
    /// Size of the whole snapshot's data in bytes.
    pub total: u64,
    /// Offset of `data` in the whole snapshot's data.
    pub offset: u64,
    /// The bytes of this chunk.
    pub data: Bytes,
    /// The probe that the answer echoes.
    pub probe: Probe,
}
