//! The leader's state, lease and proposals, and the start and end of its leadership.

use std::collections::VecDeque;

use indexmap::IndexMap;
use kumquatdrum_types::{HostId, Moment};

use crate::change;
use crate::node::{Node, Role};
use crate::progress::Progress;
use crate::read;
use crate::{
    Body, Content, Entry, LogIndex, Member, Output, Proposal, ProposalOutcome, ReplicaId,
    StepDownReason, Term, Token,
};

/// State that only a leader needs.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) elected_at: Moment,
    /// The first entry of the term; once it is committed, so are all earlier entries.
    pub(crate) first_index: LogIndex,
    pub(crate) peers: IndexMap<ReplicaId, Progress>,
    /// The number of the latest heartbeat round, which identifies its answers.
    pub(crate) round: u64,
    pub(crate) heartbeat_at: Moment,
    /// The last committed entry at the latest heartbeat, which a learner must have to be caught up.
    pub(crate) commit_at_heartbeat: LogIndex,
    /// Size of the uncommitted entries.
    uncommitted_bytes: usize,
    pending_proposals: VecDeque<PendingProposal>,
    pub(crate) pending_reads: VecDeque<read::Request>,
    /// New incarnations of voters' hosts that are to become learners.
    pub(crate) joining: IndexMap<HostId, Member>,
    pub(crate) pending_change: Option<change::Change>,
}

/// A proposal that awaits the commit and application of its entry.
#[derive(Debug)]
struct PendingProposal {
    index: LogIndex,
    token: Token,
}

impl Node {
    pub(crate) fn become_leader(&mut self) {
        let term = self.hard_state.term;
        let first_index = self.log.last_index().next();
        let leader = Leader {
            elected_at: self.now,
            first_index,
            peers: IndexMap::new(),
            round: 0,
            heartbeat_at: self.now,
            commit_at_heartbeat: LogIndex(u64::MAX),
            uncommitted_bytes: 0,
            pending_proposals: VecDeque::new(),
            pending_reads: VecDeque::new(),
            joining: IndexMap::new(),
            pending_change: None,
        };
        self.role = Role::Leader(Box::new(leader));
        self.leader = Some(self.id.clone());
        self.output(Output::BecameLeader { term });
        self.append(Content::Noop);
        self.update_peers();
        self.broadcast_heartbeat();
    }

    /// Appends an entry to the leader's own log.
    pub(crate) fn append(&mut self, content: Content) -> LogIndex {
        let entry = Entry {
            term: self.hard_state.term,
            index: self.log.last_index().next(),
            content,
        };
        let index = entry.index;
        if let Role::Leader(leader) = &mut self.role {
            leader.uncommitted_bytes += entry.size();
        }
        self.log.push(entry);
        index
    }

    /// Adds and removes peers so that they match the latest replicas in the log.
    pub(crate) fn update_peers(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let last = self.log.last_index();
        let replicas = self.log.replicas();
        leader.peers.retain(|id, _| replicas.contains(id));
        for member in replicas.members() {
            if member.id != self.id && !leader.peers.contains_key(&member.id) {
                leader
                    .peers
                    .insert(member.id.clone(), Progress::new(self.now, last));
            }
        }
    }

    pub(crate) fn on_leader_tick(&mut self) {
        if self.has_lost_quorum() {
            self.step_down(StepDownReason::QuorumLost);
            return;
        }
        if self.is_disk_stalled() {
            self.step_down(StepDownReason::DiskStalled);
            return;
        }
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if self.now >= leader.heartbeat_at {
            self.broadcast_heartbeat();
        }
        self.abort_expired_change();
        self.advance_change();
    }

    /// Returns whether no majority has answered within an election timeout.
    fn has_lost_quorum(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let acked_at =
            self.quorum_moment(|progress| progress.acked_at.unwrap_or(leader.elected_at));
        self.now > acked_at.max(leader.elected_at) + self.settings.election_timeout
    }

    /// Returns whether the batch in flight has exceeded the persist timeout.
    fn is_disk_stalled(&self) -> bool {
        let since = self.durability.in_flight_since();
        since.is_some_and(|since| self.now > since + self.settings.persist_timeout)
    }

    /// Returns the latest moment that a majority has reached; this replica counts as now.
    fn quorum_moment(&self, moment: impl Fn(&Progress) -> Moment) -> Moment {
        let Role::Leader(leader) = &self.role else {
            return Moment::ZERO;
        };
        let micros = self
            .log
            .replicas()
            .quorum_value(|id| match leader.peers.get(id) {
                _ if *id == self.id => self.now.micros,
                Some(progress) => moment(progress).micros,
                None => 0,
            });
        Moment { micros }
    }

    /// Returns the end of this leader's lease on its own clock, or `None` if this replica does not
    /// lead or has no lease. No other replica can lead before that time, so the caller must check
    /// it right before each action that only a leader may take.
    pub fn lease_until(&self) -> Option<Moment> {
        if !self.is_leader() {
            return None;
        }
        let acked_at = self.quorum_moment(|progress| progress.acked_at.unwrap_or(Moment::ZERO));
        let timeout = self.settings.election_timeout;
        let lease_percent = 100_u32.saturating_sub(self.settings.clock_drift_percent);
        let lease = timeout * lease_percent / 100;
        (acked_at > Moment::ZERO)
            .then(|| acked_at + lease)
            .filter(|until| *until > self.now)
    }

    /// Returns whether this replica leads and has applied all entries of earlier terms.
    pub fn is_caught_up_leader(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if self.applied >= leader.first_index)
    }

    /// Stops leading and becomes a follower in the same term.
    pub(crate) fn step_down(&mut self, reason: StepDownReason) {
        self.end_leadership(reason);
        self.become_follower(self.hard_state.term, None);
    }

    /// Drops the leader's state, if any, and answers all pending proposals, changes and reads.
    pub(crate) fn end_leadership(&mut self, reason: StepDownReason) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        let Role::Leader(leader) = role else {
            return;
        };
        self.leader = None;
        let term: Term = self.hard_state.term;
        self.output(Output::SteppedDown { term, reason });
        for proposal in leader.pending_proposals {
            self.report_outcome(proposal.token, ProposalOutcome::Unknown);
        }
        if let Some(change) = leader.pending_change {
            self.report_outcome(change.token, ProposalOutcome::Unknown);
        }
        for read in leader.pending_reads {
            let token = read.token;
            self.output(Output::ReadRefused {
                token,
                leader: None,
            });
        }
    }

    /// Releases the lease in favour of the most up-to-date voter.
    ///
    /// The other voters may then vote for it despite their promise: their vote holds only for the
    /// next term, and any leader with a lease in that term already has a majority of its votes.
    pub(crate) fn transfer_leadership(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let replicas = self.log.replicas();
        let caught_up = |id: &ReplicaId| {
            let matched = leader.peers.get(id).map(|progress| progress.matched);
            matched.filter(|matched| *matched >= self.commit)
        };
        let voters = replicas.voters.iter().map(|voter| &voter.id);
        let candidates = voters.filter_map(|id| caught_up(id).map(|matched| (matched, id)));
        let Some(successor) = candidates.max().map(|(_, id)| id.clone()) else {
            return;
        };
        let term = self.hard_state.term;
        self.step_down(StepDownReason::LeadershipTransferred);
        self.send(&successor, Body::TimeoutNow { term });
    }

    pub(crate) fn on_propose(&mut self, proposals: Vec<Proposal>) {
        if !self.is_leader() {
            self.reject_proposals(proposals);
            return;
        }
        for proposal in proposals {
            self.propose(proposal);
        }
        self.replicate_all();
    }

    fn propose(&mut self, proposal: Proposal) {
        let limit = self.settings.max_uncommitted_bytes;
        let is_full = match &self.role {
            Role::Leader(leader) => {
                leader.uncommitted_bytes > 0
                    && leader.uncommitted_bytes + proposal.payload.len() > limit
            }
            _ => true,
        };
        if is_full {
            self.report_outcome(proposal.token, ProposalOutcome::Busy);
            return;
        }
        let index = self.append(Content::Payload(proposal.payload));
        if let Role::Leader(leader) = &mut self.role {
            let token = proposal.token;
            leader
                .pending_proposals
                .push_back(PendingProposal { index, token });
        }
    }

    /// Commits the entries that a majority has persisted.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let persisted = self.durability.persisted();
        let reached = self
            .log
            .replicas()
            .quorum_value(|id| match leader.peers.get(id) {
                _ if *id == self.id => persisted.0,
                Some(progress) => progress.matched.0,
                None => 0,
            });
        let reached = LogIndex(reached);
        let is_of_current_term = self.log.term_at(reached) == Some(self.hard_state.term);
        if reached <= self.commit || !is_of_current_term {
            return;
        }
        let mut index = self.commit;
        while index < reached {
            index = index.next();
            let size = self.log.entry(index).map_or(0, Entry::size);
            leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(size);
        }
        self.commit = reached;
        self.advance_change();
    }

    /// Answers proposals whose entries have been applied.
    pub(crate) fn answer_applied_proposals(&mut self) {
        let applied = self.applied;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let done = leader
            .pending_proposals
            .partition_point(|proposal| proposal.index <= applied);
        let done: Vec<PendingProposal> = leader.pending_proposals.drain(..done).collect();
        for PendingProposal { index, token } in done {
            self.report_outcome(token, ProposalOutcome::Committed { index });
        }
    }
}
