//! Outcomes of requests, and checks against the expected outcome.

use std::time::Duration;

use kumquatdrum_types::{FailureClass, Refusal};
use serde::{Deserialize, Serialize};

use crate::trace::{Entry, Expectation};

/// Outcome of a request, as observed by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The complete and correct answer was received.
    Finished,
    /// The request ran and didn't finish.
    Failed,
    /// The caller was told that nothing ran.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
    /// The answer belongs to another request or is wrong.
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

/// Observation of one request by its caller.
#[derive(Debug, Clone)]
pub struct Observation {
    /// Outcome.
    pub outcome: Outcome,
    /// Error code from the response, or from this client if it detected the failure.
    pub code: Option<String>,
    /// Time to wait before a retry, if the answer states one.
    pub retry_after: Option<Duration>,
    /// Time to the first token, or to the answer of a plain service.
    pub first_token: Option<Duration>,
    /// Time to the end of the answer.
    pub total: Duration,
}

/// Violation of an expectation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// The outcome isn't the expected one.
    Outcome,
    /// The answer ended after the deadline.
    Late,
    /// The answer belongs to another request or is wrong.
    Crossed,
    /// A retryable refusal states no time to wait before a retry.
    NoRetryAfter,
}

/// Returns the violations of an observation.
///
/// `slack` is added to the deadline to allow for the transport of the answer.
///
/// ```
/// use std::time::Duration;
/// use kumquatdrum_replay::outcome::{Observation, Outcome, Violation, find_violations};
///
/// let entry = &kumquatdrum_replay::generate(&Default::default())[0];
/// let late = Observation {
///     outcome: Outcome::Finished,
///     code: None,
///     retry_after: None,
///     first_token: Some(Duration::from_millis(3)),
///     total: Duration::from_millis(entry.deadline_ms + 1),
/// };
/// assert_eq!(find_violations(entry, &late, Duration::ZERO), [Violation::Late]);
/// ```
pub fn find_violations(
    entry: &Entry,
    observation: &Observation,
    slack: Duration,
) -> Vec<Violation> {
    let deadline = Duration::from_millis(entry.deadline_ms) + slack;
    let found = [
        (observation.outcome == Outcome::Crossed).then_some(Violation::Crossed),
        (!is_expected(entry.expect, observation.outcome)).then_some(Violation::Outcome),
        (observation.total > deadline).then_some(Violation::Late),
        lacks_retry_after(observation).then_some(Violation::NoRetryAfter),
    ];
    found.into_iter().flatten().collect()
}

const fn is_expected(expect: Expectation, outcome: Outcome) -> bool {
    match expect {
        Expectation::Finished => matches!(outcome, Outcome::Finished),
        Expectation::NotRun => matches!(outcome, Outcome::NotRun),
        Expectation::FinishedOrNotRun => matches!(outcome, Outcome::Finished | Outcome::NotRun),
        Expectation::Failed => matches!(outcome, Outcome::Failed),
        Expectation::Any => !matches!(outcome, Outcome::Crossed),
    }
}

fn lacks_retry_after(observation: &Observation) -> bool {
    let code = observation.code.as_deref().unwrap_or_default();
    let refusal: Option<Refusal> = serde_json::from_value(code.into()).ok();
    observation.outcome == Outcome::NotRun
        && refusal.is_some_and(Refusal::is_retryable)
        && observation.retry_after.is_none()
}
