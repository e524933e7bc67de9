//! Whether the voters bear the losses that a cluster is to tolerate.
//!
//! A cluster forms with few voters, and others are added after that. An entry that is committed before can
//! be lost with fewer disks than the cluster is to bear.

use std::time::Duration;

use kumquatdrum_types::Moment;

use crate::replacement::Host;
use crate::{ReplicaId, Status};

/// Decides on a leader whether a new entry would outlast the losses that are still to be tolerated.
///
/// ```
/// use std::time::Duration;
/// use kumquatdrum_consensus::tolerance::Gate;
///
/// let gate = Gate::new(2, Duration::from_secs(2));
/// assert!(!gate.is_open());
/// ```
#[derive(Debug)]
pub struct Gate {
    losses: usize,
    discovery_time: Duration,
    is_open: bool,
}

impl Gate {
    /// Creates a gate for a cluster that is to tolerate the given number of losses at a time. Until the
    /// discovery time after an election has passed, hosts may be live that the leader doesn't know.
    pub fn new(losses: usize, discovery_time: Duration) -> Self {
        Self {
            losses,
            discovery_time,
            is_open: false,
        }
    }

    /// Returns whether the voters were found to suffice since the election.
    pub fn is_open(&self) -> bool {
        self.is_open
    }

    /// Closes the gate, as this replica has become the leader.
    pub fn reset(&mut self) {
        self.is_open = false;
    }

    /// Returns whether entries may be proposed. With as many voters as the losses need, the gate stays open
    /// until the next election, since no change leaves fewer. With fewer, it is checked each time: they
    /// suffice if the other hosts are lost too, so that less is left to be tolerated.
    pub fn check(&mut self, now: Moment, status: &Status, hosts: &[Host]) -> bool {
        let is_settled = status.replicas_committed && !status.replicas.is_joint();
        let target = 2 * self.losses + 1;
        if is_settled && status.replicas.voters.len() >= target {
            self.is_open = true;
        }
        let is_known = status
            .elected_at
            .is_some_and(|at| now - at >= self.discovery_time);
        self.is_open || is_settled && is_known && self.bears_remaining_losses(status, hosts)
    }

    /// Returns whether a majority of the voters is left after the losses that are still to be tolerated
    /// while so many hosts are live.
    fn bears_remaining_losses(&self, status: &Status, hosts: &[Host]) -> bool {
        let has_replica = |host: &&Host| host.is_available() && host.replica.is_some();
        let live_hosts = 1 + hosts.iter().filter(has_replica).count();
        let lost_hosts = (2 * self.losses + 1).saturating_sub(live_hosts);
        let remaining_losses = self.losses.saturating_sub(lost_hosts);
        let voters = &status.replicas.voters;
        let answers = |id: &ReplicaId| {
            let peer = status.peers.iter().find(|peer| peer.id == *id);
            *id == status.id || peer.is_some_and(|peer| peer.is_alive)
        };
        let answering = voters.iter().filter(|voter| answers(&voter.id)).count();
        answering.saturating_sub(remaining_losses) > voters.len() / 2
    }
}
