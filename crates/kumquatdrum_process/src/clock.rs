//! The daemon's own monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kumquatdrum_types::Moment;

/// What a clock shows when it is made. What a host is told as it starts may be older than the host
/// is: ages up to this one can be told from each other.
const START: Moment = Moment::from_millis(60_000);

/// Counts from when it was made.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    zero: Instant,
}

impl Clock {
    /// A clock that has just begun to count.
    pub fn start() -> Self {
        Self {
            zero: Instant::now(),
        }
    }

    /// The time on it.
    pub fn now(&self) -> Moment {
        START + self.zero.elapsed()
    }

    /// The same point for the runtime's timers; far moments are cut to a day ahead.
    pub fn instant(&self, moment: Moment) -> tokio::time::Instant {
        const FAR: Duration = Duration::from_secs(86_400);
        let ahead = (moment - self.now()).min(FAR);
        tokio::time::Instant::now() + ahead
    }
}

/// Wall-clock time, for records that people read; no decision goes by it.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
