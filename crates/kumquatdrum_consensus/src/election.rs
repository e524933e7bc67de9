//! Elections: pre-vote, vote, and the promises that a vote keeps.

use indexmap::IndexSet;
use kumquatdrum_types::Moment;

use crate::durability::Held;
use crate::node::{Node, Role};
use crate::{Body, ReplicaId, Resignation, Term, Vote};

/// Those who agree to a candidate.
#[derive(Debug, Default)]
pub(crate) struct Votes {
    granted: IndexSet<ReplicaId>,
}

impl Node {
    pub(crate) fn on_election_timeout(&mut self) {
        self.reset_election_timer();
        if self.hard_state.cluster.is_none() || !self.may_stand() {
            return;
        }
        self.leader = None;
        let mut votes = Votes::default();
        votes.granted.insert(self.id.clone());
        let decided = self.is_elected(&votes);
        self.role = Role::PreCandidate(votes);
        if decided {
            self.campaign(false);
            return;
        }
        let vote = self.vote(self.hard_state.term.next());
        for voter in self.other_voters() {
            self.send(&voter, Body::PreVote(vote.clone()));
        }
    }

    /// A replica that a change removes still stands until it knows the change as committed: it may
    /// be the only one whose log is long enough.
    fn may_stand(&self) -> bool {
        self.log.may_vote_since(self.commit, &self.id)
    }

    fn vote(&self, term: Term) -> Vote {
        Vote {
            term,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            succeeds: false,
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

    /// The leader has given up its lease in favour of this replica, which stands at once.
    pub(crate) fn on_succeed(&mut self, term: Term) {
        let current = term == self.hard_state.term && matches!(self.role, Role::Follower);
        if current && self.may_stand() {
            self.reset_election_timer();
            self.leader = None;
            self.campaign(true);
        }
    }

    /// Stands for election; the own vote and the questions wait for the disk.
    fn campaign(&mut self, succeeds: bool) {
        self.hard_state.term = self.hard_state.term.next();
        self.hard_state.vote = Some(self.id.clone());
        self.durability.hard_state_changed();
        self.role = Role::Candidate(Votes::default());
        self.durability.hold(Held::OwnVote(self.hard_state.term));
        let vote = Vote {
            succeeds,
            ..self.vote(self.hard_state.term)
        };
        for voter in self.other_voters() {
            self.send_synced(&voter, Body::RequestVote(vote.clone()));
        }
    }

    pub(crate) fn on_own_vote(&mut self, term: Term) {
        if term == self.hard_state.term {
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

    /// Until when no vote is given, as a leader may rely on its lease.
    fn promised_until(&self) -> Moment {
        match &self.role {
            Role::Leader(_) => self.lease_until().unwrap_or(Moment::ZERO),
            _ => self.last_contact + self.settings.election_timeout,
        }
    }

    fn is_up_to_date(&self, vote: &Vote) -> bool {
        (vote.last_term, vote.last_index) >= (self.log.last_term(), self.log.last_index())
    }

    pub(crate) fn on_pre_vote(&mut self, from: &ReplicaId, vote: &Vote) {
        let granted = !self.is_leader()
            && self.now >= self.promised_until()
            && vote.term > self.hard_state.term
            && self.is_up_to_date(vote);
        let answer = Body::PreVoteAnswer {
            term: self.hard_state.term,
            asked: vote.term,
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
        let current = granted && asked == self.hard_state.term.next();
        let Role::PreCandidate(votes) = &mut self.role else {
            return;
        };
        if !current {
            return;
        }
        votes.granted.insert(from);
        let granted = &votes.granted;
        if self.log.replicas().is_majority(|id| granted.contains(id)) {
            self.campaign(false);
        }
    }

    pub(crate) fn on_request_vote(&mut self, from: &ReplicaId, vote: &Vote) {
        let released = vote.succeeds && vote.term == self.hard_state.term.next();
        if self.now < self.promised_until() && !released {
            return;
        }
        if vote.term > self.hard_state.term {
            self.become_follower(vote.term, None);
        }
        let free = self
            .hard_state
            .vote
            .as_ref()
            .is_none_or(|choice| choice == from);
        let granted = vote.term == self.hard_state.term && free && self.is_up_to_date(vote);
        if granted && self.hard_state.vote.is_none() {
            self.hard_state.vote = Some(from.clone());
            self.durability.hard_state_changed();
            self.reset_election_timer();
        }
        let answer = Body::VoteAnswer {
            term: self.hard_state.term,
            granted,
        };
        self.send_synced(from, answer);
    }

    pub(crate) fn on_vote_answer(&mut self, from: ReplicaId, term: Term, granted: bool) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
        } else if granted && term == self.hard_state.term {
            self.count_vote(from);
        }
    }

    /// Follows, in this or a later term.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>) {
        self.step_down(Resignation::LaterTerm);
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.durability.hard_state_changed();
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.verified = self.commit;
        self.incoming = None;
        self.reset_election_timer();
    }
}
