//! The daemon's monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kumquatdrum_types::Moment;

/// The reading of a new clock. It is above zero, since other hosts report events from before this
/// host's start; ages up to this reading can be told apart.
const START: Moment = Moment::from_millis(60_000);

/// A monotonic clock that counts from its creation.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock that starts to count now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the current reading.
    pub fn now(&self) -> Moment {
        START + self.started.elapsed()
    }

    /// Converts a moment to an instant of the runtime's timers, at most a day ahead.
    pub fn instant(&self, moment: Moment) -> tokio::time::Instant {
        const MAX_AHEAD: Duration = Duration::from_secs(86_400);
        let ahead = (moment - self.now()).min(MAX_AHEAD);
        tokio::time::Instant::now() + ahead
    }
}

/// Returns the time since the machine's start in milliseconds, including the time for which it was
/// suspended.
pub fn boot_ms() -> u64 {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let millis = now.tv_sec * 1_000 + now.tv_nsec / 1_000_000;
    u64::try_from(millis).unwrap_or(0)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch. It may jump, so durations are
/// measured with [`Clock`].
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
