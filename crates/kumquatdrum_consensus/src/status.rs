//! What a node says of itself to operators.

use kumquatdrum_types::Moment;

use crate::node::{Node, Role};
use crate::progress::Progress;
use crate::{LogIndex, ReplicaId, Replicas, Term};

/// The part that a replica plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleName {
    /// Belongs to no cluster yet.
    Fresh,
    /// Receives the log without voting.
    Learner,
    /// Follows a leader or looks for one.
    Follower,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
    /// Silent after its disk failed.
    Halted,
}

/// A node's view of itself and of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Who it is.
    pub id: ReplicaId,
    /// What part it plays.
    pub role: RoleName,
    /// Its term.
    pub term: Term,
    /// Who leads, where known.
    pub leader: Option<ReplicaId>,
    /// Known as committed through here.
    pub commit: LogIndex,
    /// Handed to the application through here.
    pub applied: LogIndex,
    /// The end of its log.
    pub last: LogIndex,
    /// The last entry that the snapshot includes.
    pub snapshot: LogIndex,
    /// The replicas as its log names them.
    pub replicas: Replicas,
    /// The entry that names them.
    pub replicas_index: LogIndex,
    /// Whether that entry is known as committed.
    pub replicas_committed: bool,
    /// How far the others are; only on a leader.
    pub peers: Vec<PeerStatus>,
}

/// How far a replica is, as its leader knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Who.
    pub id: ReplicaId,
    /// Its log matches through here, synced.
    pub matched: LogIndex,
    /// Whether it answered within the last election timeout.
    pub is_alive: bool,
    /// Whether it is being sent a snapshot.
    pub snapshot: bool,
}

impl Node {
    /// What the node says of itself.
    pub fn status(&self) -> Status {
        Status {
            id: self.id.clone(),
            role: self.role_name(),
            term: self.hard_state.term,
            leader: self.leader.clone(),
            commit: self.commit,
            applied: self.applied,
            last: self.log.last_index(),
            snapshot: self.log.snapshot_index(),
            replicas: self.log.replicas().clone(),
            replicas_index: self.log.replicas_index(),
            replicas_committed: self.log.replicas_index() <= self.commit,
            peers: self.peer_statuses(),
        }
    }

    fn role_name(&self) -> RoleName {
        match &self.role {
            _ if self.halted => RoleName::Halted,
            _ if self.log.snapshot().is_none() => RoleName::Fresh,
            Role::Leader(_) => RoleName::Leader,
            Role::PreCandidate(_) | Role::Candidate(_) => RoleName::Candidate,
            Role::Follower if self.log.replicas().is_voter(&self.id) => RoleName::Follower,
            Role::Follower => RoleName::Learner,
        }
    }

    fn peer_statuses(&self) -> Vec<PeerStatus> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let alive = |at: Moment| at + self.settings.election_timeout > self.now;
        let status = |(id, progress): (&ReplicaId, &Progress)| PeerStatus {
            id: id.clone(),
            matched: progress.matched,
            is_alive: progress.acked_at.is_some_and(alive),
            snapshot: progress.transfer.is_some(),
        };
        leader.peers.iter().map(status).collect()
    }

    /// When the next `Tick` is due.
    pub(crate) fn next_tick(&self) -> Moment {
        let role = match &self.role {
            Role::Leader(leader) => leader.heartbeat_at,
            _ => self.election_at,
        };
        if self.is_outside() {
            role.min(self.formation.hello_at)
        } else {
            role
        }
    }
}
