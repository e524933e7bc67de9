//! What the router holds of one endpoint.

use std::collections::VecDeque;
use std::time::Duration;

use kumquatdrum_types::endpoint::Kind;
use kumquatdrum_types::{Announcement, BootId, EndpointId, Moment};

use crate::prefix::Cache;
use crate::{BlockHash, Health, Settings, Size};

/// Rest after the first failure; it doubles with each one that follows.
const FIRST_REST: Duration = Duration::from_millis(250);
/// The longest rest.
const LONGEST_REST: Duration = Duration::from_secs(8);
/// The part of a reported prompt that is taken as still open until its first token came.
const OPEN_SHARE: f64 = 0.1;

/// What a dispatch brings to an endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) attempt: u64,
    pub(crate) tokens: u64,
    pub(crate) memory: u64,
    pub(crate) size: Size,
    /// Whether engines take it before other short requests.
    pub(crate) goes_first: bool,
}

/// One of this owner's attempts at the endpoint.
#[derive(Debug)]
struct Own {
    load: Load,
    sent: Moment,
    is_seen: bool,
    has_first_token: bool,
}

/// The last load report, as far as the router uses it.
#[derive(Debug, Default)]
struct Report {
    sequence: u64,
    requests: u32,
    prefill_tokens: u64,
    memory_used: u64,
    at: Moment,
}

/// Sums over this owner's attempts, kept up to date so that a look costs the same at any load.
#[derive(Debug, Default)]
struct Sums {
    unseen_count: u32,
    unseen_tokens: u64,
    unseen_memory: u64,
    open_tokens: u64,
    open_short_tokens: u64,
    open_first_tokens: u64,
    freed_memory: u64,
}

/// One endpoint.
#[derive(Debug)]
pub struct Slot {
    /// Its name.
    pub endpoint: EndpointId,
    /// Its life.
    pub boot: BootId,
    /// What membership holds of it.
    pub health: Health,
    /// How many other owners come before this one here.
    pub rank: u32,
    pub(crate) hash: u64,
    pub(crate) sequence: u64,
    pub(crate) factor: f64,
    pub(crate) cache: Cache,
    memory: u64,
    batch_limit: u32,
    report: Report,
    own: VecDeque<Own>,
    sums: Sums,
    failures: u32,
    resting_until: Moment,
}

impl Slot {
    pub(crate) fn new(announcement: &Announcement, hash: u64, rank: u32) -> Self {
        let mut slot = Self {
            endpoint: announcement.endpoint.clone(),
            boot: announcement.boot,
            health: Health::Alive,
            rank,
            hash,
            sequence: announcement.sequence,
            factor: 1.0,
            cache: Cache::default(),
            memory: u64::MAX,
            batch_limit: u32::MAX,
            report: Report::default(),
            own: VecDeque::new(),
            sums: Sums::default(),
            failures: 0,
            resting_until: Moment::ZERO,
        };
        slot.describe(announcement);
        slot
    }

    /// Takes over what an announcement says besides the load.
    pub(crate) fn describe(&mut self, announcement: &Announcement) {
        self.sequence = announcement.sequence;
        if let Kind::Engine(engine) = &announcement.kind {
            self.memory = engine.memory_tokens;
            self.batch_limit = engine.batch_limit.max(1);
        }
        if announcement.leaving {
            self.health = Health::Leaving;
        }
    }

    /// Takes in a load report, unless it is older than the last one.
    pub(crate) fn report(
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
        for own in &mut self.own {
            own.is_seen |= match seen {
                Some((_, counter)) => own.load.attempt <= *counter,
                None => now - own.sent > settings.report_lag,
            };
        }
        self.sums.freed_memory = 0;
        self.sum_up();
    }

    fn sum_up(&mut self) {
        let freed_memory = self.sums.freed_memory;
        self.sums = Sums {
            freed_memory,
            ..Sums::default()
        };
        for own in &self.own {
            self.sums.add(own);
        }
    }

    /// Notes a dispatch.
    pub(crate) fn dispatched(&mut self, now: Moment, load: Load) {
        let own = Own {
            load,
            sent: now,
            is_seen: false,
            has_first_token: false,
        };
        self.sums.add(&own);
        self.own.push_back(own);
    }

    /// Notes the first token of an attempt; its prompt is no work any more.
    pub(crate) fn first_token(&mut self, attempt: u64) {
        self.failures = 0;
        let found = self.own.iter_mut().find(|own| own.load.attempt == attempt);
        if let Some(own) = found.filter(|own| !own.has_first_token) {
            own.has_first_token = true;
            self.sum_up();
        }
    }

    /// Notes the end of an attempt.
    pub(crate) fn ended(&mut self, attempt: u64) {
        let found = self.own.iter().position(|own| own.load.attempt == attempt);
        let Some(own) = found.and_then(|place| self.own.remove(place)) else {
            return;
        };
        if own.is_seen {
            self.sums.freed_memory += own.load.memory;
        }
        self.sum_up();
    }

    /// Notes a failure that was the endpoint's own; it rests for a while.
    pub(crate) fn failed(&mut self, now: Moment) {
        let rest = FIRST_REST * 2_u32.pow(self.failures.min(8));
        self.failures += 1;
        self.resting_until = now + rest.min(LONGEST_REST);
    }

    /// Whether it rests after failures.
    pub fn is_resting(&self, now: Moment) -> bool {
        now < self.resting_until
    }

    /// This owner's attempts in flight here.
    pub fn in_flight(&self) -> usize {
        self.own.len()
    }

    /// KV memory, in tokens.
    pub const fn memory(&self) -> u64 {
        self.memory
    }

    /// Estimated prompt tokens that still have to be computed: the last report, worked off at
    /// `rate` since, and this owner's dispatches that the report did not include.
    pub fn backlog_tokens(&self, now: Moment, rate: f64) -> f64 {
        let age = (now - self.report.at).as_secs_f64();
        let reported = self.report.prefill_tokens as f64 - rate * self.factor * age;
        let open = self.sums.open_tokens as f64 * OPEN_SHARE;
        reported.max(open) + self.sums.unseen_tokens as f64
    }

    /// Prompt tokens of this owner's short requests that still have no first token here.
    pub const fn open_short_tokens(&self) -> u64 {
        self.sums.open_short_tokens
    }

    /// The same of those that engines take before other short ones.
    pub const fn open_first_tokens(&self) -> u64 {
        self.sums.open_first_tokens
    }

    /// Requests in the endpoint, as far as known.
    pub const fn requests(&self) -> u32 {
        self.report.requests + self.sums.unseen_count
    }

    /// How many of a prompt's first blocks it holds, as far as known.
    pub fn cached_blocks(&self, prefix: &[BlockHash]) -> f64 {
        self.cache.cached_blocks(prefix)
    }

    /// Whether batch and memory have room for a request of that many tokens.
    pub fn has_room(&self, memory_tokens: u64) -> bool {
        let used = (self.report.memory_used + self.sums.unseen_memory)
            .saturating_sub(self.sums.freed_memory);
        self.requests() < self.batch_limit && used.saturating_add(memory_tokens) <= self.memory
    }
}

impl Sums {
    fn add(&mut self, own: &Own) {
        if !own.is_seen {
            self.unseen_count += 1;
            self.unseen_memory += own.load.memory;
        }
        if own.has_first_token {
            return;
        }
        if own.load.size == Size::Short {
            self.open_short_tokens += own.load.tokens;
        }
        if own.load.goes_first {
            self.open_first_tokens += own.load.tokens;
        }
        if own.is_seen {
            self.open_tokens += own.load.tokens;
        } else {
            self.unseen_tokens += own.load.tokens;
        }
    }
}
