//! Replica changes: new voters join as learners, then a joint change replaces the voters.
//!
//! One joint change runs at a time; until it begins, a later request takes the place of an earlier one.
//! The leader also replaces a voter whose host announces a new incarnation, without a request.

use kumquatdrum_types::Moment;

use crate::node::{Node, Role};
use crate::{
    Content, Member, Notice, Output, ProposalOutcome, ReplicaId, Replicas, StepDownReason, Token,
};

/// A requested change of the voters.
#[derive(Debug)]
pub(crate) struct Change {
    pub(crate) token: Token,
    voters: Vec<Member>,
    deadline: Moment,
}

impl Node {
    pub(crate) fn on_change_replicas(&mut self, token: Token, mut voters: Vec<Member>) {
        voters.sort();
        voters.dedup();
        let leader = self.leader.clone();
        let deadline = self.now + self.settings.change_timeout;
        let is_joint = self.log.replicas().is_joint();
        let outcome = match &mut self.role {
            Role::Leader(leading) if !is_joint && !voters.is_empty() => {
                let replaced = leading.pending_change.replace(Change {
                    token,
                    voters,
                    deadline,
                });
                if let Some(replaced) = replaced {
                    self.report_outcome(replaced.token, ProposalOutcome::Unknown);
                }
                self.advance_change();
                return;
            }
            Role::Leader(_) => ProposalOutcome::Busy,
            _ => ProposalOutcome::NotLeader { leader },
        };
        self.report_outcome(token, outcome);
    }

    /// Aborts a requested change at its deadline, since a new replica may never catch up.
    pub(crate) fn abort_expired_change(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(change) = leader
            .pending_change
            .take_if(|change| now >= change.deadline)
        {
            self.report_outcome(change.token, ProposalOutcome::Unknown);
        }
    }

    /// Queues an announced replica that replaces an earlier incarnation of a voter on its host, and
    /// aborts a requested change that names the earlier one.
    pub(crate) fn on_hello(&mut self, member: Member) {
        let replicas = self.log.replicas();
        let is_known = replicas.contains(&member.id) || replicas.retired.contains(&member.id);
        let replaces_voter = replicas.voter_on(&member.id.host).is_some();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if is_known || !replaces_voter {
            return;
        }
        let is_predecessor =
            |target: &Member| target.id.host == member.id.host && target.id != member.id;
        let is_obsolete = |change: &Change| change.voters.iter().any(is_predecessor);
        let aborted = leader.pending_change.take_if(|change| is_obsolete(change));
        leader.joining.insert(member.id.host.clone(), member);
        if let Some(change) = aborted {
            self.report_outcome(change.token, ProposalOutcome::Unknown);
        }
        self.advance_change();
    }

    /// Starts the next step of a replica change once the previous one is committed.
    pub(crate) fn advance_change(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let replicas = self.log.replicas();
        let is_committed =
            self.log.replicas_index() <= self.commit && leader.first_index <= self.commit;
        if !is_committed {
            return;
        }
        if replicas.is_joint() {
            self.append_replicas(replicas.leave_joint());
        } else if !replicas.is_voter(&self.id) {
            self.finish_removal();
        } else if !self.advance_requested_change() {
            self.advance_repair();
        }
    }

    /// Steps down, as a committed change has removed this leader.
    fn finish_removal(&mut self) {
        self.finish_change();
        self.step_down(StepDownReason::Removed);
    }

    fn finish_change(&mut self) {
        let index = self.log.replicas_index();
        let replicas = self.log.replicas();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let is_reached = |change: &mut Change| {
            let mut voters = replicas.voters.clone();
            voters.sort();
            voters == change.voters
        };
        if let Some(change) = leader.pending_change.take_if(is_reached) {
            self.report_outcome(change.token, ProposalOutcome::Committed { index });
        }
    }

    /// Takes the next step of a requested change; returns false if there is none to take yet.
    fn advance_requested_change(&mut self) -> bool {
        self.finish_change();
        let replicas = self.log.replicas();
        let target = match &self.role {
            Role::Leader(leader) => leader.pending_change.as_ref(),
            _ => None,
        };
        let Some(target) = target.map(|change| change.voters.clone()) else {
            return false;
        };
        let mut missing = target.iter().filter(|m| !replicas.contains(&m.id));
        if let Some(member) = missing.next() {
            self.append_replicas(replicas.with_learner(member.clone()));
        } else if self.is_ready(&target) {
            self.append_replicas(replicas.enter_joint(target));
        } else {
            return false;
        }
        true
    }

    /// Returns whether the voters of a requested change can take over: a majority of them, and all that
    /// don't vote yet, have caught up. A voter that stays may be lost.
    fn is_ready(&self, target: &[Member]) -> bool {
        let replicas = self.log.replicas();
        let has_caught_up = |member: &&Member| self.has_caught_up(&member.id);
        let mut joining = target.iter().filter(|m| !replicas.is_voter(&m.id));
        joining.all(|member| has_caught_up(&member))
            && target.iter().filter(has_caught_up).count() * 2 > target.len()
    }

    /// Replaces a voter by the learner on its host that has caught up; otherwise adds a joining
    /// replica as a learner, so that one that never catches up does not block the others.
    fn advance_repair(&mut self) {
        let replicas = self.log.replicas();
        let replaces_voter = |learner: &&Member| replicas.voter_on(&learner.id.host).is_some();
        let mut learners = replicas.learners.iter().filter(replaces_voter);
        let ready = learners.find(|learner| self.has_caught_up(&learner.id));
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if let Some(learner) = ready {
            let next = replicas.enter_joint(replace_voter(replicas, learner));
            self.append_replicas(next);
        } else if let Some(member) = leader.joining.values().next().cloned() {
            let next = replicas.with_learner(member.clone());
            self.remove_joining(&member);
            self.append_replicas(next);
        }
    }

    fn remove_joining(&mut self, member: &Member) {
        if let Role::Leader(leader) = &mut self.role {
            leader.joining.shift_remove(&member.id.host);
        }
    }

    fn append_replicas(&mut self, replicas: Replicas) {
        let index = self.append(Content::Replicas(replicas.clone()));
        self.output(Output::Notice(Notice::ReplicasAppended { index, replicas }));
        self.update_peers();
        self.replicate_all();
    }

    /// Returns whether a replica has synced the latest replica change and all entries that were
    /// committed at the latest heartbeat.
    fn has_caught_up(&self, id: &ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let goal = leader.commit_at_heartbeat.max(self.log.replicas_index());
        match leader.peers.get(id) {
            _ if *id == self.id => true,
            Some(progress) => progress.matched >= goal.max(leader.first_index),
            None => false,
        }
    }
}

/// Returns the voters with one replaced by its successor on the same host.
fn replace_voter(replicas: &Replicas, successor: &Member) -> Vec<Member> {
    let replace = |voter: &Member| {
        if voter.id.host == successor.id.host {
            successor.clone()
        } else {
            voter.clone()
        }
    };
    replicas.voters.iter().map(replace).collect()
}
