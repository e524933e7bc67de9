//! Times and rates of the reconciler.

use std::time::Duration;

/// Times and rates. `longest_lease` and `drift_percent` must cover those of the consensus.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Loads a minute that the weight store takes.
    pub loads_per_minute: u32,
    /// The longest time from an order's last check to its taking effect.
    pub delivery_timeout: Duration,
    /// The longest lease that a leader can hold, by its own clock.
    pub longest_lease: Duration,
    /// How far clocks may run apart, in percent.
    pub drift_percent: u32,
    /// The wait after the first failure of an order; it doubles with each further one.
    pub first_retry: Duration,
    /// The longest wait after a failure.
    pub longest_retry: Duration,
    /// Time between two reports of an engine whose model is being changed somewhere.
    pub busy_interval: Duration,
    /// Time between two reports of an engine at rest.
    pub idle_interval: Duration,
    /// An engine counts as serving for this long after its report.
    pub report_validity: Duration,
    /// Questions for reports under way at once.
    pub questions: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            loads_per_minute: 12,
            delivery_timeout: Duration::from_millis(300),
            longest_lease: Duration::from_secs(1),
            drift_percent: 10,
            first_retry: Duration::from_secs(1),
            longest_retry: Duration::from_secs(60),
            busy_interval: Duration::from_millis(500),
            idle_interval: Duration::from_secs(300),
            report_validity: Duration::from_secs(5),
            questions: 16,
        }
    }
}

impl Settings {
    /// What clocks may gain on each other within the longest lease.
    ///
    /// ```
    /// use std::time::Duration;
    /// let settings = kumquatdrum_orders::Settings::default();
    /// assert_eq!(settings.drift_margin(), Duration::from_millis(100));
    /// ```
    pub fn drift_margin(&self) -> Duration {
        self.longest_lease * self.drift_percent / 100
    }

    /// How long a new leader waits before it orders an engine that ignores fencing numbers.
    ///
    /// ```
    /// use std::time::Duration;
    /// let settings = kumquatdrum_orders::Settings::default();
    /// assert_eq!(settings.takeover_wait(), Duration::from_millis(1_400));
    /// ```
    pub fn takeover_wait(&self) -> Duration {
        self.longest_lease + self.drift_margin() + self.delivery_timeout
    }

    /// The wait after an order was given `attempts` times in vain.
    pub(crate) fn backoff(&self, attempts: u32) -> Duration {
        let doublings = attempts.saturating_sub(1).min(16);
        (self.first_retry * (1 << doublings)).min(self.longest_retry)
    }
}
