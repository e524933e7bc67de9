//! Monotonic time, passed into the state machines by their callers.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Point in time on a daemon's monotonic clock.
///
/// Moments of different daemons can't be compared; messages carry durations instead.
///
/// ```
/// use kumquatdrum_types::Moment;
/// use std::time::Duration;
///
/// let start = Moment::ZERO;
/// let later = start + Duration::from_millis(3);
/// assert_eq!(later - start, Duration::from_millis(3));
/// assert_eq!(start - later, Duration::ZERO);
/// ```
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment {
    /// Microseconds since the clock's origin.
    pub micros: u64,
}

impl Moment {
    /// Origin of the clock.
    pub const ZERO: Self = Self { micros: 0 };
    /// Latest representable moment, used for timers that never fire.
    pub const NEVER: Self = Self { micros: u64::MAX };

    /// Returns the moment `millis` milliseconds after the clock's origin.
    ///
    /// ```
    /// assert_eq!(kumquatdrum_types::Moment::from_millis(2).micros, 2_000);
    /// ```
    pub const fn from_millis(millis: u64) -> Self {
        Self {
            micros: millis.saturating_mul(1_000),
        }
    }

    /// Returns the moment that lies `age` earlier, or the clock's origin if that is later.
    ///
    /// ```
    /// use kumquatdrum_types::Moment;
    /// use std::time::Duration;
    ///
    /// let now = Moment::from_millis(5);
    /// assert_eq!(now.saturating_sub(Duration::from_millis(3)), Moment::from_millis(2));
    /// assert_eq!(now.saturating_sub(Duration::from_millis(8)), Moment::ZERO);
    /// ```
    #[must_use]
    pub fn saturating_sub(self, age: Duration) -> Self {
        let age = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_sub(age),
        }
    }

    /// Returns the time since the clock's origin.
    ///
    /// ```
    /// use kumquatdrum_types::Moment;
    /// use std::time::Duration;
    /// assert_eq!(Moment::from_millis(2).elapsed_from_zero(), Duration::from_millis(2));
    /// ```
    pub const fn elapsed_from_zero(self) -> Duration {
        Duration::from_micros(self.micros)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let micros = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self {
            micros: self.micros.saturating_add(micros),
        }
    }
}

/// Returns the duration between two moments, or zero if the left one is earlier.
impl Sub for Moment {
    type Output = Duration;

    fn sub(self, rhs: Self) -> Duration {
        Duration::from_micros(self.micros.saturating_sub(rhs.micros))
    }
}
