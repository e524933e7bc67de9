//! Remembers ended jobs, so that late messages about them are ignored.

use std::time::Duration;

use indexmap::IndexSet;
use kumquatdrum_types::Moment;

use crate::JobId;

/// The shortest time that an ended job is remembered: longer than a paused host or a relay can
/// delay a message.
const MIN_RETENTION: Duration = Duration::from_secs(5);

/// Recently ended jobs in two generations; the older one is dropped as a whole.
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    recent: IndexSet<JobId>,
    older: IndexSet<JobId>,
    rotated_at: Moment,
}

impl Tombstones {
    /// Records that a job has ended.
    pub(crate) fn add(&mut self, job: JobId) {
        self.recent.insert(job);
    }

    /// Returns whether a job has ended recently.
    pub(crate) fn contains(&self, job: JobId) -> bool {
        self.recent.contains(&job) || self.older.contains(&job)
    }

    /// Drops the older generation and starts a new one, once per retention time.
    pub(crate) fn expire(&mut self, now: Moment) {
        if now - self.rotated_at >= MIN_RETENTION {
            self.older = std::mem::take(&mut self.recent);
            self.rotated_at = now;
        }
    }
}
