//! Changing the replicas: learners first, then jointly, one change at a time.
//!
//! Where a host comes back with a new incarnation, the leader makes the change by itself.

use kumquatdrum_types::Moment;

use crate::node::{Node, Role};
use crate::{Content, Member, ProposalOutcome, ReplicaId, Replicas, Resignation, Token};

/// A change of the voters that was asked for.
#[derive(Debug)]
pub(crate) struct Change {
    pub(crate) token: Token,
    voters: Vec<Member>,
    give_up_at: Moment,
}

impl Node {
    pub(crate) fn on_change_replicas(&mut self, token: Token, mut voters: Vec<Member>) {
        voters.sort();
        voters.dedup();
        let leader = self.leader.clone();
        let give_up_at = self.now + self.settings.change_timeout;
        let outcome = match &mut self.role {
            Role::Leader(leading) if leading.change.is_none() && !voters.is_empty() => {
                leading.change = Some(Change {
                    token,
                    voters,
                    give_up_at,
                });
                self.advance_change();
                return;
            }
            Role::Leader(_) => ProposalOutcome::Busy,
            _ => ProposalOutcome::NotLeader { leader },
        };
        self.proposed(token, outcome);
    }

    /// Gives up a change that takes too long, as a new replica may never come.
    pub(crate) fn give_up_late_change(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if let Some(change) = leader.change.take_if(|change| now >= change.give_up_at) {
            self.proposed(change.token, ProposalOutcome::Unknown);
        }
    }

    /// A replica that does not vote makes itself known. One of a host that votes with another
    /// incarnation is a lost disk's successor.
    pub(crate) fn on_hello(&mut self, member: Member) {
        let replicas = self.log.replicas();
        let known = replicas.contains(&member.id) || replicas.retired.contains(&member.id);
        let succeeds = replicas.voter_of(&member.id.host).is_some();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if known || !succeeds {
            return;
        }
        let replaced = |target: &Member| target.id.host == member.id.host && target.id != member.id;
        let overtaken = |change: &Change| change.voters.iter().any(replaced);
        let lost = leader.change.take_if(|change| overtaken(change));
        leader.newcomers.insert(member.id.host.clone(), member);
        if let Some(change) = lost {
            self.proposed(change.token, ProposalOutcome::Unknown);
        }
        self.advance_change();
    }

    /// Takes the next step of a change, where one is due and the previous one is committed.
    pub(crate) fn advance_change(&mut self) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let replicas = self.log.replicas();
        let committed = self.log.replicas_index() <= self.commit && leader.first <= self.commit;
        if !committed {
            return;
        }
        if replicas.is_joint() {
            self.append_replicas(replicas.settled());
        } else if !replicas.is_voter(&self.id) {
            self.leave();
        } else if let Some(change) = &leader.change {
            self.advance_requested(change.voters.clone());
        } else {
            self.advance_repair();
        }
    }

    /// The replica has led the change that removed it.
    fn leave(&mut self) {
        self.finish_change();
        self.give_up_leading(Resignation::Removed);
    }

    fn finish_change(&mut self) {
        let index = self.log.replicas_index();
        let replicas = self.log.replicas();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let reached = |change: &mut Change| {
            let mut voters = replicas.voters.clone();
            voters.sort();
            voters == change.voters
        };
        if let Some(change) = leader.change.take_if(reached) {
            self.proposed(change.token, ProposalOutcome::Committed { index });
        }
    }

    fn advance_requested(&mut self, target: Vec<Member>) {
        self.finish_change();
        let replicas = self.log.replicas();
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if leader.change.is_none() {
            return;
        }
        let missing = target.iter().find(|member| !replicas.contains(&member.id));
        if let Some(member) = missing {
            self.append_replicas(replicas.with_learner(member.clone()));
        } else if target.iter().all(|member| self.has_caught_up(&member.id)) {
            self.append_replicas(replicas.joint(target));
        }
    }

    /// A learner that has caught up takes its predecessor's place; otherwise a newcomer becomes a
    /// learner. One that never catches up holds up no other.
    fn advance_repair(&mut self) {
        let replicas = self.log.replicas();
        let succeeds = |learner: &&Member| replicas.voter_of(&learner.id.host).is_some();
        let mut learners = replicas.learners.iter().filter(succeeds);
        let ready = learners.find(|learner| self.has_caught_up(&learner.id));
        let Role::Leader(leader) = &self.role else {
            return;
        };
        if let Some(learner) = ready {
            let next = replicas.joint(succeeded(replicas, learner));
            self.append_replicas(next);
        } else if let Some(newcomer) = leader.newcomers.values().next().cloned() {
            let next = replicas.with_learner(newcomer.clone());
            self.forget_newcomer(&newcomer);
            self.append_replicas(next);
        }
    }

    fn forget_newcomer(&mut self, newcomer: &Member) {
        if let Role::Leader(leader) = &mut self.role {
            leader.newcomers.shift_remove(&newcomer.id.host);
        }
    }

    fn append_replicas(&mut self, replicas: Replicas) {
        self.append(Content::Replicas(replicas));
        self.follow_replicas();
        self.replicate_all();
    }

    /// Whether a replica has the entry that names it, and all that was committed at the latest
    /// heartbeat, synced.
    fn has_caught_up(&self, id: &ReplicaId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let goal = leader.commit_at_heartbeat.max(self.log.replicas_index());
        match leader.peers.get(id) {
            _ if *id == self.id => true,
            Some(progress) => progress.matched >= goal.max(leader.first),
            None => false,
        }
    }
}

/// The voters with one replaced by its successor on the same host.
fn succeeded(replicas: &Replicas, successor: &Member) -> Vec<Member> {
    let replace = |voter: &Member| {
        if voter.id.host == successor.id.host {
            successor.clone()
        } else {
            voter.clone()
        }
    };
    replicas.voters.iter().map(replace).collect()
}
