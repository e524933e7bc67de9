//! Rate limit of the weight store: a token bucket that holds one token.

use std::time::Duration;

use kumquatdrum_types::Moment;

/// A token bucket that permits one load per interval. It starts empty, because the previous
/// leader may just have taken a token.
#[derive(Debug)]
pub struct Bucket {
    interval: Duration,
    next_token_at: Moment,
}

impl Bucket {
    /// Creates a bucket that permits the first load one interval after `now`.
    pub fn new(now: Moment, loads_per_minute: u32) -> Self {
        let interval = Duration::from_secs(60) / loads_per_minute.max(1);
        Self {
            interval,
            next_token_at: now + interval,
        }
    }

    /// Returns whether a load is permitted now.
    pub fn has_token(&self, now: Moment) -> bool {
        now >= self.next_token_at
    }

    /// Takes the token.
    pub fn take_token(&mut self, now: Moment) {
        self.next_token_at = now + self.interval;
    }
}
