//! Other data centres, as this one's relay sees them.

use kumquatdrum_types::{DataCentre, HostId, Moment};

use crate::Summary;
use crate::timing::{CUT_OFF_AFTER, SUMMARY_INTERVAL, SUMMARY_PASS_INTERVAL};

/// Whether a data centre can be spoken to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// It is heard.
    Reachable,
    /// It isn't.
    CutOff,
}

/// Another data centre.
#[derive(Debug)]
pub(crate) struct Distant {
    pub(crate) id: DataCentre,
    pub(crate) reach: Reach,
    pub(crate) summary: Option<Summary>,
    heard: Moment,
    relay: Option<HostId>,
    tried: usize,
    due: Moment,
    passed: Moment,
    is_passed: bool,
}

impl Distant {
    pub(crate) fn new(id: DataCentre, now: Moment) -> Self {
        Self {
            id,
            reach: Reach::Reachable,
            summary: None,
            heard: now,
            relay: None,
            tried: 0,
            due: now,
            passed: Moment::ZERO,
            is_passed: true,
        }
    }

    /// Takes a summary; returns whether it differs from the former.
    pub(crate) fn take(&mut self, now: Moment, summary: Summary, relay: HostId) -> bool {
        self.heard = now;
        self.relay = Some(relay);
        let is_new = self.summary.as_ref() != Some(&summary);
        self.summary = Some(summary);
        self.is_passed &= !is_new;
        is_new
    }

    /// Whether the data centre can be spoken to, seen from a relay.
    pub(crate) fn judge(&self, now: Moment) -> Reach {
        if now - self.heard > CUT_OFF_AFTER {
            Reach::CutOff
        } else {
            Reach::Reachable
        }
    }

    /// A host becomes relay: it hasn't listened so far, and all have to be told anew.
    pub(crate) fn take_over(&mut self, now: Moment) {
        self.heard = now;
        self.due = now;
        self.is_passed = false;
    }

    /// Whether the changed summary is to be passed on within the data centre now.
    pub(crate) fn pass(&mut self, now: Moment) -> bool {
        let is_due = !self.is_passed && now - self.passed >= SUMMARY_PASS_INTERVAL;
        if is_due {
            self.is_passed = true;
            self.passed = now;
        }
        is_due
    }

    /// The host to send this data centre's summary to, where it is due: its relay while that
    /// answers, else each host in turn.
    pub(crate) fn contact(&mut self, now: Moment, hosts: &[&HostId]) -> Option<HostId> {
        if now < self.due || hosts.is_empty() {
            return None;
        }
        self.due = now + SUMMARY_INTERVAL;
        let is_answering = now - self.heard <= SUMMARY_INTERVAL * 2;
        match &self.relay {
            Some(relay) if is_answering && hosts.contains(&relay) => Some(relay.clone()),
            _ => {
                self.tried += 1;
                Some(hosts[(self.tried - 1) % hosts.len()].clone())
            }
        }
    }
}
