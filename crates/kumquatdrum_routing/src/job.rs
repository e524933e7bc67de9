//! A queued request and its routing data.

use kumquatdrum_types::Moment;

use crate::{Request, RequestKind, Settings};

/// The tokens that one request of a plain service counts as.
const PLAIN_REQUEST_TOKENS: u64 = 1_000;

/// The size class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// Short prompts and calls of plain services.
    Short,
    /// Prompts between the short and the long limit.
    Medium,
    /// Long prompts that fit on one engine.
    Long,
    /// Prompts that need several engines.
    Spanning,
}

impl Size {
    /// All classes, in the order of dispatch.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Spanning];

    /// Classifies a request, given the memory of the largest engine in tokens.
    pub const fn classify(settings: &Settings, request: &Request, largest_memory: u64) -> Self {
        let tokens = request.prompt_tokens;
        match request.kind {
            RequestKind::Plain => Self::Short,
            RequestKind::Model if tokens + request.expected_output_tokens > largest_memory => {
                Self::Spanning
            }
            RequestKind::Model if tokens <= settings.short_tokens => Self::Short,
            RequestKind::Model if tokens < settings.long_tokens => Self::Medium,
            RequestKind::Model => Self::Long,
        }
    }

    /// Returns the class as an index.
    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}

/// A queued request.
#[derive(Debug, Clone)]
pub struct Job {
    /// The request.
    pub request: Request,
    /// The size class of the request.
    pub size: Size,
    /// When the request arrived.
    pub arrived: Moment,
    /// The latest time of a dispatch that could still meet the deadline.
    pub latest_start: Moment,
}

impl Job {
    /// Returns the KV memory that the request needs, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.request.prompt_tokens + self.request.expected_output_tokens
    }

    /// Returns the tokens to compute before the first token of the answer. All requests of a plain
    /// service count as the same number of tokens.
    pub fn prefill_tokens(&self) -> u64 {
        match self.request.kind {
            RequestKind::Model => self.request.prompt_tokens,
            RequestKind::Plain => PLAIN_REQUEST_TOKENS,
        }
    }
}
