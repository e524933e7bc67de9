//! Leading: what a leader keeps, its heartbeat, and how it begins and ends.

use std::collections::VecDeque;

use indexmap::IndexMap;
use kumquatdrum_types::{HostId, Moment};

use crate::change::Change;
use crate::node::{Node, Role};
use crate::progress::Progress;
use crate::read::Read;
use crate::{
    Body, Content, Entry, LogIndex, Member, Output, Proposal, ProposalOutcome, ReplicaId,
    Resignation, Term, Token,
};

/// State that only a leader needs.
#[derive(Debug)]
pub(crate) struct Leader {
    pub(crate) since: Moment,
    /// The first entry of the term; what is committed is known once this one is.
    pub(crate) first: LogIndex,
    pub(crate) peers: IndexMap<ReplicaId, Progress>,
    /// Counts heartbeats, so that answers can be told apart.
    pub(crate) round: u64,
    pub(crate) heartbeat_at: Moment,
    /// What was committed at the latest heartbeat; a learner this far has caught up.
    pub(crate) commit_at_heartbeat: LogIndex,
    /// Bytes of entries that are not committed yet.
    uncommitted: usize,
    waiting: VecDeque<Waiting>,
    pub(crate) reads: VecDeque<Read>,
    /// New incarnations by host that asked to join.
    pub(crate) newcomers: IndexMap<HostId, Member>,
    pub(crate) change: Option<Change>,
}

/// A proposal that is not committed yet.
#[derive(Debug)]
struct Waiting {
    index: LogIndex,
    token: Token,
}

impl Node {
    pub(crate) fn become_leader(&mut self) {
        let term = self.hard_state.term;
        let first = self.log.last_index().next();
        let leader = Leader {
            since: self.now,
            first,
            peers: IndexMap::new(),
            round: 0,
            heartbeat_at: self.now,
            commit_at_heartbeat: LogIndex(u64::MAX),
            uncommitted: 0,
            waiting: VecDeque::new(),
            reads: VecDeque::new(),
            newcomers: IndexMap::new(),
            change: None,
        };
        self.role = Role::Leader(Box::new(leader));
        self.leader = Some(self.id.clone());
        self.output(Output::BecameLeader { term });
        self.append(Content::Noop);
        self.follow_replicas();
        self.beat();
    }

    /// Adds an entry to the own log.
    pub(crate) fn append(&mut self, content: Content) -> LogIndex {
        let entry = Entry {
            term: self.hard_state.term,
            index: self.log.last_index().next(),
            content,
        };
        let index = entry.index;
        if let Role::Leader(leader) = &mut self.role {
            leader.uncommitted += entry.size();
        }
        self.log.push(entry);
        index
    }

    /// Keeps a progress for each other replica of the latest replicas, and no more.
    pub(crate) fn follow_replicas(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let last = self.log.last_index();
        let replicas = self.log.replicas();
        leader.peers.retain(|id, _| replicas.contains(id));
        for member in replicas.members() {
            if member.id != self.id && !leader.peers.contains_key(&member.id) {
                leader.peers.insert(member.id.clone(), Progress::new(last));
            }
        }
    }

    pub(crate) fn on_leader_tick(&mut self) {
        if self.lost_quorum() {
            self.give_up_leading(Resignation::QuorumLost);
            return;
        }
        if self.disk_hangs() {
            self.give_up_leading(Resignation::DiskHangs);
            return;
        }
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if self.now >= leader.heartbeat_at {
            self.beat();
        }
        self.give_up_late_change();
        self.advance_change();
    }

    /// Whether no majority has answered for an election timeout.
    fn lost_quorum(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let heard = self.quorum_moment(|progress| progress.acked_at.unwrap_or(leader.since));
        self.now > heard.max(leader.since) + self.settings.election_timeout
    }

    /// Whether the disk has owed an answer for too long to lead.
    fn disk_hangs(&self) -> bool {
        let since = self.durability.waiting_since();
        since.is_some_and(|since| self.now > since + self.settings.persist_timeout)
    }

    /// The latest moment such that a majority is at it or later; this replica always is.
    fn quorum_moment(&self, moment: impl Fn(&Progress) -> Moment) -> Moment {
        let Role::Leader(leader) = &self.role else {
            return Moment::ZERO;
        };
        let micros = self
            .log
            .replicas()
            .reached(|id| match leader.peers.get(id) {
                _ if *id == self.id => self.now.micros,
                Some(progress) => moment(progress).micros,
                None => 0,
            });
        Moment { micros }
    }

    /// Until when no other replica can lead, by this replica's clock; none where it does not
    /// lead or has no lease. The shell checks it right before it gives an order.
    pub fn lease_until(&self) -> Option<Moment> {
        if !self.is_leader() {
            return None;
        }
        let heard = self.quorum_moment(|progress| progress.acked_at.unwrap_or(Moment::ZERO));
        let timeout = self.settings.election_timeout;
        let share = 100_u32.saturating_sub(self.settings.clock_drift_percent);
        let lease = timeout * share / 100;
        (heard > Moment::ZERO)
            .then(|| heard + lease)
            .filter(|until| *until > self.now)
    }

    /// Whether it leads and has applied all that was committed before its term.
    pub fn is_caught_up_leader(&self) -> bool {
        matches!(&self.role, Role::Leader(leader) if self.applied >= leader.first)
    }

    /// Ends leading in the term that goes on.
    pub(crate) fn give_up_leading(&mut self, reason: Resignation) {
        self.step_down(reason);
        self.become_follower(self.hard_state.term, None);
    }

    /// Ends leading: whoever waits for an answer gets one.
    pub(crate) fn step_down(&mut self, reason: Resignation) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        let Role::Leader(leader) = role else {
            return;
        };
        self.leader = None;
        let term: Term = self.hard_state.term;
        self.output(Output::SteppedDown { term, reason });
        for waiting in leader.waiting {
            self.proposed(waiting.token, ProposalOutcome::Unknown);
        }
        if let Some(change) = leader.change {
            self.proposed(change.token, ProposalOutcome::Unknown);
        }
        for read in leader.reads {
            let token = read.token;
            self.output(Output::ReadRefused {
                token,
                leader: None,
            });
        }
    }

    /// Gives up the lease in favour of the voter that is furthest. Its vote is safe for the others
    /// to release their promise for: it is for the very next term only, in which whoever has a
    /// lease has the votes of a majority already.
    pub(crate) fn on_resign(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let replicas = self.log.replicas();
        let has_all = |id: &ReplicaId| {
            let matched = leader.peers.get(id).map(|progress| progress.matched);
            matched.filter(|matched| *matched >= self.commit)
        };
        let voters = replicas.voters.iter().map(|voter| &voter.id);
        let able = voters.filter_map(|id| has_all(id).map(|matched| (matched, id)));
        let Some(heir) = able.max().map(|(_, id)| id.clone()) else {
            return;
        };
        let term = self.hard_state.term;
        self.give_up_leading(Resignation::Asked);
        self.send(&heir, Body::Succeed { term });
    }

    pub(crate) fn on_propose(&mut self, proposals: Vec<Proposal>) {
        if !self.is_leader() {
            self.refuse_proposals(proposals);
            return;
        }
        for proposal in proposals {
            self.propose(proposal);
        }
        self.replicate_all();
    }

    fn propose(&mut self, proposal: Proposal) {
        let limit = self.settings.max_uncommitted_bytes;
        let full = match &self.role {
            Role::Leader(leader) => {
                leader.uncommitted > 0 && leader.uncommitted + proposal.payload.len() > limit
            }
            _ => true,
        };
        if full {
            self.proposed(proposal.token, ProposalOutcome::Busy);
            return;
        }
        let index = self.append(Content::Payload(proposal.payload));
        if let Role::Leader(leader) = &mut self.role {
            let token = proposal.token;
            leader.waiting.push_back(Waiting { index, token });
        }
    }

    /// Commits what a majority has on disk.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let persisted = self.durability.persisted();
        let reached = self
            .log
            .replicas()
            .reached(|id| match leader.peers.get(id) {
                _ if *id == self.id => persisted.0,
                Some(progress) => progress.matched.0,
                None => 0,
            });
        let reached = LogIndex(reached);
        let own_term = self.log.term_at(reached) == Some(self.hard_state.term);
        if reached <= self.commit || !own_term {
            return;
        }
        let mut index = self.commit;
        while index < reached {
            index = index.next();
            let size = self.log.entry(index).map_or(0, Entry::size);
            leader.uncommitted = leader.uncommitted.saturating_sub(size);
        }
        self.commit = reached;
        self.advance_change();
    }

    /// Answers proposals whose entries have been applied.
    pub(crate) fn answer_proposals(&mut self) {
        let applied = self.applied;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let done = leader
            .waiting
            .partition_point(|waiting| waiting.index <= applied);
        let done: Vec<Waiting> = leader.waiting.drain(..done).collect();
        for Waiting { index, token } in done {
            self.proposed(token, ProposalOutcome::Committed { index });
        }
    }
}
