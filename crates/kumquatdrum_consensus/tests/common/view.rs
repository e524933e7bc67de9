//! Observes the state of a simulated cluster.

use kumquatdrum_consensus::{Content, Entry, LogIndex, Member, Node, ReplicaId, Status};

use super::{Cluster, Host};

impl Cluster {
    pub fn status(&self, number: usize) -> Option<Status> {
        self.hosts[number].node.as_ref().map(Node::status)
    }

    /// Returns the leader of the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |number: &usize| {
            self.hosts[*number]
                .node
                .as_ref()
                .is_some_and(Node::is_leader)
        };
        let term = |number: &usize| self.hosts[*number].node.as_ref().map(Node::term);
        (0..self.hosts.len()).filter(leads).max_by_key(term)
    }

    /// Checks that no other replica holds a lease if the given one does.
    pub fn check_leases(&self, number: usize) {
        let holds_lease = |number: usize| {
            let node = self.hosts[number].node.as_ref();
            let until = node.and_then(Node::lease_until);
            until.is_some_and(|until| until > self.clock(number))
        };
        if holds_lease(number) {
            let holders = (0..self.hosts.len())
                .filter(|other| holds_lease(*other))
                .count();
            assert_eq!(holders, 1, "two leases at once");
        }
    }

    /// Updates the last committed replicas from all running nodes.
    pub fn observe(&mut self) {
        for number in 0..self.hosts.len() {
            let Some(status) = self.status(number) else {
                continue;
            };
            let replicas = &status.replicas;
            let is_committed = status.replicas_committed && !replicas.is_joint();
            let has_formed = !replicas.voters.is_empty();
            if is_committed && has_formed && status.replicas_index >= self.replicas.0 {
                self.replicas = (status.replicas_index, status.replicas);
            }
        }
    }

    /// Returns the index of the latest replicas on any node or disk.
    pub fn latest_replicas_index(&self) -> LogIndex {
        let has_replicas = |entry: &&Entry| matches!(entry.content, Content::Replicas(_));
        let on_disk = |host: &Host| {
            host.disk
                .entries
                .iter()
                .filter(has_replicas)
                .map(|e| e.index)
                .max()
        };
        let running = (0..self.hosts.len()).filter_map(|number| self.status(number));
        let running = running.map(|status| status.replicas_index);
        running
            .chain(self.hosts.iter().filter_map(on_disk))
            .max()
            .unwrap_or_default()
    }

    /// Returns the voters last known to be committed, unless a change may be in progress.
    pub fn committed_voters(&mut self) -> Option<Vec<ReplicaId>> {
        self.observe();
        let (index, replicas) = &self.replicas;
        let is_committed = *index >= self.latest_replicas_index() && !replicas.voters.is_empty();
        is_committed.then(|| replicas.voters.iter().map(|v| v.id.clone()).collect())
    }

    /// Returns the host of a replica, if that incarnation still exists.
    pub fn host_of(&self, id: &ReplicaId) -> Option<usize> {
        self.hosts.iter().position(|host| host.member.id == *id)
    }

    /// Returns whether all voters of the leader are running and have applied as much as it has.
    pub fn is_fully_replicated(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let Some(status) = self.status(leader).filter(|s| s.replicas_committed) else {
            return false;
        };
        let applied = |number: usize| self.hosts[number].node.as_ref().map(Node::applied);
        let goal = applied(leader);
        let reached = |voter: &Member| {
            let host = self.host_of(&voter.id);
            host.is_some_and(|number| applied(number) >= goal)
        };
        !status.replicas.is_joint() && status.replicas.voters.iter().all(reached)
    }
}
