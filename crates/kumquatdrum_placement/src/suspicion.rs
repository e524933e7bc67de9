//! Suspects engines that could not be reached, by the evidence of all hosts.
//!
//! An engine that has crashed or is cut off fails each prompt whose prefill it shares. It is avoided
//! until it has announced itself since the failure.

use std::time::Duration;

use kumquatdrum_types::Moment;

/// The shortest suspicion. An announcement that was on its way at the failure does not end it.
const MIN_SUSPICION: Duration = Duration::from_millis(400);
/// The longest suspicion, if no announcement arrives. A host without announcements cannot tell
/// whether an engine still runs.
const MAX_SUSPICION: Duration = Duration::from_secs(5);

/// The last failure to reach an engine, and its last announcement.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    failed_at: Option<Moment>,
    announced_at: Moment,
}

impl Suspicion {
    /// Records that the engine could not be reached. Returns whether it was not suspected before.
    pub(crate) fn record_failure(&mut self, now: Moment) -> bool {
        let is_new = !self.is_active(now);
        self.failed_at = Some(now);
        is_new
    }

    /// Records an announcement of the engine.
    pub(crate) fn record_announcement(&mut self, at: Moment) {
        self.announced_at = self.announced_at.max(at);
    }

    /// Returns when the engine last announced itself.
    pub(crate) const fn announced_at(&self) -> Moment {
        self.announced_at
    }

    /// Returns whether the engine is suspected at `now`.
    pub(crate) fn is_active(&self, now: Moment) -> bool {
        let Some(failed_at) = self.failed_at else {
            return false;
        };
        let age = now - failed_at;
        age < MIN_SUSPICION || (age < MAX_SUSPICION && self.announced_at <= failed_at)
    }

    /// Returns whether the engine is suspected because of a failure after `moment`.
    pub(crate) fn is_newer_than(&self, now: Moment, moment: Moment) -> bool {
        self.is_active(now) && self.failed_at.is_some_and(|failed_at| failed_at > moment)
    }
}
