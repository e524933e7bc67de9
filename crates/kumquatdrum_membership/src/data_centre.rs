//! Reachability and summaries of the other data centres.

use kumquatdrum_types::{DataCentre, HostId, Moment};

use crate::Summary;
use crate::timing::{SUMMARY_FORWARD_INTERVAL, SUMMARY_INTERVAL, UNREACHABLE_AFTER};

/// Reachability of a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Summaries of the data centre arrive.
    Reachable,
    /// No summary has arrived for [`UNREACHABLE_AFTER`].
    CutOff,
}

/// State of another data centre.
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

    /// Stores a summary and returns whether it differs from the previous one.
    pub(crate) fn update(&mut self, now: Moment, summary: Summary, relay: HostId) -> bool {
        self.last_heard = now;
        self.relay = Some(relay);
        let is_new = self.summary.as_ref() != Some(&summary);
        self.summary = Some(summary);
        self.is_forwarded &= !is_new;
        is_new
    }

    /// Returns the reachability of the data centre from the relay's point of view.
    pub(crate) fn reachability(&self, now: Moment) -> Reachability {
        if now - self.last_heard > UNREACHABLE_AFTER {
            Reachability::CutOff
        } else {
            Reachability::Reachable
        }
    }

    /// Restarts the timers and forwards the summary again, when this host starts or becomes the
    /// relay.
    pub(crate) fn reset_for_takeover(&mut self, now: Moment) {
        self.last_heard = now;
        self.next_report = now;
        self.is_forwarded = false;
    }

    /// Returns whether a changed summary is due to be forwarded, and marks it as forwarded.
    pub(crate) fn start_forwarding(&mut self, now: Moment) -> bool {
        let is_due = !self.is_forwarded && now - self.last_forwarded >= SUMMARY_FORWARD_INTERVAL;
        if is_due {
            self.is_forwarded = true;
            self.last_forwarded = now;
        }
        is_due
    }

    /// Returns the host to send the next report to, if one is due: the data centre's relay while
    /// it responds, otherwise each host in turn.
    pub(crate) fn select_contact(&mut self, now: Moment, hosts: &[&HostId]) -> Option<HostId> {
        if now < self.next_report || hosts.is_empty() {
            return None;
        }
        self.next_report = now + SUMMARY_INTERVAL;
        let is_responsive = now - self.last_heard <= SUMMARY_INTERVAL * 2;
        match &self.relay {
            Some(relay) if is_responsive && hosts.contains(&relay) => Some(relay.clone()),
            _ => {
                self.attempts += 1;
                Some(hosts[(self.attempts - 1) % hosts.len()].clone())
            }
        }
    }
}
