//! Which requests a host that ends soon can still serve.
//!
//! The load: prompts that wait for seconds at a host which stops. One that starts too late is cut with
//! its host after it has used an engine, while another host could have served it.

use std::time::Duration;

use kumquatdrum_types::Moment;

/// The time before the end at which the last waiting requests are refused, so that their callers get
/// the refusal although the host and the network are busy.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// The time before the end at which requests that endpoints have not answered are given up, so that
/// their callers get a response.
const GIVE_UP_TIME: Duration = Duration::from_millis(200);
/// The time that a request may take, in multiples of what is expected of an endpoint without other
/// work.
const LOAD_FACTOR: u32 = 2;

/// The planned end of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shutdown {
    ends_at: Moment,
}

impl Shutdown {
    /// Creates the plan of a host that cuts its connections at a moment.
    pub const fn new(ends_at: Moment) -> Self {
        Self { ends_at }
    }

    /// Returns when the last waiting requests are refused.
    ///
    /// ```
    /// use kumquatdrum_placement::Shutdown;
    /// use kumquatdrum_types::Moment;
    ///
    /// let shutdown = Shutdown::new(Moment::from_millis(8_000));
    /// assert_eq!(shutdown.waits_end_at(), Moment::from_millis(7_000));
    /// ```
    pub fn waits_end_at(&self) -> Moment {
        self.ends_at.saturating_sub(REFUSAL_TIME)
    }

    /// Returns when requests are given up that were sent and have no response yet.
    ///
    /// ```
    /// use kumquatdrum_placement::Shutdown;
    /// use kumquatdrum_types::Moment;
    ///
    /// let shutdown = Shutdown::new(Moment::from_millis(8_000));
    /// assert_eq!(shutdown.gives_up_at(), Moment::from_millis(7_800));
    /// ```
    pub fn gives_up_at(&self) -> Moment {
        self.ends_at.saturating_sub(GIVE_UP_TIME)
    }

    /// Returns whether a request whose answer takes this long at most, if that is known, and that ends at
    /// its deadline at the latest, may still wait or start. An answer that is due by the end of the waits
    /// may be late by what is left.
    ///
    /// ```
    /// use std::time::Duration;
    /// use kumquatdrum_placement::Shutdown;
    /// use kumquatdrum_types::Moment;
    ///
    /// let shutdown = Shutdown::new(Moment::from_millis(8_000));
    /// let (now, second) = (Moment::from_millis(2_000), Duration::from_secs(1));
    /// assert!(shutdown.allows_answer(now, Some(5 * second), Moment::NEVER));
    /// assert!(!shutdown.allows_answer(now, Some(6 * second), Moment::NEVER));
    /// assert!(!shutdown.allows_answer(now, None, Moment::NEVER));
    /// ```
    pub fn allows_answer(&self, now: Moment, longest: Option<Duration>, deadline: Moment) -> bool {
        let waits_end_at = self.waits_end_at();
        let is_in_time = longest.is_some_and(|longest| now + longest <= waits_end_at);
        now < waits_end_at && (is_in_time || deadline <= self.ends_at)
    }

    /// Returns whether a request that is expected to take this long, and ends at its deadline at the
    /// latest, may still wait or start.
    ///
    /// ```
    /// use std::time::Duration;
    /// use kumquatdrum_placement::Shutdown;
    /// use kumquatdrum_types::Moment;
    ///
    /// let shutdown = Shutdown::new(Moment::from_millis(8_000));
    /// let (now, second) = (Moment::from_millis(2_000), Duration::from_secs(1));
    /// assert!(shutdown.allows(now, second, Moment::NEVER));
    /// assert!(!shutdown.allows(now, 4 * second, Moment::NEVER));
    /// ```
    pub fn allows(&self, now: Moment, expected: Duration, deadline: Moment) -> bool {
        let end = now + expected.saturating_mul(LOAD_FACTOR);
        now < self.waits_end_at() && end.min(deadline) <= self.ends_at
    }
}
