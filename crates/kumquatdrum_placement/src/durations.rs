//! How long the answers of a plain service take.

use std::collections::VecDeque;
use std::time::Duration;

/// The number of answers that count. It is large enough to include the slow ones.
const MAX_ANSWERS: usize = 64;

/// The durations of the last complete answers.
///
/// ```
/// use std::time::Duration;
/// use kumquatdrum_placement::Durations;
///
/// let mut durations = Durations::default();
/// assert_eq!(durations.longest(), None);
/// durations.record(Duration::from_secs(2));
/// durations.record(Duration::from_secs(1));
/// assert_eq!(durations.longest(), Some(Duration::from_secs(2)));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Durations {
    last: VecDeque<Duration>,
}

impl Durations {
    /// Records the duration of a complete answer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use kumquatdrum_placement::Durations;
    ///
    /// let mut durations = Durations::default();
    /// durations.record(Duration::from_secs(2));
    /// assert_eq!(durations.longest(), Some(Duration::from_secs(2)));
    /// ```
    pub fn record(&mut self, duration: Duration) {
        if self.last.len() == MAX_ANSWERS {
            self.last.pop_front();
        }
        self.last.push_back(duration);
    }

    /// Returns the longest duration, if any answer is known.
    ///
    /// ```
    /// use kumquatdrum_placement::Durations;
    ///
    /// assert_eq!(Durations::default().longest(), None);
    /// ```
    pub fn longest(&self) -> Option<Duration> {
        self.last.iter().max().copied()
    }
}
