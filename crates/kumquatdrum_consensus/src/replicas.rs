//! Who votes, and what a majority of them is.

use kumquatdrum_types::HostId;
use serde::{Deserialize, Serialize};

use crate::{Member, ReplicaId};

/// Removed replicas that are remembered, so that none is taken back by mistake.
const MAX_RETIRED: usize = 64;

/// The replicas of a cluster. While a change is under way, majorities of both the old and the
/// new voters are needed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replicas {
    /// Those who vote, after the change where one is under way.
    pub voters: Vec<Member>,
    /// Those who voted before the change that is under way; empty otherwise.
    pub outgoing: Vec<Member>,
    /// Those who receive the log and do not vote.
    pub learners: Vec<Member>,
    /// Former voters, which are never taken back.
    pub retired: Vec<ReplicaId>,
}

impl Replicas {
    /// Replicas that all vote.
    pub fn from_voters(voters: Vec<Member>) -> Self {
        Self {
            voters,
            ..Self::default()
        }
    }

    /// Whether a change is under way.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether a replica votes, before or after a change.
    pub fn is_voter(&self, id: &ReplicaId) -> bool {
        holds(&self.voters, id) || holds(&self.outgoing, id)
    }

    /// Whether a replica receives the log.
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.is_voter(id) || holds(&self.learners, id)
    }

    /// All replicas that receive the log, each once.
    pub fn members(&self) -> Vec<&Member> {
        let mut members: Vec<&Member> = Vec::new();
        let all = self
            .voters
            .iter()
            .chain(&self.outgoing)
            .chain(&self.learners);
        for member in all {
            if !members.iter().any(|known| known.id == member.id) {
                members.push(member);
            }
        }
        members
    }

    /// The voter of a host.
    pub fn voter_of(&self, host: &HostId) -> Option<&Member> {
        self.voters.iter().find(|member| &member.id.host == host)
    }

    /// The largest value that a majority of the voters has reached, in a joint change a majority
    /// of either side.
    ///
    /// ```
    /// use kumquatdrum_consensus::{Member, Replicas};
    /// let members = ["a", "b", "c"].map(|host| Member::new(host, 1, "ikeja"));
    /// let replicas = Replicas::from_voters(members.to_vec());
    /// let reached = replicas.reached(|id| if id.host.as_str() == "a" { 9 } else { 4 });
    /// assert_eq!(reached, 4);
    /// ```
    pub fn reached(&self, value: impl Fn(&ReplicaId) -> u64) -> u64 {
        let new = majority_value(&self.voters, &value);
        if self.is_joint() {
            new.min(majority_value(&self.outgoing, &value))
        } else {
            new
        }
    }

    /// Whether those for whom `agrees` holds are a majority.
    pub fn is_majority(&self, agrees: impl Fn(&ReplicaId) -> bool) -> bool {
        self.reached(|id| u64::from(agrees(id))) == 1
    }

    /// The joint step towards `voters`.
    #[must_use]
    pub fn joint(&self, voters: Vec<Member>) -> Self {
        let learners = self
            .learners
            .iter()
            .filter(|learner| !holds(&voters, &learner.id));
        Self {
            learners: learners.cloned().collect(),
            outgoing: self.voters.clone(),
            voters,
            retired: self.retired.clone(),
        }
    }

    /// The step that ends a joint change.
    #[must_use]
    pub fn settled(&self) -> Self {
        let gone = self
            .outgoing
            .iter()
            .filter(|old| !holds(&self.voters, &old.id));
        let mut retired = self.retired.clone();
        retired.extend(gone.map(|member| member.id.clone()));
        retired.drain(..retired.len().saturating_sub(MAX_RETIRED));
        Self {
            voters: self.voters.clone(),
            outgoing: Vec::new(),
            learners: self.learners.clone(),
            retired,
        }
    }

    /// The step that adds a learner, in the place of another one of its host.
    #[must_use]
    pub fn with_learner(&self, learner: Member) -> Self {
        let mut next = self.clone();
        next.learners
            .retain(|known| known.id.host != learner.id.host);
        next.learners.push(learner);
        next
    }
}

fn holds(members: &[Member], id: &ReplicaId) -> bool {
    members.iter().any(|member| &member.id == id)
}

fn majority_value(members: &[Member], value: impl Fn(&ReplicaId) -> u64) -> u64 {
    let mut values: Vec<u64> = members.iter().map(|member| value(&member.id)).collect();
    values.sort_unstable();
    let majority = values.len() / 2 + 1;
    values
        .len()
        .checked_sub(majority)
        .map_or(0, |position| values[position])
}
