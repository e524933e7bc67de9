//! Which voters follow a leader.

use std::time::Duration;

use indexmap::IndexSet;
use kumquatdrum_types::Moment;

use crate::replacement::Host;
use crate::{ReplicaId, Status};

/// A voter that has stopped or begun to follow the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The voter does not answer.
    Silent {
        /// The voter.
        voter: ReplicaId,
        /// The time since its latest answer, or since the leader began to send to it.
        silence: Duration,
        /// Whether its host is live, which then lacks the replica or can't reach the leader.
        is_host_live: bool,
        /// The replica that its host announces.
        announced: Option<ReplicaId>,
    },
    /// The voter answers again.
    Follows {
        /// The voter.
        voter: ReplicaId,
    },
}

/// Reports on a leader which voters stop and begin to follow it.
///
/// ```
/// use std::time::Duration;
/// use kumquatdrum_consensus::following::Monitor;
///
/// let monitor = Monitor::new(Duration::from_secs(1));
/// assert!(monitor.silent().is_empty());
/// ```
#[derive(Debug)]
pub struct Monitor {
    silent_after: Duration,
    silent: IndexSet<ReplicaId>,
}

impl Monitor {
    /// Creates a monitor that reports a voter after the given silence.
    pub fn new(silent_after: Duration) -> Self {
        Self {
            silent_after,
            silent: IndexSet::new(),
        }
    }

    /// Returns the voters that were silent at the latest check.
    pub fn silent(&self) -> &IndexSet<ReplicaId> {
        &self.silent
    }

    /// Forgets all voters, as this replica has become the leader.
    pub fn reset(&mut self) {
        self.silent.clear();
    }

    /// Returns what has changed since the latest check. Voters that were replaced are forgotten.
    pub fn check(&mut self, now: Moment, status: &Status, hosts: &[Host]) -> Vec<Change> {
        let is_voter = |id: &ReplicaId| status.replicas.voters.iter().any(|m| m.id == *id);
        self.silent.retain(is_voter);
        let voters = status.peers.iter().filter(|peer| is_voter(&peer.id));
        let mut changes = Vec::new();
        for peer in voters {
            let silence = now - peer.acked_at.unwrap_or(peer.added_at);
            match self.silent.contains(&peer.id) {
                true if peer.is_alive => {
                    self.silent.shift_remove(&peer.id);
                    changes.push(Change::Follows {
                        voter: peer.id.clone(),
                    });
                }
                false if !peer.is_alive && silence >= self.silent_after => {
                    self.silent.insert(peer.id.clone());
                    let host = hosts.iter().find(|host| host.id == peer.id.host);
                    let announced = host.and_then(|host| host.replica.as_ref());
                    changes.push(Change::Silent {
                        voter: peer.id.clone(),
                        silence,
                        is_host_live: host.is_some_and(|host| host.is_live),
                        announced: announced.map(|replica| replica.id.clone()),
                    });
                }
                _ => {}
            }
        }
        changes
    }
}
