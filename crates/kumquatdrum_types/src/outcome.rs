//! How a request ended, in the three classes that callers may rely on.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The class of an unsuccessful answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureClass {
    /// Nothing of the request ran, and nothing of it will.
    NotRun,
    /// It ran and did not finish.
    Failed,
    /// It was dispatched, and what became of it could not be learnt.
    Unknown,
}

/// Why a request was not run. Each has a fixed code, in callers' answers and in metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The request itself is wrong; sending it again changes nothing.
    BadRequest,
    /// No such key, or a key of another kind of listener.
    Unauthorized,
    /// No such service, or not one of this workspace's.
    UnknownService,
    /// The prompt exceeds what any set of engines could hold.
    PromptTooLong,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The daemon holds as many body bytes as it may.
    MemoryFull,
    /// The workspace has used up its rate.
    RateLimited,
    /// The workspace has as many requests in flight as it may.
    ConcurrencyLimited,
    /// The queue is full, or the deadline can't be met any more.
    Overloaded,
    /// No endpoint of the service is known to be alive.
    NoEndpoint,
    /// The deadline came before the dispatch.
    DeadlineBeforeDispatch,
    /// The idempotency key can't be claimed, as no majority of the control replicas answers.
    ClaimUnavailable,
    /// The daemon is being shut down.
    Draining,
    /// No declaration is in force on this host yet.
    NoDeclaration,
}

impl Refusal {
    /// Whether a later attempt could fare better.
    ///
    /// ```
    /// use kumquatdrum_types::Refusal;
    /// assert!(Refusal::Overloaded.is_retryable());
    /// assert!(!Refusal::PromptTooLong.is_retryable());
    /// ```
    pub const fn is_retryable(self) -> bool {
        !matches!(
            self,
            Self::BadRequest
                | Self::Unauthorized
                | Self::UnknownService
                | Self::PromptTooLong
                | Self::BodyTooLarge
        )
    }

    /// When to come back, where nothing better is known.
    ///
    /// ```
    /// use kumquatdrum_types::Refusal;
    /// assert!(Refusal::Draining.default_retry_after().is_some());
    /// assert!(Refusal::BadRequest.default_retry_after().is_none());
    /// ```
    pub const fn default_retry_after(self) -> Option<Duration> {
        if self.is_retryable() {
            Some(Duration::from_secs(1))
        } else {
            None
        }
    }
}
