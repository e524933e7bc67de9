//! Steps of elections and replica changes that are reported for logs.

use crate::{LogIndex, ReplicaId, Replicas, Term};

/// A step of an election or a replica change. Drivers log it; nothing else depends on it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// The replica asks the other voters for their votes.
    Campaign {
        /// The term in which it would lead.
        term: Term,
        /// Whether it asks for pre-votes, which change no term.
        is_pre_vote: bool,
        /// The index of its last entry.
        last_index: LogIndex,
        /// The term of its last entry.
        last_term: Term,
    },
    /// The replica has decided on a candidate's request.
    Vote {
        /// The candidate.
        candidate: ReplicaId,
        /// The term in which the candidate would lead.
        term: Term,
        /// Whether the request was for a pre-vote.
        is_pre_vote: bool,
        /// The decision.
        verdict: Verdict,
    },
    /// The leader has appended an entry that changes the replicas.
    ReplicasAppended {
        /// The index of the entry.
        index: LogIndex,
        /// The replicas from this entry on.
        replicas: Replicas,
    },
}

/// The decision on a request for a vote or pre-vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The candidate gets the vote.
    Granted,
    /// A leader was heard from within the election timeout, or this replica leads.
    Promised,
    /// The candidate's term has passed.
    TermPassed,
    /// The candidate's log lacks entries of this replica.
    LogBehind,
    /// Another candidate has the vote of this term.
    VotedForOther,
}

impl Verdict {
    /// Returns the verdict as it is logged.
    ///
    /// ```
    /// use kumquatdrum_consensus::Verdict;
    /// assert_eq!(Verdict::LogBehind.as_str(), "log behind");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Promised => "promised",
            Self::TermPassed => "term passed",
            Self::LogBehind => "log behind",
            Self::VotedForOther => "voted for other",
        }
    }
}
