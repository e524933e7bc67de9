//! This host's replica: drives the consensus node and applies its log to the register.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::{IndexMap, IndexSet};
use kumquatdrum_consensus::following::Monitor;
use kumquatdrum_consensus::replacement::Planner;
use kumquatdrum_consensus::tolerance::Gate;
use kumquatdrum_consensus::{Input, LogIndex, Message, Node, Output, Token};
use kumquatdrum_disk::Writer;
use kumquatdrum_peer::{Channel, Client};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_process::notice;
use kumquatdrum_routes::evacuation::Change;
use kumquatdrum_routes::{Entry, Evacuations, Record, Register};
use kumquatdrum_types::{HostId, Moment};
use slog::{error, info};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use crate::hosts::Hosts;
use crate::message::Response;
use crate::metrics::Metrics;
use crate::settings::Settings;

mod availability;
mod commands;
mod evacuations;
mod opening;
mod voters;

pub use availability::Availability;

use availability::Failure;
use commands::{PendingCommand, PendingProposal};
use voters::PendingChange;

/// The interval between checks for new revisions to snapshot.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);
/// The delay before a failed data folder is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(400);
/// The duration of a disk write after which a leader steps down, so that a replica with a working disk can
/// acknowledge what operators repeat.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The interval between checks for lost voters.
const VOTERS_INTERVAL: Duration = Duration::from_millis(100);
/// The silence after which a voter is replaced. It leaves time, within the four seconds in which a lost
/// voter has to be replaced, for an election and a second change.
const VOTER_LOST_AFTER: Duration = Duration::from_secs(1);
/// The time after an election in which a leader hears of all live control hosts.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);
/// The time for which all initial hosts are waited for at a first start, before a majority forms the cluster.
const FORMATION_WAIT: Duration = Duration::from_secs(2);
/// The maximum time for new voters to catch up. Those that take longer go on while others are tried.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(2);
/// The number of log entries after which a snapshot is taken. It is low because entries may be
/// large and only the last one matters.
const SNAPSHOT_ENTRIES: u64 = 64;
/// The size of the log in bytes after which a snapshot is taken.
const SNAPSHOT_BYTES: usize = 2 * 1024 * 1024;
/// The number of entries kept for lagging replicas after a snapshot.
const RETAINED_ENTRIES: u64 = 8;
/// The election timeout, which tolerates slow hosts.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(600);

/// An input to a running replica.
#[derive(Debug)]
pub enum Event {
    /// A message from another replica.
    Message(Box<Message>),
    /// A command and the channel for its response.
    Command(Command, oneshot::Sender<Response>),
    /// The result of a disk write by the given generation of the node.
    Written(u64, Result<u64, String>),
    /// The host is stopping, so leadership should be transferred.
    Resign,
}

/// A command for the leader.
#[derive(Debug, Clone)]
pub enum Command {
    /// Commits a record.
    Apply(Record),
    /// Reads the active record.
    Read,
    /// Reads the evacuations, with the audit entries if set.
    Evacuations {
        /// Whether to include the audit entries.
        includes_audit: bool,
    },
    /// Commits an order to evacuate a data centre, or to end that.
    Evacuate(Change),
}

impl Command {
    /// Returns whether a replica may be asked while another has the command. Two copies of a change have the
    /// same base, so that the one that is committed first makes the other stale.
    pub(crate) fn is_repeatable(&self) -> bool {
        !matches!(self, Self::Evacuate(_))
    }

    fn name(&self) -> &'static str {
        match self {
            Self::Apply(_) => "apply",
            Self::Read => "read",
            Self::Evacuations { .. } => "evacuations",
            Self::Evacuate(_) => "evacuate",
        }
    }
}

/// A handle to a running replica.
#[derive(Debug, Clone)]
pub struct Handle {
    events: mpsc::UnboundedSender<Event>,
}

impl Handle {
    /// Creates a handle and the receiver of its events.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Event>) {
        let (events, received) = mpsc::unbounded_channel();
        (Self { events }, received)
    }

    /// Passes a message from another replica.
    pub fn send_message(&self, message: Message) {
        let _ = self.events.send(Event::Message(Box::new(message)));
    }

    /// Sends a command and waits for the response.
    pub async fn send_command(&self, command: Command) -> Response {
        let (sender, response) = oneshot::channel();
        if self.events.send(Event::Command(command, sender)).is_err() {
            return Response::Unavailable;
        }
        response.await.unwrap_or(Response::Unavailable)
    }

    /// Transfers leadership before a planned stop.
    pub fn resign(&self) {
        let _ = self.events.send(Event::Resign);
    }
}

/// A callback for a committed record and whether this replica is the leader.
pub type Callback = Box<dyn Fn(&Record, bool) + Send + Sync>;

/// A callback for applied evacuations and whether this replica is the leader.
pub type EvacuationCallback = Box<dyn Fn(&Evacuations, bool) + Send + Sync>;

/// The dependencies of a replica.
pub struct Dependencies {
    /// The host's settings.
    pub settings: Settings,
    /// The client for messages to other replicas.
    pub client: Arc<Client>,
    /// The other hosts.
    pub hosts: Arc<Hosts>,
    /// The callback for committed records.
    pub on_commit: Callback,
    /// The callback for applied evacuations.
    pub on_evacuations: EvacuationCallback,
    /// The host's clock.
    pub clock: Clock,
    /// The host's metrics.
    pub metrics: Arc<Metrics>,
    /// Whether the replica runs.
    pub availability: Arc<Availability>,
    /// The host's logger.
    pub logger: slog::Logger,
}

/// Runs the replica until `stop` is true. Reopens the data folder after a failure.
pub async fn run(
    dependencies: Dependencies,
    handle: Handle,
    mut received: mpsc::UnboundedReceiver<Event>,
    mut stop: watch::Receiver<bool>,
) {
    let Some(replica) = dependencies.settings.replica.clone() else {
        return;
    };
    let dependencies = Arc::new(dependencies);
    let mut generation = 0;
    loop {
        generation += 1;
        let failure = match opening::open(&dependencies, &handle, generation, &replica.data).await {
            Ok(running) => running.run(&mut received, &mut stop).await,
            Err(failure) => Some(failure),
        };
        if let Some(failure) = failure {
            let availability = &dependencies.availability;
            availability.record_failure(&failure, &dependencies.logger);
        }
        dependencies.hosts.set_replica(None);
        let pause = tokio::time::sleep(REOPEN_DELAY);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => break,
                _ = stop.wait_for(|stopped| *stopped) => return,
                event = received.recv() => match event {
                    Some(Event::Command(_, sender)) => {
                        let _ = sender.send(Response::NotLeader(None));
                    }
                    Some(_) => {}
                    None => return,
                },
            }
        }
    }
}

struct Replica {
    dependencies: Arc<Dependencies>,
    generation: u64,
    node: Node,
    writer: Writer,
    register: Register,
    /// When the node must be stepped again without an input.
    wake_at: Moment,
    /// Why the replica has ended.
    failure: Option<Failure>,
    last_token: u64,
    /// The revision in the last snapshot.
    snapshot_revision: u64,
    /// The entries of pending proposals that were not applied since their base was stale.
    stale_changes: IndexSet<LogIndex>,
    pending_proposals: IndexMap<Token, PendingProposal>,
    pending_commands: IndexMap<Token, PendingCommand>,
    pending_change: Option<PendingChange>,
    planner: Planner,
    monitor: Monitor,
    gate: Gate,
    /// The entry with the replicas that this host's table has.
    published_replicas: Option<LogIndex>,
}

impl Replica {
    /// Runs until the replica fails, which is returned, or the host stops.
    async fn run(
        mut self,
        received: &mut mpsc::UnboundedReceiver<Event>,
        stop: &mut watch::Receiver<bool>,
    ) -> Option<Failure> {
        self.publish_replicas();
        self.step(Input::Tick);
        let mut snapshots = tokio::time::interval(SNAPSHOT_INTERVAL);
        let mut voters = tokio::time::interval(VOTERS_INTERVAL);
        voters.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while self.failure.is_none() {
            let due = self.dependencies.clock.instant(self.wake_at);
            tokio::select! {
                event = received.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => break,
                },
                () = tokio::time::sleep_until(due) => self.step(Input::Tick),
                _ = snapshots.tick() => self.snapshot_if_newer(),
                _ = voters.tick() => {
                    self.publish_replicas();
                    self.replace_lost_voters();
                }
                _ = stop.wait_for(|stopped| *stopped) => break,
            }
        }
        for (_, proposal) in self.pending_proposals.drain(..) {
            let _ = proposal.sender.send(Response::Unavailable);
        }
        for (_, command) in self.pending_commands.drain(..) {
            let _ = command.sender.send(Response::NotLeader(None));
        }
        self.clear_leader_gauges();
        self.failure
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Message(message) => self.step(Input::Message(message)),
            Event::Written(generation, _) if generation != self.generation => {}
            Event::Written(_, Ok(sequence)) => self.step(Input::Persisted { sequence }),
            Event::Written(_, Err(reason)) => self.step(Input::PersistFailed { reason }),
            Event::Resign => self.step(Input::TransferLeadership),
            Event::Command(_, sender) if !self.node.is_leader() => {
                let leader = self.node.leader().map(|leader| leader.host.clone());
                let _ = sender.send(Response::NotLeader(leader));
            }
            // The base of a change takes the place of a confirmation.
            Event::Command(Command::Evacuate(change), sender) => {
                self.propose_change(change, sender);
            }
            // Confirming leadership ensures that the register is current, which `Apply` needs too.
            Event::Command(command, sender) => {
                let token = self.next_token();
                let received = self.dependencies.clock.now();
                let pending = PendingCommand {
                    command,
                    sender,
                    received,
                };
                self.pending_commands.insert(token, pending);
                self.step(Input::ConfirmRead { token });
            }
        }
    }

    fn next_token(&mut self) -> Token {
        self.last_token += 1;
        Token(self.last_token)
    }

    fn step(&mut self, input: Input) {
        let now = self.dependencies.clock.now();
        for output in self.node.step(now, input) {
            self.handle_output(output);
        }
    }

    fn handle_output(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.send(&to, &message),
            Output::Persist(batch) => self.writer.write(batch),
            Output::Apply { index, payload, .. } => self.apply(index, &payload),
            Output::Restore(snapshot) => self.restore(&snapshot.data),
            Output::Proposed { token, outcome } => self.handle_proposed(token, &outcome),
            Output::ReadConfirmed { token, round, .. } => self.handle_read_confirmed(token, round),
            Output::ReadRefused { token, leader } => {
                self.handle_read_refused(token, leader.map(|leader| leader.host));
            }
            Output::SnapshotRequested => self.snapshot(),
            Output::BecameLeader { term } => {
                self.planner.reset();
                self.monitor.reset();
                self.gate.reset();
                self.dependencies.metrics.leader.set(1);
                info!(self.dependencies.logger, "became_leader"; "event" => "became_leader",
                    "term" => %term, "revision" => self.register.revision());
            }
            Output::SteppedDown { term, reason } => {
                self.clear_leader_gauges();
                info!(self.dependencies.logger, "stepped_down"; "event" => "stepped_down",
                    "term" => %term, "reason" => reason.as_str(), "silent" => self.silent_voters());
            }
            Output::Halted { reason } => self.fail("write", reason),
            Output::Notice(notice) => notice::log(&self.dependencies.logger, &notice),
            Output::Wake { at } => self.wake_at = at,
        }
    }

    fn fail(&mut self, kind: &'static str, reason: String) {
        self.failure = Some(Failure { kind, reason });
    }

    fn send(&self, to: &HostId, message: &Message) {
        match postcard::to_stdvec(message) {
            Ok(body) => self
                .dependencies
                .client
                .send(to, Channel::Consensus, body.into()),
            Err(error) => error!(self.dependencies.logger, "message_not_encoded";
                "event" => "message_not_encoded", "reason" => %error),
        }
    }

    fn apply(&mut self, index: LogIndex, payload: &[u8]) {
        match Entry::decode(payload) {
            Ok(Entry::Record(record)) => {
                if self.register.apply(record) {
                    self.publish_current();
                }
            }
            Ok(Entry::Evacuation(change)) => self.apply_change(index, &change),
            // Skipping an entry written by a later release would make this replica diverge.
            Err(reason) => {
                error!(self.dependencies.logger, "entry_unreadable"; "event" => "entry_unreadable",
                    "index" => %index, "reason" => %reason);
                self.fail("entry", reason.to_string());
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
                self.snapshot_revision = self.register.revision();
                self.publish_current();
                self.publish_evacuations();
            }
            Err(reason) => {
                error!(self.dependencies.logger, "snapshot_unreadable";
                    "event" => "snapshot_unreadable", "reason" => %reason);
                self.fail("snapshot", reason.to_string());
            }
        }
    }

    /// Takes a snapshot of a new revision, so that the replica knows it after a restart, before an
    /// election.
    fn snapshot_if_newer(&mut self) {
        if self.register.revision() > self.snapshot_revision {
            self.snapshot_revision = self.register.revision();
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
            Err(reason) => error!(self.dependencies.logger, "snapshot_not_encoded";
                "event" => "snapshot_not_encoded", "reason" => %reason),
        }
    }

    fn publish_current(&self) {
        if let Some(record) = self.register.current() {
            (self.dependencies.on_commit)(record, self.node.is_leader());
        }
    }
}
