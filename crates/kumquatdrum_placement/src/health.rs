//! Detects unhealthy endpoints from their responses alone.

use std::time::Duration;

use kumquatdrum_types::Moment;

/// The way in which an endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be established.
    Unreachable,
    /// The endpoint's host refused the connection: no process listens.
    Down,
    /// The connection broke, timed out or carried an invalid response.
    Broken,
    /// The endpoint had no capacity.
    Busy,
    /// The endpoint ran the request and returned an error.
    Error,
}

impl Failure {
    /// Returns whether no connection could be opened or one broke, as if the endpoint had crashed.
    pub const fn breaks_connection(self) -> bool {
        matches!(self, Self::Unreachable | Self::Down | Self::Broken)
    }
}

/// Tracks the failures of an endpoint and ejects it.
#[derive(Debug, Clone, Default)]
pub struct Health {
    consecutive_failures: u32,
    /// Requests rejected for lack of capacity.
    rejections: Average,
    /// All other failures.
    errors: Average,
    ejected_until: Moment,
}

/// An exponential moving average of failures, which also fades with time: an endpoint that is
/// avoided has no successes that would lower it.
#[derive(Debug, Clone, Copy, Default)]
struct Average {
    value: f64,
    updated_at: Moment,
}

/// The duration of an ejection after one failure, doubled by each further consecutive failure. It
/// is short, a few round trips of the longest link, so that a transient failure costs little.
const MIN_EJECTION: Duration = Duration::from_millis(400);
/// The longest ejection, and so the longest time between two requests that probe the endpoint.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// The number of consecutive failures at which a broken response ejects the endpoint; fewer may be
/// isolated errors.
const FAILURES_BEFORE_EJECTION: u32 = 3;
/// The weight of the newest response in the failure rate, which covers about the last ten.
const NEWEST_WEIGHT: f64 = 0.1;
/// The latency penalty of an endpoint that always fails: the cost of a retry.
const FAILURE_PENALTY_MS: f64 = 400.0;
/// The time in which the rate of rejections fades to a third. Endpoints are full for moments.
const REJECTION_MEMORY: Duration = Duration::from_secs(1);
/// The time in which the rate of errors fades to a third. It limits how often callers meet an
/// endpoint that goes on failing.
const ERROR_MEMORY: Duration = Duration::from_secs(10);
/// The failure rate below which an endpoint counts as free of failures.
const NEGLIGIBLE_RATE: f64 = 0.02;

impl Health {
    /// Records a successful response.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.rejections.value *= 1.0 - NEWEST_WEIGHT;
        self.errors.value *= 1.0 - NEWEST_WEIGHT;
        self.ejected_until = Moment::ZERO;
    }

    /// Records a failure; returns whether it ejects the endpoint.
    pub fn record_failure(&mut self, now: Moment, failure: Failure) -> bool {
        match failure {
            Failure::Busy => self.rejections.add(now, REJECTION_MEMORY),
            _ => self.errors.add(now, ERROR_MEMORY),
        }
        self.consecutive_failures += 1;
        let ejects = match failure {
            Failure::Unreachable | Failure::Down => true,
            Failure::Broken => self.consecutive_failures >= FAILURES_BEFORE_EJECTION,
            Failure::Busy | Failure::Error => false,
        };
        if ejects {
            let doublings = self.consecutive_failures.saturating_sub(1).min(8);
            let ejection = match failure {
                // A process that starts again is another incarnation, with a health of its own.
                Failure::Down => MAX_EJECTION,
                _ => MAX_EJECTION.min(MIN_EJECTION * (1 << doublings)),
            };
            self.ejected_until = now + ejection;
        }
        ejects
    }

    /// Returns whether the endpoint is ejected at `now`.
    pub fn is_ejected(&self, now: Moment) -> bool {
        now < self.ejected_until
    }

    /// Returns the latency penalty in milliseconds.
    pub fn penalty_ms(&self, now: Moment) -> f64 {
        let rejections = self.rejections.at(now, REJECTION_MEMORY);
        let rate = rejections + self.errors.at(now, ERROR_MEMORY);
        if rate < NEGLIGIBLE_RATE {
            return 0.0;
        }
        rate.min(1.0) * FAILURE_PENALTY_MS
    }
}

impl Average {
    fn at(&self, now: Moment, memory: Duration) -> f64 {
        let age = (now - self.updated_at).as_secs_f64();
        self.value * (-age / memory.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Moment, memory: Duration) {
        self.value = self.at(now, memory) * (1.0 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
        self.updated_at = now;
    }
}
