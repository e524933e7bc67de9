//! How a request of a trace ended, and whether that meets its stated outcome.

use std::time::Duration;

use kumquatdrum_types::{FailureClass, Refusal};
use serde::{Deserialize, Serialize};

use crate::trace::{Entry, Expectation};

/// How a request ended, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer came, and it is the answer to this request.
    Finished,
    /// The request ran and did not finish.
    Failed,
    /// The caller was told that nothing ran.
    NotRun,
    /// What became of it could not be learnt.
    Unknown,
    /// An answer came that isn't the answer to this request.
    Crossed,
}

impl From<FailureClass> for Outcome {
    fn from(class: FailureClass) -> Self {
        match class {
            FailureClass::NotRun => Self::NotRun,
            FailureClass::Failed => Self::Failed,
            FailureClass::Unknown => Self::Unknown,
        }
    }
}

/// What a caller saw of one request.
#[derive(Debug, Clone)]
pub struct Observation {
    /// How it ended.
    pub outcome: Outcome,
    /// The error's code, the system's own or one of this client's.
    pub code: Option<String>,
    /// When to come back, where the answer said so.
    pub retry_after: Option<Duration>,
    /// Time to the first token, or to the answer of a plain service.
    pub first_token: Option<Duration>,
    /// Time to the answer's end.
    pub total: Duration,
}

/// What is wrong with an observation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// Another outcome than the stated one.
    Outcome,
    /// The answer came after the deadline.
    Late,
    /// Another request's answer.
    Crossed,
    /// A refusal that is worth a retry doesn't say when to come back.
    NoRetryAfter,
}

/// Judges an observation; `slack` is added to the deadline for the way back to the caller.
///
/// ```
/// use std::time::Duration;
/// use kumquatdrum_replay::outcome::{Observation, Outcome, Violation, judge};
///
/// let entry = &kumquatdrum_replay::generate(&Default::default())[0];
/// let late = Observation {
///     outcome: Outcome::Finished,
///     code: None,
///     retry_after: None,
///     first_token: Some(Duration::from_millis(3)),
///     total: Duration::from_millis(entry.deadline_ms + 1),
/// };
/// assert_eq!(judge(entry, &late, Duration::ZERO), [Violation::Late]);
/// ```
pub fn judge(entry: &Entry, seen: &Observation, slack: Duration) -> Vec<Violation> {
    let deadline = Duration::from_millis(entry.deadline_ms) + slack;
    let found = [
        (seen.outcome == Outcome::Crossed).then_some(Violation::Crossed),
        (!meets(entry.expect, seen.outcome)).then_some(Violation::Outcome),
        (seen.total > deadline).then_some(Violation::Late),
        lacks_retry_after(seen).then_some(Violation::NoRetryAfter),
    ];
    found.into_iter().flatten().collect()
}

const fn meets(expect: Expectation, outcome: Outcome) -> bool {
    match expect {
        Expectation::Finished => matches!(outcome, Outcome::Finished),
        Expectation::NotRun => matches!(outcome, Outcome::NotRun),
        Expectation::FinishedOrNotRun => matches!(outcome, Outcome::Finished | Outcome::NotRun),
        Expectation::Failed => matches!(outcome, Outcome::Failed),
        Expectation::Any => !matches!(outcome, Outcome::Crossed),
    }
}

fn lacks_retry_after(seen: &Observation) -> bool {
    let code = seen.code.as_deref().unwrap_or_default();
    let refusal: Option<Refusal> = serde_json::from_value(code.into()).ok();
    seen.outcome == Outcome::NotRun
        && refusal.is_some_and(Refusal::is_retryable)
        && seen.retry_after.is_none()
}
