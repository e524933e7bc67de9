//! The router's state for one endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use kumquatdrum_types::endpoint::Kind;
use kumquatdrum_types::{Announcement, BootId, EndpointId, Moment};

use crate::prefix::Cache;
use crate::{BlockHash, Health, Settings, Size};

/// The duration of the ejection after the first failure; it doubles with each consecutive failure.
const MIN_EJECTION: Duration = Duration::from_millis(250);
/// The longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(8);
/// The lower bound of the reported backlog, as a share of the prompt tokens of this owner's
/// reported attempts without a first token.
const PENDING_SHARE: f64 = 0.1;

/// The load that an attempt adds to an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) attempt: u64,
    pub(crate) tokens: u64,
    pub(crate) memory_tokens: u64,
    pub(crate) size: Size,
    /// Whether the engine runs the attempt before other short requests.
    pub(crate) has_first_priority: bool,
}

/// An attempt that this owner dispatched to the endpoint.
#[derive(Debug)]
struct Attempt {
    load: Load,
    sent: Moment,
    is_reported: bool,
    has_first_token: bool,
}

/// The last load report.
#[derive(Debug, Default)]
struct Report {
    sequence: u64,
    requests: u32,
    prefill_tokens: u64,
    memory_used: u64,
    at: Moment,
}

/// Running totals over this owner's attempts, so that reading them costs the same at any load.
#[derive(Debug, Default)]
struct Totals {
    unreported_count: u32,
    unreported_tokens: u64,
    unreported_memory: u64,
    reported_pending_tokens: u64,
    pending_short_tokens: u64,
    pending_first_priority_tokens: u64,
    /// Memory of reported attempts that have ended since the report.
    freed_memory: u64,
}

/// The state of one endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// The endpoint's name.
    pub id: EndpointId,
    /// The endpoint's incarnation.
    pub boot: BootId,
    /// The endpoint's state according to membership.
    pub health: Health,
    /// The number of owners with precedence over this one at the endpoint.
    pub rank: u32,
    pub(crate) hash: u64,
    pub(crate) sequence: u64,
    pub(crate) speed_factor: f64,
    pub(crate) cache: Cache,
    memory_tokens: u64,
    batch_limit: u32,
    report: Report,
    attempts: VecDeque<Attempt>,
    totals: Totals,
    consecutive_failures: u32,
    ejected_until: Moment,
}

impl Endpoint {
    pub(crate) fn new(announcement: &Announcement, hash: u64, rank: u32) -> Self {
        let mut endpoint = Self {
            id: announcement.endpoint.clone(),
            boot: announcement.boot,
            health: Health::Alive,
            rank,
            hash,
            sequence: announcement.sequence,
            speed_factor: 1.0,
            cache: Cache::default(),
            memory_tokens: u64::MAX,
            batch_limit: u32::MAX,
            report: Report::default(),
            attempts: VecDeque::new(),
            totals: Totals::default(),
            consecutive_failures: 0,
            ejected_until: Moment::ZERO,
        };
        endpoint.apply_announcement(announcement);
        endpoint
    }

    /// Applies an announcement, except for its load report.
    pub(crate) fn apply_announcement(&mut self, announcement: &Announcement) {
        self.sequence = announcement.sequence;
        if let Kind::Engine(engine) = &announcement.kind {
            self.memory_tokens = engine.memory_tokens;
            self.batch_limit = engine.batch_limit.max(1);
        }
        if announcement.leaving {
            self.health = Health::Leaving;
        }
    }

    /// Applies a load report, unless it is older than the last one.
    pub(crate) fn apply_report(
        &mut self,
        now: Moment,
        load: &kumquatdrum_types::Load,
        settings: &Settings,
    ) {
        if load.sequence <= self.report.sequence && self.report.at != Moment::ZERO {
            return;
        }
        self.report = Report {
            sequence: load.sequence,
            requests: load.running + load.waiting,
            prefill_tokens: load.prefill_tokens,
            memory_used: load.memory_used_tokens,
            at: now,
        };
        let seen = load.seen.iter().find(|(owner, _)| *owner == settings.owner);
        for attempt in &mut self.attempts {
            attempt.is_reported |= match seen {
                Some((_, counter)) => attempt.load.attempt <= *counter,
                None => now - attempt.sent > settings.report_lag,
            };
        }
        self.totals.freed_memory = 0;
        self.recompute_totals();
    }

    fn recompute_totals(&mut self) {
        let freed_memory = self.totals.freed_memory;
        self.totals = Totals {
            freed_memory,
            ..Totals::default()
        };
        for attempt in &self.attempts {
            self.totals.add(attempt);
        }
    }

    /// Records a dispatch.
    pub(crate) fn record_dispatch(&mut self, now: Moment, load: Load) {
        let attempt = Attempt {
            load,
            sent: now,
            is_reported: false,
            has_first_token: false,
        };
        self.totals.add(&attempt);
        self.attempts.push_back(attempt);
    }

    /// Records the first token of an attempt, whose prompt no longer counts as backlog.
    pub(crate) fn record_first_token(&mut self, number: u64) {
        self.consecutive_failures = 0;
        let found = self
            .attempts
            .iter_mut()
            .find(|attempt| attempt.load.attempt == number);
        if let Some(attempt) = found.filter(|attempt| !attempt.has_first_token) {
            attempt.has_first_token = true;
            self.recompute_totals();
        }
    }

    /// Records the end of an attempt.
    pub(crate) fn record_end(&mut self, number: u64) {
        let found = self
            .attempts
            .iter()
            .position(|attempt| attempt.load.attempt == number);
        let Some(attempt) = found.and_then(|index| self.attempts.remove(index)) else {
            return;
        };
        if attempt.is_reported {
            self.totals.freed_memory += attempt.load.memory_tokens;
        }
        self.recompute_totals();
    }

    /// Records a failure of the endpoint and ejects it for a while.
    pub(crate) fn record_failure(&mut self, now: Moment) {
        let ejection = MIN_EJECTION * 2_u32.pow(self.consecutive_failures.min(8));
        self.consecutive_failures += 1;
        self.ejected_until = now + ejection.min(MAX_EJECTION);
    }

    /// Returns whether the endpoint is ejected after failures.
    pub fn is_ejected(&self, now: Moment) -> bool {
        now < self.ejected_until
    }

    /// Returns the number of this owner's attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the KV memory, in tokens.
    pub const fn memory_tokens(&self) -> u64 {
        self.memory_tokens
    }

    /// Estimates the prompt tokens that are still to be computed: those of the last report, reduced
    /// at `rate` since, and this owner's dispatches that the report did not include.
    pub fn backlog_tokens(&self, now: Moment, rate: f64) -> f64 {
        let age = (now - self.report.at).as_secs_f64();
        let reported = self.report.prefill_tokens as f64 - rate * self.speed_factor * age;
        let pending = self.totals.reported_pending_tokens as f64 * PENDING_SHARE;
        reported.max(pending) + self.totals.unreported_tokens as f64
    }

    /// Returns the prompt tokens of this owner's short requests without a first token.
    pub const fn pending_short_tokens(&self) -> u64 {
        self.totals.pending_short_tokens
    }

    /// Returns the prompt tokens of this owner's first-priority requests without a first token.
    pub const fn pending_first_priority_tokens(&self) -> u64 {
        self.totals.pending_first_priority_tokens
    }

    /// Returns the known number of requests at the endpoint.
    pub const fn requests(&self) -> u32 {
        self.report.requests + self.totals.unreported_count
    }

    /// Returns the number of leading blocks of a prompt that are probably cached.
    pub fn cached_blocks(&self, prefix: &[BlockHash]) -> f64 {
        self.cache.cached_blocks(prefix)
    }

    /// Returns whether the batch and the memory have room for a request of this size.
    pub fn has_room(&self, memory_tokens: u64) -> bool {
        let used = (self.report.memory_used + self.totals.unreported_memory)
            .saturating_sub(self.totals.freed_memory);
        self.requests() < self.batch_limit
            && used.saturating_add(memory_tokens) <= self.memory_tokens
    }
}

impl Totals {
    fn add(&mut self, attempt: &Attempt) {
        if !attempt.is_reported {
            self.unreported_count += 1;
            self.unreported_memory += attempt.load.memory_tokens;
        }
        if attempt.has_first_token {
            return;
        }
        if attempt.load.size == Size::Short {
            self.pending_short_tokens += attempt.load.tokens;
        }
        if attempt.load.has_first_priority {
            self.pending_first_priority_tokens += attempt.load.tokens;
        }
        if attempt.is_reported {
            self.reported_pending_tokens += attempt.load.tokens;
        } else {
            self.unreported_tokens += attempt.load.tokens;
        }
    }
}
