//! The node: its state, and the way of inputs through it.

use kumquatdrum_types::{HostId, Moment};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::durability::{Durability, Held};
use crate::election::Votes;
use crate::follower::Incoming;
use crate::formation::Formation;
use crate::leader::Leader;
use crate::log::Log;
use crate::{
    Body, ClusterId, Content, HardState, Input, LogIndex, Message, Output, Probe, Proposal,
    ProposalOutcome, ReplicaId, Resignation, Settings, Snapshot, StoredState, Term,
};

/// The part that a node plays, with the state that only this part needs.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<Leader>),
}

/// A replica: a state machine without clock, socket or disk.
#[derive(Debug)]
pub struct Node {
    pub(crate) settings: Settings,
    pub(crate) id: ReplicaId,
    pub(crate) random: Pcg32,
    pub(crate) now: Moment,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) durability: Durability,
    pub(crate) role: Role,
    /// Who leads in the current term, where known.
    pub(crate) leader: Option<ReplicaId>,
    /// When a leader was last heard, or the node started: it promised no vote for a while.
    pub(crate) last_contact: Moment,
    pub(crate) election_at: Moment,
    pub(crate) commit: LogIndex,
    pub(crate) applied: LogIndex,
    /// The log matches that of the current leader through here.
    pub(crate) verified: LogIndex,
    /// The latest probe of the current leader.
    pub(crate) probe: Probe,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) formation: Formation,
    pub(crate) halted: bool,
    /// Where the log stood when a snapshot was last asked for.
    snapshot_asked: LogIndex,
    woken_at: Option<Moment>,
    out: Vec<Output>,
}

impl Node {
    /// A node from what its store holds.
    ///
    /// The first step also hands out the stored snapshot as `Restore`. `seed` must differ from
    /// start to start and from host to host.
    ///
    /// ```
    /// use kumquatdrum_consensus::{Input, Member, Node, Output, Settings, StoredState};
    /// use kumquatdrum_types::{HostId, Moment};
    ///
    /// let mut settings = Settings::new(Member::new("ikeja-1", 7, "ikeja"));
    /// settings.initial_hosts = vec![HostId::new("ikeja-1")];
    /// let mut node = Node::new(settings, StoredState::default(), Moment::ZERO, 1);
    /// let mut now = Moment::ZERO;
    /// let mut inputs = vec![Input::Tick];
    /// while !node.is_leader() {
    ///     let input = inputs.pop().unwrap_or(Input::Tick);
    ///     for output in node.step(now, input) {
    ///         match output {
    ///             Output::Persist(batch) => {
    ///                 let sequence = batch.sequence; // written and synced here
    ///                 inputs.push(Input::Persisted { sequence });
    ///             }
    ///             Output::Wake { at } => now = at,
    ///             _ => {}
    ///         }
    ///     }
    /// }
    /// ```
    pub fn new(settings: Settings, stored: StoredState, now: Moment, seed: u64) -> Self {
        let hard_state = stored.hard_state.clone();
        let log = Log::new(stored);
        let start = log.snapshot_index();
        let mut node = Self {
            id: settings.member.id.clone(),
            settings,
            random: Pcg32::seed_from_u64(seed),
            now,
            hard_state,
            durability: Durability::new(log.last_index()),
            role: Role::Follower,
            leader: None,
            last_contact: now,
            election_at: now,
            commit: start,
            applied: start,
            verified: start,
            probe: Probe::default(),
            incoming: None,
            formation: Formation::new(now),
            halted: false,
            snapshot_asked: start,
            woken_at: None,
            out: Vec::new(),
            log,
        };
        node.reset_election_timer();
        if let Some(snapshot) = node.log.snapshot().filter(|s| s.index > LogIndex(0)) {
            node.out.push(Output::Restore(snapshot.clone()));
        }
        node
    }

    /// Takes one input and says what has to be done, in order.
    pub fn step(&mut self, now: Moment, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        if self.halted {
            self.refuse(input);
        } else {
            self.take(input);
            self.settle();
        }
        std::mem::take(&mut self.out)
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Tick => self.on_tick(),
            Input::Message(message) => self.on_message(*message),
            Input::Propose(proposal) => self.on_propose(vec![proposal]),
            Input::ProposeBatch(proposals) => self.on_propose(proposals),
            Input::Persisted { sequence } => self.on_persisted(sequence),
            Input::PersistFailed { reason } => self.on_persist_failed(reason),
            Input::ConfirmRead { token } => self.on_confirm_read(token),
            Input::Snapshot { index, data } => self.on_snapshot(index, data),
            Input::TransferLeadership => self.on_resign(),
            Input::ChangeReplicas { token, voters } => self.on_change_replicas(token, voters),
        }
    }

    /// Answers what asks for an answer, once the disk has failed.
    fn refuse(&mut self, input: Input) {
        match input {
            Input::Propose(proposal) => self.refuse_proposals(vec![proposal]),
            Input::ProposeBatch(proposals) => self.refuse_proposals(proposals),
            Input::ChangeReplicas { token, .. } => {
                self.proposed(token, ProposalOutcome::NotLeader { leader: None });
            }
            Input::ConfirmRead { token } => {
                self.output(Output::ReadRefused {
                    token,
                    leader: None,
                });
            }
            _ => {}
        }
    }

    pub(crate) fn refuse_proposals(&mut self, proposals: Vec<Proposal>) {
        let leader = self.leader.clone().filter(|leader| *leader != self.id);
        for proposal in proposals {
            let outcome = ProposalOutcome::NotLeader {
                leader: leader.clone(),
            };
            self.proposed(proposal.token, outcome);
        }
    }

    fn on_tick(&mut self) {
        match &self.role {
            Role::Leader(_) => self.on_leader_tick(),
            _ if self.now >= self.election_at => self.on_election_timeout(),
            _ => {}
        }
        self.on_formation_tick();
    }

    fn on_message(&mut self, message: Message) {
        if !self.is_meant_for_us(&message) {
            return;
        }
        let Message {
            cluster,
            from,
            body,
            ..
        } = message;
        match body {
            Body::Hello { member } => self.on_hello(member),
            Body::Survey => self.on_survey(from),
            Body::Fresh { member } => self.on_fresh(member),
            Body::Settled => self.on_settled(),
            Body::Form { snapshot } => self.on_form(snapshot),
            body if cluster.is_none() || cluster != self.hard_state.cluster => {
                self.on_foreign(&from, cluster, body);
            }
            Body::PreVote(vote) => self.on_pre_vote(&from, &vote),
            Body::PreVoteAnswer {
                term,
                asked,
                granted,
            } => {
                self.on_pre_vote_answer(from, term, asked, granted);
            }
            Body::RequestVote(vote) => self.on_request_vote(&from, &vote),
            Body::Succeed { term } => self.on_succeed(term),
            Body::VoteAnswer { term, granted } => self.on_vote_answer(from, term, granted),
            Body::Append(append) => self.on_append(&from, append),
            Body::AppendAck(ack) => self.on_append_ack(&from, &ack),
            Body::SnapshotChunk(chunk) => self.on_snapshot_chunk(&from, chunk),
            Body::SnapshotAck {
                term,
                index,
                received,
                probe,
            } => {
                self.on_snapshot_ack(&from, term, index, received, probe);
            }
        }
    }

    /// A replica never answers for its predecessor on the same host.
    fn is_meant_for_us(&mut self, message: &Message) -> bool {
        match &message.to {
            _ if message.from.host == self.id.host => false,
            None => true,
            Some(to) if *to == self.id => true,
            Some(to) if to.host == self.id.host && !self.settings.rules.own_incarnation => {
                self.id = to.clone();
                if self.hard_state.cluster.is_none() {
                    self.hard_state.cluster = message.cluster;
                }
                true
            }
            Some(_) => false,
        }
    }

    fn on_persisted(&mut self, sequence: u64) {
        let before = self.durability.persisted();
        for held in self.durability.finish(sequence) {
            match held {
                Held::Send(to, message) => self.output(Output::Send { to, message }),
                Held::OwnVote(term) => self.on_own_vote(term),
                Held::Restore(snapshot) => self.restore(snapshot),
            }
        }
        if self.durability.persisted() > before {
            self.on_log_persisted();
        }
    }

    fn restore(&mut self, snapshot: Snapshot) {
        if snapshot.index > self.applied {
            self.applied = snapshot.index;
            self.output(Output::Restore(snapshot));
        }
    }

    fn on_persist_failed(&mut self, reason: String) {
        self.step_down(Resignation::DiskFailed);
        self.leader = None;
        self.halted = true;
        self.output(Output::Halted { reason });
    }

    fn on_snapshot(&mut self, index: LogIndex, data: bytes::Bytes) {
        let known = self.log.snapshot_index();
        let (Some(cluster), Some(term)) = (self.hard_state.cluster, self.log.term_at(index)) else {
            return;
        };
        if index <= known || index > self.applied {
            return;
        }
        let snapshot = Snapshot {
            cluster,
            index,
            term,
            replicas: self.log.replicas_at(index).clone(),
            data,
        };
        self.log
            .compact(snapshot.clone(), self.settings.retained_entries);
        self.durability.compacted(snapshot);
    }

    /// What follows from the new state: entries to apply, reads to answer, a batch to write.
    fn settle(&mut self) {
        if self.halted {
            return;
        }
        self.apply_committed();
        self.answer_reads();
        self.want_snapshot();
        let (now, log, hard_state) = (self.now, &self.log, &self.hard_state);
        if let Some(batch) = self.durability.begin(now, log, hard_state) {
            self.output(Output::Persist(batch));
        }
        let at = self.next_tick();
        if self.woken_at != Some(at) {
            self.woken_at = Some(at);
            self.output(Output::Wake { at });
        }
    }

    /// Hands out what is committed and on the own disk.
    fn apply_committed(&mut self) {
        let through = self.commit.min(self.durability.persisted());
        while self.applied < through {
            let Some(entry) = self.log.entry(self.applied.next()) else {
                break;
            };
            self.applied = entry.index;
            if let Content::Payload(payload) = &entry.content {
                let apply = Output::Apply {
                    index: entry.index,
                    term: entry.term,
                    payload: payload.clone(),
                };
                self.out.push(apply);
            }
            self.answer_proposals();
        }
    }

    fn want_snapshot(&mut self) {
        let since = self.applied.0.saturating_sub(self.log.snapshot_index().0);
        let asked = self.applied.0.saturating_sub(self.snapshot_asked.0);
        let many = since >= self.settings.snapshot_entries;
        let large = since > 0 && self.log.bytes() >= self.settings.snapshot_bytes;
        let patience = self.settings.snapshot_entries / 4;
        if (many || large) && asked > patience.min(since / 4) {
            self.snapshot_asked = self.applied;
            self.output(Output::SnapshotWanted);
        }
    }

    /// Whether this replica leads, as far as it knows. Says nothing about being current.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Who leads, as far as this replica knows.
    pub fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// The current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Who this replica is.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Handed to the application through here.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Whether the replica has never voted nor stored an entry, so that nothing hangs on it.
    pub(crate) fn is_untouched(&self) -> bool {
        self.hard_state.term == Term(0) && self.log.last_index() == LogIndex(0)
    }

    pub(crate) fn output(&mut self, output: Output) {
        self.out.push(output);
    }

    pub(crate) fn proposed(&mut self, token: crate::Token, outcome: ProposalOutcome) {
        self.output(Output::Proposed { token, outcome });
    }

    pub(crate) fn message(&self, to: &ReplicaId, body: Body) -> Message {
        Message {
            cluster: self.hard_state.cluster,
            from: self.id.clone(),
            to: Some(to.clone()),
            body,
        }
    }

    pub(crate) fn send(&mut self, to: &ReplicaId, body: Body) {
        let message = self.message(to, body);
        let to = to.host.clone();
        self.output(Output::Send { to, message });
    }

    /// Sends to a cluster that this replica may not belong to yet.
    pub(crate) fn send_in(&mut self, cluster: ClusterId, to: &ReplicaId, body: Body) {
        let message = Message {
            cluster: Some(cluster),
            ..self.message(to, body)
        };
        let to = to.host.clone();
        self.output(Output::Send { to, message });
    }

    /// Sends once all that has changed so far is on disk.
    pub(crate) fn send_synced(&mut self, to: &ReplicaId, body: Body) {
        if self.durability.is_synced(&self.log) {
            self.send(to, body);
            return;
        }
        let message = self.message(to, body);
        self.durability.hold(Held::Send(to.host.clone(), message));
    }

    /// Sends to whichever replica a host has.
    pub(crate) fn send_to_host(&mut self, to: &HostId, body: Body) {
        let message = Message {
            cluster: None,
            from: self.id.clone(),
            to: None,
            body,
        };
        self.output(Output::Send {
            to: to.clone(),
            message,
        });
    }

    pub(crate) fn reset_election_timer(&mut self) {
        let timeout = self.settings.election_timeout;
        let micros = u64::try_from(timeout.as_micros())
            .unwrap_or(u64::MAX)
            .max(1);
        let extra = self.random.next_u64() % micros;
        self.election_at = self.now + timeout + std::time::Duration::from_micros(extra);
    }
}
