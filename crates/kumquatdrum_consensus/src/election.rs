//! Elections: pre-votes, votes, and the promise to grant none during a lease.

use indexmap::IndexSet;
use kumquatdrum_types::Moment;

use crate::durability;
use crate::node::{Node, Role};
use crate::{Body, Notice, Output, ReplicaId, StepDownReason, Term, Verdict, VoteRequest};

/// The replicas that have granted their vote or pre-vote to this candidate.
#[derive(Debug, Default)]
pub(crate) struct Votes {
    granted: IndexSet<ReplicaId>,
}

impl Node {
    pub(crate) fn on_election_timeout(&mut self) {
        self.reset_election_timer();
        if self.hard_state.cluster.is_none() || !self.can_campaign() {
            return;
        }
        // A vote that is being written, its own or another's, has not been counted. A new term would
        // make it void, and no candidate would win while writes outlast election timeouts.
        if !self.durability.is_synced(&self.log) {
            return;
        }
        self.leader = None;
        let mut votes = Votes::default();
        votes.granted.insert(self.id.clone());
        let is_elected = self.is_elected(&votes);
        self.role = Role::PreCandidate(votes);
        if is_elected {
            self.campaign(false);
            return;
        }
        let request = self.vote_request(self.hard_state.term.next());
        self.report_campaign(&request, true);
        for voter in self.other_voters() {
            self.send(&voter, Body::PreVote(request.clone()));
        }
    }

    /// Returns whether this replica may become a candidate. A replica that a change removes may do
    /// so until the change is known to be committed, as only its log may be up to date.
    fn can_campaign(&self) -> bool {
        self.log.can_vote_since(self.commit, &self.id)
    }

    fn vote_request(&self, term: Term) -> VoteRequest {
        VoteRequest {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            is_leadership_transfer: false,
        }
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let replicas = self.log.replicas();
        let members = replicas.members().into_iter().map(|member| &member.id);
        let others = members.filter(|id| replicas.is_voter(id) && **id != self.id);
        others.cloned().collect()
    }

    fn is_elected(&self, votes: &Votes) -> bool {
        self.log
            .replicas()
            .is_majority(|id| votes.granted.contains(id))
    }

    /// Starts an election at once, as the leader has released its lease in favour of this replica.
    pub(crate) fn on_timeout_now(&mut self, term: Term) {
        let is_current = term == self.hard_state.term && matches!(self.role, Role::Follower);
        if is_current && self.can_campaign() {
            self.reset_election_timer();
            self.leader = None;
            self.campaign(true);
        }
    }

    /// Becomes a candidate; its own vote and its requests are deferred until the term is persisted.
    fn campaign(&mut self, is_leadership_transfer: bool) {
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.vote = Some(self.id.clone());
        self.durability.mark_hard_state_dirty();
        self.role = Role::Candidate(Votes::default());
        self.durability
            .defer(durability::Action::CountOwnVote(self.hard_state.term));
        let request = VoteRequest {
            is_leadership_transfer,
            ..self.vote_request(self.hard_state.term)
        };
        self.report_campaign(&request, false);
        for voter in self.other_voters() {
            self.send_after_sync(&voter, Body::RequestVote(request.clone()));
        }
    }

    fn report_campaign(&mut self, request: &VoteRequest, is_pre_vote: bool) {
        self.output(Output::Notice(Notice::Campaign {
            term: request.term,
            is_pre_vote,
            last_index: request.last_index,
            last_term: request.last_term,
        }));
    }

    fn report_vote(
        &mut self,
        from: &ReplicaId,
        request: &VoteRequest,
        is_pre_vote: bool,
        verdict: Verdict,
    ) {
        self.output(Output::Notice(Notice::Vote {
            candidate: from.clone(),
            term: request.term,
            is_pre_vote,
            verdict,
        }));
    }

    pub(crate) fn on_own_vote(&mut self, term: Term) {
        if term == self.hard_state.term {
            // The requests for votes leave only now.
            self.reset_election_timer();
            self.count_vote(self.id.clone());
        }
    }

    fn count_vote(&mut self, from: ReplicaId) {
        let Role::Candidate(votes) = &mut self.role else {
            return;
        };
        votes.granted.insert(from);
        let granted = &votes.granted;
        if self.log.replicas().is_majority(|id| granted.contains(id)) {
            self.become_leader();
        }
    }

    /// Returns the moment before which no vote is granted, since a leader may rely on its lease.
    fn promised_until(&self) -> Moment {
        match &self.role {
            Role::Leader(_) => self.lease_until().unwrap_or(Moment::ZERO),
            _ => self.last_contact + self.settings.election_timeout,
        }
    }

    fn is_up_to_date(&self, request: &VoteRequest) -> bool {
        (request.last_term, request.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn on_pre_vote(&mut self, from: &ReplicaId, request: &VoteRequest) {
        let verdict = match request {
            _ if self.is_leader() || self.now < self.promised_until() => Verdict::Promised,
            request if request.term <= self.hard_state.term => Verdict::TermPassed,
            request if !self.is_up_to_date(request) => Verdict::LogBehind,
            _ => Verdict::Granted,
        };
        self.report_vote(from, request, true, verdict);
        let granted = verdict == Verdict::Granted;
        let answer = Body::PreVoteAnswer {
            term: self.hard_state.term,
            asked: request.term,
            granted,
        };
        self.send(from, answer);
    }

    pub(crate) fn on_pre_vote_answer(
        &mut self,
        from: ReplicaId,
        term: Term,
        asked: Term,
        granted: bool,
    ) {
        if !granted && term > self.hard_state.term {
            self.become_follower(term, None);
            return;
        }
        let is_current = granted && asked == self.hard_state.term.next();
        let Role::PreCandidate(votes) = &mut self.role else {
            return;
        };
        if !is_current {
            return;
        }
        votes.granted.insert(from);
        let granted = &votes.granted;
        if self.log.replicas().is_majority(|id| granted.contains(id)) {
            self.campaign(false);
        }
    }

    pub(crate) fn on_request_vote(&mut self, from: &ReplicaId, request: &VoteRequest) {
        let is_released =
            request.is_leadership_transfer && request.term == self.hard_state.term.next();
        if self.now < self.promised_until() && !is_released {
            self.report_vote(from, request, false, Verdict::Promised);
            return;
        }
        if request.term > self.hard_state.term {
            self.become_follower(request.term, None);
        }
        let can_vote = self
            .hard_state
            .vote
            .as_ref()
            .is_none_or(|choice| choice == from);
        let verdict = match request {
            request if request.term < self.hard_state.term => Verdict::TermPassed,
            request if !self.is_up_to_date(request) => Verdict::LogBehind,
            _ if !can_vote => Verdict::VotedForOther,
            _ => Verdict::Granted,
        };
        self.report_vote(from, request, false, verdict);
        let granted = verdict == Verdict::Granted;
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from.clone());
            self.durability.mark_hard_state_dirty();
            self.reset_election_timer();
        }
        let answer = Body::VoteAnswer {
            term: self.hard_state.term,
            granted,
        };
        self.send_after_sync(from, answer);
    }

    pub(crate) fn on_vote_answer(&mut self, from: ReplicaId, term: Term, granted: bool) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
        } else if granted && term == self.hard_state.term {
            self.count_vote(from);
        }
    }

    /// Becomes a follower in the current or a later term.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        self.end_leadership(StepDownReason::LaterTerm);
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.durability.mark_hard_state_dirty();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.verified_index = self.commit;
        self.incoming_snapshot = None;
        self.reset_election_timer();
    }
}
