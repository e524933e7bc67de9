//! The chosen policy: the least estimated time to the first token, with room kept for the short.

use kumquatdrum_types::Moment;
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::arrivals::{Rate, Shares};
use super::{FIRST_PRIORITY, Placement, Policy, is_allowed, size_priority, span};
use crate::fleet::{Fleet, SlotIndex};
use crate::{Job, RequestKind, Size};

/// Endpoints that one decision looks at.
const SAMPLE: usize = 10;
/// Engines that a decision about several of them looks at.
const SPANNING_SAMPLE: usize = 48;
/// Endpoints outside the own zone that a short request looks at.
const OUTSIDE_SAMPLE: usize = 8;
/// The most engines, as a share, that are kept clear of medium and long prefills.
const PROTECTED_MOST: f64 = 0.6;
/// The short requests' load, as a share of all engines, below which no workspace is in the way.
const BUSY: f64 = 0.4;
/// Patience: a request that waits accepts this much more estimated wait a second.
const PATIENCE: f64 = 0.2;
/// The most that a short request loses on an engine that computes other prompts, in seconds.
const INTERFERENCE: f64 = 0.3;
/// What an owner that comes earlier at an endpoint adds for requests that are not long, in seconds:
/// just enough for daemons to prefer different ones of endpoints that look equal.
const RANK_COST: f64 = 0.015;
/// The most that is added at random, for the same reason, in seconds.
const JITTER: f64 = 0.02;
/// The cached part of a long prompt from which its holders are looked at wherever they stand.
const MOSTLY: f64 = 0.5;

/// What a decision holds of the traffic.
#[derive(Debug, Clone, Copy)]
struct Traffic {
    is_flooded: bool,
    is_light: bool,
    /// The lowest rank of this owner at the endpoints looked at.
    lowest_rank: u32,
}

/// The chosen policy.
#[derive(Debug)]
pub struct Estimated {
    random: Pcg32,
    short: Rate,
    shares: Shares,
}

/// An endpoint that is looked at.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    index: SlotIndex,
    /// Estimated wait before the request's own work begins, in seconds.
    wait: f64,
    /// Estimated time to the first token, in seconds.
    total: f64,
}

impl Estimated {
    /// The policy with its own random numbers; daemons should have different seeds.
    pub fn new(seed: u64) -> Self {
        Self {
            random: Pcg32::new(seed, 2),
            short: Rate::default(),
            shares: Shares::default(),
        }
    }

    /// How many of `count` engines are kept clear of long prefills: those that the short load
    /// of all daemons needs, with headroom.
    fn protected(&self, now: Moment, fleet: &Fleet, count: usize) -> usize {
        let wanted = (self.short_load(now, fleet) * fleet.settings.short_headroom).ceil() + 1.0;
        let most = (count as f64 * PROTECTED_MOST).floor();
        wanted.min(most).max(0.0) as usize
    }

    /// The short requests' load of all daemons, in engines.
    fn short_load(&self, now: Moment, fleet: &Fleet) -> f64 {
        let rate = self.short.per_second(now) * fleet.owners() as f64;
        rate / fleet.rates.prefill(Size::Short)
    }

    /// Whether short requests alone would take more than they may. Strict priorities would then
    /// starve the others, so these get the same priority, and the short keep off their engines.
    fn is_flooded(&self, now: Moment, fleet: &Fleet) -> bool {
        let count = fleet.candidates().len() as f64;
        self.short_load(now, fleet) > count * PROTECTED_MOST
    }

    /// Whether a short request goes before those of workspaces that bring more than their share.
    fn is_light(&self, now: Moment, job: &Job, fleet: &Fleet) -> bool {
        let count = fleet.candidates().len() as f64;
        let is_busy = self.short_load(now, fleet) > count * BUSY;
        // All light ones together stay below what short requests may take.
        let capacity = capacity(fleet) * PROTECTED_MOST;
        let is_over = is_busy && self.shares.is_over(now, job, capacity);
        job.size == Size::Short && !is_over
    }

    fn sample(&mut self, zone: &[SlotIndex], size: usize, into: &mut Vec<SlotIndex>) {
        if zone.len() <= size {
            into.extend_from_slice(zone);
            return;
        }
        for _ in 0..size {
            into.push(zone[self.random.next_u32() as usize % zone.len()]);
        }
    }

    fn candidates(&mut self, now: Moment, job: &Job, fleet: &Fleet) -> Vec<SlotIndex> {
        let all = fleet.candidates();
        let protected = self.protected(now, fleet, all.len());
        let (long_zone, short_zone) = all.split_at(all.len() - protected);
        let mut found = Vec::with_capacity(2 * SAMPLE);
        match job.size {
            Size::Short => {
                self.sample(short_zone, SAMPLE, &mut found);
                self.sample(long_zone, OUTSIDE_SAMPLE, &mut found);
            }
            Size::Medium | Size::Long => self.sample(long_zone, SAMPLE, &mut found),
            Size::Spanning if all.len() <= SPANNING_SAMPLE => found.extend_from_slice(all),
            Size::Spanning => self.sample(long_zone, SPANNING_SAMPLE, &mut found),
        }
        found.extend(holders(job, fleet));
        found.retain(|&index| may_take(job, fleet, index));
        if found.is_empty() {
            // The zone holds none: others may be too small, or excluded.
            let all = all.iter().copied();
            let others = all.filter(|&index| may_take(job, fleet, index));
            found.extend(others.take(SAMPLE));
        }
        found.sort_unstable();
        found.dedup();
        found
    }

    fn look(
        &mut self,
        now: Moment,
        job: &Job,
        fleet: &Fleet,
        index: SlotIndex,
        traffic: Traffic,
    ) -> Candidate {
        let slot = fleet.slot(index);
        let rate = fleet.rates.bulk() * slot.factor;
        let backlog = slot.backlog_tokens(now, fleet.rates.bulk()) / rate;
        let cached = slot.cached_blocks(&job.ask.prefix) * fleet.settings.block_tokens as f64;
        let uncached = (job.prefill_tokens() as f64 - cached).max(1.0);
        // Whoever holds much of the prompt is the right one, whichever owner comes first there.
        let contested = uncached / job.prefill_tokens().max(1) as f64;
        let rank = f64::from(slot.rank - traffic.lowest_rank)
            * fleet.settings.rank_step.as_secs_f64()
            * contested;
        let jitter = f64::from(self.random.next_u32()) / f64::from(u32::MAX) * JITTER;
        let spread = f64::from(slot.rank) * RANK_COST + jitter;
        let wait = match job.size {
            Size::Short if traffic.is_flooded && !traffic.is_light => backlog + spread,
            Size::Short if traffic.is_light => {
                short_wait(backlog, slot.open_first_tokens() as f64 / rate) + spread
            }
            Size::Short => short_wait(backlog, slot.open_short_tokens() as f64 / rate) + spread,
            Size::Medium => backlog + spread,
            Size::Long | Size::Spanning => backlog + rank,
        };
        let own = uncached / (fleet.rates.prefill(job.size) * slot.factor);
        Candidate {
            index,
            wait,
            total: wait + own,
        }
    }

    fn most_wait(now: Moment, job: &Job, fleet: &Fleet) -> f64 {
        let waited = (now - job.since).as_secs_f64();
        let depth = match job.size {
            // How many calls a plain service takes at once is its own affair.
            _ if job.ask.kind == RequestKind::Plain => return f64::INFINITY,
            Size::Short => fleet.settings.short_depth,
            Size::Medium => fleet.settings.medium_depth,
            Size::Long | Size::Spanning => fleet.settings.long_depth,
        };
        depth.as_secs_f64() + waited * PATIENCE
    }
}

impl Policy for Estimated {
    fn arrived(&mut self, now: Moment, job: &Job, fleet: &Fleet) {
        if job.size == Size::Short {
            self.short.add(now, job.prefill_tokens() as f64);
            self.shares.arrived(now, job, capacity(fleet));
        }
    }

    fn place(&mut self, now: Moment, job: &Job, fleet: &Fleet) -> Placement {
        let most = Self::most_wait(now, job, fleet);
        let found = self.candidates(now, job, fleet);
        if found.is_empty() {
            return Placement::Nowhere;
        }
        // Where no engine is nearer to this owner than to others, none costs more for that.
        let ranks = found.iter().map(|&index| fleet.slot(index).rank);
        let traffic = Traffic {
            is_flooded: self.is_flooded(now, fleet),
            is_light: self.is_light(now, job, fleet),
            lowest_rank: ranks.min().unwrap_or(0),
        };
        let mut looked: Vec<Candidate> = found
            .into_iter()
            .map(|index| self.look(now, job, fleet, index, traffic))
            .collect();
        looked.sort_by(|a, b| a.total.total_cmp(&b.total));
        if job.size == Size::Spanning {
            let free = looked.iter().filter(|found| found.wait <= most);
            let placement = span(job, fleet, free.map(|found| found.index));
            return match placement {
                Placement::Nowhere => Placement::Wait,
                placement => placement,
            };
        }
        let fits = |found: &&Candidate| {
            let slot = fleet.slot(found.index);
            found.wait <= most && slot.has_room(job.memory_tokens()) && !slot.is_resting(now)
        };
        looked
            .iter()
            .find(fits)
            .map_or(Placement::Wait, |found| Placement::One(found.index))
    }

    fn engine_priority(&self, now: Moment, job: &Job, fleet: &Fleet) -> u8 {
        if self.is_light(now, job, fleet) {
            FIRST_PRIORITY
        } else {
            size_priority(now, job, fleet, self.is_flooded(now, fleet))
        }
    }
}

/// The work a second that is this daemon's part of all engines.
fn capacity(fleet: &Fleet) -> f64 {
    fleet.candidates().len() as f64 * fleet.rates.bulk() / fleet.owners() as f64
}

/// The wait of a short request: engines honour priorities, so a backlog costs it what computing
/// beside another prompt does, and only short requests before it cost their whole time.
fn short_wait(backlog: f64, own_short: f64) -> f64 {
    INTERFERENCE * backlog / (backlog + INTERFERENCE) + own_short
}

/// Whether an endpoint may get the request, now or later.
fn may_take(job: &Job, fleet: &Fleet, index: SlotIndex) -> bool {
    let is_enough = fleet.slot(index).memory() >= job.memory_tokens();
    is_allowed(job, fleet, index) && (is_enough || job.size == Size::Spanning)
}

/// Endpoints that hold the beginning of the prompt; of a long one, only those that hold most.
fn holders(job: &Job, fleet: &Fleet) -> impl Iterator<Item = SlotIndex> {
    let prefix = &job.ask.prefix;
    let least = match job.size {
        Size::Short | Size::Medium => 0.0,
        Size::Long => prefix.len() as f64 * MOSTLY,
        Size::Spanning => f64::INFINITY,
    };
    let holders = fleet.prefixes.holders(prefix).iter().copied();
    holders.filter(move |&index| fleet.slot(index).cached_blocks(prefix) >= least)
}
