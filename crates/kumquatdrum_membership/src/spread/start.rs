//! A start: others are asked before the host serves.

use indexmap::IndexSet;
use kumquatdrum_types::{HostId, Moment};

use super::timing::{ASK_RETRY, START_LIMIT, START_PATIENCE};

/// What a starting host has learnt so far.
#[derive(Debug)]
pub(crate) struct Start {
    since: Moment,
    asked: Option<Moment>,
    answered: IndexSet<HostId>,
}

/// What a starting host knows when it asks itself whether it may serve.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Knowledge<'a> {
    pub(crate) control: &'a IndexSet<HostId>,
    /// It holds a version.
    pub(crate) is_held: bool,
    /// It knows of a higher version and is getting it.
    pub(crate) is_fetching: bool,
    /// Its own control replica is up to date.
    pub(crate) has_majority: bool,
}

impl Start {
    pub(crate) fn new(now: Moment) -> Self {
        Self {
            since: now,
            asked: None,
            answered: IndexSet::new(),
        }
    }

    pub(crate) fn answer(&mut self, host: &HostId) {
        self.answered.insert(host.clone());
    }

    /// A version came: what others have is asked anew at once.
    pub(crate) fn ask_again(&mut self) {
        self.asked = None;
    }

    /// Whether it is time to ask those who haven't answered.
    pub(crate) fn is_due(&mut self, now: Moment) -> bool {
        let is_due = self.asked.is_none_or(|asked| now - asked >= ASK_RETRY);
        if is_due {
            self.asked = Some(now);
        }
        is_due
    }

    pub(crate) fn has_answered(&self, host: &HostId) -> bool {
        self.answered.contains(host)
    }

    /// Whether the host may serve, and whether a majority has confirmed it.
    pub(crate) fn judge(&self, now: Moment, knowledge: Knowledge<'_>) -> Option<bool> {
        let waited = now - self.since;
        match knowledge {
            Knowledge {
                is_fetching: true, ..
            } => (knowledge.is_held && waited >= START_LIMIT).then_some(false),
            Knowledge {
                has_majority: true, ..
            } => Some(true),
            _ if self.is_confirmed(knowledge.control) => Some(true),
            _ => (knowledge.is_held && waited >= START_PATIENCE).then_some(false),
        }
    }

    fn is_confirmed(&self, control: &IndexSet<HostId>) -> bool {
        let answers = control
            .iter()
            .filter(|host| self.answered.contains(*host))
            .count();
        !control.is_empty() && answers > control.len() / 2
    }
}
