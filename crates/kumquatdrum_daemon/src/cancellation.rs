//! What this daemon has asked of engines and must see ended.
//!
//! An attempt stays held until the engine confirms its end. Cancels are repeated, with growing
//! waits, until they are confirmed or the engine's life is over.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{AttemptId, BootId, EndpointId, Moment};

const FIRST_WAIT: Duration = Duration::from_millis(200);
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// A cancel to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cancel {
    /// Where to.
    pub target: Target,
    /// Which attempt.
    pub attempt: AttemptId,
}

#[derive(Debug, Clone)]
struct Pending {
    target: Target,
    next: Moment,
    wait: Duration,
}

/// The attempts whose cancel awaits a confirmation.
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
/// let mut cancellation = Queue::default();
/// cancellation.abandon(Moment::ZERO, target, AttemptId::new("a1"));
/// assert_eq!(cancellation.due(Moment::ZERO).len(), 1);
/// assert!(cancellation.due(Moment::ZERO).is_empty(), "not again before the wait is over");
/// cancellation.confirmed(&AttemptId::new("a1"));
/// assert!(cancellation.is_empty());
/// ```
#[derive(Debug, Default)]
pub struct Queue {
    pending: IndexMap<AttemptId, Pending>,
}

impl Queue {
    /// An attempt that nobody waits for any more and that the engine must end.
    pub fn insert(&mut self, now: Moment, target: Target, attempt: AttemptId) {
        self.pending.entry(attempt).or_insert(Pending {
            target,
            next: now,
            wait: FIRST_WAIT,
        });
    }

    /// The engine confirmed the end of an attempt.
    pub fn confirm(&mut self, attempt: &AttemptId) {
        self.pending.swap_remove(attempt);
    }

    /// A life of an engine is over, and with it all that it held.
    pub fn remove_engine(&mut self, endpoint: &EndpointId, boot: BootId) {
        self.pending.retain(|_, pending| {
            pending.target.endpoint != *endpoint || pending.target.boot > boot
        });
    }

    /// The cancels to send now; each is due again after a growing wait.
    pub fn take_due(&mut self, now: Moment) -> Vec<Cancel> {
        self.pending
            .iter_mut()
            .filter(|(_, pending)| pending.next <= now)
            .map(|(attempt, pending)| {
                pending.next = now + pending.wait;
                pending.wait = (pending.wait * 2).min(LONGEST_WAIT);
                Cancel {
                    target: pending.target.clone(),
                    attempt: attempt.clone(),
                }
            })
            .collect()
    }

    /// How many attempts await a confirmation.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}
