//! A start: others are asked before the host serves.

use indexmap::IndexSet;
use kumquatdrum_types::{HostId, Moment};

use super::timing::{ASK_RETRY, START_CONFIRMATION_TIMEOUT, START_FETCH_TIMEOUT};

/// What a starting host has learnt so far.
#[derive(Debug)]
pub(crate) struct Startup {
    since: Moment,
    last_asked: Option<Moment>,
    answered: IndexSet<HostId>,
}

/// What a starting host knows when it asks itself whether it may serve.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Observations<'a> {
    pub(crate) control_replicas: &'a IndexSet<HostId>,
    /// It holds a version.
    pub(crate) has_version: bool,
    /// It knows of a higher version and is getting it.
    pub(crate) is_fetching: bool,
    /// Its own control replica is up to date.
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

    /// A version came: what others have is asked anew at once.
    pub(crate) fn ask_again(&mut self) {
        self.last_asked = None;
    }

    /// Whether it is time to ask those who haven't answered.
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

    /// Whether the host may serve, and whether a majority has confirmed it.
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
