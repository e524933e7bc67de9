//! Attempts of requests on an engine.

use kumquatdrum_types::exchange::Stage;
use kumquatdrum_types::{AttemptId, Moment};

/// A request submitted to an engine.
#[derive(Debug, Clone)]
pub struct Request {
    /// Unique identifier; a request with a known one is refused.
    pub id: AttemptId,
    /// Host that sent the request.
    pub owner: String,
    /// Owner's attempt counter.
    pub counter: u64,
    /// Scheduling priority; lower values run first.
    pub priority: u32,
    /// Time at which the engine fails the attempt.
    pub deadline: Moment,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Length of the answer, in tokens.
    pub max_tokens: u32,
    /// SHA-256 of the prompt text, in hexadecimal.
    pub digest: String,
    /// Names of the prompt's blocks in the prefix cache.
    pub blocks: Vec<String>,
    /// Reservation whose memory the attempt uses instead of allocating its own.
    pub reservation: Option<String>,
}

/// State of an attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Submitted request.
    pub request: Request,
    /// Stage of the attempt.
    pub state: Stage,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed so far, including cached ones.
    pub computed_tokens: u64,
    /// Tokens of the answer generated so far.
    pub tokens: u32,
    /// Whether the attempt ever entered the batch.
    pub started: bool,
    /// Memory allocated until the attempt ends.
    pub(super) held_tokens: u64,
}

impl Attempt {
    pub(super) fn new(request: Request, held_tokens: u64) -> Self {
        Self {
            request,
            state: Stage::Waiting,
            cached_tokens: 0,
            computed_tokens: 0,
            tokens: 0,
            started: false,
            held_tokens,
        }
    }

    /// Returns the number of prompt tokens still to be computed.
    pub fn remaining_prompt(&self) -> u64 {
        self.request
            .prompt_tokens
            .saturating_sub(self.computed_tokens)
    }
}
