//! Cluster formation, and the announcements of replicas that do not vote.
//!
//! A cluster forms only while all hosts with a data folder are fresh. The first initial host by
//! name queries the others, additional ones included, as the replicas of an existing cluster may
//! have moved to them. Once all have answered `Fresh`, it sends `Form` to the cluster's voters.
//!
//! At a first start of all hosts it may form the cluster with a majority of the initial hosts after a
//! wait. It does so only if it has never formed one, and forms no other one after that. So each leader
//! needs the votes of a majority of the initial hosts, and two clusters can't have one.
//!
//! A replica is fresh until it has voted or stored an entry; its first vote binds it to one
//! cluster.

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::{HostId, Moment};
use rand_core::Rng;

use crate::node::Node;
use crate::{Body, ClusterId, LogIndex, Member, ReplicaId, Replicas, Snapshot, Term};

/// Heartbeat intervals between two announcements of a replica that does not vote.
const HELLO_INTERVAL_HEARTBEATS: u32 = 5;

/// The state of cluster formation on one replica.
#[derive(Debug)]
pub(crate) struct Formation {
    pub(crate) hello_at: Moment,
    /// The fresh replicas that have answered, by host.
    fresh: IndexMap<HostId, Member>,
    /// Whether a host has state, so that no cluster may form.
    has_stateful_host: bool,
    /// When this replica first queried the other hosts.
    first_query_at: Option<Moment>,
}

impl Formation {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            hello_at: now,
            fresh: IndexMap::new(),
            has_stateful_host: false,
            first_query_at: None,
        }
    }
}

impl Node {
    /// Returns whether this replica announces itself: it is fresh or does not vote.
    pub(crate) fn is_announcing(&self) -> bool {
        self.has_no_state() || !self.log.replicas().is_voter(&self.id)
    }

    pub(crate) fn on_formation_tick(&mut self) {
        if !self.is_announcing() || self.now < self.formation.hello_at {
            return;
        }
        self.formation.hello_at =
            self.now + self.settings.heartbeat_interval * HELLO_INTERVAL_HEARTBEATS;
        let has_no_leader = self.now >= self.last_contact + self.settings.election_timeout;
        if self.has_no_state() || has_no_leader {
            self.send_hello();
        }
        if self.has_no_state() && !self.formation.has_stateful_host && self.is_forming_host() {
            self.query_hosts();
        }
    }

    /// Returns all other hosts with a data folder.
    fn other_hosts(&self) -> IndexSet<HostId> {
        let hosts = self
            .settings
            .initial_hosts
            .iter()
            .chain(&self.settings.additional_hosts);
        hosts
            .filter(|host| **host != self.id.host)
            .cloned()
            .collect()
    }

    fn send_hello(&mut self) {
        for host in self.other_hosts() {
            let member = self.settings.member.clone();
            self.send_to_host(&host, Body::Hello { member });
        }
    }

    fn is_forming_host(&self) -> bool {
        self.settings.initial_hosts.iter().min() == Some(&self.id.host)
    }

    fn query_hosts(&mut self) {
        for host in self.other_hosts() {
            self.send_to_host(&host, Body::FormationQuery);
        }
        self.formation.first_query_at.get_or_insert(self.now);
        self.form_if_all_fresh();
        self.form_if_majority_fresh();
    }

    pub(crate) fn on_formation_query(&mut self, from: ReplicaId) {
        let body = if self.has_no_state() {
            let member = self.settings.member.clone();
            Body::Fresh { member }
        } else {
            Body::NotFresh
        };
        self.send(&from, body);
    }

    pub(crate) fn on_not_fresh(&mut self) {
        self.formation.has_stateful_host = true;
        self.formation.fresh.clear();
    }

    pub(crate) fn on_fresh(&mut self, member: Member) {
        let is_expected = self.other_hosts().contains(&member.id.host);
        if is_expected && self.has_no_state() && !self.formation.has_stateful_host {
            self.formation.fresh.insert(member.id.host.clone(), member);
            self.form_if_all_fresh();
        }
    }

    fn form_if_all_fresh(&mut self) {
        if self.formation.fresh.len() < self.other_hosts().len() || self.has_formed_with_majority()
        {
            return;
        }
        let members = self.fresh_initial_members();
        self.formation.fresh.clear();
        self.form(members);
    }

    /// Forms a cluster of the initial hosts that have answered, if the others were waited for.
    fn form_if_majority_fresh(&mut self) {
        let first_query_at = self.formation.first_query_at.unwrap_or(self.now);
        let waits = |wait| self.now - first_query_at < wait;
        if self.has_formed_with_majority() {
            let members = self.log.replicas().voters.clone();
            self.form(members);
        } else if self.log.snapshot().is_none() && !self.settings.formation_wait.is_none_or(waits) {
            let members = self.fresh_initial_members();
            let majority = |count: usize| count / 2 + 1;
            if majority(members.len()) >= majority(self.settings.initial_hosts.len()) {
                self.form(members);
            }
        }
    }

    /// Returns whether the cluster that this replica belongs to lacks initial hosts.
    fn has_formed_with_majority(&self) -> bool {
        let voters = self.log.replicas().voters.len();
        voters > 0 && voters < self.settings.initial_hosts.len()
    }

    /// Returns this replica and the fresh ones of other initial hosts.
    fn fresh_initial_members(&self) -> Vec<Member> {
        let initial = &self.settings.initial_hosts;
        let fresh = self.formation.fresh.values();
        let others = fresh.filter(|member| initial.contains(&member.id.host));
        let mut members: Vec<Member> = others.cloned().collect();
        members.push(self.settings.member.clone());
        members.sort();
        members
    }

    /// Forms a cluster of the given voters, unless it has formed already, and tells them.
    fn form(&mut self, members: Vec<Member>) {
        if self.log.replicas().voters != members {
            let snapshot = Snapshot {
                cluster: ClusterId(self.random.next_u64()),
                index: LogIndex(0),
                term: Term(0),
                replicas: Replicas::from_voters(members),
                data: bytes::Bytes::new(),
            };
            self.join_cluster(snapshot);
        }
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        for member in &snapshot.replicas.voters {
            if member.id != self.id {
                let snapshot = snapshot.clone();
                self.send_after_sync(&member.id, Body::Form { snapshot });
            }
        }
    }

    pub(crate) fn on_form(&mut self, snapshot: Snapshot) {
        let is_new = self.hard_state.cluster != Some(snapshot.cluster);
        let is_listed = snapshot.replicas.is_voter(&self.id);
        if is_new && is_listed && self.has_no_state() && snapshot.index == LogIndex(0) {
            self.join_cluster(snapshot);
        }
    }

    /// Joins a newly formed cluster; another cluster may replace it until the first vote.
    fn join_cluster(&mut self, snapshot: Snapshot) {
        self.hard_state.cluster = Some(snapshot.cluster);
        self.durability.mark_hard_state_dirty();
        self.log.reset(snapshot.clone());
        self.durability.record_installation(snapshot);
        self.become_follower(Term(0), None);
    }
}
