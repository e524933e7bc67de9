//! A token bucket that may go into debt for one large request.

use std::time::Duration;

use kumquatdrum_types::Moment;

use super::BURST;

/// The least burst, so that a small share still lets single requests through.
const LEAST_BURST: f64 = 1.0;

/// A token bucket. It starts empty, so that moving shares between hosts creates no burst.
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
    at: Moment,
}

impl Bucket {
    /// An empty bucket that fills at `rate` a second.
    pub const fn new(now: Moment, rate: f64) -> Self {
        Self {
            rate,
            level: 0.0,
            at: now,
        }
    }

    /// Changes the rate; what exceeds the new burst is lost, a debt stays.
    pub fn set_rate(&mut self, now: Moment, rate: f64) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(self.burst());
    }

    /// Takes an amount out, or says when it could be had. An amount above the burst needs a full
    /// bucket and leaves a debt.
    pub fn take(&mut self, now: Moment, amount: f64) -> Result<(), Duration> {
        self.check(now, amount)?;
        self.level -= amount;
        Ok(())
    }

    /// Whether an amount could be taken now, or when.
    pub fn check(&mut self, now: Moment, amount: f64) -> Result<(), Duration> {
        self.fill(now);
        let missing = amount.min(self.burst()) - self.level;
        // A rounding error must not turn a full bucket into a nearly full one.
        if missing <= 1e-6 {
            return Ok(());
        }
        let seconds = missing / self.rate.max(1e-9);
        Err(Duration::from_secs_f64(seconds.min(3_600.0)))
    }

    /// Corrects what was taken, once the true amount is known.
    pub fn correct(&mut self, now: Moment, more: f64) {
        self.fill(now);
        self.level = (self.level - more).min(self.burst());
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST.as_secs_f64()).max(LEAST_BURST)
    }

    fn fill(&mut self, now: Moment) {
        let gained = self.rate * (now - self.at).as_secs_f64();
        self.level = (self.level + gained).min(self.burst());
        self.at = self.at.max(now);
    }
}
