//! The node's state and the dispatch of its inputs.

use kumquatdrum_types::{HostId, Moment};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::durability::{self, Durability};
use crate::election::Votes;
use crate::follower;
use crate::formation::Formation;
use crate::leader::Leader;
use crate::log::Log;
use crate::{
    Body, ClusterId, Content, HardState, Input, LogIndex, Message, Output, Probe, Proposal,
    ProposalOutcome, ReplicaId, Settings, Snapshot, StepDownReason, StoredState, Term,
};

/// The role of a node, with the state that only this role needs.
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
    /// The leader of the current term, if known.
    pub(crate) leader: Option<ReplicaId>,
    /// The time of the last message from a leader; initially the start time, as a leader may rely on
    /// a lease that this replica confirmed before it restarted.
    pub(crate) last_contact: Moment,
    pub(crate) election_at: Moment,
    pub(crate) commit: LogIndex,
    pub(crate) applied: LogIndex,
    /// The last entry up to which the log matches the current leader's.
    pub(crate) verified_index: LogIndex,
    /// The latest probe of the current leader.
    pub(crate) probe: Probe,
    pub(crate) incoming_snapshot: Option<follower::Transfer>,
    pub(crate) formation: Formation,
    pub(crate) is_halted: bool,
    /// The last applied entry when a snapshot was last requested.
    last_snapshot_request: LogIndex,
    wake_at: Option<Moment>,
    outputs: Vec<Output>,
}

impl Node {
    /// Creates a node from its stored state.
    ///
    /// The first step also returns the stored snapshot as `Restore`. `seed` must differ between
    /// starts and between hosts.
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
            verified_index: start,
            probe: Probe::default(),
            incoming_snapshot: None,
            formation: Formation::new(now),
            is_halted: false,
            last_snapshot_request: start,
            wake_at: None,
            outputs: Vec::new(),
            log,
        };
        node.reset_election_timer();
        if let Some(snapshot) = node.log.snapshot().filter(|s| s.index > LogIndex(0)) {
            node.outputs.push(Output::Restore(snapshot.clone()));
        }
        node
    }

    /// Processes one input and returns the resulting outputs in order.
    pub fn step(&mut self, now: Moment, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        if self.is_halted {
            self.reject_input(input);
        } else {
            self.handle_input(input);
            self.finish_step();
        }
        std::mem::take(&mut self.outputs)
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Tick => self.on_tick(),
            Input::Message(message) => self.on_message(*message),
            Input::Propose(proposal) => self.on_propose(vec![proposal]),
            Input::ProposeBatch(proposals) => self.on_propose(proposals),
            Input::Persisted { sequence } => self.on_persisted(sequence),
            Input::PersistFailed { reason } => self.on_persist_failed(reason),
            Input::ConfirmRead { token } => self.on_confirm_read(token),
            Input::Snapshot { index, data } => self.on_snapshot(index, data),
            Input::TransferLeadership => self.transfer_leadership(),
            Input::ChangeReplicas { token, voters } => self.on_change_replicas(token, voters),
        }
    }

    /// Rejects every input that expects an answer, after the disk has failed.
    fn reject_input(&mut self, input: Input) {
        match input {
            Input::Propose(proposal) => self.reject_proposals(vec![proposal]),
            Input::ProposeBatch(proposals) => self.reject_proposals(proposals),
            Input::ChangeReplicas { token, .. } => {
                self.report_outcome(token, ProposalOutcome::NotLeader { leader: None });
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

    pub(crate) fn reject_proposals(&mut self, proposals: Vec<Proposal>) {
        let leader = self.leader.clone().filter(|leader| *leader != self.id);
        for proposal in proposals {
            let outcome = ProposalOutcome::NotLeader {
                leader: leader.clone(),
            };
            self.report_outcome(proposal.token, outcome);
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
        if !self.is_addressed_to_self(&message) {
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
            Body::FormationQuery => self.on_formation_query(from),
            Body::Fresh { member } => self.on_fresh(member),
            Body::NotFresh => self.on_not_fresh(),
            Body::Form { snapshot } => self.on_form(snapshot),
            body if cluster.is_none() || cluster != self.hard_state.cluster => {
                self.on_foreign_message(&from, cluster, body);
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
            Body::TimeoutNow { term } => self.on_timeout_now(term),
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

    /// Returns whether this replica is the recipient; a message to another incarnation of its host
    /// is ignored.
    fn is_addressed_to_self(&mut self, message: &Message) -> bool {
        match &message.to {
            _ if message.from.host == self.id.host => false,
            None => true,
            Some(to) if *to == self.id => true,
            // Only in tests: the replica takes over the identity of the addressed incarnation.
            Some(to)
                if to.host == self.id.host && !self.settings.safeguards.is_incarnation_checked =>
            {
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
        for action in self.durability.finish_batch(sequence) {
            match action {
                durability::Action::Send(to, message) => self.output(Output::Send { to, message }),
                durability::Action::CountOwnVote(term) => self.on_own_vote(term),
                durability::Action::Restore(snapshot) => self.restore(snapshot),
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
        self.end_leadership(StepDownReason::DiskFailed);
        self.leader = None;
        self.is_halted = true;
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
        self.durability.record_compaction(snapshot);
    }

    /// Emits the outputs that follow from the new state: entries to apply, answers to reads, a
    /// batch to write and the next wake-up.
    fn finish_step(&mut self) {
        if self.is_halted {
            return;
        }
        self.apply_committed();
        self.answer_reads();
        self.request_snapshot();
        let (now, log, hard_state) = (self.now, &self.log, &self.hard_state);
        if let Some(batch) = self.durability.start_batch(now, log, hard_state) {
            self.output(Output::Persist(batch));
        }
        let at = self.next_tick();
        if self.wake_at != Some(at) {
            self.wake_at = Some(at);
            self.output(Output::Wake { at });
        }
    }

    /// Applies the entries that are committed and persisted locally.
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
                self.outputs.push(apply);
            }
            self.answer_applied_proposals();
        }
    }

    fn request_snapshot(&mut self) {
        let since_snapshot = self.applied.0.saturating_sub(self.log.snapshot_index().0);
        let since_request = self.applied.0.saturating_sub(self.last_snapshot_request.0);
        let has_many_entries = since_snapshot >= self.settings.snapshot_entries;
        let has_large_entries =
            since_snapshot > 0 && self.log.bytes() >= self.settings.snapshot_bytes;
        let retry_entries = self.settings.snapshot_entries / 4;
        if (has_many_entries || has_large_entries)
            && since_request > retry_entries.min(since_snapshot / 4)
        {
            self.last_snapshot_request = self.applied;
            self.output(Output::SnapshotRequested);
        }
    }

    /// Returns whether this replica considers itself the leader; another one may lead already.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the identifier of this replica.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Returns the last entry passed to the application.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns whether the replica has neither voted nor stored an entry.
    pub(crate) fn has_no_state(&self) -> bool {
        self.hard_state.term == Term(0) && self.log.last_index() == LogIndex(0)
    }

    pub(crate) fn output(&mut self, output: Output) {
        self.outputs.push(output);
    }

    pub(crate) fn report_outcome(&mut self, token: crate::Token, outcome: ProposalOutcome) {
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

    /// Sends a message for a cluster that this replica may not have joined yet.
    pub(crate) fn send_for_cluster(&mut self, cluster: ClusterId, to: &ReplicaId, body: Body) {
        let message = Message {
            cluster: Some(cluster),
            ..self.message(to, body)
        };
        let to = to.host.clone();
        self.output(Output::Send { to, message });
    }

    /// Sends a message once all changes so far are persisted.
    pub(crate) fn send_after_sync(&mut self, to: &ReplicaId, body: Body) {
        if self.durability.is_synced(&self.log) {
            self.send(to, body);
            return;
        }
        let message = self.message(to, body);
        self.durability
            .defer(durability::Action::Send(to.host.clone(), message));
    }

    /// Sends a message to any incarnation on a host.
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
