//! One engine, as a planner sees it.

use indexmap::IndexMap;
use kumquatdrum_types::Moment;

use crate::{Cost, DataCentreKey, EndpointKey, Health, JobId};

/// The share of memory that is planned for: answers grow beyond their estimates.
const FILLED: f64 = 0.97;

/// The share of the longest pause from which on an answer counts as harmed: what else comes in the
/// same pass is not known yet, as the reading of a short prompt or two.
const NEAR: f64 = 0.75;

/// What a planner keeps of one engine.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) group: DataCentreKey,
    pub(crate) usable: bool,
    pub(crate) health: Health,
    /// When it has read what it holds, as far as that is known.
    pub(crate) read_until: Moment,
    /// When it has read the parts of prompts that several engines read, or that are long.
    pub(crate) parts_until: Moment,
    /// Jobs of which it still reads a part.
    pub(crate) reads: usize,
    /// Jobs that it answers.
    pub(crate) writers: IndexMap<JobId, Writer>,
    /// Tokens of its memory that are spoken for.
    pub(crate) tokens: u64,
}

/// A job that an engine answers.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Writer {
    pub(crate) pause_ms: f64,
    /// What it weighs among others.
    pub(crate) weight: f64,
}

/// One engine at the moment of a decision.
#[derive(Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) key: EndpointKey,
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) backlog_ms: f64,
    /// What is left of such parts; a new one would be read before them.
    pub(crate) parts_ms: f64,
    pub(crate) pass_ms: f64,
    pub(crate) free: u64,
}

impl Endpoint {
    /// An engine that does nothing yet.
    pub(crate) fn new(group: DataCentreKey) -> Self {
        Self {
            group,
            usable: false,
            health: Health::default(),
            read_until: Moment::ZERO,
            parts_until: Moment::ZERO,
            reads: 0,
            writers: IndexMap::new(),
            tokens: 0,
        }
    }

    /// The engine as it is at this moment.
    pub(crate) fn candidate(&self, now: Moment, key: EndpointKey, cost: &Cost) -> Candidate<'_> {
        let backlog = (self.read_until - now).as_secs_f64() * 1e3;
        let memory = (cost.engine().memory_tokens as f64 * FILLED) as u64;
        Candidate {
            key,
            endpoint: self,
            backlog_ms: backlog + self.health.penalty_ms(),
            parts_ms: (self.parts_until - now).as_secs_f64() * 1e3,
            pass_ms: cost.pass_ms(self.writers.len(), self.tokens),
            free: memory.saturating_sub(self.tokens),
        }
    }
}

impl Candidate<'_> {
    /// Where it stands.
    pub(crate) fn group(&self) -> DataCentreKey {
        self.endpoint.group
    }

    /// Jobs that it answers.
    pub(crate) fn writers(&self) -> usize {
        self.endpoint.writers.len()
    }

    /// Answers that bear no longer a pause than this, in milliseconds.
    pub(crate) fn answers_as_tight(&self, pause_ms: f64) -> usize {
        let writers = self.endpoint.writers.values();
        writers.filter(|writer| writer.pause_ms <= pause_ms).count()
    }

    /// Tokens of its memory that are spoken for.
    pub(crate) fn tokens(&self) -> u64 {
        self.endpoint.tokens
    }

    /// The shortest pause that is too long for one of its answers.
    pub(crate) fn tightest_pause_ms(&self) -> f64 {
        let writers = self.endpoint.writers.values();
        let pauses = writers.map(|writer| writer.pause_ms);
        pauses.fold(f64::INFINITY, f64::min)
    }

    /// The weight of its answers that would pause too long, if it read for so long in one pass.
    pub(crate) fn harm(&self, reading_ms: f64) -> f64 {
        let pause = self.pass_ms + reading_ms;
        let writers = self.endpoint.writers.values();
        let harmed = writers.filter(|writer| pause > writer.pause_ms * NEAR);
        harmed.map(|writer| writer.weight).sum()
    }
}
