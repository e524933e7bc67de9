//! Startup: a host requests the version of other hosts before it serves.

use indexmap::IndexSet;
use kumquatdrum_types::{HostId, Moment};

use super::timing::{ASK_RETRY, START_CONFIRMATION_TIMEOUT, START_FETCH_TIMEOUT};

/// Progress of a starting host.
#[derive(Debug)]
pub(crate) struct Startup {
    since: Moment,
    last_asked: Option<Moment>,
    answered: IndexSet<HostId>,
}

/// State that decides whether a starting host may serve.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observations<'a> {
    pub(crate) control_replicas: &'a IndexSet<HostId>,
    /// Whether a version is in force on the host.
    pub(crate) has_version: bool,
    /// Whether the host is fetching a higher version.
    pub(crate) is_fetching: bool,
    /// Whether the host's own control replica is up to date.
    pub(crate) has_majority: bool,
}

impl Startup {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            since: now,
            last_asked: None,
            answered: IndexSet::new(),
        }
    }

    pub(crate) fn record_answer(&mut self, host: &HostId) {
        self.answered.insert(host.clone());
    }

    /// Makes the next request due at once, after a version was installed.
    pub(crate) fn ask_again(&mut self) {
        self.last_asked = None;
    }

    /// Returns whether requests to unresponsive hosts are due, and restarts the retry timer if so.
    pub(crate) fn is_due(&mut self, now: Moment) -> bool {
        let is_due = self
            .last_asked
            .is_none_or(|last_asked| now - last_asked >= ASK_RETRY);
        if is_due {
            self.last_asked = Some(now);
        }
        is_due
    }

    pub(crate) fn has_answered(&self, host: &HostId) -> bool {
        self.answered.contains(host)
    }

    /// Returns `None` while the host may not serve, otherwise whether a majority of control
    /// replicas confirmed its version.
    pub(crate) fn readiness(&self, now: Moment, observations: Observations<'_>) -> Option<bool> {
        let waited = now - self.since;
        match observations {
            Observations {
                is_fetching: true, ..
            } => (observations.has_version && waited >= START_FETCH_TIMEOUT).then_some(false),
            Observations {
                has_majority: true, ..
            } => Some(true),
            _ if self.is_confirmed(observations.control_replicas) => Some(true),
            _ => {
                (observations.has_version && waited >= START_CONFIRMATION_TIMEOUT).then_some(false)
            }
        }
    }

    fn is_confirmed(&self, control_replicas: &IndexSet<HostId>) -> bool {
        let answers = control_replicas
            .iter()
            .filter(|host| self.answered.contains(*host))
            .count();
        !control_replicas.is_empty() && answers > control_replicas.len() / 2
    }
}
