//! This host's replica: the consensus node, the register behind it, and those who wait.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use kumquatdrum_consensus::{
    Incarnation, Input, LogIndex, Member, Message, Node, Output, ReplicaId, StoredState, Token,
};
use kumquatdrum_disk::{Callback, Folder, Store as _, Writer};
use kumquatdrum_peer::{Channel, Client};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_process::random;
use kumquatdrum_routes::{Record, Register};
use kumquatdrum_types::{HostId, Moment};
use slog::{error, info};
use tokio::sync::{mpsc, oneshot, watch};

use crate::hosts::Hosts;
use crate::message::Answer;
use crate::meters::Meters;
use crate::settings::Settings;

mod questions;
mod voters;

use questions::{Uncommitted, Unconfirmed};

/// How often a replica keeps what has come in force, and the leader looks for voters to replace.
const TENDING: Duration = Duration::from_millis(500);
/// How long to wait before a data folder that failed is opened again.
const REOPEN: Duration = Duration::from_millis(400);
/// A write that takes longer makes the leader step down: an election later the operator has its
/// acknowledgement from another one, before it gives up.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a newcomer may take to catch up.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(6);
/// Entries after which the log is cut: records may be large, and only the last one counts.
const SNAPSHOT_ENTRIES: u64 = 64;
/// Bytes after which the log is cut.
const SNAPSHOT_BYTES: usize = 2 * 1024 * 1024;
/// Entries kept for replicas that lag.
const KEEP_ENTRIES: u64 = 8;
/// Silence after which followers elect. Long enough for a slow host to answer in time, short
/// enough for two elections within an operator's patience.
const ELECTION: Duration = Duration::from_millis(600);

/// What reaches a replica.
#[derive(Debug)]
pub enum Event {
    /// A message of another replica.
    Message(Box<Message>),
    /// A question for the leader.
    Ask(Ask, oneshot::Sender<Answer>),
    /// The disk has taken a batch, or has failed; in the given life of the node.
    Written(u64, Result<u64, String>),
    /// The host is about to stop: another replica should lead.
    Resign,
}

/// A question for the leader.
#[derive(Debug, Clone)]
pub enum Ask {
    /// Commit a record.
    Apply(Record),
    /// Read what is in force.
    Read,
}

impl Ask {
    fn name(&self) -> &'static str {
        match self {
            Self::Apply(_) => "apply",
            Self::Read => "read",
        }
    }
}

/// The way to a running replica.
#[derive(Debug, Clone)]
pub struct Handle {
    events: mpsc::UnboundedSender<Event>,
}

impl Handle {
    /// A handle and what it feeds.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Event>) {
        let (events, received) = mpsc::unbounded_channel();
        (Self { events }, received)
    }

    /// Hands a message of another replica over.
    pub fn message(&self, message: Message) {
        let _ = self.events.send(Event::Message(Box::new(message)));
    }

    /// Asks the replica.
    pub async fn ask(&self, ask: Ask) -> Answer {
        let (sender, answer) = oneshot::channel();
        if self.events.send(Event::Ask(ask, sender)).is_err() {
            return Answer::Unavailable;
        }
        answer.await.unwrap_or(Answer::Unavailable)
    }

    /// Hands leadership over before a planned stop.
    pub fn resign(&self) {
        let _ = self.events.send(Event::Resign);
    }
}

/// Takes a committed record, and whether this replica leads.
pub type Taker = Box<dyn Fn(&Record, bool) + Send + Sync>;

/// What a replica is made of.
pub struct Parts {
    /// The host's settings.
    pub settings: Settings,
    /// The way to other replicas.
    pub client: Arc<Client>,
    /// The other hosts.
    pub hosts: Arc<Hosts>,
    /// Where committed records go.
    pub take: Taker,
    /// The host's clock.
    pub clock: Clock,
    /// What is counted.
    pub meters: Arc<Meters>,
    /// Where events go.
    pub logger: slog::Logger,
}

/// Runs the replica until `stop` turns true, opening its data folder anew whenever it failed.
pub async fn run(
    parts: Parts,
    handle: Handle,
    mut received: mpsc::UnboundedReceiver<Event>,
    mut stop: watch::Receiver<bool>,
) {
    let Some(replica) = parts.settings.replica.clone() else {
        return;
    };
    let parts = Arc::new(parts);
    let mut life = 0;
    loop {
        life += 1;
        let host = parts.settings.host();
        let path = replica.data.clone();
        let incarnation = Incarnation(random::number());
        let opening = tokio::task::spawn_blocking(move || {
            let folder = Folder::open(path, &host, incarnation)?;
            let stored = folder.load()?;
            Ok::<_, kumquatdrum_disk::Error>((folder, stored))
        });
        let opened = match opening.await {
            Ok(Ok((folder, stored))) => start(&parts, &handle, life, folder, stored),
            Ok(Err(error)) => Err(error.to_string()),
            Err(error) => Err(error.to_string()),
        };
        match opened {
            Ok(machine) => machine.run(&mut received, &mut stop).await,
            Err(reason) => {
                error!(parts.logger, "disk_lost"; "event" => "disk_lost", "reason" => reason);
            }
        }
        parts.hosts.set_replica(None);
        let pause = tokio::time::sleep(REOPEN);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => break,
                _ = stop.wait_for(|stopped| *stopped) => return,
                event = received.recv() => match event {
                    Some(Event::Ask(_, sender)) => {
                        let _ = sender.send(Answer::NotLeader(None));
                    }
                    Some(_) => {}
                    None => return,
                },
            }
        }
    }
}

fn start(
    parts: &Arc<Parts>,
    handle: &Handle,
    life: u64,
    folder: Folder,
    stored: StoredState,
) -> Result<Machine, String> {
    let member = Member {
        id: folder.identity().replica(),
        data_centre: parts.settings.data_centre.clone(),
    };
    let snapshot = stored.snapshot.as_ref().map(|snapshot| snapshot.index.0);
    info!(parts.logger, "disk_opened"; "event" => "disk_opened", "replica" => %member.id,
        "entries" => stored.entries.len(), "term" => %stored.hard_state.term,
        "snapshot" => snapshot,
        "cluster" => stored.hard_state.cluster.map(|cluster| cluster.0));
    let events = handle.events.clone();
    let report: Callback = Box::new(move |written| {
        let written = written.map_err(|error| error.to_string());
        events.send(Event::Written(life, written)).is_ok()
    });
    let writer = Writer::start(Box::new(folder), report).map_err(|error| error.to_string())?;
    parts.hosts.set_replica(Some(member.clone()));
    let settings = node_settings(&parts.settings, member);
    let node = Node::new(settings, stored, parts.clock.now(), random::number());
    Ok(Machine {
        parts: parts.clone(),
        life,
        node,
        writer,
        register: Register::default(),
        wake: Moment::ZERO,
        halted: false,
        tokens: 0,
        kept: 0,
        waiting: IndexMap::new(),
        unconfirmed: IndexMap::new(),
        silent: IndexMap::new(),
    })
}

fn node_settings(settings: &Settings, member: Member) -> kumquatdrum_consensus::Settings {
    let seeds = settings.seed_hosts();
    let mut node = kumquatdrum_consensus::Settings::new(member);
    let founds = settings
        .replica
        .as_ref()
        .is_some_and(|replica| replica.found);
    if founds {
        node.initial_hosts = seeds;
    } else {
        node.additional_hosts = seeds;
    }
    node.election_timeout = ELECTION;
    node.persist_timeout = PERSIST_TIMEOUT;
    node.change_timeout = CHANGE_TIMEOUT;
    node.snapshot_entries = SNAPSHOT_ENTRIES;
    node.snapshot_bytes = SNAPSHOT_BYTES;
    node.retained_entries = KEEP_ENTRIES;
    node
}

struct Machine {
    parts: Arc<Parts>,
    life: u64,
    node: Node,
    writer: Writer,
    register: Register,
    wake: Moment,
    halted: bool,
    tokens: u64,
    /// The revision that the last snapshot holds.
    kept: u64,
    waiting: IndexMap<Token, Uncommitted>,
    unconfirmed: IndexMap<Token, Unconfirmed>,
    /// Voters that don't answer this leader, and since when.
    silent: IndexMap<ReplicaId, Moment>,
}

impl Machine {
    /// Runs until the disk fails or the host stops.
    async fn run(
        mut self,
        received: &mut mpsc::UnboundedReceiver<Event>,
        stop: &mut watch::Receiver<bool>,
    ) {
        self.step(Input::Tick);
        let mut tending = tokio::time::interval(TENDING);
        while !self.halted {
            let due = self.parts.clock.instant(self.wake);
            tokio::select! {
                event = received.recv() => match event {
                    Some(event) => self.take(event),
                    None => break,
                },
                () = tokio::time::sleep_until(due) => self.step(Input::Tick),
                _ = tending.tick() => {
                    self.keep();
                    self.tend();
                }
                _ = stop.wait_for(|stopped| *stopped) => break,
            }
        }
        for (_, uncommitted) in self.waiting.drain(..) {
            let _ = uncommitted.sender.send(Answer::Unavailable);
        }
        for (_, unconfirmed) in self.unconfirmed.drain(..) {
            let _ = unconfirmed.sender.send(Answer::NotLeader(None));
        }
        self.parts.meters.leader.set(0);
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Message(message) => self.step(Input::Message(message)),
            Event::Written(life, _) if life != self.life => {}
            Event::Written(_, Ok(sequence)) => self.step(Input::Persisted { sequence }),
            Event::Written(_, Err(reason)) => self.step(Input::PersistFailed { reason }),
            Event::Resign => self.step(Input::TransferLeadership),
            Event::Ask(_, sender) if !self.node.is_leader() => {
                let leader = self.node.leader().map(|leader| leader.host.clone());
                let _ = sender.send(Answer::NotLeader(leader));
            }
            // An apply is compared with the register, which a read makes sure to be current.
            Event::Ask(ask, sender) => {
                let token = self.token();
                let asked = self.parts.clock.now();
                let unconfirmed = Unconfirmed { ask, sender, asked };
                self.unconfirmed.insert(token, unconfirmed);
                self.step(Input::ConfirmRead { token });
            }
        }
    }

    fn token(&mut self) -> Token {
        self.tokens += 1;
        Token(self.tokens)
    }

    fn step(&mut self, input: Input) {
        let now = self.parts.clock.now();
        for output in self.node.step(now, input) {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.send(&to, &message),
            Output::Persist(batch) => self.writer.write(batch),
            Output::Apply { index, payload, .. } => self.apply(index, &payload),
            Output::Restore(snapshot) => self.restore(&snapshot.data),
            Output::Proposed { token, outcome } => self.proposed(token, &outcome),
            Output::ReadConfirmed { token, round, .. } => self.confirmed(token, round),
            Output::ReadRefused { token, leader } => {
                self.unconfirmed(token, leader.map(|leader| leader.host));
            }
            Output::SnapshotRequested => self.snapshot(),
            Output::BecameLeader { term } => {
                self.silent.clear();
                self.parts.meters.leader.set(1);
                info!(self.parts.logger, "became_leader"; "event" => "became_leader",
                    "term" => %term, "revision" => self.register.revision());
            }
            Output::SteppedDown { term, reason } => {
                self.parts.meters.leader.set(0);
                info!(self.parts.logger, "stepped_down"; "event" => "stepped_down",
                    "term" => %term, "reason" => reason.as_str(), "silent" => self.silent_voters());
            }
            Output::Halted { reason } => {
                self.halted = true;
                error!(self.parts.logger, "disk_lost"; "event" => "disk_lost",
                    "reason" => reason);
            }
            Output::Wake { at } => self.wake = at,
        }
    }

    fn send(&self, to: &HostId, message: &Message) {
        match postcard::to_stdvec(message) {
            Ok(body) => self.parts.client.send(to, Channel::Consensus, body.into()),
            Err(error) => error!(self.parts.logger, "message_not_encoded";
                "event" => "message_not_encoded", "reason" => %error),
        }
    }

    fn apply(&mut self, index: LogIndex, payload: &[u8]) {
        match postcard::from_bytes::<Record>(payload) {
            Ok(record) => {
                if self.register.apply(record) {
                    self.put_in_force();
                }
            }
            // A replica that skipped an entry of a later release would differ from the others.
            Err(reason) => {
                self.halted = true;
                error!(self.parts.logger, "entry_unreadable"; "event" => "entry_unreadable",
                    "index" => %index, "reason" => %reason);
            }
        }
    }

    fn restore(&mut self, data: &[u8]) {
        let register = match data {
            [] => Ok(Register::default()),
            data => Register::decode(data),
        };
        match register {
            Ok(register) => {
                self.register = register;
                self.kept = self.register.revision();
                self.put_in_force();
            }
            Err(reason) => {
                self.halted = true;
                error!(self.parts.logger, "snapshot_unreadable";
                    "event" => "snapshot_unreadable", "reason" => %reason);
            }
        }
    }

    /// Keeps what is in force in a snapshot: a replica that starts knows it before an election.
    fn keep(&mut self) {
        if self.register.revision() > self.kept {
            self.kept = self.register.revision();
            self.snapshot();
        }
    }

    fn snapshot(&mut self) {
        let index = self.node.applied();
        match self.register.encode() {
            Ok(data) => self.step(Input::Snapshot {
                index,
                data: Bytes::from(data),
            }),
            Err(reason) => error!(self.parts.logger, "snapshot_not_encoded";
                "event" => "snapshot_not_encoded", "reason" => %reason),
        }
    }

    fn put_in_force(&self) {
        if let Some(record) = self.register.current() {
            (self.parts.take)(record, self.node.is_leader());
        }
    }

    fn silent_voters(&self) -> String {
        let silent = self.silent.keys().map(ToString::to_string);
        silent.collect::<Vec<_>>().join(",")
    }
}
