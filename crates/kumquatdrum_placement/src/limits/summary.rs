//! What keeps requests from a service's endpoints, and how long a job waits for its turn there.
//!
//! The load: one host gets more requests than limited endpoints take, or all endpoints have asked
//! it for a back-off. A job that joins those that
//! wait should also get its turn, so its wait counts the tokens that are there already, and a
//! newcomer needs some time to spare.

use std::time::Duration;

/// The time that a job must have left after its turn to join the waiting jobs. It covers the delays
/// of the jobs ahead.
const JOINING_MARGIN: Duration = Duration::from_millis(250);

/// The limits and back-offs in force on some endpoints.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Summary {
    /// The number of limited endpoints.
    pub endpoints: usize,
    /// The requests per second that all of them take.
    pub per_second: f64,
    /// The part of it that other hosts leave to this one.
    pub local_per_second: f64,
    /// The seconds until this host may send a request to one of them; `None` if other hosts share
    /// all of them.
    pub seconds_to_next: Option<f64>,
    /// The time since the oldest of the limits was named.
    pub age: Duration,
    /// The most hosts that share one of the endpoints.
    pub sharers: usize,
    /// The time until the first endpoint that is held back may get a request again.
    pub held_for: Option<Duration>,
}

/// A job's place among those of this host that wait for limited endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The number of waiting jobs ahead.
    pub ahead: usize,
    /// The time until the job's deadline.
    pub left: Duration,
    /// Whether the job joins the waiting jobs only now.
    pub is_new: bool,
}

impl Summary {
    /// Returns the expected time until a job may be sent that has the given number of jobs ahead,
    /// or `None` if other hosts share all limited endpoints and none is held back.
    ///
    /// ```
    /// use kumquatdrum_placement::Summary;
    /// use std::time::Duration;
    ///
    /// let summary = Summary {
    ///     local_per_second: 2.0,
    ///     seconds_to_next: Some(0.25),
    ///     ..Summary::default()
    /// };
    /// assert_eq!(summary.wait(0), Some(Duration::from_millis(250)));
    /// assert_eq!(summary.wait(3), Some(Duration::from_millis(1_750)));
    /// ```
    pub fn wait(&self, ahead: usize) -> Option<Duration> {
        let limited = self.wait_for_limit(ahead);
        limited.into_iter().chain(self.held_for).min()
    }

    fn wait_for_limit(&self, ahead: usize) -> Option<Duration> {
        let seconds = self.seconds_to_next? + ahead as f64 / self.local_per_second;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Returns whether a job's turn comes early enough to wait for it.
    ///
    /// ```
    /// use kumquatdrum_placement::{Place, Summary};
    /// use std::time::Duration;
    ///
    /// let summary = Summary {
    ///     local_per_second: 2.0,
    ///     seconds_to_next: Some(0.5),
    ///     ..Summary::default()
    /// };
    /// let place = Place {
    ///     ahead: 3,
    ///     left: Duration::from_millis(2_100),
    ///     is_new: false,
    /// };
    /// assert!(summary.is_in_time(place));
    /// // A newcomer needs time to spare.
    /// assert!(!summary.is_in_time(Place { is_new: true, ..place }));
    /// ```
    pub fn is_in_time(&self, place: Place) -> bool {
        let margin = if place.is_new {
            JOINING_MARGIN
        } else {
            Duration::ZERO
        };
        self.wait(place.ahead)
            .is_some_and(|wait| wait + margin < place.left)
    }
}
