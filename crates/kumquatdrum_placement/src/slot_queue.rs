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
    /// No other prompt waits.
    Uncontended,
    /// The prompt may take a slot after those of the given number of prompts ahead.
    Behind(usize),
    /// Other hosts may not know of the prompt yet.
    Unsettled,
    /// The prompt has waited for as long as its caller would.
    Expired,
}

/// Determines the order of a prompt, and its turn. `queued_for` is the time for which it has waited for
/// a slot, or none if it is new.
pub(crate) fn turn(
    cost: &Cost,
    job: &Job,
    waiter: &mut Waiter,
    queue: &Queue,
    queued_for: Option<Duration>,
) -> Turn {
    let known = queue.waiter(job.id).and_then(|known| known.slot_order);
    let order = match known {
        Some(SlotOrder::Resumed) => SlotOrder::Resumed,
        _ if queued_for.is_none() && waiter.left_ms == 0 => SlotOrder::Resumed,
        _ if is_in_time(cost, waiter) => SlotOrder::InTime,
        _ => SlotOrder::Late,
    };
    waiter.slot_order = Some(order);
    let queued_for = queued_for.unwrap_or_default();
    match queue.slot_waiters_ahead(waiter) {
        _ if queued_for > max_wait(job) => Turn::Expired,
        // It competes for the slots of one engine only.
        _ if job.first.is_some() => Turn::Uncontended,
        None => Turn::Uncontended,
        Some(_) if queued_for < SETTLING_TIME => Turn::Unsettled,
        Some(ahead) => Turn::Behind(ahead),
    }
}

/// Chooses the engine for a prompt with a number of prompts ahead: each of those takes the first free
/// slot that is left on engines sorted by preference.
pub(crate) fn take_slot<'a>(
    slots: usize,
    sorted: impl IntoIterator<Item = &'a Candidate<'a>>,
    ahead: usize,
) -> Option<&'a Candidate<'a>> {
    let mut ahead = ahead;
    sorted.into_iter().find(|candidate| {
        let free = slots.saturating_sub(candidate.decodes());
        let is_reached = ahead < free;
        ahead = ahead.saturating_sub(free);
        is_reached
    })
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
