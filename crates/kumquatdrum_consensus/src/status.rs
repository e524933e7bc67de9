//! The status that a node reports to operators.

use kumquatdrum_types::Moment;

use crate::node::{Node, Role};
use crate::progress::Progress;
use crate::{LogIndex, ReplicaId, Replicas, Term};

/// The role of a replica as reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    /// Has not received the replicas of a cluster yet.
    Fresh,
    /// Does not vote: a learner, or a replica that a change has removed.
    Learner,
    /// Votes, and follows a leader or awaits one.
    Follower,
    /// Runs for leader, in a pre-vote or a vote.
    Candidate,
    /// Leads the cluster.
    Leader,
    /// Stopped after a disk failure.
    Halted,
}

/// A node's view of itself and of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// This replica.
    pub id: ReplicaId,
    /// The role of this replica.
    pub role: RoleName,
    /// The current term.
    pub term: Term,
    /// The current leader, if known.
    pub leader: Option<ReplicaId>,
    /// The last entry known to be committed.
    pub commit: LogIndex,
    /// The last entry passed to the application.
    pub applied: LogIndex,
    /// The last entry of the log.
    pub last_index: LogIndex,
    /// The last entry that the snapshot includes.
    pub snapshot_index: LogIndex,
    /// The latest replicas in the log.
    pub replicas: Replicas,
    /// The entry that contains the latest replicas.
    pub replicas_index: LogIndex,
    /// Whether the latest replicas are known to be committed.
    pub replicas_committed: bool,
    /// When this replica became the leader; `None` except on a leader.
    pub elected_at: Option<Moment>,
    /// The progress of the other replicas; empty except on a leader.
    pub peers: Vec<PeerStatus>,
}

/// The replication progress of a replica as known to its leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// The replica.
    pub id: ReplicaId,
    /// The last synced entry up to which the replica's log matches the leader's.
    pub matched: LogIndex,
    /// When this leader began to send to the replica.
    pub added_at: Moment,
    /// When the latest message that the replica has answered was sent, if it has answered this leader.
    pub acked_at: Option<Moment>,
    /// Whether the replica has answered a message sent within the last election timeout.
    pub is_alive: bool,
    /// Whether a snapshot is being transferred to the replica.
    pub is_receiving_snapshot: bool,
}

impl Node {
    /// Returns the node's status.
    pub fn status(&self) -> Status {
        Status {
            id: self.id.clone(),
            role: self.role_name(),
            term: self.hard_state.term,
            leader: self.leader.clone(),
            commit: self.commit,
            applied: self.applied,
            last_index: self.log.last_index(),
            snapshot_index: self.log.snapshot_index(),
            replicas: self.log.replicas().clone(),
            replicas_index: self.log.replicas_index(),
            replicas_committed: self.log.replicas_index() <= self.commit,
            elected_at: self.elected_at(),
            peers: self.peer_statuses(),
        }
    }

    /// Returns the latest replicas in the log, and the entry that contains them.
    pub fn replicas(&self) -> (LogIndex, &Replicas) {
        (self.log.replicas_index(), self.log.replicas())
    }

    fn role_name(&self) -> RoleName {
        match &self.role {
            _ if self.is_halted => RoleName::Halted,
            _ if self.log.snapshot().is_none() => RoleName::Fresh,
            Role::Leader(_) => RoleName::Leader,
            Role::PreCandidate(_) | Role::Candidate(_) => RoleName::Candidate,
            Role::Follower if self.log.replicas().is_voter(&self.id) => RoleName::Follower,
            Role::Follower => RoleName::Learner,
        }
    }

    fn elected_at(&self) -> Option<Moment> {
        match &self.role {
            Role::Leader(leader) => Some(leader.elected_at),
            _ => None,
        }
    }

    fn peer_statuses(&self) -> Vec<PeerStatus> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let is_alive = |at: Moment| at + self.settings.election_timeout > self.now;
        let status = |(id, progress): (&ReplicaId, &Progress)| PeerStatus {
            id: id.clone(),
            matched: progress.matched,
            added_at: progress.added_at,
            acked_at: progress.acked_at,
            is_alive: progress.acked_at.is_some_and(is_alive),
            is_receiving_snapshot: progress.snapshot_transfer.is_some(),
        };
        leader.peers.iter().map(status).collect()
    }

    /// Returns the moment at which the next `Tick` is due.
    pub(crate) fn next_tick(&self) -> Moment {
        let role_at = match &self.role {
            Role::Leader(leader) => leader.heartbeat_at,
            _ => self.election_at,
        };
        if self.is_announcing() {
            role_at.min(self.formation.hello_at)
        } else {
            role_at
        }
    }
}
