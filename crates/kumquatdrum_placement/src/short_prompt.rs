//! Places prompts whose prefill fits into the allowed pauses of the answers in progress.
//!
//! Callers of such prompts expect a first token within a fraction of a second and short pauses. The
//! prompts are packed on engines that already decode answers with equally short pauses, which
//! leaves other engines free for long prefills, and on engines of the host's own data centre, whose
//! streams survive a network partition.
//!
//! While most engines have no answers, long prefills find enough of them, and prompts are spread over
//! those: hundreds of hosts that know of each other's dispatches late would pack more prompts on the
//! same engines than these have slots.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexSet;
use kumquatdrum_types::{Moment, hash};

use crate::candidate::Candidate;
use crate::long_prompt::MAX_PREFILL_ENGINES;
use crate::slot_queue::{self, Turn};
use crate::{Cost, DataCentreKey, EndpointKey, Helper, Job, Plan};

/// The share of the longest pause that a short prompt's prefill may take; the rest is left for a
/// decode pass.
const PREFILL_PAUSE_SHARE: f64 = 0.8;
/// The share of the time left until the first token is due that queueing may take on an engine that
/// can start soon. The rest is left for the prefill and for concurrent dispatches of other hosts.
/// Lower shares spread short answers over engines whose long prefills make them pause, higher ones
/// make first tokens late.
const START_SOON_SHARE: f64 = 0.36;
/// The share of the time left until the first token is due that queueing and prefill may take
/// before an engine that isn't packed yet is preferred. The rest is left for concurrent dispatches
/// of other hosts.
const ON_TIME_SHARE: f64 = 0.7;
/// The choice is pseudo-random among as many engines as prompts are dispatched in this window. Hosts
/// learn of each other's dispatches late, and would otherwise all choose the same engine and exceed
/// its slots, so that a first token waits for another answer's end. The window is ten times the age
/// of what a host knows of the others; a longer one would use more engines than needed.
const SPREAD_WINDOW: Duration = Duration::from_millis(80);
/// The engines without answers that stay free for long prefills before short prompts are spread: as many
/// as four of them share.
const MIN_IDLE_ENGINES: usize = 4 * MAX_PREFILL_ENGINES;
/// The share of the engines that must have no answers before short prompts are spread.
const MIN_IDLE_SHARE: f64 = 0.5;
/// Passes before the first token besides the prefill: half of the current one, and the one that
/// runs the prefill.
pub(crate) const PASSES_TO_FIRST_TOKEN: f64 = 1.5;
/// The shortest part that is worth another engine, in milliseconds of prefill: about one pass.
pub(crate) const MIN_PART_MS: f64 = 60.0;

/// Returns whether the prefill is short enough for the pauses of the job and of all answers in
/// progress.
pub(crate) fn is_short(job: &Job, candidates: &[Candidate<'_>], prefill_ms: f64) -> bool {
    let own_pause = job.max_pause.as_secs_f64() * 1e3;
    let tightest = candidates.iter().map(Candidate::tightest_pause_ms);
    prefill_ms <= tightest.fold(own_pause, f64::min) * PREFILL_PAUSE_SHARE
}

/// The conditions of a placement besides the engines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Conditions {
    /// Dispatches per second over all hosts.
    pub(crate) dispatch_rate: f64,
    /// The data centre of this host, if known.
    pub(crate) local_data_centre: Option<DataCentreKey>,
    /// Whether prompts are spread over engines without answers.
    pub(crate) is_spread: bool,
}

/// Returns whether so many engines have no answers that prompts are spread over these.
pub(crate) fn is_spread(candidates: &[Candidate<'_>]) -> bool {
    let idle = candidates.iter().filter(|candidate| candidate.is_idle());
    let share = (candidates.len() as f64 * MIN_IDLE_SHARE) as usize;
    idle.count() > share.max(MIN_IDLE_ENGINES)
}

/// The preference among engines, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    /// The engine has no answers, and prompts are spread.
    Idle,
    /// The engine decodes answers with equally short pauses and can start soon.
    Packed,
    /// The engine decodes such answers and has a backlog, but the first token is in time.
    Delayed,
    /// The engine decodes no such answers; placing one would keep long prefills away from it.
    Unpacked,
    /// The first token would probably be late, or the engine decodes no such answers and cannot
    /// start soon.
    Late,
}

/// The rank of a candidate; the lowest is the best.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_late: bool,
    /// The engine is in another data centre, so that a network partition breaks the stream. Ignored
    /// if the first token would be late.
    is_remote: bool,
    preference: Preference,
    /// The number of answers, the most first; 0 if it does not matter for the preference.
    decodes: Reverse<usize>,
    /// The estimated time to first token, in microseconds.
    first_token_us: u64,
}

/// Returns the number of free slots on engines with enough memory for a job.
pub(crate) fn free_slots(cost: &Cost, job: &Job, candidates: &[Candidate<'_>]) -> usize {
    let slots = cost.engine().slots as usize;
    let fits = candidates
        .iter()
        .filter(|candidate| candidate.free_tokens >= job.memory_tokens());
    let free = fits.map(|candidate| slots.saturating_sub(candidate.decodes()));
    free.sum()
}

/// Chooses the engine for a short prompt: the best one, or one of the next best if other hosts
/// dispatch at the same time. If others wait for a slot, the engine is that of the prompt's turn.
pub(crate) fn place<'a>(
    cost: &Cost,
    now: Moment,
    job: &Job,
    candidates: &'a [Candidate<'a>],
    conditions: &Conditions,
    turn: Turn,
) -> Option<&'a Candidate<'a>> {
    let slots = cost.engine().slots as usize;
    let left_ms = (job.due - now).as_secs_f64() * 1e3;
    let fits = candidates
        .iter()
        .filter(|candidate| candidate.free_tokens >= job.memory_tokens());
    let fits = fits.filter(|candidate| candidate.decodes() < slots);
    let fits = fits.filter(|candidate| job.may_be_sent_to(candidate.key));
    let ranked = fits.map(|candidate| (rank(cost, job, candidate, left_ms, conditions), candidate));
    let mut ranked: Vec<(Rank, &Candidate<'_>)> = ranked.collect();
    if conditions.is_spread {
        ranked.sort_by_cached_key(|(rank, candidate)| (*rank, spread_order(job, candidate)));
    } else {
        ranked.sort_by_key(|(rank, candidate)| (*rank, candidate.key));
    }
    match turn {
        Turn::Uncontended => {}
        Turn::Behind(ahead) => {
            let candidates = ranked.into_iter().map(|(_, candidate)| candidate);
            return slot_queue::take_slot(slots, candidates.collect(), ahead);
        }
        Turn::Unsettled => return None,
    }
    let (best, _) = ranked.first()?;
    let is_equivalent = |rank: &Rank| !rank.is_late && rank.is_remote == best.is_remote;
    let equivalent = ranked
        .iter()
        .filter(|(rank, _)| is_equivalent(rank))
        .count();
    let choices = (1
        + (competing_rate(candidates, conditions) * SPREAD_WINDOW.as_secs_f64()) as usize)
        .min(equivalent.max(1));
    let index = job.id.uniform_hash() % choices as u64;
    ranked.get(index as usize).map(|(_, candidate)| *candidate)
}

fn rank(
    cost: &Cost,
    job: &Job,
    candidate: &Candidate<'_>,
    left_ms: f64,
    conditions: &Conditions,
) -> Rank {
    let prefill_ms = cost.prefill_ms(job.prompt_tokens).min(MIN_PART_MS);
    let pass_ms = cost.pass_ms(candidate.decodes() + 1, candidate.used_tokens());
    let delay_ms = candidate.backlog_ms + PASSES_TO_FIRST_TOKEN * pass_ms;
    let first_token_us = ((delay_ms + prefill_ms) * 1e3) as u64;
    let packed_decodes = candidate.decodes_within(job.max_pause.as_secs_f64() * 1e3);
    let can_start_soon = delay_ms <= left_ms * START_SOON_SHARE && candidate.is_ready();
    let is_on_time = delay_ms + prefill_ms <= left_ms * ON_TIME_SHARE;
    let is_remote = conditions
        .local_data_centre
        .is_some_and(|local_data_centre| local_data_centre != candidate.data_centre());
    let (preference, decodes) = match packed_decodes {
        0 if conditions.is_spread && candidate.is_idle() && can_start_soon => (Preference::Idle, 0),
        1.. if can_start_soon => (Preference::Packed, packed_decodes),
        1.. if is_on_time => (Preference::Delayed, 0),
        _ if can_start_soon => (Preference::Unpacked, candidate.decodes()),
        _ => (Preference::Late, 0),
    };
    let is_late = preference == Preference::Late;
    Rank {
        is_late,
        is_remote: is_remote && !is_late,
        preference,
        decodes: Reverse(decodes),
        first_token_us,
    }
}

/// Returns the place of an engine among equally good ones. Prompts of hosts that do not know of each
/// other yet choose different engines.
pub(crate) fn spread_order(job: &Job, candidate: &Candidate<'_>) -> u64 {
    hash::mix(job.id.uniform_hash() ^ candidate.key.0)
}

/// Returns the dispatches per second of hosts that prefer the same engines.
fn competing_rate(candidates: &[Candidate<'_>], conditions: &Conditions) -> f64 {
    if conditions.local_data_centre.is_none() {
        return conditions.dispatch_rate;
    }
    let data_centres: IndexSet<DataCentreKey> =
        candidates.iter().map(Candidate::data_centre).collect();
    conditions.dispatch_rate / data_centres.len().max(1) as f64
}

/// Chooses the engines that share a short prefill longer than a pass, those with the fewest answers
/// first. A cold engine prefills alone.
pub(crate) fn choose_helpers(
    job: &Job,
    candidates: &[Candidate<'_>],
    first: &Candidate<'_>,
    prefill_ms: f64,
    is_spread: bool,
) -> Vec<Helper> {
    if first.is_cold {
        return Vec::new();
    }
    let wanted = (prefill_ms / MIN_PART_MS) as usize;
    let available = candidates
        .iter()
        .filter(|candidate| candidate.key != first.key);
    let mut available: Vec<&Candidate<'_>> = available
        .filter(|candidate| candidate.is_ready() && !candidate.is_limited)
        .collect();
    if is_spread {
        available.sort_by_cached_key(|it| (it.decodes(), spread_order(job, it)));
    } else {
        available.sort_by_key(|candidate| candidate.decodes());
    }
    let helpers = available.into_iter().take(wanted);
    helpers
        .map(|candidate| Helper {
            endpoint: candidate.key,
            reserved_tokens: 0,
        })
        .collect()
}

/// Returns the plan of a short prompt.
pub(crate) fn plan(job: &Job, first: EndpointKey, helpers: Vec<Helper>, prefill_ms: f64) -> Plan {
    let prefill_engines = helpers.len() + 1;
    Plan {
        job: job.id,
        first,
        helpers,
        prompt_tokens: u32::try_from(job.prompt_tokens).unwrap_or(u32::MAX),
        target_ms: (job.due - job.arrived).as_millis() as u32,
        part_ms: (prefill_ms / prefill_engines as f64) as f32,
        memory_tokens: u32::try_from(job.memory_tokens()).unwrap_or(u32::MAX),
        pause_ms: job.max_pause.as_millis() as u32,
    }
}
