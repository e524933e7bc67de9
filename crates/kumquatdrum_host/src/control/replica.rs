//! Runs one replica: the consensus node, its state machine and the requests in flight.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use kumquatdrum_consensus::{
    Input, LogIndex, Message, Node, Output, Proposal, ProposalOutcome, ReplicaId, RoleName, Status,
    Token,
};
use kumquatdrum_disk::{Error as DiskError, Writer};
use kumquatdrum_orders::Leadership;
use kumquatdrum_peer::{Channel, Client};
use kumquatdrum_process::{Metrics, notice};
use kumquatdrum_setup::state::Preparation;
use kumquatdrum_setup::{
    Action, Answer as Applied, ApplyRequest, Claim, Command, Failure, Settlement, Stamper,
    Standing, StateMachine,
};
use kumquatdrum_types::{HostId, Moment, Version};
use slog::{error, info};
use tokio::sync::{mpsc, oneshot};

use super::batch::{Waiters, read_state, respond, take_batch};
use super::request::Outcome;
use super::{Request, Response};
use crate::members::Members;
use kumquatdrum_process::clock::{Clock, unix_ms};

/// How often contact with a majority is reported.
const MAJORITY_INTERVAL: Duration = Duration::from_millis(200);

/// An event for a replica.
#[derive(Debug)]
pub enum Event {
    /// A message from another replica.
    Message(Box<Message>),
    /// A request and the sender of its outcome.
    Request(Box<Request>, oneshot::Sender<Outcome>),
    /// A request for the node's status.
    Status(oneshot::Sender<Status>),
    /// A request for the leadership that the replica can prove.
    Leadership(oneshot::Sender<Option<Leadership>>),
    /// The host is about to stop, so leadership is transferred.
    TransferLeadership,
    /// A batch was written to disk.
    Persisted(u64),
    /// A write to disk failed.
    PersistFailed(String),
}

impl From<Result<u64, DiskError>> for Event {
    fn from(written: Result<u64, DiskError>) -> Self {
        match written {
            Ok(sequence) => Self::Persisted(sequence),
            Err(error) => Self::PersistFailed(error.to_string()),
        }
    }
}

/// A handle to a running replica.
#[derive(Debug, Clone)]
pub struct Handle {
    events: mpsc::UnboundedSender<Event>,
}

/// The dependencies of a replica.
pub struct Dependencies {
    /// The consensus node, restored from disk.
    pub node: Node,
    /// The writer to disk.
    pub writer: Writer,
    /// The client for other replicas.
    pub client: Arc<Client>,
    /// The members, which distribute applied versions.
    pub members: Arc<Members>,
    /// The daemon's clock.
    pub clock: Clock,
    /// The logger of events.
    pub logger: slog::Logger,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// A request that awaits the confirmation of leadership.
enum Read {
    Apply(Box<ApplyRequest>),
    Request(Box<Request>),
}

/// One replica of the control plane.
pub struct Replica {
    dependencies: Dependencies,
    state: StateMachine,
    stamper: Stamper,
    next_tick: Moment,
    published: Version,
    /// Whether the log or a snapshot holds data that this release can't read.
    is_halted: bool,
    last_token: u64,
    waiters: IndexMap<Token, Waiters>,
    reads: IndexMap<Token, (Read, oneshot::Sender<Outcome>)>,
    answers: IndexMap<LogIndex, Applied>,
    claims: Vec<(Vec<Claim>, oneshot::Sender<Outcome>)>,
    settlements: Vec<(Vec<Settlement>, oneshot::Sender<Outcome>)>,
}

impl Handle {
    /// Creates a handle with the sender and receiver of its events.
    pub fn new() -> (
        Self,
        mpsc::UnboundedSender<Event>,
        mpsc::UnboundedReceiver<Event>,
    ) {
        let (events, received) = mpsc::unbounded_channel();
        let handle = Self {
            events: events.clone(),
        };
        (handle, events, received)
    }

    /// Delivers a message from another replica.
    pub fn deliver(&self, message: Message) {
        let _ = self.events.send(Event::Message(Box::new(message)));
    }

    /// Sends a request to the replica.
    pub async fn request(&self, request: Request) -> Outcome {
        let (sender, outcome) = oneshot::channel();
        let event = Event::Request(Box::new(request), sender);
        if self.events.send(event).is_err() {
            return Err(Failure::Unavailable);
        }
        outcome.await.unwrap_or(Err(Failure::Unknown))
    }

    /// Returns the term and lease of this replica; `None` if it doesn't lead or is behind.
    pub async fn leadership(&self) -> Option<Leadership> {
        let (sender, leadership) = oneshot::channel();
        self.events.send(Event::Leadership(sender)).ok()?;
        leadership.await.ok().flatten()
    }

    /// Transfers leadership before a planned stop.
    pub fn resign(&self) {
        let _ = self.events.send(Event::TransferLeadership);
    }

    /// Returns the node's status; `None` once it has stopped.
    pub async fn status(&self) -> Option<Status> {
        let (sender, status) = oneshot::channel();
        self.events.send(Event::Status(sender)).ok()?;
        status.await.ok()
    }
}

impl Replica {
    /// Creates a replica. The node's first outputs restore its state.
    pub fn new(dependencies: Dependencies) -> Self {
        Self {
            dependencies,
            state: StateMachine::default(),
            stamper: Stamper::default(),
            next_tick: Moment::ZERO,
            published: Version(0),
            is_halted: false,
            last_token: 0,
            waiters: IndexMap::new(),
            reads: IndexMap::new(),
            answers: IndexMap::new(),
            claims: Vec::new(),
            settlements: Vec::new(),
        }
    }

    /// Runs until the last handle is dropped, `stopped` turns true or the replica halts.
    pub async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut stopped: tokio::sync::watch::Receiver<bool>,
    ) {
        self.step(Input::Tick);
        let mut majority = tokio::time::interval(MAJORITY_INTERVAL);
        loop {
            let due = self.dependencies.clock.instant(self.next_tick);
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.handle_event(event),
                    None => break,
                },
                () = tokio::time::sleep_until(due) => self.step(Input::Tick),
                _ = majority.tick() => self.report_majority(),
                _ = stopped.wait_for(|stopped| *stopped) => break,
            }
            // Claims that have arrived together share one log entry, and so do settlements.
            while let Ok(event) = events.try_recv() {
                self.handle_event(event);
            }
            if self.is_halted {
                break;
            }
            self.propose_batches();
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Message(message) => self.step(Input::Message(message)),
            Event::Persisted(sequence) => self.step(Input::Persisted { sequence }),
            Event::PersistFailed(reason) => self.step(Input::PersistFailed { reason }),
            Event::TransferLeadership => self.step(Input::TransferLeadership),
            Event::Status(sender) => {
                let _ = sender.send(self.dependencies.node.status());
            }
            Event::Leadership(sender) => {
                let _ = sender.send(self.leadership());
            }
            Event::Request(request, sender) => self.handle_request(*request, sender),
        }
    }

    fn leadership(&self) -> Option<Leadership> {
        let node = &self.dependencies.node;
        // A leader that is behind would issue orders for an outdated declaration.
        node.is_caught_up_leader().then(|| Leadership {
            term: node.term().0,
            lease_until: node.lease_until(),
        })
    }

    fn handle_request(&mut self, request: Request, sender: oneshot::Sender<Outcome>) {
        if !self.dependencies.node.is_leader() {
            let leader = self
                .dependencies
                .node
                .leader()
                .map(|leader| leader.host.clone());
            let _ = sender.send(Err(Failure::NotLeader { leader }));
            return;
        }
        match request {
            Request::Claim(claims) => self.claims.push((claims, sender)),
            Request::Settle(settlements) => self.settlements.push((settlements, sender)),
            // An apply is checked against the state, so the state must be current.
            Request::Apply(request) => self.read(Read::Apply(Box::new(request)), sender),
            read => self.read(Read::Request(Box::new(read)), sender),
        }
    }

    fn next_token(&mut self) -> Token {
        self.last_token += 1;
        Token(self.last_token)
    }

    fn read(&mut self, read: Read, sender: oneshot::Sender<Outcome>) {
        let token = self.next_token();
        self.reads.insert(token, (read, sender));
        self.step(Input::ConfirmRead { token });
    }

    fn propose(&mut self, action: Action, waiters: Waiters) {
        let stamp = self.stamper.stamp(self.dependencies.clock.now(), unix_ms());
        let payload = Bytes::from(Command { stamp, action }.encode());
        let token = self.next_token();
        self.waiters.insert(token, waiters);
        self.step(Input::Propose(Proposal { token, payload }));
    }

    fn propose_batches(&mut self) {
        while !self.claims.is_empty() {
            let (claims, waiters) = take_batch(&mut self.claims);
            self.propose(Action::Claims(claims), Waiters::Claims(waiters));
        }
        while !self.settlements.is_empty() {
            let (settlements, waiters) = take_batch(&mut self.settlements);
            self.propose(Action::Settle(settlements), Waiters::Settlements(waiters));
        }
    }

    fn step(&mut self, input: Input) {
        let now = self.dependencies.clock.now();
        for output in self.dependencies.node.step(now, input) {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.send(&to, &message),
            Output::Persist(batch) => self.dependencies.writer.write(batch),
            Output::Apply { index, payload, .. } => self.apply(index, &payload),
            Output::Restore(snapshot) => self.restore(snapshot.index, &snapshot.data),
            Output::Proposed { token, outcome } => self.handle_proposed(token, outcome),
            Output::ReadConfirmed { token, .. } => self.handle_read_confirmed(token),
            Output::ReadRefused { token, leader } => self.handle_read_refused(token, leader),
            Output::SnapshotRequested => {
                let index = LogIndex(self.state.applied());
                let data = Bytes::from(self.state.encode());
                self.step(Input::Snapshot { index, data });
            }
            Output::BecameLeader { term } => {
                // Each term of leadership needs its own stamper.
                self.stamper = Stamper::default();
                self.dependencies.metrics.leader.set(1);
                info!(self.dependencies.logger, ""; "event" => "became_leader", "term" => %term);
            }
            Output::SteppedDown { term, reason } => {
                self.dependencies.metrics.leader.set(0);
                self.answers.clear();
                info!(self.dependencies.logger, ""; "event" => "stepped_down", "term" => %term,
                    "reason" => reason.as_str());
            }
            Output::Halted { reason } => {
                error!(self.dependencies.logger, ""; "event" => "replica_halted", "reason" => reason);
            }
            Output::Notice(notice) => notice::log(&self.dependencies.logger, &notice),
            Output::Wake { at } => self.next_tick = at,
        }
    }

    fn send(&self, to: &HostId, message: &Message) {
        match postcard::to_allocvec(message) {
            Ok(body) => self
                .dependencies
                .client
                .send(to, Channel::Consensus, body.into()),
            Err(error) => error!(self.dependencies.logger, ""; "event" => "message_not_encoded",
                "reason" => %error),
        }
    }

    fn apply(&mut self, index: LogIndex, payload: &[u8]) {
        match Command::decode(payload) {
            Ok(command) => {
                let answer = self.state.apply(index.0, &command);
                if self.dependencies.node.is_leader() {
                    self.answers.insert(index, answer);
                }
                self.publish_version();
            }
            // Skipping an entry of a later release would let the replicas diverge.
            Err(reason) => {
                self.is_halted = true;
                error!(self.dependencies.logger, ""; "event" => "replica_halted", "index" => %index,
                    "reason" => %reason);
            }
        }
    }

    fn restore(&mut self, index: LogIndex, data: &[u8]) {
        if data.is_empty() {
            self.state = StateMachine::default();
            self.state.skip(index.0);
        } else {
            match StateMachine::restore(data) {
                Ok(state) => self.state = state,
                Err(reason) => {
                    self.is_halted = true;
                    error!(self.dependencies.logger, ""; "event" => "replica_halted", "index" => %index,
                        "reason" => %reason);
                }
            }
        }
        self.publish_version();
    }

    fn publish_version(&mut self) {
        if self.state.current_version() > self.published {
            self.published = self.state.current_version();
            self.dependencies.members.publish(&self.state.offer());
        }
    }

    /// Reports contact with a majority if this replica leads or follows a leader and is up to date.
    fn report_majority(&self) {
        let status = self.dependencies.node.status();
        let is_leader = status.role == RoleName::Leader;
        let is_follower = status.role == RoleName::Follower && status.leader.is_some();
        if (is_leader || is_follower) && status.applied == status.commit {
            self.dependencies.members.record_majority();
        }
    }

    fn handle_proposed(&mut self, token: Token, outcome: ProposalOutcome) {
        let Some(waiters) = self.waiters.swap_remove(&token) else {
            return;
        };
        let answer = match outcome {
            ProposalOutcome::Committed { index } => {
                self.answers.swap_remove(&index).ok_or(Failure::Unknown)
            }
            ProposalOutcome::NotLeader { leader } => Err(not_leader(leader)),
            ProposalOutcome::Busy => Err(Failure::Unavailable),
            ProposalOutcome::Unknown => Err(Failure::Unknown),
        };
        respond(waiters, answer);
    }

    fn handle_read_confirmed(&mut self, token: Token) {
        let Some((read, sender)) = self.reads.swap_remove(&token) else {
            return;
        };
        match read {
            Read::Apply(request) => match self.state.prepare(&request) {
                Preparation::Answered(answer) => {
                    let _ = sender.send(Ok(Response::Apply(answer)));
                }
                Preparation::Propose(action) => self.propose(action, Waiters::Apply(sender)),
            },
            Read::Request(request) => {
                let _ = sender.send(read_state(&self.state, &request, Standing::Confirmed));
            }
        }
    }

    fn handle_read_refused(&mut self, token: Token, leader: Option<ReplicaId>) {
        if let Some((_, sender)) = self.reads.swap_remove(&token) {
            let _ = sender.send(Err(not_leader(leader)));
        }
    }
}

fn not_leader(leader: Option<ReplicaId>) -> Failure {
    Failure::NotLeader {
        leader: leader.map(|leader| leader.host),
    }
}
