//! Failure classes and refusal codes of requests.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Guarantee that an error response gives about whether its request was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureClass {
    /// No part of the request was executed or will be.
    NotRun,
    /// The request was executed and did not complete.
    Failed,
    /// The request was dispatched, and its result is not known.
    Unknown,
}

/// Reason that a request was not executed; its code appears in responses and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The request is malformed; a retry fails in the same way.
    BadRequest,
    /// The key is unknown, or isn't valid on this listener.
    Unauthorized,
    /// The service doesn't exist or isn't available to the workspace.
    UnknownService,
    /// The prompt exceeds the capacity of any set of engines.
    PromptTooLong,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The daemon's memory limit for request bodies is reached.
    MemoryFull,
    /// The workspace exceeds its rate limit.
    RateLimited,
    /// The workspace has reached its limit of requests in flight.
    ConcurrencyLimited,
    /// The queue is full, or the deadline can't be met.
    Overloaded,
    /// No endpoint of the service is known to be alive.
    NoEndpoint,
    /// Endpoints crashed while they ran the request.
    Blocked,
    /// The deadline expired before the dispatch.
    DeadlineBeforeDispatch,
    /// The idempotency key can't be claimed because no quorum of control replicas responds.
    ClaimUnavailable,
    /// The daemon is shutting down.
    Draining,
    /// This host has no declaration in force yet.
    NoDeclaration,
}

impl Refusal {
    /// Returns whether a retry can succeed.
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

    /// Returns the default delay before a retry, or `None` if a retry is pointless.
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
