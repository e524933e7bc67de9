//! Events that a relay passes on together.

use std::time::Duration;

use kumquatdrum_types::Moment;
use serde::{Deserialize, Serialize};

/// How long an urgent event may wait for others: well below the time to read a part of a prompt.
const URGENT_DELAY: Duration = Duration::from_millis(4);
/// How long any other event may wait: a long prompt that is sent meanwhile makes answers pause that its
/// host has not heard of.
const USUAL_DELAY: Duration = Duration::from_millis(20);

/// How soon an event has to reach hosts of other data centres.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    /// It concerns engines that hosts of several data centres place on: long prompts.
    Urgent,
    /// It concerns engines that hosts of its own data centre place on first.
    Usual,
}

impl Urgency {
    const fn delay(self) -> Duration {
        match self {
            Self::Urgent => URGENT_DELAY,
            Self::Usual => USUAL_DELAY,
        }
    }
}

/// Events that wait at a relay, in the order in which they came.
#[derive(Debug)]
pub struct Bundle<T> {
    events: Vec<T>,
    bytes: usize,
    most_bytes: usize,
    due: Option<Moment>,
}

impl<T> Bundle<T> {
    /// An empty bundle that holds `most_bytes` of encoded events.
    ///
    /// ```
    /// use kumquatdrum_fanout::{Bundle, Urgency};
    /// use kumquatdrum_types::Moment;
    ///
    /// let now = Moment::from_millis(1_000);
    /// let mut bundle = Bundle::new(1_200);
    /// assert_eq!(bundle.add(now, ["began"], 20, Urgency::Urgent), None);
    /// assert_eq!(bundle.take_due(now), None);
    /// let due = bundle.due().expect("an event waits");
    /// assert_eq!(bundle.take_due(due), Some(vec!["began"]));
    /// ```
    pub fn new(most_bytes: usize) -> Self {
        Self {
            events: Vec::new(),
            bytes: 0,
            most_bytes,
            due: None,
        }
    }

    /// Adds events that came together and take so many bytes. Returns those that have to go at
    /// once, as there is no room for both.
    pub fn add(
        &mut self,
        now: Moment,
        events: impl IntoIterator<Item = T>,
        bytes: usize,
        urgency: Urgency,
    ) -> Option<Vec<T>> {
        let is_full = !self.events.is_empty() && self.bytes + bytes > self.most_bytes;
        let full = if is_full { self.take() } else { None };
        self.events.extend(events);
        self.bytes += bytes;
        let due = now + urgency.delay();
        self.due = Some(self.due.map_or(due, |known| known.min(due)));
        full
    }

    /// When the events that wait have to go; nothing where none do.
    pub const fn due(&self) -> Option<Moment> {
        self.due
    }

    /// The events that wait, once they are due.
    pub fn take_due(&mut self, now: Moment) -> Option<Vec<T>> {
        self.due.filter(|due| *due <= now).and_then(|_| self.take())
    }

    fn take(&mut self) -> Option<Vec<T>> {
        self.due = None;
        self.bytes = 0;
        let events = std::mem::take(&mut self.events);
        (!events.is_empty()).then_some(events)
    }
}
