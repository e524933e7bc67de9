//! Generates a trace of a request mix; the same seed gives the same trace.

use std::ops::RangeInclusive;

use rand_core::Rng;
use rand_pcg::Pcg64;

use crate::mix::{Kind, Mix};
use crate::trace::{Entry, Expectation};

/// One of this many requests is long.
const LONG_REQUEST_INTERVAL: usize = 50;
/// Share of each burst period in which the arrival rate is increased.
const BURST_SHARE: f64 = 0.2;
/// Factor on the arrival rate during a burst.
const BURST_FACTOR: f64 = 4.0;
/// Number of burst periods in a trace.
const BURST_PERIODS: f64 = 8.0;
/// Exponent of the Zipf distribution of requests over workspaces.
const WORKSPACE_EXPONENT: f64 = 1.2;

/// Parameters of a generated trace.
#[derive(Debug, Clone)]
pub struct Options {
    /// Request mix.
    pub mix: Mix,
    /// Seed of the random generator.
    pub seed: u64,
    /// Number of requests, without resent ones.
    pub requests: usize,
    /// Time between the first and the last request, in milliseconds.
    pub span_ms: u64,
    /// Number of workspaces.
    pub workspaces: usize,
    /// Maximum length of a prompt, in tokens.
    pub max_prompt_tokens: u64,
    /// One of this many requests with an idempotency key is resent; 0 resends none.
    pub resend_one_in: usize,
    /// Expected outcome of all requests except resent ones.
    pub expect: Expectation,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            mix: Mix::Toonikaart,
            seed: 1,
            requests: 300,
            span_ms: 8_000,
            workspaces: 10,
            max_prompt_tokens: 1_000_000,
            resend_one_in: 0,
            expect: Expectation::Finished,
        }
    }
}

/// Generates a trace.
///
/// ```
/// use kumquatdrum_replay::generator::{Options, generate};
/// let trace = generate(&Options::default());
/// assert_eq!(trace, generate(&Options::default()));
/// assert_eq!(trace.iter().filter(|entry| entry.prompt_tokens >= 100_000).count(), 6);
/// ```
pub fn generate(options: &Options) -> Vec<Entry> {
    let mut random = Random(Pcg64::new(options.seed.into(), options.mix as u128));
    let kinds = options.mix.kinds();
    let long = options.mix.long_kind();
    let times = arrival_times(options, &mut random);
    let mut entries = Vec::with_capacity(options.requests);
    for (index, at_ms) in times.into_iter().enumerate() {
        // Fixed positions give small traces their share of long requests.
        let kind = match index % LONG_REQUEST_INTERVAL {
            position if position == LONG_REQUEST_INTERVAL / 2 => &long,
            _ => pick_kind(&kinds, &mut random),
        };
        entries.push(generate_entry(options, kind, index, at_ms, &mut random));
    }
    let resends = generate_resends(options, &entries, &mut random);
    entries.extend(resends);
    entries
}

struct Random(Pcg64);

impl Random {
    /// Returns a number in [0, 1).
    fn uniform(&mut self) -> f64 {
        const BITS: u32 = 53;
        (self.0.next_u64() >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
    }

    /// Returns an integer of the range, uniformly distributed.
    fn uniform_in(&mut self, range: &RangeInclusive<u64>) -> u64 {
        let width = range.end() - range.start() + 1;
        range.start() + (self.uniform() * width as f64) as u64
    }

    /// Returns an integer of the range whose logarithm is uniformly distributed.
    fn log_uniform_in(&mut self, range: &RangeInclusive<u64>) -> u64 {
        let (low, high) = (*range.start() as f64, *range.end() as f64);
        let value = low * (high / low).powf(self.uniform());
        (value as u64).clamp(*range.start(), *range.end())
    }

    /// Returns an exponentially distributed number with mean 1.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.uniform()).ln()
    }
}

/// Generates arrival times with bursts, scaled to the span of the trace.
fn arrival_times(options: &Options, random: &mut Random) -> Vec<u64> {
    let period = options.requests as f64 / BURST_PERIODS;
    let mut times = Vec::with_capacity(options.requests);
    let mut now = 0.0;
    for _ in 0..options.requests {
        times.push(now);
        let phase = (now / period).fract();
        let rate = if phase < BURST_SHARE {
            BURST_FACTOR
        } else {
            1.0
        };
        now += random.exponential() / rate;
    }
    let last = times.last().copied().unwrap_or(0.0).max(f64::MIN_POSITIVE);
    let scale = options.span_ms as f64 / last;
    times
        .into_iter()
        .map(|time| (time * scale) as u64)
        .collect()
}

/// Picks a kind of request by share.
fn pick_kind<'k>(kinds: &'k [Kind], random: &mut Random) -> &'k Kind {
    let total: u64 = kinds.iter().map(|kind| kind.share).sum();
    let mut remaining = random.uniform_in(&(0..=total - 1));
    for kind in kinds {
        if remaining < kind.share {
            return kind;
        }
        remaining -= kind.share;
    }
    &kinds[0]
}

/// Picks the number of a workspace; low numbers are more frequent.
fn pick_workspace(count: usize, random: &mut Random) -> usize {
    let weight = |number: usize| (number as f64).powf(-WORKSPACE_EXPONENT);
    let total: f64 = (1..=count).map(weight).sum();
    let mut remaining = random.uniform() * total;
    for number in 1..count {
        remaining -= weight(number);
        if remaining < 0.0 {
            return number;
        }
    }
    count
}

fn generate_entry(
    options: &Options,
    kind: &Kind,
    index: usize,
    at_ms: u64,
    random: &mut Random,
) -> Entry {
    let number = pick_workspace(options.workspaces.max(1), random);
    let workspace = format!("{}-{number:02}", options.mix.workspace_prefix());
    let prompt_tokens = match kind.prompt_tokens.end() {
        0 => 0,
        _ => random
            .log_uniform_in(&kind.prompt_tokens)
            .min(options.max_prompt_tokens),
    };
    let prefix_tokens = prompt_tokens * kind.prefix_percent / 100;
    let key = format!("{}-{}-{index}", options.mix.name(), options.seed);
    Entry {
        at_ms,
        key: workspace.clone(),
        service: kind.service.to_owned(),
        method: kind.method.to_owned(),
        path: kind.path.to_owned(),
        prompt_tokens,
        max_tokens: random.uniform_in(&kind.max_tokens) as u32,
        priority: kind.priority,
        deadline_ms: kind.deadline_ms,
        idempotent: kind.idempotent,
        idempotency_key: (!kind.idempotent).then_some(key),
        resend_of: None,
        prefix: (prefix_tokens > 0).then(|| format!("{workspace}-{}", kind.priority)),
        prefix_tokens,
        expect: options.expect,
        workspace,
    }
}

/// Resends some requests with an idempotency key, as callers that lost the answer do.
fn generate_resends(options: &Options, entries: &[Entry], random: &mut Random) -> Vec<Entry> {
    const DELAY_MS: RangeInclusive<u64> = 1..=500;
    if options.resend_one_in == 0 {
        return Vec::new();
    }
    let keyed = entries
        .iter()
        .enumerate()
        .filter(|(_, entry)| entry.idempotency_key.is_some());
    keyed
        .step_by(options.resend_one_in)
        .map(|(index, entry)| Entry {
            at_ms: entry.at_ms + random.uniform_in(&DELAY_MS),
            resend_of: Some(index),
            expect: Expectation::Any,
            ..entry.clone()
        })
        .collect()
}
