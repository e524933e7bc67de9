//! Orders the short prompts that wait for a slot on any engine.
//!
//! The load: short prompts arrive faster than slots become free, as in the seconds after the load has
//! turned from long prompts to short ones. If every host sent its own waiting prompts as soon as a
//! slot becomes free, all hosts would take the same slot, and prompts would queue on the engines until
//! most of them are late. In an order common to all hosts, those whose first token can still be in time
//! get the slots, each another one, and those that are late already wait for the load to fall.
//!
//! Hosts learn of each other's prompts late. A prompt therefore takes a slot that others wait for only
//! after it has waited for [`SETTLING_TIME`], when other hosts know of it.

use std::time::Duration;

use crate::candidate::Candidate;
use crate::queue::Queue;
use crate::short_prompt::PASSES_TO_FIRST_TOKEN;
use crate::{Cost, Job, SlotOrder, Waiter};

/// The time after which other hosts know of a waiting prompt: a datagram through a relay in another
/// data centre, and the delay of a busy host.
const SETTLING_TIME: Duration = Duration::from_millis(12);
/// The share of the time to first token that is left for what a host does not know yet, such as
/// answers that grow longer than expected.
const RESERVED_SHARE: f64 = 0.1;
/// Callers give up a stream that is silent for [`MIN_PATIENCE`], for four times their target latency,
/// or for eight of the pauses that they accept, whichever is longest. A prompt is refused after this
/// share of that time, so that its caller learns when to come back.
const PATIENCE_SHARE: f64 = 0.6;
const MIN_PATIENCE: Duration = Duration::from_secs(2);
const PATIENCE_TARGETS: u32 = 4;
const PATIENCE_PAUSES: u32 = 8;

/// A short prompt's place among the prompts that wait for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Turn {
    /// No other prompt waits, or the prompt waits for an engine of its own.
    Uncontended,
    /// The prompt may take a slot after those of the given number of prompts ahead.
    Behind(usize),
    /// Other hosts may not know of the prompt yet.
    Unsettled,
}

/// Determines the order of a prompt, and its turn. `queued_for` is the time for which it has waited for
/// a slot.
pub(crate) fn turn(
    cost: &Cost,
    job: &Job,
    waiter: &mut Waiter,
    queue: &Queue,
    queued_for: Duration,
    free_slots: usize,
) -> Turn {
    // Such a job waits for one engine; others do not wait for it.
    if job.first.is_some() {
        return Turn::Uncontended;
    }
    waiter.slot_order = Some(match job.is_resumed {
        true => SlotOrder::Resumed,
        false if is_in_time(cost, waiter) => SlotOrder::InTime,
        false => SlotOrder::Late,
    });
    let Contention { ahead, others } = queue.slot_contention(waiter);
    match others {
        0 => Turn::Uncontended,
        _ if queued_for < SETTLING_TIME && others >= free_slots => Turn::Unsettled,
        _ => Turn::Behind(ahead),
    }
}

/// The other prompts that wait for a slot.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Contention {
    /// Those that precede the prompt.
    pub(crate) ahead: usize,
    /// All of them.
    pub(crate) others: usize,
}

/// Chooses the engine for a prompt with a number of prompts ahead: each of those takes the first free
/// slot that is left. The engines are in the same order on all hosts, those without a long prefill
/// first; an order by locality would let two hosts choose the same slot.
pub(crate) fn take_slot<'a>(
    slots: usize,
    mut candidates: Vec<&'a Candidate<'a>>,
    ahead: usize,
) -> Option<&'a Candidate<'a>> {
    candidates.sort_by_key(|candidate| (!candidate.is_ready(), candidate.key));
    let mut ahead = ahead;
    candidates.into_iter().find(|candidate| {
        let free = slots.saturating_sub(candidate.decodes());
        let is_reached = ahead < free;
        ahead = ahead.saturating_sub(free);
        is_reached
    })
}

/// Returns whether a job that found no slot has waited for as long as its caller would.
pub(crate) fn has_expired(job: &Job, queued_for: Duration) -> bool {
    !job.is_resumed && queued_for > max_wait(job)
}

/// Returns whether a prompt's first token is in time if it gets the next slot.
fn is_in_time(cost: &Cost, waiter: &Waiter) -> bool {
    let slots = cost.engine().slots as usize;
    let start_ms = PASSES_TO_FIRST_TOKEN * cost.pass_ms(slots, 0) + f64::from(waiter.prefill_ms);
    let target_ms = f64::from(waiter.left_ms) + f64::from(waiter.waited_ms);
    f64::from(waiter.left_ms) >= start_ms + target_ms * RESERVED_SHARE
}

/// Returns the longest time for which a job waits for a slot.
fn max_wait(job: &Job) -> Duration {
    let target = job.due - job.arrived;
    let patience = MIN_PATIENCE
        .max(target.saturating_mul(PATIENCE_TARGETS))
        .max(job.max_pause.saturating_mul(PATIENCE_PAUSES));
    patience.mul_f64(PATIENCE_SHARE)
}
