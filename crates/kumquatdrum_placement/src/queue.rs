//! Orders the prompts that wait on all hosts.
//!
//! Hosts announce their waiting prompts to each other and order them alike, so that each host
//! dispatches only when its own prompt is next.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::Moment;

use crate::demand::weight;
use crate::slot_queue::Contention;
use crate::{JobId, Waiter};

/// The time after which an entry is dropped unless its host renews it: three missed announcements.
const ENTRY_EXPIRY: Duration = Duration::from_millis(300);
/// The weight factor of a prompt whose first token is overdue.
const LATE_FACTOR: f64 = 0.25;

/// Prompts that wait for dispatch.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    entries: IndexMap<JobId, Entry>,
}

#[derive(Debug)]
struct Entry {
    waiter: Waiter,
    arrived: Moment,
    due: Moment,
    queued_at: Moment,
    renewed_at: Moment,
}

impl Queue {
    /// Adds or renews a waiting prompt.
    pub(crate) fn insert(&mut self, now: Moment, waiter: Waiter) {
        let known = self.entries.get(&waiter.job);
        let entry = Entry {
            waiter,
            arrived: now.saturating_sub(Duration::from_millis(waiter.waited_ms.into())),
            due: now + Duration::from_millis(waiter.left_ms.into()),
            queued_at: known.map_or(now, |known| known.queued_at),
            renewed_at: now,
        };
        self.entries.insert(waiter.job, entry);
    }

    /// Returns whether a prompt is in the queue.
    pub(crate) fn contains(&self, job: JobId) -> bool {
        self.entries.contains_key(&job)
    }

    /// Returns how long a prompt has been in the queue.
    pub(crate) fn queued_for(&self, now: Moment, job: JobId) -> Duration {
        let entry = self.entries.get(&job);
        entry.map_or(Duration::ZERO, |entry| now - entry.queued_at)
    }

    /// Counts the prompts that compete with one for a slot. Equal orders are sorted by hash: an order
    /// by time would depend on the delay with which hosts learn of each other's prompts.
    pub(crate) fn slot_contention(&self, waiter: &Waiter) -> Contention {
        let rank = |waiter: &Waiter| (waiter.slot_order, waiter.job.uniform_hash());
        let own = rank(waiter);
        let others = self.entries.values().map(|entry| &entry.waiter);
        let others = others.filter(|other| other.slot_order.is_some() && other.job != waiter.job);
        let mut contention = Contention::default();
        for other in others {
            contention.others += 1;
            contention.ahead += usize::from(rank(other) < own);
        }
        contention
    }

    /// Removes a prompt.
    pub(crate) fn remove(&mut self, job: JobId) {
        self.entries.swap_remove(&job);
    }

    /// Drops entries that have not been renewed.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.entries
            .retain(|_, entry| now - entry.renewed_at <= ENTRY_EXPIRY);
    }

    /// Returns whether no other prompt that can be dispatched precedes this one.
    pub(crate) fn is_next(&self, now: Moment, waiter: Waiter) -> bool {
        let remaining = Duration::from_millis(waiter.left_ms.into());
        let elapsed = Duration::from_millis(waiter.waited_ms.into());
        let own = score(&waiter, elapsed, remaining);
        let others = self.entries.values();
        let mut others = others.filter(|other| {
            let other = &other.waiter;
            !other.is_blocked && other.slot_order.is_none() && other.job != waiter.job
        });
        others.all(|other| {
            let score = score(&other.waiter, now - other.arrived, other.due - now);
            (own, waiter.job) >= (score, other.waiter.job)
        })
    }
}

/// Returns the priority of a prompt: its weight per millisecond of prefill, increased by the share
/// of its time that it has waited and reduced if it is overdue.
fn score(waiter: &Waiter, elapsed: Duration, remaining: Duration) -> f64 {
    let weight = weight(waiter.prompt_tokens.into());
    let rate = weight / f64::from(waiter.prefill_ms).max(1.0);
    let time = (elapsed + remaining).as_secs_f64().max(f64::MIN_POSITIVE);
    let aged = rate * (1.0 + elapsed.as_secs_f64() / time);
    if remaining.is_zero() {
        aged * LATE_FACTOR
    } else {
        aged
    }
}
