//! Fixed properties of a request and timeouts of its life cycle.

use std::time::Duration;

use kumquatdrum_types::Moment;

/// Timeouts of a request's life cycle.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// How long an exchange can be silent before the engine is probed over a new connection.
    pub idle_timeout: Duration,
    /// The probe interval while the engine is unreachable.
    pub unreachable_interval: Duration,
    /// The probe interval while the engine reports the attempt as waiting, running or finished.
    pub alive_interval: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            idle_timeout: Duration::from_secs(1),
            unreachable_interval: Duration::from_millis(500),
            alive_interval: Duration::from_secs(2),
        }
    }
}

/// The properties of a request that decide how it can be executed.
#[derive(Debug, Clone)]
pub struct Policy {
    /// The time by which the request must have ended.
    pub deadline: Moment,
    /// Whether the request can run more than once.
    pub is_idempotent: bool,
    /// Whether an idempotency key must be claimed before the dispatch.
    pub has_key: bool,
    /// Whether the endpoint supports probe, cancel and resume; plain services don't.
    pub is_resumable: bool,
    /// Whether the response is streamed to the caller.
    pub is_streamed: bool,
    /// The maximum number of dispatches.
    pub max_attempts: u32,
}
