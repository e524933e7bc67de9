//! Simulated hosts that also hear of each other and replace lost voters.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use kumquatdrum_consensus::replacement::{self, Planner};
use kumquatdrum_consensus::{Member, Node, ProposalOutcome, ReplicaId, RoleName, Term, Token};
use kumquatdrum_types::{HostId, Moment};
use rand_core::Rng;

use super::Cluster;

/// The interval between checks for lost voters.
const CHECK_MILLIS: u64 = 100;
/// The interval between the hellos of a host.
const HELLO_MILLIS: u64 = 500;
/// The time since a hello for which a host counts as live.
const LIVE_FOR: Duration = Duration::from_secs(2);
/// The pause before a failed disk is opened again.
const REOPEN_MILLIS: u64 = 400;
/// The number of addresses that a host is told at its start, and the age of the list they are from.
const SEEDS: usize = 3;
const SEED_LAG_MILLIS: u64 = 3_000;
/// The interval between proposals.
const PROPOSAL_MILLIS: u64 = 300;

/// What one host hears of others, and its planner.
struct Observer {
    planner: Planner,
    heard: BTreeMap<usize, Hello>,
    /// The hosts whose addresses it knows.
    known: BTreeSet<usize>,
    /// The term in which the host's replica led at the latest check.
    led: Option<Term>,
    change: Option<Token>,
}

/// The latest hello of a host.
struct Hello {
    heard_at: Moment,
    /// The replica that it announces, if its disk works.
    replica: Option<Member>,
    is_stopping: bool,
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
    /// Whether links, addresses and disks that fail are modelled for hellos, as in the gateway.
    pub is_strict: bool,
    /// Hosts that announce that they stop.
    pub stopping: BTreeSet<usize>,
    /// Hosts that are gone for good.
    pub gone: BTreeSet<usize>,
    /// The hosts that were there at each of the latest checks, of which one that starts is told three.
    listed: VecDeque<Vec<usize>>,
    /// When a host with a failed disk opens it again.
    reopened_at: BTreeMap<usize, u64>,
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
            is_strict: false,
            stopping: BTreeSet::new(),
            gone: BTreeSet::new(),
            listed: VecDeque::new(),
            reopened_at: BTreeMap::new(),
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
        self.reopen_disks();
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

    /// Starts the replicas again whose disks have failed, after a pause.
    fn reopen_disks(&mut self) {
        let count = self.cluster.hosts.len();
        let running = (0..count).filter(|number| self.runs(*number));
        let running: Vec<usize> = running.collect();
        for number in &running {
            let status = self.cluster.status(*number);
            if !self.is_strict || status.is_none_or(|status| status.role != RoleName::Halted) {
                self.reopened_at.remove(number);
                continue;
            }
            let due = self.elapsed + REOPEN_MILLIS;
            if self.elapsed >= *self.reopened_at.entry(*number).or_insert(due) {
                self.reopened_at.remove(number);
                let is_failing = self.cluster.hosts[*number].has_failing_disk;
                self.cluster.crash(*number);
                self.cluster.start(*number);
                self.cluster.hosts[*number].has_failing_disk = is_failing;
            }
        }
        let has_started = |number: &usize| self.cluster.hosts[*number].has_started();
        let there = (0..count).filter(|number| !self.gone.contains(number));
        self.listed.push_back(there.filter(has_started).collect());
        if self.listed.len() > SEED_LAG_MILLIS as usize / CHECK_MILLIS as usize {
            self.listed.pop_front();
        }
    }

    /// Creates the observers of processes that have started, and drops those of processes that have ended.
    fn update_observers(&mut self) {
        let count = self.cluster.hosts.len();
        self.observers.resize_with(count, || None);
        for number in 0..count {
            let is_up = self.cluster.hosts[number].node.is_some();
            let now = self.cluster.clock(number);
            match &mut self.observers[number] {
                None if is_up => {
                    let listed = self.listed.front().cloned().unwrap_or_default();
                    self.observers[number] = Some(Observer {
                        planner: Planner::new(self.settings, now),
                        heard: BTreeMap::new(),
                        known: self.choose_seeds(&listed),
                        led: None,
                        change: None,
                    });
                }
                Some(_) if !is_up => self.observers[number] = None,
                _ => {}
            }
        }
    }

    /// Chooses three of the hosts that were there, of which one still is.
    fn choose_seeds(&mut self, listed: &[usize]) -> BTreeSet<usize> {
        let first = self.cluster.random.next_u64() as usize % listed.len().max(1);
        let seeds = (first..first + listed.len()).map(|first| {
            let places = (first..first + SEEDS).map(|place| place % listed.len());
            let seeds: BTreeSet<usize> = places.map(|place| listed[place]).collect();
            seeds
        });
        let is_there = |number: &usize| !self.gone.contains(number);
        let mut usable = seeds.filter(|seeds| seeds.iter().any(is_there));
        usable.next().unwrap_or_default()
    }

    fn exchange_hellos(&mut self) {
        let count = self.cluster.hosts.len();
        let running: Vec<usize> = (0..count).filter(|number| self.runs(*number)).collect();
        for from in &running {
            let phase = (*from as u64 * CHECK_MILLIS) % HELLO_MILLIS;
            if self.elapsed % HELLO_MILLIS != phase {
                continue;
            }
            for to in running.iter().filter(|to| *to != from) {
                self.send_hello(*from, *to);
            }
        }
        if self.is_strict {
            let links = (0..count).flat_map(|from| (0..count).map(move |to| (from, to)));
            let links = links.filter(|(from, to)| {
                let observer = self.observers[*from].as_ref();
                observer.is_some_and(|observer| !observer.known.contains(to))
                    && !self.has_in_log(*from, *to)
            });
            self.cluster.unknown_links = links.collect();
        }
    }

    /// Returns whether a host's log names a replica on another host.
    fn has_in_log(&self, number: usize, other: usize) -> bool {
        let other = &self.cluster.hosts[other].member.id.host;
        let status = self.cluster.status(number);
        status.is_some_and(|status| {
            let members = status.replicas.members();
            members.iter().any(|member| member.id.host == *other)
        })
    }

    fn send_hello(&mut self, from: usize, to: usize) {
        let is_known = self.observers[from]
            .as_ref()
            .is_some_and(|observer| observer.known.contains(&to));
        let is_cut = |link: (usize, usize)| self.cluster.cut_links.contains(&link);
        if self.is_strict && (!is_known || is_cut((from, to))) {
            return;
        }
        let is_answered = self.is_strict && !is_cut((to, from));
        self.record_hello(from, to);
        if is_answered {
            self.record_hello(to, from);
            let listed = self.observers[to].as_ref().map(|o| o.known.clone());
            if let (Some(observer), Some(listed)) = (&mut self.observers[from], listed) {
                observer.known.extend(listed);
            }
        }
    }

    fn record_hello(&mut self, from: usize, to: usize) {
        let status = self.cluster.status(from);
        let has_disk =
            !self.is_strict || status.is_some_and(|status| status.role != RoleName::Halted);
        let hello = Hello {
            heard_at: self.cluster.clock(to),
            replica: has_disk.then(|| self.cluster.hosts[from].member.clone()),
            is_stopping: self.stopping.contains(&from),
        };
        if let Some(observer) = &mut self.observers[to] {
            observer.heard.insert(from, hello);
            observer.known.insert(from);
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
        let hosts = observer.heard.iter().map(|(number, hello)| {
            let is_live = now - hello.heard_at <= LIVE_FOR;
            replacement::Host {
                id: self.cluster.hosts[*number].member.id.host.clone(),
                heard_at: hello.heard_at,
                replica: hello.replica.clone(),
                is_live,
                is_stopping: hello.is_stopping,
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
