//! Actions that the router requests.

use std::time::Duration;

use kumquatdrum_types::{EndpointId, Refusal, RequestId};

/// An action that the router requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send the request to endpoints.
    Dispatch(Dispatch),
    /// Reject the request, which was not run.
    Refuse(Refuse),
    /// Ask the endpoint for a snapshot of its cached blocks.
    Resync(EndpointId),
}

/// The dispatch of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// One endpoint, or several for a prompt that exceeds the memory of each. Several must first be
    /// reserved with [`Reservations`](crate::gang::Reservations), in the given order.
    pub endpoints: Vec<EndpointId>,
    /// The number of the attempt, increasing over all dispatches of this owner.
    pub attempt: u64,
    /// The priority for the engine; higher runs first.
    pub engine_priority: u8,
}

/// The rejection of a request that was not run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refuse {
    /// The request.
    pub request: RequestId,
    /// The reason.
    pub reason: Refusal,
    /// When to retry, if a retry can help.
    pub retry_after: Option<Duration>,
}
