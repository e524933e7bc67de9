//! How a cluster forms, and how a replica without one makes itself known.
//!
//! A cluster forms only when all hosts with a data folder are fresh at once, the initial ones and
//! the others: the first initial host by name asks all of them, each answer is meant for the
//! asking incarnation, and only when every host has answered `Fresh` is the list of incarnations
//! sent out. The others count too, as the replicas may have moved to them since. A replica counts as fresh until it has
//! voted or stored an entry, since until then nothing hangs on it. From its first vote on it
//! belongs to one cluster for good, and listens to no other.

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::{HostId, Moment};
use rand_core::Rng;

use crate::node::Node;
use crate::{Body, ClusterId, LogIndex, Member, ReplicaId, Replicas, Snapshot, Term};

/// Heartbeats between two announcements of a replica that does not vote.
const HELLO_HEARTBEATS: u32 = 5;

/// What a replica knows of other fresh ones.
#[derive(Debug)]
pub(crate) struct Formation {
    pub(crate) hello_at: Moment,
    /// Fresh replicas by host, as answered to this one.
    fresh: IndexMap<HostId, Member>,
    /// Some initial host has state: no cluster may form any more.
    settled: bool,
}

impl Formation {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            hello_at: now,
            fresh: IndexMap::new(),
            settled: false,
        }
    }
}

impl Node {
    /// Whether there is something to announce or to ask outside of any cluster.
    pub(crate) fn is_outside(&self) -> bool {
        self.is_untouched() || !self.log.replicas().is_voter(&self.id)
    }

    pub(crate) fn on_formation_tick(&mut self) {
        if !self.is_outside() || self.now < self.formation.hello_at {
            return;
        }
        self.formation.hello_at = self.now + self.settings.heartbeat * HELLO_HEARTBEATS;
        let quiet = self.now >= self.last_contact + self.settings.election_timeout;
        if self.is_untouched() || quiet {
            self.say_hello();
        }
        if self.is_untouched() && !self.formation.settled && self.is_first_initial() {
            self.survey();
        }
    }

    /// All other hosts with a data folder.
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

    fn say_hello(&mut self) {
        for host in self.other_hosts() {
            let member = self.settings.member.clone();
            self.send_to_host(&host, Body::Hello { member });
        }
    }

    fn is_first_initial(&self) -> bool {
        self.settings.initial_hosts.iter().min() == Some(&self.id.host)
    }

    fn survey(&mut self) {
        for host in self.other_hosts() {
            self.send_to_host(&host, Body::Survey);
        }
        self.form_when_all_fresh();
    }

    pub(crate) fn on_survey(&mut self, from: ReplicaId) {
        let body = if self.is_untouched() {
            let member = self.settings.member.clone();
            Body::Fresh { member }
        } else {
            Body::Settled
        };
        self.send(&from, body);
    }

    pub(crate) fn on_settled(&mut self) {
        self.formation.settled = true;
        self.formation.fresh.clear();
    }

    pub(crate) fn on_fresh(&mut self, member: Member) {
        let expected = self.other_hosts().contains(&member.id.host);
        if expected && self.is_untouched() && !self.formation.settled {
            self.formation.fresh.insert(member.id.host.clone(), member);
            self.form_when_all_fresh();
        }
    }

    fn form_when_all_fresh(&mut self) {
        if self.formation.fresh.len() < self.other_hosts().len() {
            return;
        }
        let initial = &self.settings.initial_hosts;
        let fresh = self.formation.fresh.drain(..).map(|(_, member)| member);
        let voting = fresh.filter(|member| initial.contains(&member.id.host));
        let mut members: Vec<Member> = voting.collect();
        members.push(self.settings.member.clone());
        members.sort();
        if self.log.replicas().voters != members {
            let snapshot = Snapshot {
                cluster: ClusterId(self.random.next_u64()),
                index: LogIndex(0),
                term: Term(0),
                replicas: Replicas::from_voters(members),
                data: bytes::Bytes::new(),
            };
            self.enter(snapshot);
        }
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        for member in &snapshot.replicas.voters {
            if member.id != self.id {
                let snapshot = snapshot.clone();
                self.send(&member.id, Body::Form { snapshot });
            }
        }
    }

    pub(crate) fn on_form(&mut self, snapshot: Snapshot) {
        let new = self.hard_state.cluster != Some(snapshot.cluster);
        let listed = snapshot.replicas.is_voter(&self.id);
        if new && listed && self.is_untouched() && snapshot.index == LogIndex(0) {
            self.enter(snapshot);
        }
    }

    /// Takes a cluster as the own one. It binds only with the first vote.
    fn enter(&mut self, snapshot: Snapshot) {
        self.hard_state.cluster = Some(snapshot.cluster);
        self.durability.hard_state_changed();
        self.log.reset(snapshot.clone());
        self.durability.installed(snapshot);
        self.become_follower(Term(0), None);
    }
}
