//! The time that a command carries, by the clocks of its proposer.

use kumquatdrum_types::Moment;
use serde::{Deserialize, Serialize};

/// The time of a command.
///
/// The audit trail records wall-clock time. Claims expire by elapsed monotonic time, so that a
/// control replica with a wrong wall clock can't free a claimed key early.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The proposer's wall clock, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Milliseconds on the proposer's monotonic clock since its previous command, 0 for the
    /// first. Time between two proposers isn't counted, which only prolongs claims.
    pub elapsed_ms: u64,
}

/// Creates the stamps of one proposer; each term of leadership needs its own.
///
/// ```
/// use kumquatdrum_setup::Stamper;
/// use kumquatdrum_types::Moment;
///
/// let mut stamper = Stamper::default();
/// assert_eq!(stamper.stamp(Moment::from_millis(70), 1_000).elapsed_ms, 0);
/// assert_eq!(stamper.stamp(Moment::from_millis(75), 1_005).elapsed_ms, 5);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Stamper {
    previous: Option<Moment>,
}

impl Stamper {
    /// Returns the stamp of a command proposed now, at `unix_ms` on the wall clock.
    pub fn stamp(&mut self, now: Moment, unix_ms: u64) -> Stamp {
        let previous = self.previous.unwrap_or(now);
        let elapsed_ms = (now - previous).as_millis() as u64;
        // The fraction of a millisecond counts towards the next stamp.
        self.previous = Some(previous + std::time::Duration::from_millis(elapsed_ms));
        Stamp {
            unix_ms,
            elapsed_ms,
        }
    }
}
