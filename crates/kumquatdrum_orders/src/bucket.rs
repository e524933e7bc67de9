//! The weight store's rate: a token bucket with room for one load.

use std::time::Duration;

use kumquatdrum_types::Moment;

/// Lets one load through every so often. It starts empty, as the leader before may just have
/// used the store.
#[derive(Debug)]
pub struct Bucket {
    interval: Duration,
    free_at: Moment,
}

impl Bucket {
    /// A bucket that lets the first load through one interval after `now`.
    pub fn new(now: Moment, loads_per_minute: u32) -> Self {
        let interval = Duration::from_secs(60) / loads_per_minute.max(1);
        Self {
            interval,
            free_at: now + interval,
        }
    }

    /// Whether a load may go now.
    pub fn is_free(&self, now: Moment) -> bool {
        now >= self.free_at
    }

    /// Takes a load out.
    pub fn take(&mut self, now: Moment) {
        self.free_at = now + self.interval;
    }
}
