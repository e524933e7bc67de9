//! What the router tells the shell to do.

use std::time::Duration;

use kumquatdrum_types::{EndpointId, Refusal, RequestId};

/// One order of the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send the request on.
    Dispatch(Dispatch),
    /// Answer the caller that the request was not run.
    Refuse(Refuse),
    /// Ask the endpoint for a whole list of its cached blocks.
    Resync(EndpointId),
}

/// A dispatch of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// Where it goes: one endpoint, or several for a prompt that exceeds each of them. Several
    /// are first reserved with [`Gang`](crate::gang::Gang), in the given order.
    pub endpoints: Vec<EndpointId>,
    /// The attempt's counter, growing over all dispatches of this owner.
    pub attempt: u64,
    /// The priority to hand to the engine; higher goes first.
    pub engine_priority: u8,
}

/// A refusal: nothing of the request was run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refuse {
    /// The request.
    pub request: RequestId,
    /// Why.
    pub reason: Refusal,
    /// When to come back, where that could help.
    pub retry_after: Option<Duration>,
}
