//! Where a request goes: the border between the queue and the choice of an endpoint.

mod arrivals;
pub mod baseline;
mod estimated;

use std::fmt::Debug;

use kumquatdrum_types::Moment;

use crate::fleet::{Fleet, SlotIndex};
use crate::{Job, Size};

pub use estimated::Estimated;

/// The priority of short requests of workspaces that keep to their share, inside one level.
pub(crate) const FIRST_PRIORITY: u8 = 3;
/// The priority of other short requests at engines, inside one level.
const SHORT_PRIORITY: u8 = 2;

/// What a policy decides about the request at the head of a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// Send it to this endpoint.
    One(SlotIndex),
    /// Reserve these engines, in this order, and send it there.
    Several(Vec<SlotIndex>),
    /// Leave it in the queue for now.
    Wait,
    /// No endpoint may have it.
    Nowhere,
}

/// Chooses endpoints.
pub trait Policy: Debug + Send {
    /// Notes a new request, before it is placed.
    fn arrived(&mut self, now: Moment, job: &Job, fleet: &Fleet) {
        let _ = (now, job, fleet);
    }

    /// Decides about one request.
    fn place(&mut self, now: Moment, job: &Job, fleet: &Fleet) -> Placement;

    /// The priority to hand to the engine, 0 to 3.
    fn engine_priority(&self, now: Moment, job: &Job, fleet: &Fleet) -> u8 {
        let _ = (now, job, fleet);
        0
    }
}

/// The priority for the engine: the short before the long. What is about to miss its deadline
/// rises by one. Where the short ones would leave nothing over, all are equal.
pub(crate) fn size_priority(now: Moment, job: &Job, fleet: &Fleet, is_flooded: bool) -> u8 {
    let tokens = job.prefill_tokens();
    let prefill = fleet.rates.service_time(job.size, tokens, 0);
    let is_urgent = job.latest_start - now < prefill;
    match job.size {
        Size::Short => SHORT_PRIORITY,
        _ if is_flooded => SHORT_PRIORITY,
        Size::Medium => 1 + u8::from(is_urgent),
        Size::Long | Size::Spanning => u8::from(is_urgent),
    }
}

/// Whether an endpoint may get a request at all.
pub(crate) fn is_allowed(job: &Job, fleet: &Fleet, index: SlotIndex) -> bool {
    fleet.is_candidate(index) && !job.ask.excluded.contains(&fleet.slot(index).endpoint)
}

/// The fewest of the given engines, in their order, that hold the request together. `Nowhere`
/// where all of them can't.
pub(crate) fn span(
    job: &Job,
    fleet: &Fleet,
    ranked: impl IntoIterator<Item = SlotIndex>,
) -> Placement {
    let mut chosen = Vec::new();
    let mut memory = 0_u64;
    for index in ranked {
        chosen.push(index);
        memory = memory.saturating_add(fleet.slot(index).memory());
        if memory >= job.memory_tokens() {
            // One fixed order for all owners, so that two sets never wait for each other.
            chosen.sort_by(|a, b| fleet.slot(*a).endpoint.cmp(&fleet.slot(*b).endpoint));
            return Placement::Several(chosen);
        }
    }
    Placement::Nowhere
}
