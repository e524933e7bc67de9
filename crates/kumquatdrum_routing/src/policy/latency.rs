//! The default policy: the lowest estimated time to first token, with capacity reserved for short
//! requests.

use kumquatdrum_types::Moment;
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::arrivals;
use super::{FIRST_PRIORITY, Placement, Policy, choose_spanning, is_allowed, size_priority};
use crate::pool::{EndpointIndex, Pool};
use crate::{Job, RequestKind, Size};

/// The number of endpoints sampled for a placement.
const SAMPLE_SIZE: usize = 10;
/// The number of engines sampled for a request that needs several.
const SPANNING_SAMPLE_SIZE: usize = 48;
/// The number of unprotected endpoints sampled for a short request.
const UNPROTECTED_SAMPLE_SIZE: usize = 8;
/// The largest share of engines kept clear of medium and long prefills.
const MAX_PROTECTED_SHARE: f64 = 0.6;
/// The load of short requests, as a share of all engines, from which the workspaces' shares are
/// enforced.
const BUSY_SHARE: f64 = 0.4;
/// The additional estimated wait that a request accepts per second of waiting.
const WAIT_GROWTH: f64 = 0.2;
/// The largest delay of a short request on an engine that computes other prompts, in seconds.
const MAX_INTERFERENCE_SECONDS: f64 = 0.3;
/// The cost per rank for requests that are not long, in seconds: large enough for daemons to prefer
/// different endpoints among equal ones.
const RANK_COST_SECONDS: f64 = 0.015;
/// The largest random cost, which also separates equal endpoints, in seconds.
const MAX_JITTER_SECONDS: f64 = 0.02;
/// The cached share of a long prompt from which its holders are candidates, even if protected.
const MIN_CACHED_SHARE: f64 = 0.5;

/// The properties of a placement that are common to all candidates.
#[derive(Debug, Clone, Copy)]
struct Context {
    is_saturated: bool,
    is_preferred: bool,
    /// This owner's lowest rank among the candidates.
    min_rank: u32,
}

/// The default policy.
#[derive(Debug)]
pub struct Latency {
    random: Pcg32,
    short_arrivals: arrivals::Rate,
    shares: arrivals::Shares,
}

/// A candidate endpoint.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    index: EndpointIndex,
    /// The estimated wait before the prefill starts, in seconds.
    wait_seconds: f64,
    /// The estimated time to first token, in seconds.
    first_token_seconds: f64,
}

impl Latency {
    /// Creates the policy with its own random numbers; seeds should differ between daemons.
    pub fn new(seed: u64) -> Self {
        Self {
            random: Pcg32::new(seed, 2),
            short_arrivals: arrivals::Rate::default(),
            shares: arrivals::Shares::default(),
        }
    }

    /// Returns how many of `count` engines are kept clear of medium and long prefills: those that
    /// the short requests of all daemons need, with headroom.
    fn protected_count(&self, now: Moment, pool: &Pool, count: usize) -> usize {
        let needed_count = (self.short_load(now, pool) * pool.settings.short_headroom).ceil() + 1.0;
        let max_count = (count as f64 * MAX_PROTECTED_SHARE).floor();
        needed_count.min(max_count).max(0.0) as usize
    }

    /// Returns the load of all daemons' short requests, in engines.
    fn short_load(&self, now: Moment, pool: &Pool) -> f64 {
        let rate = self.short_arrivals.per_second(now) * pool.owner_count() as f64;
        rate / pool.rates.prefill(Size::Short)
    }

    /// Returns whether short requests need more than their protected share. Strict priorities would
    /// then starve other sizes, so requests that are not preferred get equal priority, and short ones
    /// among them count the whole backlog of an engine as wait.
    fn is_saturated(&self, now: Moment, pool: &Pool) -> bool {
        let count = pool.candidates().len() as f64;
        self.short_load(now, pool) > count * MAX_PROTECTED_SHARE
    }

    /// Returns whether a short request precedes those of workspaces above their share.
    fn is_preferred(&self, now: Moment, job: &Job, pool: &Pool) -> bool {
        let count = pool.candidates().len() as f64;
        let is_busy = self.short_load(now, pool) > count * BUSY_SHARE;
        // Keeps the sum of all preferred requests within the protected share.
        let capacity = capacity(pool) * MAX_PROTECTED_SHARE;
        let is_above_share = is_busy && self.shares.is_above_share(now, job, capacity);
        job.size == Size::Short && !is_above_share
    }

    fn sample(
        &mut self,
        endpoints: &[EndpointIndex],
        size: usize,
        sampled: &mut Vec<EndpointIndex>,
    ) {
        if endpoints.len() <= size {
            sampled.extend_from_slice(endpoints);
            return;
        }
        for _ in 0..size {
            sampled.push(endpoints[self.random.next_u32() as usize % endpoints.len()]);
        }
    }

    fn candidates(&mut self, now: Moment, job: &Job, pool: &Pool) -> Vec<EndpointIndex> {
        let all = pool.candidates();
        // Protected endpoints are kept clear of medium and long prefills.
        let protected_count = self.protected_count(now, pool, all.len());
        let (unprotected, protected) = all.split_at(all.len() - protected_count);
        let mut found = Vec::with_capacity(2 * SAMPLE_SIZE);
        match job.size {
            Size::Short => {
                self.sample(protected, SAMPLE_SIZE, &mut found);
                self.sample(unprotected, UNPROTECTED_SAMPLE_SIZE, &mut found);
            }
            Size::Medium | Size::Long => self.sample(unprotected, SAMPLE_SIZE, &mut found),
            Size::Spanning if all.len() <= SPANNING_SAMPLE_SIZE => found.extend_from_slice(all),
            Size::Spanning => self.sample(unprotected, SPANNING_SAMPLE_SIZE, &mut found),
        }
        found.extend(cached_holders(job, pool));
        found.retain(|&index| can_take(job, pool, index));
        if found.is_empty() {
            // No sampled endpoint is suitable: they may be too small or excluded.
            let all = all.iter().copied();
            let others = all.filter(|&index| can_take(job, pool, index));
            found.extend(others.take(SAMPLE_SIZE));
        }
        found.sort_unstable();
        found.dedup();
        found
    }

    fn evaluate(
        &mut self,
        now: Moment,
        job: &Job,
        pool: &Pool,
        index: EndpointIndex,
        context: Context,
    ) -> Candidate {
        let endpoint = pool.endpoint(index);
        let rate = pool.rates.backlog_rate() * endpoint.speed_factor;
        let backlog = endpoint.backlog_tokens(now, pool.rates.backlog_rate()) / rate;
        let cached =
            endpoint.cached_blocks(&job.request.prefix) * pool.settings.block_tokens as f64;
        let uncached = (job.prefill_tokens() as f64 - cached).max(1.0);
        // A cached prompt outweighs the precedence of other owners.
        let uncached_share = uncached / job.prefill_tokens().max(1) as f64;
        let rank = f64::from(endpoint.rank - context.min_rank)
            * pool.settings.rank_step.as_secs_f64()
            * uncached_share;
        let jitter = f64::from(self.random.next_u32()) / f64::from(u32::MAX) * MAX_JITTER_SECONDS;
        let tie_break = f64::from(endpoint.rank) * RANK_COST_SECONDS + jitter;
        let wait_seconds = match job.size {
            Size::Short if context.is_saturated && !context.is_preferred => backlog + tie_break,
            Size::Short if context.is_preferred => {
                short_wait(
                    backlog,
                    endpoint.pending_first_priority_tokens() as f64 / rate,
                ) + tie_break
            }
            Size::Short => {
                short_wait(backlog, endpoint.pending_short_tokens() as f64 / rate) + tie_break
            }
            Size::Medium => backlog + tie_break,
            Size::Long | Size::Spanning => backlog + rank,
        };
        let own_seconds = uncached / (pool.rates.prefill(job.size) * endpoint.speed_factor);
        Candidate {
            index,
            wait_seconds,
            first_token_seconds: wait_seconds + own_seconds,
        }
    }

    fn max_wait(now: Moment, job: &Job, pool: &Pool) -> f64 {
        let waited = (now - job.arrived).as_secs_f64();
        let depth = match job.size {
            // A plain service limits its own concurrency.
            _ if job.request.kind == RequestKind::Plain => return f64::INFINITY,
            Size::Short => pool.settings.short_depth,
            Size::Medium => pool.settings.medium_depth,
            Size::Long | Size::Spanning => pool.settings.long_depth,
        };
        depth.as_secs_f64() + waited * WAIT_GROWTH
    }
}

impl Policy for Latency {
    fn record_arrival(&mut self, now: Moment, job: &Job, pool: &Pool) {
        if job.size == Size::Short {
            self.short_arrivals.add(now, job.prefill_tokens() as f64);
            self.shares.record(now, job, capacity(pool));
        }
    }

    fn place(&mut self, now: Moment, job: &Job, pool: &Pool) -> Placement {
        let max_wait = Self::max_wait(now, job, pool);
        let found = self.candidates(now, job, pool);
        if found.is_empty() {
            return Placement::Impossible;
        }
        // Precedence matters only relative to the best candidate.
        let ranks = found.iter().map(|&index| pool.endpoint(index).rank);
        let context = Context {
            is_saturated: self.is_saturated(now, pool),
            is_preferred: self.is_preferred(now, job, pool),
            min_rank: ranks.min().unwrap_or(0),
        };
        let mut evaluated: Vec<Candidate> = found
            .into_iter()
            .map(|index| self.evaluate(now, job, pool, index, context))
            .collect();
        evaluated.sort_by(|a, b| a.first_token_seconds.total_cmp(&b.first_token_seconds));
        if job.size == Size::Spanning {
            let free = evaluated
                .iter()
                .filter(|candidate| candidate.wait_seconds <= max_wait);
            let placement = choose_spanning(job, pool, free.map(|candidate| candidate.index));
            return match placement {
                Placement::Impossible => Placement::Wait,
                placement => placement,
            };
        }
        let can_start = |candidate: &&Candidate| {
            let endpoint = pool.endpoint(candidate.index);
            candidate.wait_seconds <= max_wait
                && endpoint.has_room(job.memory_tokens())
                && !endpoint.is_ejected(now)
        };
        evaluated
            .iter()
            .find(can_start)
            .map_or(Placement::Wait, |candidate| Placement::One(candidate.index))
    }

    fn engine_priority(&self, now: Moment, job: &Job, pool: &Pool) -> u8 {
        if self.is_preferred(now, job, pool) {
            FIRST_PRIORITY
        } else {
            size_priority(now, job, pool, self.is_saturated(now, pool))
        }
    }
}

/// Returns this daemon's share of the engines' work per second.
fn capacity(pool: &Pool) -> f64 {
    pool.candidates().len() as f64 * pool.rates.backlog_rate() / pool.owner_count() as f64
}

/// Returns the wait of a short request. Engines honour priorities, so a backlog costs only
/// interference, while earlier short requests cost their full time.
fn short_wait(backlog: f64, short_backlog: f64) -> f64 {
    MAX_INTERFERENCE_SECONDS * backlog / (backlog + MAX_INTERFERENCE_SECONDS) + short_backlog
}

/// Returns whether an endpoint can run the request, now or later.
fn can_take(job: &Job, pool: &Pool, index: EndpointIndex) -> bool {
    let has_memory = pool.endpoint(index).memory_tokens() >= job.memory_tokens();
    is_allowed(job, pool, index) && (has_memory || job.size == Size::Spanning)
}

/// Returns endpoints that hold the start of the prompt; for a long one, only those that hold most
/// of it.
fn cached_holders(job: &Job, pool: &Pool) -> impl Iterator<Item = EndpointIndex> {
    let prefix = &job.request.prefix;
    let min_blocks = match job.size {
        Size::Short | Size::Medium => 0.0,
        Size::Long => prefix.len() as f64 * MIN_CACHED_SHARE,
        Size::Spanning => f64::INFINITY,
    };
    let holders = pool.prefixes.holders(prefix).iter().copied();
    holders.filter(move |&index| pool.endpoint(index).cached_blocks(prefix) >= min_blocks)
}
