//! Generates traces of a user's mix from a seed; the same seed gives the same trace.

use std::ops::RangeInclusive;

use rand_core::Rng;
use rand_pcg::Pcg64;

use crate::mix::{Kind, Mix};
use crate::trace::{Entry, Expectation};

/// Out of how many requests one is long.
const LONG_ONE_IN: usize = 50;
/// Arrivals come in bursts: in this share of each period the rate is `BURST_FACTOR` times higher.
const BURST_SHARE: f64 = 0.2;
const BURST_FACTOR: f64 = 4.0;
/// Periods of bursts in a trace.
const BURST_PERIODS: f64 = 8.0;
/// Exponent of the workspaces' sizes: the first few ask for most.
const WORKSPACE_EXPONENT: f64 = 1.2;

/// What to generate.
#[derive(Debug, Clone)]
pub struct Options {
    /// Whose requests.
    pub mix: Mix,
    /// Where randomness begins.
    pub seed: u64,
    /// How many requests.
    pub requests: usize,
    /// Time between the first and the last request, in milliseconds.
    pub span_ms: u64,
    /// How many workspaces.
    pub workspaces: usize,
    /// The longest prompt, in tokens.
    pub longest: u64,
    /// Out of how many requests with an idempotency key one is sent again; 0 for none.
    pub resend_one_in: usize,
    /// The outcome stated for every request but resent ones.
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
            longest: 1_000_000,
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
    let times = arrivals(options, &mut random);
    let mut entries = Vec::with_capacity(options.requests);
    for (index, at_ms) in times.into_iter().enumerate() {
        // The long ones stand at fixed distances, so that small traces have their share too.
        let kind = match index % LONG_ONE_IN {
            place if place == LONG_ONE_IN / 2 => &long,
            _ => pick(&kinds, &mut random),
        };
        entries.push(entry(options, kind, index, at_ms, &mut random));
    }
    let resends = resends(options, &entries, &mut random);
    entries.extend(resends);
    entries
}

struct Random(Pcg64);

impl Random {
    /// Between 0 and 1, 1 excluded.
    fn unit(&mut self) -> f64 {
        const BITS: u32 = 53;
        (self.0.next_u64() >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
    }

    fn within(&mut self, range: &RangeInclusive<u64>) -> u64 {
        let width = range.end() - range.start() + 1;
        range.start() + (self.unit() * width as f64) as u64
    }

    /// Spreads the logarithm evenly.
    fn log_within(&mut self, range: &RangeInclusive<u64>) -> u64 {
        let (low, high) = (*range.start() as f64, *range.end() as f64);
        let value = low * (high / low).powf(self.unit());
        (value as u64).clamp(*range.start(), *range.end())
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.unit()).ln()
    }
}

/// Arrival times with bursts, stretched to the span.
fn arrivals(options: &Options, random: &mut Random) -> Vec<u64> {
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
    let stretch = options.span_ms as f64 / last;
    times
        .into_iter()
        .map(|time| (time * stretch) as u64)
        .collect()
}

fn pick<'k>(kinds: &'k [Kind], random: &mut Random) -> &'k Kind {
    let total: u64 = kinds.iter().map(|kind| kind.share).sum();
    let mut left = random.within(&(0..=total - 1));
    for kind in kinds {
        if left < kind.share {
            return kind;
        }
        left -= kind.share;
    }
    &kinds[0]
}

/// The number of a workspace; low ones are large.
fn workspace(count: usize, random: &mut Random) -> usize {
    let weight = |number: usize| (number as f64).powf(-WORKSPACE_EXPONENT);
    let total: f64 = (1..=count).map(weight).sum();
    let mut left = random.unit() * total;
    for number in 1..count {
        left -= weight(number);
        if left < 0.0 {
            return number;
        }
    }
    count
}

fn entry(options: &Options, kind: &Kind, index: usize, at_ms: u64, random: &mut Random) -> Entry {
    let number = workspace(options.workspaces.max(1), random);
    let workspace = format!("{}-{number:02}", options.mix.workspace_prefix());
    let prompt_tokens = match kind.prompt_tokens.end() {
        0 => 0,
        _ => random.log_within(&kind.prompt_tokens).min(options.longest),
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
        max_tokens: random.within(&kind.max_tokens) as u32,
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

/// Some keyed requests again, a while later, as callers do that lost the answer.
fn resends(options: &Options, entries: &[Entry], random: &mut Random) -> Vec<Entry> {
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
            at_ms: entry.at_ms + random.within(&DELAY_MS),
            resend_of: Some(index),
            expect: Expectation::Any,
            ..entry.clone()
        })
        .collect()
}
