//! One attempt of a request on an engine.

use kumquatdrum_types::exchange::Stage;
use kumquatdrum_types::{AttemptId, Moment};

/// What a caller asks of an engine.
#[derive(Debug, Clone)]
pub struct Request {
    /// Unique over all requests; a known one never runs again.
    pub id: AttemptId,
    /// The host that sent it.
    pub owner: String,
    /// The owner's attempt counter.
    pub counter: u64,
    /// Lower goes first.
    pub priority: u32,
    /// The engine gives up at this moment.
    pub deadline: Moment,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Length of the answer, in tokens.
    pub max_tokens: u32,
    /// SHA-256 of the prompt text, in hexadecimal.
    pub digest: String,
    /// Names of the prompt's blocks, for the prefix cache.
    pub blocks: Vec<String>,
    /// A memory reservation that the attempt takes over in place of memory of its own.
    pub reservation: Option<String>,
}

/// An attempt as the engine keeps it.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// What was asked.
    pub request: Request,
    /// Where it stands.
    pub state: Stage,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed so far, cached ones among them.
    pub computed_tokens: u64,
    /// Tokens of the answer so far.
    pub tokens: u32,
    /// Whether it ever entered the batch.
    pub started: bool,
    /// Memory held while it lives.
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

    /// Prompt tokens that still have to be computed.
    pub fn remaining_prompt(&self) -> u64 {
        self.request
            .prompt_tokens
            .saturating_sub(self.computed_tokens)
    }
}
