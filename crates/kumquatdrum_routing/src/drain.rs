//! Estimates the wait of a new request from the rate at which a queue drains.

use std::time::Duration;

use kumquatdrum_types::Moment;

/// The averaging time of the rate, in seconds.
const WINDOW_SECONDS: f64 = 10.0;
/// The observed busy time below which no estimate is given, in seconds.
const MIN_BUSY_SECONDS: f64 = 0.5;
/// The number of departures, weighted by age, below which no estimate is given.
const MIN_DEPARTURES: f64 = 2.0;
/// The longest estimate, in seconds.
const MAX_ESTIMATE_SECONDS: f64 = 3_600.0;

/// The rate at which work leaves a queue that is not empty.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    work: f64,
    seconds: f64,
    departures: f64,
    busy_since: Option<Moment>,
}

impl Rate {
    /// Records that the queue is not empty.
    pub(crate) fn mark_busy(&mut self, now: Moment) {
        self.busy_since.get_or_insert(now);
    }

    /// Records work that left the queue, and whether the queue is empty now.
    pub(crate) fn record_departure(&mut self, now: Moment, work: u64, is_empty: bool) {
        let Some(since) = self.busy_since else {
            return;
        };
        let elapsed = (now - since).as_secs_f64();
        let decay = (-elapsed / WINDOW_SECONDS).exp();
        self.work = self.work * decay + work as f64;
        self.seconds = self.seconds * decay + elapsed;
        self.departures = self.departures * decay + f64::from(u8::from(work > 0));
        self.busy_since = (!is_empty).then_some(now);
    }

    /// Estimates the time until this much work has left, or returns `None` without enough
    /// observations.
    pub(crate) fn estimate_time(&self, now: Moment, work: u64) -> Option<Duration> {
        let current = self
            .busy_since
            .map_or(0.0, |since| (now - since).as_secs_f64());
        let seconds = self.seconds + current;
        if seconds < MIN_BUSY_SECONDS || self.departures < MIN_DEPARTURES || work == 0 {
            return None;
        }
        let time = work as f64 * seconds / self.work.max(1.0);
        Some(Duration::from_secs_f64(time.min(MAX_ESTIMATE_SECONDS)))
    }
}
