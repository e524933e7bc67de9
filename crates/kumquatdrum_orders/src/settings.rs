//! Timeouts, intervals and rates of the reconciler.

use std::time::Duration;

/// Timeouts, intervals and rates. `max_lease` and `max_drift_percent` must be at least those of
/// the consensus.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Loads per minute that the weight store permits.
    pub loads_per_minute: u32,
    /// The longest time from an order's last lease check to its effect.
    pub delivery_timeout: Duration,
    /// The longest lease that a leader can hold, on its own clock.
    pub max_lease: Duration,
    /// The maximum difference in rate between two clocks, in percent.
    pub max_drift_percent: u32,
    /// The backoff after the first failure; it doubles with each consecutive one.
    pub initial_backoff: Duration,
    /// The upper bound of the backoff.
    pub max_backoff: Duration,
    /// The probe interval of engines whose model isn't yet as declared on all of its engines.
    pub changing_probe_interval: Duration,
    /// The probe interval of all other engines.
    pub idle_probe_interval: Duration,
    /// How long a report is valid.
    pub report_validity: Duration,
    /// The maximum number of probes in flight.
    pub max_probes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            loads_per_minute: 12,
            delivery_timeout: Duration::from_millis(300),
            max_lease: Duration::from_secs(1),
            max_drift_percent: 10,
            initial_backoff: Duration::from_secs(1),
            max_backoff: Duration::from_secs(60),
            changing_probe_interval: Duration::from_millis(500),
            idle_probe_interval: Duration::from_secs(300),
            report_validity: Duration::from_secs(5),
            max_probes: 16,
        }
    }
}

impl Settings {
    /// Returns the maximum drift between two clocks over the longest lease.
    ///
    /// ```
    /// use std::time::Duration;
    /// let settings = kumquatdrum_orders::Settings::default();
    /// assert_eq!(settings.drift_margin(), Duration::from_millis(100));
    /// ```
    pub fn drift_margin(&self) -> Duration {
        self.max_lease * self.max_drift_percent / 100
    }

    /// Returns how long a new leader waits before it orders an engine that ignores fencing tokens.
    ///
    /// ```
    /// use std::time::Duration;
    /// let settings = kumquatdrum_orders::Settings::default();
    /// assert_eq!(settings.takeover_wait(), Duration::from_millis(1_400));
    /// ```
    pub fn takeover_wait(&self) -> Duration {
        self.max_lease + self.drift_margin() + self.delivery_timeout
    }

    /// Returns the backoff after this number of consecutive failures.
    pub(crate) fn backoff(&self, failures: u32) -> Duration {
        let doublings = failures.saturating_sub(1).min(16);
        (self.initial_backoff * (1 << doublings)).min(self.max_backoff)
    }
}
