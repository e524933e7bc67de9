//! Runs one replica: the consensus node, the state machine behind it, and those who wait.

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
use kumquatdrum_process::Metrics;
use kumquatdrum_setup::state::Preparation;
use kumquatdrum_setup::{
    Action, Answer as Applied, Claim, Command, Failure, Settlement, Stamper, Standing, StateMachine,
};
use kumquatdrum_types::{HostId, Moment, Version};
use slog::{error, info};
use tokio::sync::{mpsc, oneshot};

use super::question::Outcome;
use super::reply::{Waiting, answered, batch, tell};
use super::{Answer, Question};
use crate::members::Members;
use kumquatdrum_process::clock::{Clock, unix_ms};

/// How often the spread is told of a majority.
const MAJORITY_INTERVAL: Duration = Duration::from_millis(200);

/// What reaches a replica.
#[derive(Debug)]
pub enum Event {
    /// A message of another replica.
    Message(Box<Message>),
    /// A question, and where the answer goes.
    Question(Box<Question>, oneshot::Sender<Outcome>),
    /// What the replica says of itself.
    Status(oneshot::Sender<Status>),
    /// Leadership as the replica can prove it.
    Leadership(oneshot::Sender<Option<Leadership>>),
    /// The host is about to stop: another replica should lead.
    Resign,
    /// A batch is on disk.
    Persisted(u64),
    /// The disk failed.
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

/// The way to a running replica.
#[derive(Debug, Clone)]
pub struct Handle {
    events: mpsc::UnboundedSender<Event>,
}

/// What a machine is made of.
pub struct Parts {
    /// The consensus core, fresh from its store.
    pub node: Node,
    /// The thread that writes.
    pub writer: Writer,
    /// The way to the other replicas.
    pub client: Arc<Client>,
    /// Hosts, endpoints and the spread, which is told of applied versions.
    pub members: Arc<Members>,
    /// The daemon's clock.
    pub clock: Clock,
    /// Where events go.
    pub logger: slog::Logger,
    /// What is counted.
    pub metrics: Arc<Metrics>,
}

enum Read {
    Apply(Box<kumquatdrum_setup::ApplyRequest>),
    Question(Box<Question>),
}

/// One replica.
pub struct Machine {
    parts: Parts,
    state: StateMachine,
    stamper: Stamper,
    wake: Moment,
    told: Version,
    /// The log holds something that this release can't apply.
    halted: bool,
    tokens: u64,
    waiting: IndexMap<Token, Waiting>,
    reads: IndexMap<Token, (Read, oneshot::Sender<Outcome>)>,
    answers: IndexMap<LogIndex, Applied>,
    claims: Vec<(Vec<Claim>, oneshot::Sender<Outcome>)>,
    settlements: Vec<(Vec<Settlement>, oneshot::Sender<Outcome>)>,
}

impl Handle {
    /// A handle and what it feeds.
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

    /// Hands a message of another replica over.
    pub fn message(&self, message: Message) {
        let _ = self.events.send(Event::Message(Box::new(message)));
    }

    /// Asks the replica.
    pub async fn ask(&self, question: Question) -> Outcome {
        let (sender, answer) = oneshot::channel();
        let event = Event::Question(Box::new(question), sender);
        if self.events.send(event).is_err() {
            return Err(Failure::Unavailable);
        }
        answer.await.unwrap_or(Err(Failure::Unknown))
    }

    /// The term and lease of this replica; nothing where it does not lead or is behind.
    pub async fn leadership(&self) -> Option<Leadership> {
        let (sender, answer) = oneshot::channel();
        self.events.send(Event::Leadership(sender)).ok()?;
        answer.await.ok().flatten()
    }

    /// Hands leadership over before a planned stop.
    pub fn resign(&self) {
        let _ = self.events.send(Event::Resign);
    }

    /// What the replica says of itself; nothing once it has stopped.
    pub async fn status(&self) -> Option<Status> {
        let (sender, answer) = oneshot::channel();
        self.events.send(Event::Status(sender)).ok()?;
        answer.await.ok()
    }
}

impl Machine {
    /// A machine whose state is made by the node's first outputs.
    pub fn new(parts: Parts) -> Self {
        Self {
            parts,
            state: StateMachine::default(),
            stamper: Stamper::default(),
            wake: Moment::ZERO,
            told: Version(0),
            halted: false,
            tokens: 0,
            waiting: IndexMap::new(),
            reads: IndexMap::new(),
            answers: IndexMap::new(),
            claims: Vec::new(),
            settlements: Vec::new(),
        }
    }

    /// Runs until the last handle is dropped or `stopped` turns true.
    pub async fn run(
        mut self,
        mut events: mpsc::UnboundedReceiver<Event>,
        mut stopped: tokio::sync::watch::Receiver<bool>,
    ) {
        self.step(Input::Tick);
        let mut majority = tokio::time::interval(MAJORITY_INTERVAL);
        loop {
            let due = self.parts.clock.instant(self.wake);
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.take(event),
                    None => break,
                },
                () = tokio::time::sleep_until(due) => self.step(Input::Tick),
                _ = majority.tick() => self.tell_majority(),
                _ = stopped.wait_for(|stopped| *stopped) => break,
            }
            // What came in together shares one log entry.
            while let Ok(event) = events.try_recv() {
                self.take(event);
            }
            if self.halted {
                break;
            }
            self.propose_batches();
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Message(message) => self.step(Input::Message(message)),
            Event::Persisted(sequence) => self.step(Input::Persisted { sequence }),
            Event::PersistFailed(reason) => self.step(Input::PersistFailed { reason }),
            Event::Resign => self.step(Input::TransferLeadership),
            Event::Status(sender) => {
                let _ = sender.send(self.parts.node.status());
            }
            Event::Leadership(sender) => {
                let _ = sender.send(self.leadership());
            }
            Event::Question(question, sender) => self.question(*question, sender),
        }
    }

    fn leadership(&self) -> Option<Leadership> {
        let node = &self.parts.node;
        // A leader that is behind would order what an older declaration says.
        node.is_caught_up_leader().then(|| Leadership {
            term: node.term().0,
            lease_until: node.lease_until(),
        })
    }

    fn question(&mut self, question: Question, sender: oneshot::Sender<Outcome>) {
        if !self.parts.node.is_leader() {
            let leader = self.parts.node.leader().map(|leader| leader.host.clone());
            let _ = sender.send(Err(Failure::NotLeader { leader }));
            return;
        }
        match question {
            Question::Claim(claims) => self.claims.push((claims, sender)),
            Question::Settle(settlements) => self.settlements.push((settlements, sender)),
            // An apply is checked against the state, which a read makes sure to be current.
            Question::Apply(request) => self.read(Read::Apply(Box::new(request)), sender),
            read => self.read(Read::Question(Box::new(read)), sender),
        }
    }

    fn token(&mut self) -> Token {
        self.tokens += 1;
        Token(self.tokens)
    }

    fn read(&mut self, read: Read, sender: oneshot::Sender<Outcome>) {
        let token = self.token();
        self.reads.insert(token, (read, sender));
        self.step(Input::ConfirmRead { token });
    }

    fn propose(&mut self, action: Action, waiting: Waiting) {
        let stamp = self.stamper.stamp(self.parts.clock.now(), unix_ms());
        let payload = Bytes::from(Command { stamp, action }.encode());
        let token = self.token();
        self.waiting.insert(token, waiting);
        self.step(Input::Propose(Proposal { token, payload }));
    }

    fn propose_batches(&mut self) {
        while !self.claims.is_empty() {
            let (claims, waiting) = batch(&mut self.claims);
            self.propose(Action::Claims(claims), Waiting::Claims(waiting));
        }
        while !self.settlements.is_empty() {
            let (settlements, waiting) = batch(&mut self.settlements);
            self.propose(Action::Settle(settlements), Waiting::Settlements(waiting));
        }
    }

    fn step(&mut self, input: Input) {
        let now = self.parts.clock.now();
        for output in self.parts.node.step(now, input) {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, message } => self.send(&to, &message),
            Output::Persist(batch) => self.parts.writer.write(batch),
            Output::Apply { index, payload, .. } => self.apply(index, &payload),
            Output::Restore(snapshot) => self.restore(snapshot.index, &snapshot.data),
            Output::Proposed { token, outcome } => self.proposed(token, outcome),
            Output::ReadConfirmed { token, .. } => self.confirmed(token),
            Output::ReadRefused { token, leader } => self.refused(token, leader),
            Output::SnapshotRequested => {
                let index = LogIndex(self.state.applied());
                let data = Bytes::from(self.state.encode());
                self.step(Input::Snapshot { index, data });
            }
            Output::BecameLeader { term } => {
                // Time that passed while another replica led is that one's to count.
                self.stamper = Stamper::default();
                self.parts.metrics.leader.set(1);
                info!(self.parts.logger, ""; "event" => "became_leader", "term" => %term);
            }
            Output::SteppedDown { term, reason } => {
                self.parts.metrics.leader.set(0);
                self.answers.clear();
                info!(self.parts.logger, ""; "event" => "stepped_down", "term" => %term,
                    "reason" => reason.as_str());
            }
            Output::Halted { reason } => {
                error!(self.parts.logger, ""; "event" => "replica_halted", "reason" => reason);
            }
            Output::Wake { at } => self.wake = at,
        }
    }

    fn send(&self, to: &HostId, message: &Message) {
        match postcard::to_allocvec(message) {
            Ok(body) => self.parts.client.send(to, Channel::Consensus, body.into()),
            Err(error) => error!(self.parts.logger, ""; "event" => "message_not_encoded",
                "reason" => %error),
        }
    }

    fn apply(&mut self, index: LogIndex, payload: &[u8]) {
        match Command::decode(payload) {
            Ok(command) => {
                let answer = self.state.apply(index.0, &command);
                if self.parts.node.is_leader() {
                    self.answers.insert(index, answer);
                }
                self.put_in_force();
            }
            // A replica that skipped an entry of a later release would differ from the others.
            Err(reason) => {
                self.halted = true;
                error!(self.parts.logger, ""; "event" => "replica_halted", "index" => %index,
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
                    self.halted = true;
                    error!(self.parts.logger, ""; "event" => "replica_halted", "index" => %index,
                        "reason" => %reason);
                }
            }
        }
        self.put_in_force();
    }

    fn put_in_force(&mut self) {
        if self.state.current() > self.told {
            self.told = self.state.current();
            self.parts.members.applied(&self.state.offer());
        }
    }

    /// Tells the spread where this replica is in touch with a majority and up to date.
    fn tell_majority(&self) {
        let status = self.parts.node.status();
        let leads = status.role == RoleName::Leader;
        let follows = status.role == RoleName::Follower && status.leader.is_some();
        if (leads || follows) && status.applied == status.commit {
            self.parts.members.majority();
        }
    }

    fn proposed(&mut self, token: Token, outcome: ProposalOutcome) {
        let Some(waiting) = self.waiting.swap_remove(&token) else {
            return;
        };
        let answer = match outcome {
            ProposalOutcome::Committed { index } => {
                self.answers.swap_remove(&index).ok_or(Failure::Unknown)
            }
            ProposalOutcome::NotLeader { leader } => Err(not_current(leader)),
            ProposalOutcome::Busy => Err(Failure::Unavailable),
            ProposalOutcome::Unknown => Err(Failure::Unknown),
        };
        tell(waiting, answer);
    }

    fn confirmed(&mut self, token: Token) {
        let Some((read, sender)) = self.reads.swap_remove(&token) else {
            return;
        };
        match read {
            Read::Apply(request) => match self.state.prepare(&request) {
                Preparation::Answered(answer) => {
                    let _ = sender.send(Ok(Answer::Apply(answer)));
                }
                Preparation::Propose(action) => self.propose(action, Waiting::Apply(sender)),
            },
            Read::Question(question) => {
                let _ = sender.send(answered(&self.state, &question, Standing::Confirmed));
            }
        }
    }

    fn refused(&mut self, token: Token, leader: Option<ReplicaId>) {
        if let Some((_, sender)) = self.reads.swap_remove(&token) {
            let _ = sender.send(Err(not_current(leader)));
        }
    }
}

fn not_current(leader: Option<ReplicaId>) -> Failure {
    Failure::NotLeader {
        leader: leader.map(|leader| leader.host),
    }
}
