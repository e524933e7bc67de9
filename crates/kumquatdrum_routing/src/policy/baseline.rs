//! Simple policies that serve as a baseline for comparison. They never wait.

use kumquatdrum_types::Moment;
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::{Placement, Policy, choose_spanning, is_allowed, size_priority};
use crate::pool::{EndpointIndex, Pool};
use crate::{Job, Size};

/// The strategy of a baseline policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Any endpoint with equal probability.
    Random,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest requests, as reported and dispatched since.
    LeastOutstanding,
    /// The endpoint with the longest cached prefix, otherwise any.
    PrefixOnly,
}

/// A baseline policy.
#[derive(Debug)]
pub struct Baseline {
    strategy: Strategy,
    random: Pcg32,
    next: usize,
    has_priorities: bool,
}

impl Baseline {
    /// Creates a baseline with its own random numbers.
    pub fn new(strategy: Strategy, seed: u64) -> Self {
        let mut random = Pcg32::new(seed, 1);
        let next = random.next_u32() as usize;
        Self {
            strategy,
            random,
            next,
            has_priorities: false,
        }
    }

    /// Uses the engine priorities of the default policy.
    #[must_use]
    pub const fn with_priorities(mut self) -> Self {
        self.has_priorities = true;
        self
    }

    fn sort_key(&mut self, index: usize, count: usize, job: &Job, pool: &Pool) -> (u64, u32) {
        let endpoint = pool.endpoint(pool.candidates()[index]);
        let random = self.random.next_u32();
        match self.strategy {
            Strategy::Random => (0, random),
            Strategy::RoundRobin => (((index + count - self.next % count) % count) as u64, 0),
            Strategy::LeastOutstanding => (u64::from(endpoint.requests()), random),
            Strategy::PrefixOnly => {
                let cached = endpoint.cached_blocks(&job.request.prefix) as u64;
                (u64::MAX - cached, random)
            }
        }
    }
}

impl Policy for Baseline {
    fn place(&mut self, _now: Moment, job: &Job, pool: &Pool) -> Placement {
        let count = pool.candidates().len();
        let indices: Vec<usize> = (0..count)
            .filter(|&index| is_allowed(job, pool, pool.candidates()[index]))
            .collect();
        let mut ranked: Vec<((u64, u32), EndpointIndex)> = indices
            .into_iter()
            .map(|index| {
                (
                    self.sort_key(index, count, job, pool),
                    pool.candidates()[index],
                )
            })
            .collect();
        self.next = self.next.wrapping_add(1);
        ranked.sort_unstable();
        let ranked = ranked.into_iter().map(|(_, index)| index);
        if job.size == Size::Spanning {
            return choose_spanning(job, pool, ranked);
        }
        ranked
            .into_iter()
            .find(|&index| pool.endpoint(index).memory_tokens() >= job.memory_tokens())
            .map_or(Placement::Impossible, Placement::One)
    }

    fn engine_priority(&self, now: Moment, job: &Job, pool: &Pool) -> u8 {
        if self.has_priorities {
            size_priority(now, job, pool, false)
        } else {
            0
        }
    }
}
