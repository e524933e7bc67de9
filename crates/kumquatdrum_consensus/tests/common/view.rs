//! What can be seen of a cluster from outside.

use kumquatdrum_consensus::{Content, Entry, LogIndex, Member, Node, ReplicaId, Status};

use super::{Cluster, Host};

impl Cluster {
    pub fn status(&self, number: usize) -> Option<Status> {
        self.hosts[number].node.as_ref().map(Node::status)
    }

    /// The leader of the highest term.
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

    /// At most one replica may rely on its lease at a time.
    pub fn check_leases(&self, number: usize) {
        let holds = |number: usize| {
            let node = self.hosts[number].node.as_ref();
            let until = node.and_then(Node::lease_until);
            until.is_some_and(|until| until > self.clock(number))
        };
        if holds(number) {
            let holders = (0..self.hosts.len()).filter(|other| holds(*other)).count();
            assert_eq!(holders, 1, "two leases at once");
        }
    }

    /// Learns which replicas were last committed, from all nodes that run. They only ever move on.
    pub fn observe(&mut self) {
        for number in 0..self.hosts.len() {
            let Some(status) = self.status(number) else {
                continue;
            };
            let replicas = &status.replicas;
            let settled = status.replicas_committed && !replicas.is_joint();
            let formed = !replicas.voters.is_empty();
            if settled && formed && status.replicas_index >= self.replicas.0 {
                self.replicas = (status.replicas_index, status.replicas);
            }
        }
    }

    /// The latest replicas that any node or disk names.
    pub fn latest_replicas_index(&self) -> LogIndex {
        let names = |entry: &&Entry| matches!(entry.content, Content::Replicas(_));
        let on_disk = |host: &Host| {
            host.disk
                .entries
                .iter()
                .filter(names)
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

    /// The voters last known as committed, unless a change may be under way.
    pub fn settled_voters(&mut self) -> Option<Vec<ReplicaId>> {
        self.observe();
        let (index, replicas) = &self.replicas;
        let settled = *index >= self.latest_replicas_index() && !replicas.voters.is_empty();
        settled.then(|| replicas.voters.iter().map(|v| v.id.clone()).collect())
    }

    /// The host of a replica, if that incarnation still exists.
    pub fn host_of(&self, id: &ReplicaId) -> Option<usize> {
        self.hosts.iter().position(|host| host.member.id == *id)
    }

    /// Whether a leader's voters all exist, and run, and have applied what it has.
    pub fn is_whole(&self) -> bool {
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
