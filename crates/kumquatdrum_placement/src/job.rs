//! A prompt to be placed, and its place.

use std::time::Duration;

use crate::short;
use kumquatdrum_types::{EndpointId, Moment, hash};
use serde::{Deserialize, Serialize};

/// A request that runs on engines, over all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId {
    /// The number of the host that dispatches it.
    pub host: u32,
    /// Counts the host's dispatches.
    pub number: u64,
}

impl JobId {
    /// A number that is spread evenly over jobs, the same on every host.
    pub(crate) const fn draw(&self) -> u64 {
        hash::mix((self.host as u64) << 40 ^ self.number)
    }
}

/// A short stand-in for an endpoint's name and incarnation, the same on every host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EndpointKey(pub u64);

impl EndpointKey {
    /// FNV-1a over the name and the incarnation.
    ///
    /// ```
    /// use kumquatdrum_placement::EndpointKey;
    ///
    /// let (first, again) = (EndpointKey::of(&"e".into(), 1), EndpointKey::of(&"e".into(), 2));
    /// assert_ne!(first, again);
    /// ```
    pub fn of(id: &EndpointId, incarnation: u64) -> Self {
        let bytes = id.as_str().bytes().chain(incarnation.to_le_bytes());
        Self(hash::feed(hash::START, bytes))
    }
}

/// A prompt to be placed.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// Tokens to be read.
    pub prompt_tokens: u64,
    /// Tokens to be written, as far as they are known.
    pub answer_tokens: u64,
    /// The longest pause in its answer that its caller bears.
    pub max_pause: Duration,
    /// When its caller came.
    pub arrived: Moment,
    /// When its first token is on time.
    pub due: Moment,
    /// When its caller gives up.
    pub deadline: Moment,
    /// Endpoints that have failed it.
    pub excluded: Vec<EndpointKey>,
}

impl Job {
    /// Tokens of memory that it fills.
    pub const fn tokens(&self) -> u64 {
        self.prompt_tokens + self.answer_tokens
    }
}

/// Where a job is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The job.
    pub job: JobId,
    /// The engine that gets the request, reads its part and writes the answer.
    pub first: EndpointKey,
    /// The engines that read the other parts, those that hold memory first.
    pub helpers: Vec<Part>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// How long the first token may take, in milliseconds.
    pub target_ms: u32,
    /// What one part costs its engine, in milliseconds of reading.
    pub part_ms: f32,
    /// Tokens of memory at the first engine.
    pub tokens: u32,
    /// The longest pause that the job's caller bears, in milliseconds.
    pub pause_ms: u32,
}

/// A job that waits for its turn, as its host tells of it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Waiter {
    /// The job.
    pub job: JobId,
    /// What its reading costs one engine, in milliseconds.
    pub read_ms: f32,
    /// Tokens of its prompt.
    pub prompt: u32,
    /// How long it has waited, in milliseconds.
    pub waited_ms: u32,
    /// How long until its first token is late, in milliseconds; 0 where it is.
    pub left_ms: u32,
    /// It waits for memory, and lets others pass.
    pub blocked: bool,
}

/// One engine's part of a job that another engine answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The engine.
    pub endpoint: EndpointKey,
    /// Tokens of its memory that have to be reserved for the job; none where it only reads.
    pub reserved: u32,
}

impl Plan {
    /// Whether engines read it as a part that others keep clear of: several share it, or it takes long.
    pub fn has_long_prefill(&self) -> bool {
        !self.helpers.is_empty() || f64::from(self.part_ms) > short::PART_MS
    }

    /// All engines that read.
    pub fn readers(&self) -> impl Iterator<Item = EndpointKey> + '_ {
        let helpers = self.helpers.iter().map(|part| part.endpoint);
        std::iter::once(self.first).chain(helpers)
    }
}
