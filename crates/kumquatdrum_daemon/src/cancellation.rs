//! Cancels that await confirmation by an engine.
//!
//! A cancel is repeated with exponential backoff until the engine confirms it or has restarted.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{AttemptId, BootId, EndpointId, Moment};

const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// A cancel to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cancel {
    /// The engine that received the attempt.
    pub target: Target,
    /// The attempt to cancel.
    pub attempt: AttemptId,
}

#[derive(Debug, Clone)]
struct Pending {
    target: Target,
    next_at: Moment,
    backoff: Duration,
}

/// The attempts whose cancel is unconfirmed.
///
/// ```
/// use kumquatdrum_daemon::cancellation::Queue;
/// use kumquatdrum_types::exchange::Target;
/// use kumquatdrum_types::{AttemptId, BootId, EndpointId, Moment};
///
/// let target = Target {
///     endpoint: EndpointId::new("e1"),
///     boot: BootId(1),
///     address: "127.0.0.1:9".parse().unwrap(),
/// };
/// let mut queue = Queue::default();
/// queue.insert(Moment::ZERO, target, AttemptId::new("a1"));
/// assert_eq!(queue.take_due(Moment::ZERO).len(), 1);
/// assert!(queue.take_due(Moment::ZERO).is_empty(), "not due before the backoff has passed");
/// queue.confirm(&AttemptId::new("a1"));
/// assert!(queue.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Queue {
    pending: IndexMap<AttemptId, Pending>,
}

impl Queue {
    /// Adds an attempt that the engine must cancel.
    pub fn insert(&mut self, now: Moment, target: Target, attempt: AttemptId) {
        self.pending.entry(attempt).or_insert(Pending {
            target,
            next_at: now,
            backoff: INITIAL_BACKOFF,
        });
    }

    /// Removes an attempt whose end the engine confirmed.
    pub fn confirm(&mut self, attempt: &AttemptId) {
        self.pending.swap_remove(attempt);
    }

    /// Removes all attempts of an engine up to and including an incarnation that has ended.
    pub fn remove_engine(&mut self, endpoint: &EndpointId, boot: BootId) {
        self.pending.retain(|_, pending| {
            pending.target.endpoint != *endpoint || pending.target.boot > boot
        });
    }

    /// Returns the cancels to send now and schedules each again after its backoff.
    pub fn take_due(&mut self, now: Moment) -> Vec<Cancel> {
        self.pending
            .iter_mut()
            .filter(|(_, pending)| pending.next_at <= now)
            .map(|(attempt, pending)| {
                pending.next_at = now + pending.backoff;
                pending.backoff = (pending.backoff * 2).min(MAX_BACKOFF);
                Cancel {
                    target: pending.target.clone(),
                    attempt: attempt.clone(),
                }
            })
            .collect()
    }

    /// Returns the number of unconfirmed cancels.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether all cancels are confirmed.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
