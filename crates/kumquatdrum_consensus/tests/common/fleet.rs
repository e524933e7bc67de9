//! Simulated hosts that also hear of each other and replace lost voters.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquatdrum_consensus::replacement::{self, Planner};
use kumquatdrum_consensus::{Member, Node, ProposalOutcome, ReplicaId, Term, Token};
use kumquatdrum_types::{HostId, Moment};

use super::Cluster;

/// The interval between checks for lost voters.
const CHECK_MILLIS: u64 = 100;
/// The interval between the hellos of a host.
const HELLO_MILLIS: u64 = 500;
/// The time since a hello for which a host counts as live.
const LIVE_FOR: Duration = Duration::from_secs(2);
/// The interval between proposals.
const PROPOSAL_MILLIS: u64 = 300;

/// What one host hears of others, and its planner.
struct Observer {
    planner: Planner,
    heard: BTreeMap<usize, (Moment, Member)>,
    /// The term in which the host's replica led at the latest check.
    led: Option<Term>,
    change: Option<Token>,
}

/// A step of a change of the voters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The entry with a learner is not committed.
    LearnerAppended,
    /// A learner catches up.
    LearnerCommitted,
    /// The entry that begins the joint change is not committed.
    JointAppended,
    /// The entry that ends the joint change is not committed.
    Leaving,
}

/// A cluster whose leaders replace lost voters.
pub struct Fleet {
    pub cluster: Cluster,
    settings: replacement::Settings,
    observers: Vec<Option<Observer>>,
    /// Milliseconds so far.
    elapsed: u64,
}

impl Fleet {
    /// Forms a cluster of hosts that tolerates the loss of some of them.
    pub fn formed(seed: u64, hosts: usize, tolerated: usize) -> Self {
        let voters = 2 * tolerated + 1;
        let initial_count = voters.min(hosts);
        let safeguards = kumquatdrum_consensus::Safeguards::default();
        let mut cluster = Cluster::new(seed, 0, initial_count, safeguards);
        cluster.adjust_settings = |settings| {
            settings.heartbeat_interval = Duration::from_millis(100);
            settings.election_timeout = Duration::from_millis(600);
            settings.change_timeout = Duration::from_secs(2);
        };
        cluster.faults.delay_micros = [2_000, 10_000, 30_000][(seed % 3) as usize];
        for number in 0..hosts {
            cluster.add_host(format!("host-{number}"));
        }
        (0..hosts).for_each(|number| cluster.start(number));
        assert!(cluster.run_until(20_000, |c| c.leader().is_some()));
        assert!(cluster.commit());
        // Hosts that start later know only three addresses.
        cluster.adjust_settings = |settings| {
            settings.heartbeat_interval = Duration::from_millis(100);
            settings.election_timeout = Duration::from_millis(600);
            settings.change_timeout = Duration::from_secs(2);
            settings.initial_hosts.clear();
            settings.additional_hosts = (0..3).map(|n| HostId::new(format!("host-{n}"))).collect();
        };
        let settings = replacement::Settings {
            voters,
            lost_after: Duration::from_secs(1),
        };
        let mut fleet = Self {
            cluster,
            settings,
            observers: Vec::new(),
            elapsed: 0,
        };
        fleet.run_for(3_000);
        fleet
    }

    /// Runs for some time, in steps of a check.
    pub fn run_for(&mut self, millis: u64) {
        for _ in 0..millis / CHECK_MILLIS {
            self.cluster.run_for(CHECK_MILLIS);
            self.elapsed += CHECK_MILLIS;
            self.observe_all();
        }
    }

    fn observe_all(&mut self) {
        self.update_observers();
        self.exchange_hellos();
        for number in 0..self.cluster.hosts.len() {
            self.check(number);
        }
        if self.elapsed.is_multiple_of(PROPOSAL_MILLIS)
            && let Some(leader) = self.cluster.leader().filter(|leader| self.runs(*leader))
        {
            self.cluster.propose(leader);
        }
        self.cluster.observe();
    }

    /// Runs a step, or until a leader's change of the voters has come to a stage; returns that leader.
    pub fn run_until_stage(&mut self, stage: Stage, millis: u64) -> Option<usize> {
        let is_reached = |cluster: &Cluster| {
            let status = cluster.leader().and_then(|leader| cluster.status(leader));
            status.is_some_and(|status| {
                let (replicas, is_committed) = (&status.replicas, status.replicas_committed);
                let has_learner = !replicas.learners.is_empty();
                match stage {
                    Stage::LearnerAppended => has_learner && !is_committed,
                    Stage::LearnerCommitted => has_learner && is_committed,
                    Stage::JointAppended => replicas.is_joint() && !is_committed,
                    Stage::Leaving => !replicas.is_joint() && !has_learner && !is_committed,
                }
            })
        };
        if self.cluster.run_until(millis, is_reached) {
            return self.cluster.leader();
        }
        self.elapsed += millis;
        self.observe_all();
        None
    }

    fn runs(&self, number: usize) -> bool {
        self.cluster.hosts[number].node.is_some() && !self.cluster.paused.contains(&number)
    }

    /// Creates the observers of processes that have started, and drops those of processes that have ended.
    fn update_observers(&mut self) {
        self.observers
            .resize_with(self.cluster.hosts.len(), || None);
        for number in 0..self.cluster.hosts.len() {
            let is_up = self.cluster.hosts[number].node.is_some();
            let now = self.cluster.clock(number);
            let observer = &mut self.observers[number];
            match observer {
                None if is_up => {
                    *observer = Some(Observer {
                        planner: Planner::new(self.settings, now),
                        heard: BTreeMap::new(),
                        led: None,
                        change: None,
                    });
                }
                Some(_) if !is_up => *observer = None,
                _ => {}
            }
        }
    }

    fn exchange_hellos(&mut self) {
        let count = self.cluster.hosts.len();
        let running: Vec<usize> = (0..count).filter(|number| self.runs(*number)).collect();
        for from in &running {
            let phase = (*from as u64 * CHECK_MILLIS) % HELLO_MILLIS;
            if self.elapsed % HELLO_MILLIS != phase {
                continue;
            }
            let member = &self.cluster.hosts[*from].member;
            for to in running.iter().filter(|to| *to != from) {
                let now = self.cluster.clock(*to);
                if let Some(observer) = &mut self.observers[*to] {
                    observer.heard.insert(*from, (now, member.clone()));
                }
            }
        }
    }

    /// Lets a host's planner decide, if the host leads.
    fn check(&mut self, number: usize) {
        let now = self.cluster.clock(number);
        let node = self.cluster.hosts[number].node.as_ref();
        let is_leading = self.runs(number) && node.is_some_and(Node::is_caught_up_leader);
        let Some(status) = self.cluster.status(number).filter(|_| is_leading) else {
            return;
        };
        let Some(observer) = &mut self.observers[number] else {
            return;
        };
        if observer.led != Some(status.term) {
            observer.planner.reset();
            observer.change = None;
            observer.led = Some(status.term);
        }
        let ended = observer
            .change
            .and_then(|token| self.cluster.outcomes.get(&token));
        if let Some(outcome) = ended {
            let is_committed = matches!(outcome, ProposalOutcome::Committed { .. });
            observer
                .planner
                .record_end(&status.replicas.voters, is_committed);
            observer.change = None;
        }
        let hosts = observer.heard.values().map(|(heard_at, member)| {
            let is_available = now - *heard_at <= LIVE_FOR;
            replacement::Host {
                id: member.id.host.clone(),
                heard_at: *heard_at,
                replica: Some(member.clone()),
                is_available,
            }
        });
        let hosts: Vec<replacement::Host> = hosts.collect();
        if let Some(plan) = observer.planner.plan(now, &status, &hosts) {
            let token = self.cluster.change_to(number, plan.voters);
            if let Some(observer) = &mut self.observers[number] {
                observer.change = Some(token);
            }
        }
    }

    /// Returns the voters last known to be committed.
    pub fn voters(&self) -> Vec<ReplicaId> {
        let voters = self.cluster.replicas.1.voters.iter();
        voters.map(|voter| voter.id.clone()).collect()
    }
}
