//! Baselines: simple policies against which the chosen one is measured. They never wait.

use kumquatdrum_types::Moment;
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::{Placement, Policy, is_allowed, size_priority, span};
use crate::fleet::{Fleet, SlotIndex};
use crate::{Job, Size};

/// Which baseline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Any endpoint, with equal chances.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest requests, as reported and dispatched since.
    LeastOutstanding,
    /// The one with the longest cached prefix, else any.
    PrefixOnly,
}

/// A baseline policy.
#[derive(Debug)]
pub struct Baseline {
    choice: Choice,
    random: Pcg32,
    next: usize,
    has_priorities: bool,
}

impl Baseline {
    /// A baseline with its own random numbers.
    pub fn new(choice: Choice, seed: u64) -> Self {
        let mut random = Pcg32::new(seed, 1);
        let next = random.next_u32() as usize;
        Self {
            choice,
            random,
            next,
            has_priorities: false,
        }
    }

    /// Hands engines the same priorities as the chosen policy does.
    #[must_use]
    pub const fn with_priorities(mut self) -> Self {
        self.has_priorities = true;
        self
    }

    fn key(&mut self, place: usize, count: usize, job: &Job, fleet: &Fleet) -> (u64, u32) {
        let slot = fleet.slot(fleet.candidates()[place]);
        let chance = self.random.next_u32();
        match self.choice {
            Choice::Random => (0, chance),
            Choice::RoundRobin => (((place + count - self.next % count) % count) as u64, 0),
            Choice::LeastOutstanding => (u64::from(slot.requests()), chance),
            Choice::PrefixOnly => {
                let cached = slot.cached_blocks(&job.ask.prefix) as u64;
                (u64::MAX - cached, chance)
            }
        }
    }
}

impl Policy for Baseline {
    fn place(&mut self, _now: Moment, job: &Job, fleet: &Fleet) -> Placement {
        let count = fleet.candidates().len();
        let places: Vec<usize> = (0..count)
            .filter(|&place| is_allowed(job, fleet, fleet.candidates()[place]))
            .collect();
        let mut ranked: Vec<((u64, u32), SlotIndex)> = places
            .into_iter()
            .map(|place| {
                (
                    self.key(place, count, job, fleet),
                    fleet.candidates()[place],
                )
            })
            .collect();
        self.next = self.next.wrapping_add(1);
        ranked.sort_unstable();
        let ranked = ranked.into_iter().map(|(_, index)| index);
        if job.size == Size::Spanning {
            return span(job, fleet, ranked);
        }
        ranked
            .into_iter()
            .find(|&index| fleet.slot(index).memory() >= job.memory_tokens())
            .map_or(Placement::Nowhere, Placement::One)
    }

    fn engine_priority(&self, now: Moment, job: &Job, fleet: &Fleet) -> u8 {
        if self.has_priorities {
            size_priority(now, job, fleet, false)
        } else {
            0
        }
    }
}
