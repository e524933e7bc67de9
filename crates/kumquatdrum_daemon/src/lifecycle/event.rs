//! Inputs and outputs of a request's life cycle.

use std::time::Duration;

use bytes::Bytes;
use kumquatdrum_types::exchange::{Fault, Status, Target};
use kumquatdrum_types::{AttemptId, EndpointId, Refusal};

/// An event for the life cycle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The router chose an endpoint for the attempt.
    Placed(Target, AttemptId),
    /// The router refused the request.
    Refused(Refusal, Option<Duration>),
    /// The idempotency key was claimed for this attempt.
    Claimed,
    /// The idempotency key couldn't be claimed for this attempt.
    ClaimRefused(Refusal, Option<Duration>),
    /// The response head arrived.
    Accepted,
    /// The response has arrived up to this number of tokens, or of chunks from a plain service.
    Progress(u64),
    /// The response is complete.
    Finished,
    /// The exchange ended without a complete response.
    Fault(Fault),
    /// The engine responded to a probe with the attempt's status.
    Probed(Status),
    /// The engine confirmed a cancel, with the attempt's status before it.
    Cancelled(Status),
    /// The engine could not be reached by a probe or cancel.
    Unreachable,
    /// The retry budget is exhausted.
    RetryDenied,
    /// Memory reserved for the attempt at another engine was lost.
    ReservationLost,
    /// The caller has disconnected.
    CallerGone,
    /// The clock has advanced.
    Tick,
}

/// Work for the driver of the request to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Request an endpoint from the router.
    Place {
        /// Endpoints that have failed this request.
        excluded: Vec<EndpointId>,
    },
    /// Take a retry from the budget, then request an endpoint from the router.
    Retry {
        /// Endpoints that have failed this request.
        excluded: Vec<EndpointId>,
    },
    /// Withdraw the request from the router.
    Withdraw,
    /// Claim the idempotency key for this attempt.
    Claim,
    /// Send the attempt.
    Dispatch(Target, AttemptId),
    /// Request the attempt's status over a new connection.
    Probe(Target, AttemptId),
    /// Drop the exchange and resume the response over a new connection from this token.
    Resume(Target, AttemptId, u64),
    /// Cancel the attempt and report the confirmation.
    Cancel(Target, AttemptId),
    /// Cancel the attempt until confirmed, without a report.
    Abandon(Target, AttemptId),
    /// End the request.
    End(Ending),
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The whole response was delivered.
    Finished,
    /// No attempt ran or will run.
    NotRun {
        /// The reason that no attempt ran.
        refusal: Refusal,
        /// When to retry, if a retry can succeed.
        retry_after: Option<Duration>,
    },
    /// An attempt ran and did not finish.
    Failed(Cause),
    /// An attempt was dispatched and its outcome is unknown.
    Unknown(Cause),
    /// The caller has disconnected.
    CallerGone,
}

/// The reason why a dispatched request did not finish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// The deadline passed.
    Deadline,
    /// The endpoint failed, restarted or lost the attempt.
    EndpointLost,
    /// The endpoint responded with an error.
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The body, truncated to a limit.
        body: Bytes,
    },
}
