//! Policies that place queued requests on endpoints.

mod arrivals;
pub mod baseline;
mod latency;

use std::fmt::Debug;

use kumquatdrum_types::Moment;

use crate::pool::{EndpointIndex, Pool};
use crate::{Job, Size};

pub use latency::Latency;

/// The engine priority, within a level, of short requests of workspaces within their share.
pub(crate) const FIRST_PRIORITY: u8 = 3;
/// The engine priority, within a level, of other short requests.
const SHORT_PRIORITY: u8 = 2;

/// The placement of the request at the head of a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// Dispatch to this endpoint.
    One(EndpointIndex),
    /// Reserve these engines in order, then dispatch to them.
    Several(Vec<EndpointIndex>),
    /// Keep the request in the queue.
    Wait,
    /// No endpoint can run the request.
    Impossible,
}

/// Chooses endpoints.
pub trait Policy: Debug + Send {
    /// Records a new request before it is placed.
    fn record_arrival(&mut self, now: Moment, job: &Job, pool: &Pool) {
        let _ = (now, job, pool);
    }

    /// Places a request.
    fn place(&mut self, now: Moment, job: &Job, pool: &Pool) -> Placement;

    /// Returns the priority for the engine, 0 to 3.
    fn engine_priority(&self, now: Moment, job: &Job, pool: &Pool) -> u8 {
        let _ = (now, job, pool);
        0
    }
}

/// Returns the engine priority by size, short requests first. Longer requests close to their
/// deadline rise by one. While short requests saturate the engines, all sizes are equal.
pub(crate) fn size_priority(now: Moment, job: &Job, pool: &Pool, is_saturated: bool) -> u8 {
    let tokens = job.prefill_tokens();
    let prefill = pool.rates.service_time(job.size, tokens, 0);
    let is_urgent = job.latest_start - now < prefill;
    match job.size {
        Size::Short => SHORT_PRIORITY,
        _ if is_saturated => SHORT_PRIORITY,
        Size::Medium => 1 + u8::from(is_urgent),
        Size::Long | Size::Spanning => u8::from(is_urgent),
    }
}

/// Returns whether an endpoint accepts the request.
pub(crate) fn is_allowed(job: &Job, pool: &Pool, index: EndpointIndex) -> bool {
    pool.is_candidate(index) && !job.request.excluded.contains(&pool.endpoint(index).id)
}

/// Chooses the first engines of a ranking that can hold the request together, as few as possible.
pub(crate) fn choose_spanning(
    job: &Job,
    pool: &Pool,
    ranked: impl IntoIterator<Item = EndpointIndex>,
) -> Placement {
    let mut chosen = Vec::new();
    let mut memory = 0_u64;
    for index in ranked {
        chosen.push(index);
        memory = memory.saturating_add(pool.endpoint(index).memory_tokens());
        if memory >= job.memory_tokens() {
            // An order common to all owners prevents deadlocks between reservations.
            chosen.sort_by(|a, b| pool.endpoint(*a).id.cmp(&pool.endpoint(*b).id));
            return Placement::Several(chosen);
        }
    }
    Placement::Impossible
}
