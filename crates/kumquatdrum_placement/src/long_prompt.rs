//! Places prompts whose prefill doesn't fit into the allowed pauses of the answers in progress.
//!
//! Several engines share such a prefill, which may take seconds on one engine. Their number is a
//! trade-off between the time to first token and the answers that pause meanwhile. An engine runs
//! the newest part first, and a first token needs all parts, so overlapping prefills would starve
//! each other. Long prompts are therefore dispatched to an engine one at a time, in an order common
//! to all hosts.

use kumquatdrum_types::Moment;

use crate::candidate::Candidate;
use crate::demand::weight;
use crate::short_prompt::{is_spread, spread_order};
use crate::{Cost, DataCentreKey, Helper, Job, Plan};

/// The most engines that share a prefill: one and the sixteen helpers that engines accept.
pub(crate) const MAX_PREFILL_ENGINES: usize = 17;
/// The cost of an answer in progress when engines are compared, in milliseconds of backlog. It
/// keeps long prefills off busy engines, even if no answer would pause for too long yet.
const DECODE_PENALTY_MS: f64 = 300.0;
/// The cost of disrupted answers, in milliseconds of time to first token per unit of weight. The
/// answer to a short prompt weighs about one and a half.
const DISRUPTION_PENALTY_MS: f64 = 60.0;
/// The allowed ratio of disrupted answers' weight to the prompt's weight. It prevents very long
/// prefills on a few engines, which would stall many answers for seconds.
const MAX_DISRUPTION_RATIO: f64 = 0.3;
/// The share of an engine's free memory that may be reserved; the rest is left for allocations that
/// this host doesn't know of yet.
const MAX_RESERVED_SHARE: f64 = 0.9;

/// The share of the wanted engines that must have finished earlier long prefills. Waiting for the
/// slowest costs more than sharing among fewer.
const READY_SHARE: f64 = 0.9;
/// The overhead of each engine that takes part, in passes, because the engine completes its current
/// pass first. It limits the number of parts: a part that is short beside that pass wastes the
/// engine's time.
const PASSES_LOST_PER_ENGINE: f64 = 0.25;

/// The outcome of placing a long prompt.
pub(crate) enum Placement {
    /// Dispatch the plan.
    Send(Plan),
    /// Wait for engines to finish earlier prefills.
    Wait,
    /// Wait for answers to end: memory is missing, or an overdue prompt would disrupt too many.
    Blocked,
    /// The weight of the disrupted answers would be too large for the weight of the prompt.
    TooDisruptive {
        /// The time of one part if disruption were ignored, in milliseconds.
        part_ms: f64,
    },
}

/// Chooses the engines that share the prefill of a long prompt.
pub(crate) fn place(
    cost: &Cost,
    now: Moment,
    job: &Job,
    candidates: &[Candidate<'_>],
    local_data_centre: Option<DataCentreKey>,
) -> Placement {
    let prefill_ms = cost.prefill_ms(job.prompt_tokens);
    let sorted_candidates = sort_by_load(job, candidates);
    let engine_cost_ms = cost.pass_ms(1, 0) * PASSES_LOST_PER_ENGINE;
    let wanted = best_engine_count(
        &sorted_candidates,
        prefill_ms,
        engine_cost_ms,
        f64::INFINITY,
    )
    .unwrap_or(1);
    let ready = sorted_candidates.into_iter();
    let mut ready: Vec<_> = ready.filter(|candidate| candidate.is_ready()).collect();
    let min_ready = (wanted as f64 * READY_SHARE).ceil() as usize;
    if ready.len() < min_ready {
        return Placement::Wait;
    }
    let unconstrained_count =
        best_engine_count(&ready, prefill_ms, engine_cost_ms, f64::INFINITY).unwrap_or(1);
    let part_ms = prefill_ms / unconstrained_count as f64;
    let left_ms = (job.due - now).as_secs_f64() * 1e3;
    let max_disruption = weight(job.prompt_tokens) * MAX_DISRUPTION_RATIO;
    // An overdue job, such as a resumed answer, loses little by using few engines.
    let is_late = left_ms <= 0.0;
    let count = match best_engine_count(&ready, prefill_ms, engine_cost_ms, max_disruption) {
        Some(count) if count == unconstrained_count || is_late => count,
        Some(count) if prefill_ms / count as f64 <= left_ms => count,
        _ if is_late => return Placement::Blocked,
        _ => return Placement::TooDisruptive { part_ms },
    };
    ready.truncate(count);
    match build_plan(job, candidates, ready, prefill_ms, local_data_centre) {
        Some(plan) => Placement::Send(plan),
        None => Placement::Blocked,
    }
}

/// Sorts engines by load, lowest first. If prompts are spread, engines with the same load are in an
/// order that differs by job.
fn sort_by_load<'a>(job: &Job, candidates: &'a [Candidate<'a>]) -> Vec<&'a Candidate<'a>> {
    let load = |candidate: &Candidate<'_>| {
        candidate.backlog_ms + DECODE_PENALTY_MS * candidate.decodes() as f64
    };
    let mut sorted: Vec<&Candidate<'_>> = candidates.iter().collect();
    if is_spread(candidates) {
        sorted.sort_by_cached_key(|candidate| spread_order(job, candidate));
    }
    sorted.sort_by(|one, other| load(one).total_cmp(&load(other)));
    sorted
}

/// Returns the number of engines with the lowest [`finish_ms`] plus overhead, among those whose
/// disruption is at most `max_disruption`.
fn best_engine_count(
    candidates: &[&Candidate<'_>],
    prefill_ms: f64,
    engine_cost_ms: f64,
    max_disruption: f64,
) -> Option<usize> {
    let finish_at = |count: usize| {
        let engine_costs = engine_cost_ms * count as f64;
        finish_ms(&candidates[..count], prefill_ms / count as f64) + engine_costs
    };
    let is_allowed = |count: &usize| {
        disruption(&candidates[..*count], prefill_ms / *count as f64) <= max_disruption
    };
    let counts = (1..=candidates.len().min(MAX_PREFILL_ENGINES)).filter(is_allowed);
    counts.min_by(|one, other| finish_at(*one).total_cmp(&finish_at(*other)))
}

/// Returns the total weight of the disrupted answers.
fn disruption(candidates: &[&Candidate<'_>], part_ms: f64) -> f64 {
    candidates
        .iter()
        .map(|candidate| candidate.disruption(part_ms))
        .sum()
}

/// Returns when the last part ends, with the cost of disrupted answers added, in milliseconds.
fn finish_ms(candidates: &[&Candidate<'_>], part_ms: f64) -> f64 {
    let last = candidates.iter().map(|candidate| candidate.pass_ms);
    last.fold(0.0, f64::max) + part_ms + disruption(candidates, part_ms) * DISRUPTION_PENALTY_MS
}

/// Chooses the first engine and reserves memory, on that engine alone if possible; `None` if the
/// engines have too little. An engine of the host's own data centre is preferred as the first,
/// because a network partition does not break its stream.
fn build_plan<'a>(
    job: &Job,
    candidates: &'a [Candidate<'a>],
    mut members: Vec<&'a Candidate<'a>>,
    prefill_ms: f64,
    local_data_centre: Option<DataCentreKey>,
) -> Option<Plan> {
    let part_ms = prefill_ms / members.len() as f64;
    let is_local = |candidate: &Candidate<'_>| {
        local_data_centre == Some(candidate.data_centre())
            && candidate.free_tokens >= job.memory_tokens()
    };
    let preferred = members.iter().enumerate();
    let preferred = preferred.max_by_key(|(_, candidate)| {
        let may_be_first = job.may_be_sent_to(candidate.key);
        (may_be_first, is_local(candidate), candidate.free_tokens)
    });
    let (mut index, preferred) = preferred?;
    if let Some(only) = job.first.filter(|only| *only != preferred.key) {
        let only = candidates.iter().find(|candidate| candidate.key == only)?;
        index = members.len() - 1;
        members[index] = only;
    }
    let mut free_tokens = members[index].free_tokens;
    if free_tokens < job.memory_tokens() && job.first.is_none() {
        // Another engine may have more memory than the chosen ones.
        let other = candidates
            .iter()
            .max_by_key(|candidate| candidate.free_tokens)?;
        if other.free_tokens > free_tokens
            && members.iter().all(|candidate| candidate.key != other.key)
        {
            index = members.len() - 1;
            members[index] = other;
            free_tokens = other.free_tokens;
        }
    }
    let first = members.swap_remove(index);
    let mut missing_tokens = job.memory_tokens().saturating_sub(free_tokens);
    members.sort_by_key(|candidate| std::cmp::Reverse(candidate.free_tokens));
    let mut helpers = Vec::with_capacity(members.len());
    for candidate in members {
        let available = (candidate.free_tokens as f64 * MAX_RESERVED_SHARE) as u64;
        let reserved = missing_tokens.min(available);
        missing_tokens -= reserved;
        helpers.push(Helper {
            endpoint: candidate.key,
            reserved_tokens: u32::try_from(reserved).unwrap_or(u32::MAX),
        });
    }
    if missing_tokens > 0 {
        return None;
    }
    let tokens = job.memory_tokens().min(free_tokens);
    Some(Plan {
        job: job.id,
        first: first.key,
        helpers,
        prompt_tokens: u32::try_from(job.prompt_tokens).unwrap_or(u32::MAX),
        target_ms: (job.due - job.arrived).as_millis() as u32,
        part_ms: part_ms as f32,
        memory_tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        pause_ms: job.max_pause.as_millis() as u32,
    })
}
