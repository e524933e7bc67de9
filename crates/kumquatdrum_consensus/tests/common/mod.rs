//! Simulates a cluster with a fake network and fake disks, deterministic by seed.
#![allow(dead_code)]

pub mod checker;
mod faults;
pub mod fleet;
pub mod schedule;
mod view;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use checker::Checker;
pub use faults::{Faults, NO_FAULTS};
use kumquatdrum_consensus::{
    Batch, Incarnation, Input, LogIndex, Member, Message, Node, Output, Proposal, ProposalOutcome,
    Replicas, RoleName, Safeguards, Settings, StoredState, Token,
};
use kumquatdrum_types::{HostId, Moment};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Interval at which events for a paused host are retried.
const PAUSED_RETRY_MICROS: u64 = 50_000;

#[derive(Debug)]
enum Event {
    Deliver(usize, Message),
    Synced(usize, u64, Batch),
    Wake(usize, u64),
}

/// A simulated host: the state that survives a crash, and the node while it runs.
pub struct Host {
    pub member: Member,
    pub disk: StoredState,
    pub node: Option<Node>,
    /// The batch that is written but not synced.
    pending: Option<Batch>,
    /// Number of starts and crashes; events scheduled before the latest one are dropped.
    generation: u64,
    /// Clocks start at a random offset and run up to 3 % fast or slow.
    clock_offset: u64,
    clock_percent: u64,
    pub has_failing_disk: bool,
    pub has_lost_disk: bool,
    /// The state of the application: the hash of all applied payloads.
    pub hash: u64,
    pub applied: LogIndex,
    pub restores: u64,
    pub applies: u64,
}

impl Host {
    pub fn has_started(&self) -> bool {
        self.generation > 0
    }
}

/// A simulated cluster.
pub struct Cluster {
    pub now: Moment,
    pub random: Pcg32,
    pub hosts: Vec<Host>,
    pub faults: Faults,
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Links whose sender doesn't know the receiver's address.
    pub unknown_links: BTreeSet<(usize, usize)>,
    /// Hosts whose disk takes this long in microseconds for each write.
    pub slow_disks: BTreeMap<usize, u64>,
    /// Hosts whose process is paused while their clock runs on.
    pub paused: BTreeSet<usize>,
    pub checker: Checker,
    pub outcomes: BTreeMap<Token, ProposalOutcome>,
    /// Whether each read was confirmed; `None` while it is pending.
    pub reads: BTreeMap<Token, Option<bool>>,
    /// Tokens of replica changes.
    changes: BTreeSet<Token>,
    pub initial_count: usize,
    /// How long all initial hosts are waited for. If set, hosts may form a cluster until their disks are
    /// lost, as at a first start.
    pub formation_wait: Option<Duration>,
    pub safeguards: Safeguards,
    pub snapshot_entries: u64,
    /// Sets what a test needs to be different.
    pub adjust_settings: fn(&mut Settings),
    pub steps: u64,
    pub messages_sent: u64,
    pub bytes_sent: u64,
    /// The replicas last known to be committed, and the entry that contains them.
    pub replicas: (LogIndex, Replicas),
    queue: BTreeMap<(Moment, u64), Event>,
    next_event: u64,
    next_token: u64,
}

impl Cluster {
    pub fn new(seed: u64, hosts: usize, initial_count: usize, safeguards: Safeguards) -> Self {
        let mut cluster = Self {
            now: Moment::ZERO,
            random: Pcg32::seed_from_u64(seed),
            hosts: Vec::new(),
            faults: NO_FAULTS,
            cut_links: BTreeSet::new(),
            unknown_links: BTreeSet::new(),
            slow_disks: BTreeMap::new(),
            paused: BTreeSet::new(),
            checker: Checker::default(),
            outcomes: BTreeMap::new(),
            reads: BTreeMap::new(),
            changes: BTreeSet::new(),
            initial_count,
            formation_wait: None,
            safeguards,
            snapshot_entries: 40,
            adjust_settings: |_| {},
            steps: 0,
            messages_sent: 0,
            bytes_sent: 0,
            replicas: (LogIndex(0), Replicas::default()),
            queue: BTreeMap::new(),
            next_event: 0,
            next_token: 0,
        };
        for number in 0..hosts {
            cluster.add_host(format!("host-{number}"));
        }
        for number in 0..hosts {
            cluster.start(number);
        }
        cluster
    }

    /// Adds a host with an empty disk, which is not started yet.
    pub fn add_host(&mut self, name: impl AsRef<str>) -> usize {
        let clock_offset = self.random.next_u64() % 1_000_000;
        let clock_percent = 97 + self.random.next_u64() % 7;
        let incarnation = self.random.next_u64();
        self.hosts.push(Host {
            member: Member::new(name, incarnation, "ikeja"),
            disk: StoredState::default(),
            node: None,
            pending: None,
            generation: 0,
            clock_offset,
            clock_percent,
            has_failing_disk: false,
            has_lost_disk: false,
            hash: 0,
            applied: LogIndex(0),
            restores: 0,
            applies: 0,
        });
        self.hosts.len() - 1
    }

    /// Creates a cluster that has formed and elected a leader.
    pub fn formed(seed: u64, hosts: usize, initial_count: usize) -> Self {
        let mut cluster = Self::new(seed, hosts, initial_count, Safeguards::default());
        assert!(
            cluster.run_until(20_000, |c| c.leader().is_some()),
            "no leader"
        );
        cluster
    }

    fn settings(&self, number: usize) -> Settings {
        let mut settings = Settings::new(self.hosts[number].member.clone());
        let hosts = |range: std::ops::Range<usize>| {
            let ids = self.hosts[range]
                .iter()
                .map(|host| host.member.id.host.clone());
            ids.collect::<Vec<HostId>>()
        };
        settings.initial_hosts = hosts(0..self.initial_count);
        settings.additional_hosts = hosts(self.initial_count..self.hosts.len());
        settings.heartbeat_interval = Duration::from_millis(200);
        settings.snapshot_entries = self.snapshot_entries;
        settings.retained_entries = 5;
        settings.max_append_bytes = 150;
        settings.max_in_flight_appends = 4;
        settings.snapshot_chunk_bytes = 16;
        settings.safeguards = self.safeguards;
        if self.formation_wait.is_some() && self.hosts[number].has_lost_disk {
            settings.additional_hosts = hosts(0..self.hosts.len());
            settings.initial_hosts.clear();
        } else {
            settings.formation_wait = self.formation_wait;
        }
        (self.adjust_settings)(&mut settings);
        settings
    }

    pub fn clock(&self, number: usize) -> Moment {
        let host = &self.hosts[number];
        Moment {
            micros: host.clock_offset + self.now.micros * host.clock_percent / 100,
        }
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit.max(1)
    }

    fn schedule(&mut self, after_micros: u64, event: Event) {
        self.next_event += 1;
        let at = self.now + Duration::from_micros(after_micros);
        self.queue.insert((at, self.next_event), event);
    }

    pub fn start(&mut self, number: usize) {
        if self.hosts[number].node.is_some() {
            return;
        }
        let seed = self.random.next_u64();
        let (settings, clock) = (self.settings(number), self.clock(number));
        let host = &mut self.hosts[number];
        host.generation += 1;
        host.hash = 0;
        host.applied = LogIndex(0);
        host.restores = 0;
        host.applies = 0;
        host.node = Some(Node::new(settings, host.disk.clone(), clock, seed));
        self.step(number, Input::Tick);
    }

    /// Stops a process; an unsynced batch may or may not have reached the disk.
    pub fn crash(&mut self, number: usize) {
        let is_written = self.random_below(2) == 0;
        let host = &mut self.hosts[number];
        host.node = None;
        host.generation += 1;
        host.has_failing_disk = false;
        if let Some(batch) = host.pending.take().filter(|_| is_written) {
            host.disk.apply(&batch);
            self.checker.check_batch(&host.disk, &batch);
        }
    }

    /// Stops a process and replaces its disk; it restarts with a new incarnation.
    pub fn wipe(&mut self, number: usize) {
        self.crash(number);
        let incarnation = self.random.next_u64();
        let host = &mut self.hosts[number];
        host.disk = StoredState::default();
        host.has_lost_disk = true;
        host.member.id.incarnation = Incarnation(incarnation);
    }

    pub fn isolate(&mut self, number: usize) {
        for other in 0..self.hosts.len() {
            self.cut_links.insert((number, other));
            self.cut_links.insert((other, number));
        }
    }

    pub fn heal(&mut self) {
        self.cut_links.clear();
        self.paused.clear();
        self.faults = NO_FAULTS;
        for number in 0..self.hosts.len() {
            self.hosts[number].has_failing_disk = false;
            if self
                .status(number)
                .is_some_and(|s| s.role == RoleName::Halted)
            {
                self.crash(number);
            }
            self.start(number);
        }
    }

    pub fn token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    pub fn propose(&mut self, number: usize) -> Token {
        let token = self.token();
        let payload = Bytes::copy_from_slice(&token.0.to_le_bytes());
        self.step(number, Input::Propose(Proposal { token, payload }));
        token
    }

    pub fn read(&mut self, number: usize) -> Token {
        let token = self.token();
        self.reads.insert(token, None);
        self.checker.record_read(token);
        self.step(number, Input::ConfirmRead { token });
        token
    }

    pub fn change(&mut self, number: usize, voters: &[usize]) -> Token {
        let voters = voters.iter().map(|n| self.hosts[*n].member.clone());
        let voters = voters.collect();
        self.change_to(number, voters)
    }

    pub fn change_to(&mut self, number: usize, voters: Vec<Member>) -> Token {
        let token = self.token();
        self.changes.insert(token);
        self.step(number, Input::ChangeReplicas { token, voters });
        token
    }

    pub fn transfer_leadership(&mut self, number: usize) {
        self.step(number, Input::TransferLeadership);
    }

    /// Commits a value, with retries when the leader changes.
    pub fn commit(&mut self) -> bool {
        for _ in 0..50 {
            let Some(leader) = self.leader() else {
                self.run_for(200);
                continue;
            };
            let token = self.propose(leader);
            self.run_until(5_000, |c| c.outcomes.contains_key(&token));
            if let Some(ProposalOutcome::Committed { .. }) = self.outcomes.get(&token) {
                return true;
            }
        }
        false
    }

    pub fn run_for(&mut self, millis: u64) {
        self.run_until(millis, |_| false);
    }

    /// Runs until a condition holds; returns false if the time runs out first.
    pub fn run_until(&mut self, millis: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + Duration::from_millis(millis);
        while !done(self) {
            match self.queue.first_key_value() {
                Some(((at, _), _)) if *at <= end => self.run_one(),
                _ => {
                    self.now = end;
                    return done(self);
                }
            }
        }
        true
    }

    fn run_one(&mut self) {
        let Some(((at, _), event)) = self.queue.pop_first() else {
            return;
        };
        self.now = self.now.max(at);
        let (Event::Deliver(number, _) | Event::Wake(number, _) | Event::Synced(number, ..)) =
            event;
        if self.paused.contains(&number) {
            self.schedule(PAUSED_RETRY_MICROS, event);
            return;
        }
        match event {
            Event::Deliver(to, message) => self.step(to, Input::Message(Box::new(message))),
            Event::Wake(number, generation) if self.hosts[number].generation == generation => {
                self.step(number, Input::Tick);
            }
            Event::Synced(number, generation, batch)
                if self.hosts[number].generation == generation =>
            {
                self.synced(number, &batch);
            }
            Event::Wake(..) | Event::Synced(..) => {}
        }
    }

    fn synced(&mut self, number: usize, batch: &Batch) {
        let host = &mut self.hosts[number];
        host.pending = None;
        if host.has_failing_disk {
            let reason = "no space left".to_owned();
            self.step(number, Input::PersistFailed { reason });
            return;
        }
        host.disk.apply(batch);
        self.checker.check_batch(&host.disk, batch);
        let sequence = batch.sequence;
        self.step(number, Input::Persisted { sequence });
    }

    fn step(&mut self, number: usize, input: Input) {
        let clock = self.clock(number);
        let Some(node) = &mut self.hosts[number].node else {
            return;
        };
        self.steps += 1;
        for output in node.step(clock, input) {
            self.execute(number, output);
        }
        self.check_leases(number);
    }

    fn execute(&mut self, number: usize, output: Output) {
        let generation = self.hosts[number].generation;
        match output {
            Output::Send { to, message } => self.transmit(number, &to, &message),
            Output::Persist(batch) => {
                self.hosts[number].pending = Some(batch.clone());
                let delay = self.random_below(self.faults.sync_micros);
                let delay = delay + self.slow_disks.get(&number).copied().unwrap_or(0);
                self.schedule(delay, Event::Synced(number, generation, batch));
            }
            Output::Wake { at } => {
                let wait = at - self.clock(number);
                let micros = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
                let percent = self.hosts[number].clock_percent;
                let micros = micros.saturating_mul(100) / percent + 1;
                self.schedule(micros, Event::Wake(number, generation));
            }
            Output::Apply {
                index,
                term,
                payload,
            } => {
                let host = &mut self.hosts[number];
                host.applies += 1;
                host.applied = index;
                host.hash = checker::extend_hash(host.hash, &payload);
                self.checker.check_apply(index, term, &payload, host.hash);
            }
            Output::Restore(snapshot) => {
                let host = &mut self.hosts[number];
                assert!(
                    snapshot.index > host.applied,
                    "restored state is older than the applied state"
                );
                host.restores += 1;
                host.applied = snapshot.index;
                host.hash = self.checker.check_restore(&snapshot);
            }
            Output::SnapshotRequested => {
                let host = &self.hosts[number];
                let data = checker::encode_snapshot(host.hash);
                let index = host.node.as_ref().expect("node is running").applied();
                self.step(number, Input::Snapshot { index, data });
            }
            Output::Proposed { token, outcome } => {
                if !self.changes.contains(&token) {
                    self.checker.check_outcome(token, &outcome);
                }
                self.outcomes.insert(token, outcome);
            }
            Output::ReadConfirmed { token, .. } => {
                let applied = self.hosts[number]
                    .node
                    .as_ref()
                    .expect("node is running")
                    .applied();
                self.checker.check_read(token, applied);
                self.reads.insert(token, Some(true));
            }
            Output::ReadRefused { token, .. } => {
                self.reads.insert(token, Some(false));
            }
            Output::BecameLeader { term } => {
                let status = self.status(number).expect("node is running");
                self.checker.check_leader(term, &status);
            }
            Output::Notice(_) | Output::SteppedDown { .. } | Output::Halted { .. } => {}
        }
    }

    fn transmit(&mut self, from: usize, to: &HostId, message: &Message) {
        let Some(to) = self
            .hosts
            .iter()
            .position(|host| host.member.id.host == *to)
        else {
            return;
        };
        let is_lost = self.random_below(100) < self.faults.loss_percent;
        let link = (from, to);
        if is_lost || self.cut_links.contains(&link) || self.unknown_links.contains(&link) {
            return;
        }
        let bytes = postcard::to_stdvec(message).expect("message can be encoded");
        self.bytes_sent += bytes.len() as u64;
        self.messages_sent += 1;
        let message: Message = postcard::from_bytes(&bytes).expect("message can be decoded");
        let is_duplicated = self.random_below(100) < self.faults.duplicate_percent;
        for _ in 0..=u64::from(is_duplicated) {
            let delay = self.random_below(self.faults.delay_micros);
            self.schedule(delay, Event::Deliver(to, message.clone()));
        }
    }
}
