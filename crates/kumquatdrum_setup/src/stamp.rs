//! The time that a command carries, as its proposer saw it.

use kumquatdrum_types::Moment;
use serde::{Deserialize, Serialize};

/// The time of a command.
///
/// The audit trail shows wall-clock time. Claims expire by elapsed monotonic time instead, so
/// that a control replica whose wall clock is wrong can't free a claimed key early.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The proposer's wall clock, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Milliseconds on the proposer's monotonic clock since its previous command, 0 for the
    /// first. What passes between two proposers isn't counted, which only keeps claims longer.
    pub elapsed_ms: u64,
}

/// Makes the stamps of one proposer. Keep one for each term of leadership.
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
    /// The stamp of a command proposed now, at `unix_ms` on the wall clock.
    pub fn stamp(&mut self, now: Moment, unix_ms: u64) -> Stamp {
        let previous = self.previous.unwrap_or(now);
        let elapsed_ms = (now - previous).as_millis() as u64;
        // Only whole milliseconds are taken, and the rest counts towards the next stamp.
        self.previous = Some(previous + std::time::Duration::from_millis(elapsed_ms));
        Stamp {
            unix_ms,
            elapsed_ms,
        }
    }
}
