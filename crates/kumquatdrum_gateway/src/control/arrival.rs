//! The time that the caller of a call has.

use std::time::Duration;

use kumquatdrum_process::clock::boot_ms;

/// The time from the arrival of a call to the last answer of the leader that counts. Callers repeat a call
/// after 1 s, so that a later answer could be one to an abandoned call; the rest is for the text of a setup
/// and the way of the response.
const LEADER_LIMIT_MS: u64 = 900;
/// The time from the arrival of a call to its acknowledgement. The rest of the second is for the way of the
/// response.
const ANSWER_LIMIT_MS: u64 = 980;

/// When a call arrived.
#[derive(Debug, Clone, Copy)]
pub(super) struct Arrival {
    /// In milliseconds of a clock that counts suspensions.
    boot_ms: u64,
}

impl Arrival {
    pub(super) fn now() -> Self {
        Self { boot_ms: boot_ms() }
    }

    /// Returns the time that is left for the leader's answer.
    pub(super) fn time_for_leader(self) -> Duration {
        self.time_left(LEADER_LIMIT_MS)
    }

    /// Returns the time that is left for the acknowledgement.
    pub(super) fn time_to_answer(self) -> Duration {
        self.time_left(ANSWER_LIMIT_MS)
    }

    /// Returns the milliseconds since the arrival.
    pub(super) fn elapsed_ms(self) -> u64 {
        boot_ms().saturating_sub(self.boot_ms)
    }

    fn time_left(self, limit_ms: u64) -> Duration {
        Duration::from_millis(limit_ms.saturating_sub(self.elapsed_ms()))
    }
}
