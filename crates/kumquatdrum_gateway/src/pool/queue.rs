//! Jobs that wait for capacity.

use std::time::Duration;

use kumquatdrum_fanout::Urgency;
use kumquatdrum_placement::{JobId, Waiter};
use kumquatdrum_types::Moment;

use super::{Policy, Pool, Service};
use crate::message::Event;

/// The interval at which a queued job is broadcast again if nothing about it changes.
const QUEUE_BROADCAST_INTERVAL: Duration = Duration::from_millis(100);

/// A queued job. Dropping it broadcasts that the job has left the queue.
pub(super) struct QueueEntry<'a> {
    pub(super) pool: &'a Pool,
    pub(super) service: &'a Service,
    pub(super) job: JobId,
    /// The time of the last broadcast, and the state that was reported.
    pub(super) last_broadcast: Option<(Moment, Waiter)>,
}

impl QueueEntry<'_> {
    /// Broadcasts the job's queue state if it has changed or the interval has passed.
    pub(super) fn broadcast_if_due(&mut self, waiter: Waiter) {
        let now = self.pool.dependencies.clock.now();
        let has_changed = self.last_broadcast.is_none_or(|(_, reported)| {
            (reported.is_blocked, reported.slot_order) != (waiter.is_blocked, waiter.slot_order)
        });
        let is_due = self
            .last_broadcast
            .is_none_or(|(at, _)| now - at >= QUEUE_BROADCAST_INTERVAL);
        if has_changed || is_due {
            self.last_broadcast = Some((now, waiter));
            let event = Event::Queued(self.service.name.clone(), waiter);
            let urgency = if has_changed {
                Urgency::Urgent
            } else {
                Urgency::Usual
            };
            self.pool.broadcast(event, urgency);
        }
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        if self.last_broadcast.is_none() {
            return;
        }
        if let Policy::Engines(planner) = &mut self.service.state.lock().policy {
            planner.dequeue(self.job);
        }
        let event = Event::Cancelled(self.service.name.clone(), self.job);
        self.pool.broadcast(event, Urgency::Urgent);
        self.service.changed.notify_waiters();
    }
}
