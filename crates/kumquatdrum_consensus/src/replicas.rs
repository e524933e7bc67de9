//! The replicas of a cluster and their majorities.

use kumquatdrum_types::HostId;
use serde::{Deserialize, Serialize};

use crate::{Member, ReplicaId};

/// Maximum number of replicas in `retired`; the oldest are dropped.
const MAX_RETIRED_REPLICAS: usize = 64;

/// The replicas of a cluster. During a joint change, decisions need a majority of both the old
/// and the new voters.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replicas {
    /// The voters; in a joint change, the new ones.
    pub voters: Vec<Member>,
    /// The old voters of a joint change; otherwise empty.
    pub outgoing: Vec<Member>,
    /// Replicas that receive the log without voting.
    pub learners: Vec<Member>,
    /// Former voters, which cannot join again.
    pub retired: Vec<ReplicaId>,
}

impl Replicas {
    /// Creates a set in which all replicas vote.
    pub fn from_voters(voters: Vec<Member>) -> Self {
        Self {
            voters,
            ..Self::default()
        }
    }

    /// Returns whether a joint change is in progress.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Returns whether a replica is an old or new voter.
    pub fn is_voter(&self, id: &ReplicaId) -> bool {
        contains_replica(&self.voters, id) || contains_replica(&self.outgoing, id)
    }

    /// Returns whether a replica receives the log.
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.is_voter(id) || contains_replica(&self.learners, id)
    }

    /// Returns all replicas that receive the log, without duplicates.
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

    /// Returns the voter on a host.
    pub fn voter_on(&self, host: &HostId) -> Option<&Member> {
        self.voters.iter().find(|member| &member.id.host == host)
    }

    /// Returns the largest value that a majority of the voters has reached; in a joint change, a
    /// majority of both the old and the new voters.
    ///
    /// ```
    /// use kumquatdrum_consensus::{Member, Replicas};
    /// let members = ["a", "b", "c"].map(|host| Member::new(host, 1, "ikeja"));
    /// let replicas = Replicas::from_voters(members.to_vec());
    /// let value = replicas.quorum_value(|id| if id.host.as_str() == "a" { 9 } else { 4 });
    /// assert_eq!(value, 4);
    /// ```
    pub fn quorum_value(&self, value: impl Fn(&ReplicaId) -> u64) -> u64 {
        let new = majority_value(&self.voters, &value);
        if self.is_joint() {
            new.min(majority_value(&self.outgoing, &value))
        } else {
            new
        }
    }

    /// Returns whether the voters for which `agrees` is true form a majority.
    pub fn is_majority(&self, agrees: impl Fn(&ReplicaId) -> bool) -> bool {
        self.quorum_value(|id| u64::from(agrees(id))) == 1
    }

    /// Returns the replicas of a joint change to `voters`.
    #[must_use]
    pub fn enter_joint(&self, voters: Vec<Member>) -> Self {
        let learners = self
            .learners
            .iter()
            .filter(|learner| !contains_replica(&voters, &learner.id));
        Self {
            learners: learners.cloned().collect(),
            outgoing: self.voters.clone(),
            voters,
            retired: self.retired.clone(),
        }
    }

    /// Returns the replicas after the joint change.
    #[must_use]
    pub fn leave_joint(&self) -> Self {
        let removed = self
            .outgoing
            .iter()
            .filter(|old| !contains_replica(&self.voters, &old.id));
        let mut retired = self.retired.clone();
        retired.extend(removed.map(|member| member.id.clone()));
        retired.drain(..retired.len().saturating_sub(MAX_RETIRED_REPLICAS));
        Self {
            voters: self.voters.clone(),
            outgoing: Vec::new(),
            learners: self.learners.clone(),
            retired,
        }
    }

    /// Returns the replicas with a learner added, which replaces any other learner on its host.
    #[must_use]
    pub fn with_learner(&self, learner: Member) -> Self {
        let mut next = self.clone();
        next.learners
            .retain(|known| known.id.host != learner.id.host);
        next.learners.push(learner);
        next
    }
}

fn contains_replica(members: &[Member], id: &ReplicaId) -> bool {
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
