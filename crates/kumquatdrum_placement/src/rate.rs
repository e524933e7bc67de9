//! Rates of requests.

use serde::{Deserialize, Serialize};

/// The lowest rate that an endpoint can name. An endpoint that names less still gets a request now
/// and then, whose response tells when it takes more.
const MIN_PER_SECOND: f64 = 0.05;
/// The highest rate that is told apart from no limit.
const MAX_PER_SECOND: f64 = 1e6;

/// The requests per second that an endpoint takes from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(f64);

impl Rate {
    /// Returns the rate, moved into the supported range, or `None` if it is negative or no number.
    ///
    /// ```
    /// use kumquatdrum_placement::Rate;
    ///
    /// assert_eq!(Rate::new(1.8).map(Rate::per_second), Some(1.8));
    /// assert_eq!(Rate::new(0.0).map(Rate::per_second), Some(0.05));
    /// assert!(Rate::new(-1.0).is_none() && Rate::new(f64::NAN).is_none());
    /// ```
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then(|| Self(per_second.clamp(MIN_PER_SECOND, MAX_PER_SECOND)))
    }

    /// Returns the requests per second.
    pub const fn per_second(self) -> f64 {
        self.0
    }
}
