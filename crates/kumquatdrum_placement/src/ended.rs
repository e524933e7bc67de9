//! Jobs that have ended, for news of them that comes late.

use std::time::Duration;

use indexmap::IndexSet;
use kumquatdrum_types::Moment;

use crate::JobId;

/// How long an ended job is remembered at least: longer than a host that froze, or a relay, may
/// hold back what it was told.
const REMEMBERED: Duration = Duration::from_secs(5);

/// Jobs that have ended lately, in two generations, of which the older one is dropped as a whole.
#[derive(Debug, Default)]
pub(crate) struct Ended {
    recent: IndexSet<JobId>,
    older: IndexSet<JobId>,
    turned: Moment,
}

impl Ended {
    /// A job has ended.
    pub(crate) fn add(&mut self, job: JobId) {
        self.recent.insert(job);
    }

    /// Whether a job has ended.
    pub(crate) fn contains(&self, job: JobId) -> bool {
        self.recent.contains(&job) || self.older.contains(&job)
    }

    /// Forgets jobs that ended long ago.
    pub(crate) fn forget(&mut self, now: Moment) {
        if now - self.turned >= REMEMBERED {
            self.older = std::mem::take(&mut self.recent);
            self.turned = now;
        }
    }
}
