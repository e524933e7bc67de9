//! How fast a queue empties, and so how long a new request would wait.

use std::time::Duration;

use kumquatdrum_types::Moment;

/// Time over which the rate is averaged, in seconds.
const WINDOW: f64 = 10.0;
/// Observed busy time below which nothing is foretold, in seconds.
const ENOUGH: f64 = 0.5;
/// Departures below which nothing is foretold, each counting less as it ages.
const ENOUGH_DEPARTURES: f64 = 2.0;
/// The longest time that is foretold, in seconds.
const LONGEST: f64 = 3_600.0;

/// The rate at which work left a queue while it was not empty.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    work: f64,
    seconds: f64,
    departures: f64,
    busy_since: Option<Moment>,
}

impl Drain {
    /// The queue is not empty from now on.
    pub(crate) fn busy(&mut self, now: Moment) {
        self.busy_since.get_or_insert(now);
    }

    /// Work left the queue, which then was empty or not.
    pub(crate) fn left(&mut self, now: Moment, work: u64, is_empty: bool) {
        let Some(since) = self.busy_since else {
            return;
        };
        let past = (now - since).as_secs_f64();
        let keep = (-past / WINDOW).exp();
        self.work = self.work * keep + work as f64;
        self.seconds = self.seconds * keep + past;
        self.departures = self.departures * keep + f64::from(u8::from(work > 0));
        self.busy_since = (!is_empty).then_some(now);
    }

    /// The time after which so much work will have left; `None` where too little was seen.
    pub(crate) fn time_for(&self, now: Moment, work: u64) -> Option<Duration> {
        let open = self
            .busy_since
            .map_or(0.0, |since| (now - since).as_secs_f64());
        let seconds = self.seconds + open;
        if seconds < ENOUGH || self.departures < ENOUGH_DEPARTURES || work == 0 {
            return None;
        }
        let time = work as f64 * seconds / self.work.max(1.0);
        Some(Duration::from_secs_f64(time.min(LONGEST)))
    }
}
