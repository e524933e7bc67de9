//! What a flight is told, and what it says to do.

use std::time::Duration;

use bytes::Bytes;
use kumquatdrum_types::exchange::{Fault, Status, Target};
use kumquatdrum_types::{AttemptId, EndpointId, Refusal};

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The router chose an endpoint; the attempt got its name.
    Placed(Target, AttemptId),
    /// The router refused.
    Refused(Refusal, Option<Duration>),
    /// The key was claimed for this attempt.
    Claimed,
    /// The key could not be claimed, and it is certain that it is not.
    ClaimRefused(Refusal, Option<Duration>),
    /// The head of the answer arrived.
    Accepted,
    /// Tokens up to this count have arrived, or a piece of a plain answer.
    Progress(u64),
    /// The answer is whole.
    Finished,
    /// The exchange ended otherwise.
    Fault(Fault),
    /// The engine said how the attempt stands.
    Status(Status),
    /// The engine confirmed a cancel and said how the attempt had stood.
    Cancelled(Status),
    /// The engine could not be asked.
    Unreachable,
    /// The budget for retries is used up.
    RetryDenied,
    /// Memory reserved for the attempt at another engine was lost.
    PartLost,
    /// The caller has left.
    CallerGone,
    /// Time went by.
    Tick,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Ask the router for an endpoint, but for these.
    Place {
        /// Endpoints that failed this request already.
        excluded: Vec<EndpointId>,
    },
    /// Ask the budget for a retry, then place as above.
    Retry {
        /// Endpoints that failed this request already.
        excluded: Vec<EndpointId>,
    },
    /// Tell the router that the request needs no endpoint any more.
    Withdraw,
    /// Claim the idempotency key for this attempt.
    Claim,
    /// Send the attempt.
    Dispatch(Target, AttemptId),
    /// Ask over a new connection how the attempt stands.
    Probe(Target, AttemptId),
    /// Drop the exchange and resume over a new connection from this token.
    Resume(Target, AttemptId, u64),
    /// Cancel the attempt, repeat it until confirmed, and report the confirmation.
    Cancel(Target, AttemptId),
    /// Cancel the attempt and repeat it until confirmed; nobody waits for it here.
    Abandon(Target, AttemptId),
    /// The request is over.
    End(Ending),
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer was delivered.
    Finished,
    /// Nothing of it ran, and nothing will.
    NotRun {
        /// Why.
        refusal: Refusal,
        /// When to come back, where that is worth it.
        retry_after: Option<Duration>,
    },
    /// It ran and did not finish.
    Failed(Cause),
    /// It was dispatched, and what became of it could not be learnt.
    Unknown(Cause),
    /// The caller has left.
    CallerGone,
}

/// Why a dispatched request did not finish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cause {
    /// The deadline came.
    Deadline,
    /// The endpoint died, restarted or lost the attempt.
    EndpointLost,
    /// The endpoint answered with an error of its own.
    Rejected {
        /// Its HTTP status.
        status: u16,
        /// Its body, cut to a bound.
        body: Bytes,
    },
}
