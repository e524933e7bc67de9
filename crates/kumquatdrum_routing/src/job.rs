//! A request in the queue, with what the router worked out about it.

use kumquatdrum_types::Moment;

use crate::{Request, RequestKind, Settings};

/// What one call of a plain service counts, in tokens.
const PLAIN_WORK: u64 = 1_000;

/// The size class of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Size {
    /// Short prompts and calls of plain services.
    Short,
    /// Prompts between short and long.
    Medium,
    /// Long prompts that fit one engine.
    Long,
    /// Prompts that need several engines.
    Spanning,
}

impl Size {
    /// All classes, in the order in which the router serves them.
    pub const ALL: [Self; 4] = [Self::Short, Self::Medium, Self::Long, Self::Spanning];

    /// The class of a request, given the memory of the largest engine in tokens.
    pub const fn of(settings: &Settings, ask: &Request, memory: u64) -> Self {
        let tokens = ask.prompt_tokens;
        match ask.kind {
            RequestKind::Plain => Self::Short,
            RequestKind::Model if tokens + ask.expected_output_tokens > memory => Self::Spanning,
            RequestKind::Model if tokens <= settings.short_tokens => Self::Short,
            RequestKind::Model if tokens < settings.long_tokens => Self::Medium,
            RequestKind::Model => Self::Long,
        }
    }

    /// The class as an index.
    pub(crate) const fn index(self) -> usize {
        self as usize
    }
}

/// A request that waits.
#[derive(Debug, Clone)]
pub struct Job {
    /// What was asked.
    pub ask: Request,
    /// Its size class.
    pub size: Size,
    /// When it came.
    pub since: Moment,
    /// The latest moment at which a dispatch could still meet the deadline.
    pub latest_start: Moment,
}

impl Job {
    /// KV memory that the whole request needs, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.ask.prompt_tokens + self.ask.expected_output_tokens
    }

    /// Tokens that stand for the work until the first token of the answer. All plain calls of a
    /// service are taken as equal; how long they take is learnt like an engine's rate.
    pub fn prefill_tokens(&self) -> u64 {
        match self.ask.kind {
            RequestKind::Model => self.ask.prompt_tokens,
            RequestKind::Plain => PLAIN_WORK,
        }
    }
}
