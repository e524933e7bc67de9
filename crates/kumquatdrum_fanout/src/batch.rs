//! Batching of the events that a relay forwards.

use std::time::Duration;

use kumquatdrum_types::Moment;
use serde::{Deserialize, Serialize};

/// The maximum time that an urgent event waits in a batch; well below the prefill time of one
/// engine's part of a long prompt.
const MAX_URGENT_DELAY: Duration = Duration::from_millis(4);
/// The maximum time that any other event waits in a batch. Until a dispatch is known, other hosts
/// may place a long prompt on the same engine.
const MAX_USUAL_DELAY: Duration = Duration::from_millis(20);
/// The datagrams that a relay sends per second at most, besides batches that are full. A batch goes to
/// each host of the data centre, so the time between two batches grows with these, and not the work.
const MAX_DATAGRAMS_PER_SECOND: u32 = 5_000;

/// The urgency with which an event is delivered to other data centres.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    /// The event affects engines that several data centres place prompts on.
    Urgent,
    /// The event mainly affects placement within its own data centre.
    Usual,
}

impl Urgency {
    const fn max_delay(self) -> Duration {
        match self {
            Self::Urgent => MAX_URGENT_DELAY,
            Self::Usual => MAX_USUAL_DELAY,
        }
    }
}

/// Events that wait at a relay, in order of arrival.
#[derive(Debug)]
pub struct Batch<T> {
    events: Vec<T>,
    bytes: usize,
    max_bytes: usize,
    due: Option<Moment>,
    /// The earliest time of the next batch that is not full.
    next: Moment,
    /// The number of hosts that each batch is sent to.
    recipients: u32,
}

impl<T> Batch<T> {
    /// Creates an empty batch that holds at most `max_bytes` of encoded events.
    ///
    /// ```
    /// use kumquatdrum_fanout::{Batch, Urgency};
    /// use kumquatdrum_types::Moment;
    ///
    /// let now = Moment::from_millis(1_000);
    /// let mut batch = Batch::new(1_200);
    /// assert_eq!(batch.add(now, ["began"], 20, Urgency::Urgent), None);
    /// assert_eq!(batch.take_due(now), None);
    /// let due = batch.due().expect("a waiting event");
    /// assert_eq!(batch.take_due(due), Some(vec!["began"]));
    /// ```
    pub fn new(max_bytes: usize) -> Self {
        Self {
            events: Vec::new(),
            bytes: 0,
            max_bytes,
            due: None,
            next: Moment::ZERO,
            recipients: 0,
        }
    }

    /// Sets the number of hosts that batches are sent to.
    pub const fn set_recipients(&mut self, recipients: usize) {
        self.recipients = recipients as u32;
    }

    /// Adds events whose encoding takes `bytes` bytes. If they do not fit, returns the previous
    /// events, which must be sent at once.
    pub fn add(
        &mut self,
        now: Moment,
        events: impl IntoIterator<Item = T>,
        bytes: usize,
        urgency: Urgency,
    ) -> Option<Vec<T>> {
        let is_full = !self.events.is_empty() && self.bytes + bytes > self.max_bytes;
        let full = if is_full { self.take() } else { None };
        self.events.extend(events);
        self.bytes += bytes;
        let due = (now + urgency.max_delay()).max(self.next);
        self.due = Some(self.due.map_or(due, |known| known.min(due)));
        full
    }

    /// Returns the time by which the waiting events must be sent.
    pub const fn due(&self) -> Option<Moment> {
        self.due
    }

    /// Removes and returns the waiting events if they are due.
    pub fn take_due(&mut self, now: Moment) -> Option<Vec<T>> {
        self.due.filter(|due| *due <= now)?;
        self.next = now + Duration::from_secs(1) * self.recipients / MAX_DATAGRAMS_PER_SECOND;
        self.take()
    }

    fn take(&mut self) -> Option<Vec<T>> {
        self.due = None;
        self.bytes = 0;
        let events = std::mem::take(&mut self.events);
        (!events.is_empty()).then_some(events)
    }
}
