//! Fetching a newer record: which host is asked next, and when.
//!
//! A host that learns of a higher revision waits briefly for the copy that its control host sends,
//! and then asks hosts that have the record until one answers with it. Nothing but the record counts
//! as delivery: a host that reports it may be unable to connect to this one.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::{HostId, Moment};

/// The timeout of a request for a record. It covers the largest record over a slow link.
pub const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the copy from the assigned control host is awaited before a host with a setup asks.
const COPY_WAIT: Duration = Duration::from_millis(100);
/// The time after which another host is asked while the first has not answered. It doubles, so that
/// copies don't crowd a slow link, up to [`MAX_ANSWER_WAIT`].
const MIN_ANSWER_WAIT: Duration = Duration::from_millis(200);
/// The longest time without an answer before another host is asked.
const MAX_ANSWER_WAIT: Duration = Duration::from_millis(400);
/// The pause before another request after one that a host was too busy to answer, or that has failed
/// at the same host before.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The time without a report after which a revision that nobody sends is no longer wanted.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);
/// The maximum number of requests in flight, each of which may be answered with a copy.
const MAX_OPEN: usize = 3;
/// The maximum number of hosts remembered for having reported the wanted revision.
const MAX_REPORTERS: usize = 4;

/// The answer to a request for a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The record of this revision.
    Record(u64),
    /// The host has a newer record but too many bytes in flight, or a copy to this host.
    Busy,
    /// The host has no newer record, or there was no answer.
    Missing,
}

/// What a host wants and whom it asks for it.
///
/// ```
/// use kumquatdrum_routes::fetch::{Answer, Schedule};
/// use kumquatdrum_types::{HostId, Moment};
///
/// let control = ["control-1", "control-2"].map(HostId::new);
/// let mut schedule = Schedule::default();
/// schedule.observe(Moment::ZERO, &control[1], 7);
/// let first = schedule.next(Moment::ZERO, None, &control);
/// assert_eq!(first.as_ref(), Some(&control[1]));
/// schedule.finish(Moment::ZERO, &control[1], Answer::Missing);
/// let second = schedule.next(Moment::ZERO, None, &control);
/// assert_eq!(second.as_ref(), Some(&control[0]));
/// schedule.finish(Moment::ZERO, &control[0], Answer::Record(7));
/// assert_eq!(schedule.next_due(), None);
/// ```
#[derive(Debug, Default)]
pub struct Schedule {
    /// The highest revision received.
    held: u64,
    /// The highest revision reported.
    wanted: u64,
    /// When the wanted revision was last reported.
    reported_at: Moment,
    /// The hosts that have the wanted revision, the last to report it first.
    reporters: Vec<HostId>,
    /// The number of requests to each host since the last record.
    asked: IndexMap<HostId, u32>,
    /// The hosts with a request in flight.
    open: IndexSet<HostId>,
    /// When the next request may be sent.
    due: Moment,
    /// The time to wait for the answer to the next request.
    answer_wait: Duration,
}

impl Schedule {
    /// Records the revision that another host reports as active.
    pub fn observe(&mut self, now: Moment, from: &HostId, revision: u64) {
        if revision <= self.held || revision < self.wanted {
            return;
        }
        if !self.is_behind() {
            let wait = if self.held == 0 {
                Duration::ZERO
            } else {
                COPY_WAIT
            };
            self.due = now + wait;
            self.answer_wait = MIN_ANSWER_WAIT;
        }
        if revision > self.wanted {
            self.wanted = revision;
            self.reporters.clear();
        }
        self.reported_at = now;
        self.reporters.retain(|known| known != from);
        self.reporters.insert(0, from.clone());
        self.reporters.truncate(MAX_REPORTERS);
    }

    /// Records that a record was received, from whichever host.
    pub fn receive(&mut self, revision: u64) {
        self.held = self.held.max(revision);
        if !self.is_behind() {
            self.clear();
        }
    }

    /// Returns the next host to ask, or `None` before [`Self::next_due`]. `sender` is the control host
    /// that sends records to this one, and `control` are the live ones in the order of preference.
    pub fn next(
        &mut self,
        now: Moment,
        sender: Option<&HostId>,
        control: &[HostId],
    ) -> Option<HostId> {
        if self.next_due().is_none_or(|due| now < due) {
            return None;
        }
        if now - self.reported_at > REPORT_LIFETIME {
            self.wanted = self.held;
            self.clear();
            return None;
        }
        let Some(host) = self.choose(sender, control).cloned() else {
            self.due = now + RETRY_PAUSE;
            return None;
        };
        *self.asked.entry(host.clone()).or_default() += 1;
        self.open.insert(host.clone());
        self.due = now + self.answer_wait;
        self.answer_wait = (self.answer_wait * 2).min(MAX_ANSWER_WAIT);
        Some(host)
    }

    /// Records the answer to a request, or that there was none within [`ASK_TIMEOUT`].
    pub fn finish(&mut self, now: Moment, from: &HostId, answer: Answer) {
        if !self.open.shift_remove(from) {
            return;
        }
        let has_failed_before = self.asked.get(from).is_some_and(|count| *count > 1);
        match answer {
            Answer::Record(revision) => self.receive(revision),
            Answer::Missing if !has_failed_before => self.due = now,
            Answer::Busy | Answer::Missing => self.due = self.due.min(now + RETRY_PAUSE),
        }
    }

    /// Returns when the next request may be sent, if one is needed.
    pub fn next_due(&self) -> Option<Moment> {
        let is_needed = self.is_behind() && self.open.len() < MAX_OPEN;
        is_needed.then_some(self.due)
    }

    /// Returns the highest revision received, or 0 if there is none.
    pub const fn held(&self) -> u64 {
        self.held
    }

    /// Returns whether another host has reported a revision that has not been received.
    pub const fn is_behind(&self) -> bool {
        self.wanted > self.held
    }

    /// Selects the host that was asked least often. The assigned control host is the first, since it
    /// then doesn't send a copy as well, but not for a host without a setup: one that has just
    /// answered responds sooner.
    fn choose<'a>(
        &'a self,
        sender: Option<&'a HostId>,
        control: &'a [HostId],
    ) -> Option<&'a HostId> {
        let (first, last) = match sender {
            Some(sender) if self.held == 0 => (None, Some(sender)),
            sender => (sender, None),
        };
        let preferred = first.into_iter().chain(&self.reporters).chain(last);
        let candidates = preferred.chain(control);
        let candidates = candidates.filter(|host| !self.open.contains(*host));
        candidates.min_by_key(|host| self.asked.get(*host).copied().unwrap_or(0))
    }

    fn clear(&mut self) {
        self.reporters.clear();
        self.asked.clear();
        self.open.clear();
    }
}
