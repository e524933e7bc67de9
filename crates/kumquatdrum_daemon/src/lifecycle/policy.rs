//! What is fixed about a request, and the times that its flight goes by.

use std::time::Duration;

use kumquatdrum_types::Moment;

/// Times that a flight goes by.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Without any event of the exchange for this long, the engine is asked over a new connection.
    pub quiet: Duration,
    /// The wait between two such questions while the engine can't be reached.
    pub probe_again: Duration,
    /// The wait after a question that the engine answered with "still at it".
    pub patience: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            quiet: Duration::from_secs(1),
            probe_again: Duration::from_millis(500),
            patience: Duration::from_secs(2),
        }
    }
}

/// What is fixed about a request from its start.
#[derive(Debug, Clone)]
pub struct Policy {
    /// When it must have ended.
    pub deadline: Moment,
    /// Whether it may be done more than once.
    pub is_idempotent: bool,
    /// Whether an idempotency key must be claimed before the dispatch.
    pub has_key: bool,
    /// Whether the endpoint can be asked about attempts; plain services can't.
    pub is_resumable: bool,
    /// Whether the answer reaches the caller piece by piece.
    pub is_streamed: bool,
    /// The most attempts.
    pub max_attempts: u32,
}
