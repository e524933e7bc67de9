//! Jobs and the plans that place them on engines.

use std::time::Duration;

use crate::short_prompt;
use kumquatdrum_types::{EndpointId, Moment, hash};
use serde::{Deserialize, Serialize};

/// Identifies a job; unique across all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// The number of the dispatching host.
    pub host: u32,
    /// The sequence number of the job on its host.
    pub number: u64,
}

impl JobId {
    /// Returns a uniformly distributed hash, equal on every host.
    pub(crate) const fn uniform_hash(&self) -> u64 {
        hash::mix((self.host as u64) << 40 ^ self.number)
    }
}

/// A hash of an endpoint's name and incarnation, equal on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointKey(pub u64);

impl EndpointKey {
    /// Returns the key of an endpoint's incarnation.
    ///
    /// ```
    /// use kumquatdrum_placement::EndpointKey;
    ///
    /// let (first, next) = (EndpointKey::of(&"e".into(), 1), EndpointKey::of(&"e".into(), 2));
    /// assert_ne!(first, next);
    /// ```
    pub fn of(id: &EndpointId, incarnation: u64) -> Self {
        Self(hash::incarnation(id, incarnation))
    }
}

/// A prompt to place on engines.
#[derive(Debug, Clone)]
pub struct Job {
    /// Identifies the job.
    pub id: JobId,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Expected tokens of the answer.
    pub answer_tokens: u64,
    /// The longest pause between two events of the answer that the caller accepts; [`Duration::MAX`] if
    /// the answer has no events.
    pub max_pause: Duration,
    /// When the request arrived.
    pub arrived: Moment,
    /// When the first token is due.
    pub due: Moment,
    /// When the caller gives up.
    pub deadline: Moment,
    /// Endpoints that have failed the job.
    pub excluded: Vec<EndpointKey>,
    /// The only engine that may be the first, if the job may be sent to no other.
    pub first: Option<EndpointKey>,
    /// Whether the job continues an answer that its caller is reading.
    pub is_resumed: bool,
}

impl Job {
    /// Returns whether the answer is a stream of events.
    pub(crate) fn is_streamed(&self) -> bool {
        self.max_pause < Duration::MAX
    }

    /// Returns whether the job may be sent to an engine.
    pub(crate) fn may_be_sent_to(&self, key: EndpointKey) -> bool {
        self.first.is_none_or(|first| first == key)
    }

    /// Returns the tokens of memory that the job needs.
    pub const fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.answer_tokens
    }
}

/// The engines of a job and the work that they do.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The job.
    pub job: JobId,
    /// The engine that gets the request, runs its part of the prefill and decodes the answer.
    pub first: EndpointKey,
    /// Engines that run the other parts of the prefill, those with reserved memory first.
    pub helpers: Vec<Helper>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The time from arrival until the first token is due, in milliseconds.
    pub target_ms: u32,
    /// The prefill time of one part, in milliseconds.
    pub part_ms: f32,
    /// Tokens of memory on the first engine.
    pub memory_tokens: u32,
    /// The longest pause that the caller accepts, in milliseconds.
    pub pause_ms: u32,
}

/// A queued job, as its host announces it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Waiter {
    /// The job.
    pub job: JobId,
    /// The prefill time on one engine, in milliseconds.
    pub prefill_ms: f32,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The time since arrival, in milliseconds.
    pub waited_ms: u32,
    /// The time until the first token is due, in milliseconds; 0 if it is overdue.
    pub left_ms: u32,
    /// Whether the job waits for answers to end, so that other jobs may overtake it.
    pub is_blocked: bool,
    /// How the job is ordered among others that wait for a slot. `None` if it waits for a shared
    /// prefill.
    pub slot_order: Option<SlotOrder>,
}

/// The order of short prompts that wait for a slot, first to last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SlotOrder {
    /// The prompt was overdue when it came: it continues an answer that its caller is reading.
    Resumed,
    /// The prompt's first token can be in time if it gets the next slot.
    InTime,
    /// The prompt's first token will be late.
    Late,
}

/// An engine that runs part of a prefill for another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Helper {
    /// The engine.
    pub endpoint: EndpointKey,
    /// Tokens of memory to reserve for the job; 0 if the engine only runs prefill.
    pub reserved_tokens: u32,
}

impl Plan {
    /// Returns whether the prefill is shared by several engines or takes longer than a pass. Such
    /// prefills must not overlap on an engine.
    pub fn has_long_prefill(&self) -> bool {
        !self.helpers.is_empty() || f64::from(self.part_ms) > short_prompt::MIN_PART_MS
    }

    /// Returns all engines that run part of the prefill.
    pub fn prefill_engines(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        let helpers = self.helpers.iter().map(|helper| helper.endpoint);
        std::iter::once(self.first).chain(helpers)
    }
}
