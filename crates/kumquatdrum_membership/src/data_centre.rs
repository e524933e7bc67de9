//! Other data centres, as this one's relay sees them.

use kumquatdrum_types::{DataCentre, HostId, Moment};

use crate::Summary;
use crate::timing::{CUT_OFF_AFTER, SUMMARY_FORWARD_INTERVAL, SUMMARY_INTERVAL};

/// Whether a data centre can be spoken to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// It is heard.
    Reachable,
    /// It isn't.
    CutOff,
}

/// Another data centre.
#[derive(Debug)]
pub(crate) struct Remote {
    pub(crate) id: DataCentre,
    pub(crate) reachability: Reachability,
    pub(crate) summary: Option<Summary>,
    last_heard: Moment,
    relay: Option<HostId>,
    attempts: usize,
    next_report: Moment,
    last_forwarded: Moment,
    is_forwarded: bool,
}

impl Remote {
    pub(crate) fn new(id: DataCentre, now: Moment) -> Self {
        Self {
            id,
            reachability: Reachability::Reachable,
            summary: None,
            last_heard: now,
            relay: None,
            attempts: 0,
            next_report: now,
            last_forwarded: Moment::ZERO,
            is_forwarded: true,
        }
    }

    /// Takes a summary; returns whether it differs from the former.
    pub(crate) fn update(&mut self, now: Moment, summary: Summary, relay: HostId) -> bool {
        self.last_heard = now;
        self.relay = Some(relay);
        let is_new = self.summary.as_ref() != Some(&summary);
        self.summary = Some(summary);
        self.is_forwarded &= !is_new;
        is_new
    }

    /// Whether the data centre can be spoken to, seen from a relay.
    pub(crate) fn reachability(&self, now: Moment) -> Reachability {
        if now - self.last_heard > CUT_OFF_AFTER {
            Reachability::CutOff
        } else {
            Reachability::Reachable
        }
    }

    /// A host becomes relay: it hasn't listened so far, and all have to be told anew.
    pub(crate) fn reset_for_takeover(&mut self, now: Moment) {
        self.last_heard = now;
        self.next_report = now;
        self.is_forwarded = false;
    }

    /// Whether the changed summary is to be passed on within the data centre now.
    pub(crate) fn start_forwarding(&mut self, now: Moment) -> bool {
        let is_due = !self.is_forwarded && now - self.last_forwarded >= SUMMARY_FORWARD_INTERVAL;
        if is_due {
            self.is_forwarded = true;
            self.last_forwarded = now;
        }
        is_due
    }

    /// The host to send this data centre's summary to, where it is due: its relay while that
    /// answers, else each host in turn.
    pub(crate) fn select_contact(&mut self, now: Moment, hosts: &[&HostId]) -> Option<HostId> {
        if now < self.next_report || hosts.is_empty() {
            return None;
        }
        self.next_report = now + SUMMARY_INTERVAL;
        let is_answering = now - self.last_heard <= SUMMARY_INTERVAL * 2;
        match &self.relay {
            Some(relay) if is_answering && hosts.contains(&relay) => Some(relay.clone()),
            _ => {
                self.attempts += 1;
                Some(hosts[(self.attempts - 1) % hosts.len()].clone())
            }
        }
    }
}
