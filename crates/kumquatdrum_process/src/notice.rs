//! Log lines of a replica's elections and replica changes.

use kumquatdrum_consensus::{Member, Notice};
use slog::info;

/// Logs a step of an election or of a replica change.
///
/// ```
/// use kumquatdrum_consensus::{LogIndex, Notice, Replicas};
/// let logger = slog::Logger::root(slog::Discard, slog::o!());
/// let notice = Notice::ReplicasAppended { index: LogIndex(7), replicas: Replicas::default() };
/// kumquatdrum_process::notice::log(&logger, &notice);
/// ```
pub fn log(logger: &slog::Logger, notice: &Notice) {
    match notice {
        Notice::Campaign {
            term,
            is_pre_vote,
            last_index,
            last_term,
        } => info!(logger, "campaign"; "event" => "campaign", "term" => %term,
            "pre_vote" => is_pre_vote, "last_index" => %last_index, "last_term" => %last_term),
        Notice::Vote {
            candidate,
            term,
            is_pre_vote,
            verdict,
        } => info!(logger, "vote"; "event" => "vote", "candidate" => %candidate, "term" => %term,
            "pre_vote" => is_pre_vote, "verdict" => verdict.as_str()),
        Notice::ReplicasAppended { index, replicas } => {
            info!(logger, "replicas_appended"; "event" => "replicas_appended", "index" => %index,
                "voters" => names(&replicas.voters), "outgoing" => names(&replicas.outgoing),
                "learners" => names(&replicas.learners));
        }
    }
}

fn names(members: &[Member]) -> String {
    let names = members.iter().map(|member| member.id.to_string());
    names.collect::<Vec<_>>().join(",")
}
