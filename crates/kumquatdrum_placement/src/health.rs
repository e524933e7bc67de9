//! Which endpoints to spare, told from their answers alone.

use std::time::Duration;

use kumquatdrum_types::Moment;

/// How an endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection came about.
    Unreachable,
    /// A connection broke, fell silent or carried something that is no answer.
    Broken,
    /// It had no room.
    Busy,
    /// It ran the request and answered with an error of its own.
    Error,
}

/// How an endpoint has answered lately.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Failures in a row.
    row: u32,
    /// The share of failures, newer answers weighing more.
    rate: f64,
    ejected_until: Moment,
}

/// The first time that an endpoint is spared after it could not be reached: a few round trips
/// of the widest link, so that a passing loss costs little.
const EJECTION: Duration = Duration::from_millis(400);
/// The longest time between two probes by real requests.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);
/// Broken answers in a row that eject: one or two come from single lost answers.
const BROKEN_IN_A_ROW: u32 = 3;
/// The weight of the newest answer in the share of failures: about the last ten count.
const NEWEST: f64 = 0.1;
/// What an endpoint that fails always is held to be slower, in milliseconds: a retry's cost.
const FAILURE_MS: f64 = 400.0;

impl Health {
    /// It has answered.
    pub fn succeeded(&mut self) {
        self.row = 0;
        self.rate *= 1.0 - NEWEST;
        self.ejected_until = Moment::ZERO;
    }

    /// It has failed. Returns whether it is spared from now on.
    pub fn failed(&mut self, now: Moment, failure: Failure) -> bool {
        self.rate = self.rate * (1.0 - NEWEST) + NEWEST;
        self.row += 1;
        let ejects = match failure {
            Failure::Unreachable => true,
            Failure::Broken => self.row >= BROKEN_IN_A_ROW,
            Failure::Busy | Failure::Error => false,
        };
        if ejects {
            let doublings = self.row.saturating_sub(1).min(8);
            let ejection = EJECTION * (1 << doublings);
            self.ejected_until = now + ejection.min(LONGEST_EJECTION);
        }
        ejects
    }

    /// Whether to spare it now.
    pub fn is_ejected(&self, now: Moment) -> bool {
        now < self.ejected_until
    }

    /// How much slower it is to be held, in milliseconds.
    pub fn penalty_ms(&self) -> f64 {
        self.rate * FAILURE_MS
    }
}
