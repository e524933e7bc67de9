//! A limit on the bytes that a control host sends to hosts that start.

use std::time::Duration;

use kumquatdrum_types::Moment;

/// The bytes that may be sent per second: a third of a link of 170 Mbit/s, since heartbeats and setups
/// need the rest.
const BYTES_PER_SECOND: f64 = 8_000_000.0;
/// The bytes that may be sent at once. They take less than half a second on such a link, and suffice
/// for 300 hosts that request 200 endpoints each.
const MAX_BURST_BYTES: f64 = 8_000_000.0;

/// The bytes that may still be sent. One answer may exceed them, so that answers of any size are sent.
///
/// ```
/// use kumquatdrum_gateway::allowance::Allowance;
/// use kumquatdrum_types::Moment;
///
/// let mut allowance = Allowance::default();
/// let now = Moment::from_millis(1_000);
/// assert!(allowance.try_take(now, 20_000_000));
/// assert!(!allowance.try_take(now, 1));
/// assert!(allowance.try_take(Moment::from_millis(2_600), 1));
/// ```
#[derive(Debug)]
pub struct Allowance {
    left: f64,
    at: Moment,
}

impl Default for Allowance {
    fn default() -> Self {
        Self {
            left: MAX_BURST_BYTES,
            at: Moment::ZERO,
        }
    }
}

impl Allowance {
    /// Takes the bytes of an answer. Returns whether it may be sent now.
    pub fn try_take(&mut self, now: Moment, bytes: usize) -> bool {
        let passed: Duration = now - self.at;
        self.at = now;
        let refilled = self.left + passed.as_secs_f64() * BYTES_PER_SECOND;
        self.left = refilled.min(MAX_BURST_BYTES);
        let is_granted = self.left > 0.0;
        if is_granted {
            self.left -= bytes as f64;
        }
        is_granted
    }
}
