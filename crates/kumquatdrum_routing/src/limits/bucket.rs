//! A token bucket that can go into debt for a single large request.

use std::time::Duration;

use kumquatdrum_types::Moment;

use super::BURST_DURATION;

/// The smallest burst, so that a small share still admits single requests.
const MIN_BURST: f64 = 1.0;

/// A token bucket. It starts empty, so that moving shares between hosts causes no burst.
///
/// ```
/// use kumquatdrum_routing::limits::Bucket;
/// use kumquatdrum_types::Moment;
/// let mut bucket = Bucket::new(Moment::ZERO, 10.0);
/// assert!(bucket.take(Moment::ZERO, 1.0).is_err());
/// assert!(bucket.take(Moment::from_millis(100), 1.0).is_ok());
/// ```
#[derive(Debug)]
pub struct Bucket {
    rate: f64,
    level: f64,
    updated_at: Moment,
}

impl Bucket {
    /// Creates an empty bucket that fills at `rate` per second.
    pub const fn new(now: Moment, rate: f64) -> Self {
        Self {
            rate,
            level: 0.0,
            updated_at: now,
        }
    }

    /// Changes the rate. Tokens above the new burst are lost; a debt remains.
    pub fn set_rate(&mut self, now: Moment, rate: f64) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(self.burst());
    }

    /// Takes an amount, or returns when it will be available. An amount above the burst needs a
    /// full bucket and leaves a debt.
    pub fn take(&mut self, now: Moment, amount: f64) -> Result<(), Duration> {
        self.check(now, amount)?;
        self.level -= amount;
        Ok(())
    }

    /// Returns whether an amount is available, or when it will be.
    pub fn check(&mut self, now: Moment, amount: f64) -> Result<(), Duration> {
        self.fill(now);
        let missing = amount.min(self.burst()) - self.level;
        // Tolerates rounding errors in a full bucket.
        if missing <= 1e-6 {
            return Ok(());
        }
        let seconds = missing / self.rate.max(1e-9);
        Err(Duration::from_secs_f64(seconds.min(3_600.0)))
    }

    /// Takes the excess of the actual over the expected amount.
    pub fn correct(&mut self, now: Moment, excess: f64) {
        self.fill(now);
        self.level = (self.level - excess).min(self.burst());
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_DURATION.as_secs_f64()).max(MIN_BURST)
    }

    fn fill(&mut self, now: Moment) {
        let refill = self.rate * (now - self.updated_at).as_secs_f64();
        self.level = (self.level + refill).min(self.burst());
        self.updated_at = self.updated_at.max(now);
    }
}
