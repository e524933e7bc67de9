//! Whether this host's replica runs, for those on call.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_process::clock::Clock;
use kumquatdrum_types::Moment;
use parking_lot::Mutex;
use slog::error;

use crate::metrics::Metrics;

/// Why a replica does not run.
#[derive(Debug)]
pub(super) struct Failure {
    /// The kind, from a small set of names.
    pub(super) kind: &'static str,
    pub(super) reason: String,
}

impl From<kumquatdrum_disk::Error> for Failure {
    fn from(error: kumquatdrum_disk::Error) -> Self {
        Self {
            kind: error.kind(),
            reason: error.to_string(),
        }
    }
}

/// Whether this host's replica runs, and since when not.
#[derive(Debug)]
pub struct Availability {
    clock: Clock,
    metrics: Arc<Metrics>,
    down_since: Mutex<Option<Moment>>,
}

impl Availability {
    /// Creates the availability of a replica that does not run yet.
    pub fn new(clock: Clock, metrics: Arc<Metrics>) -> Self {
        let down_since = Mutex::new(Some(clock.now()));
        Self {
            clock,
            metrics,
            down_since,
        }
    }

    /// Records that the replica runs. Returns how long it did not.
    pub(super) fn record_start(&self) -> Duration {
        let downtime = self.downtime();
        *self.down_since.lock() = None;
        downtime
    }

    /// Records and logs that the replica has failed, or could not start.
    pub(super) fn record_failure(&self, failure: &Failure, logger: &slog::Logger) {
        self.down_since
            .lock()
            .get_or_insert_with(|| self.clock.now());
        let failures = &self.metrics.replica.failures;
        failures.with_label_values(&[failure.kind]).inc();
        error!(logger, "disk_lost"; "event" => "disk_lost", "kind" => failure.kind,
            "reason" => &failure.reason, "down_ms" => self.downtime().as_millis() as u64);
    }

    /// Sets the gauges to their current values.
    pub fn update_gauges(&self) {
        let is_up = self.down_since.lock().is_none();
        self.metrics.replica.up.set(is_up.into());
        let seconds = self.downtime().as_secs();
        self.metrics.replica.down_seconds.set(seconds as i64);
    }

    fn downtime(&self) -> Duration {
        let down_since = *self.down_since.lock();
        down_since.map_or(Duration::ZERO, |since| self.clock.now() - since)
    }
}
