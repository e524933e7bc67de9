//! Leaving notices that other hosts must confirm before they are acknowledged to the endpoint.

use indexmap::IndexSet;
use kumquatdrum_types::{BootId, EndpointId, HostId, Moment};

use crate::Output;
use crate::timing::{NOTICE_CONFIRMATIONS, NOTICE_EXPIRY, NOTICE_RETRY};

/// Leaving notice that is being replicated to other hosts.
#[derive(Debug)]
pub(crate) struct Notice {
    pub(crate) endpoint: EndpointId,
    pub(crate) boot: BootId,
    /// Sequence numbers of the announcements that await an acknowledgement.
    pub(crate) unacknowledged: Vec<u64>,
    confirmed: IndexSet<HostId>,
    received_at: Moment,
    last_sent: Option<Moment>,
}

impl Notice {
    pub(crate) fn new(endpoint: EndpointId, boot: BootId, now: Moment) -> Self {
        Self {
            endpoint,
            boot,
            unacknowledged: Vec::new(),
            confirmed: IndexSet::new(),
            received_at: now,
            last_sent: None,
        }
    }

    pub(crate) fn confirm(&mut self, host: HostId) {
        self.confirmed.insert(host);
    }

    /// Returns the live hosts that the notice is due to be sent to.
    pub(crate) fn due_receivers(&mut self, now: Moment, alive: &[HostId]) -> Vec<HostId> {
        let is_due = self
            .last_sent
            .is_none_or(|last_sent| now - last_sent >= NOTICE_RETRY);
        if !is_due {
            return Vec::new();
        }
        self.last_sent = Some(now);
        alive
            .iter()
            .filter(|host| !self.confirmed.contains(*host))
            .cloned()
            .collect()
    }

    /// Acknowledges the announcements once enough hosts have confirmed the notice.
    pub(crate) fn acknowledge(&mut self, alive: &[HostId], out: &mut Vec<Output>) {
        let confirmations = alive
            .iter()
            .filter(|host| self.confirmed.contains(*host))
            .count();
        if confirmations < NOTICE_CONFIRMATIONS.min(alive.len()) {
            return;
        }
        for sequence in self.unacknowledged.drain(..) {
            out.push(Output::AckAnnounce {
                endpoint: self.endpoint.clone(),
                boot: self.boot,
                sequence,
            });
        }
    }

    /// Returns whether the notice can be discarded.
    pub(crate) fn is_complete(&self, now: Moment, alive: &[HostId]) -> bool {
        let is_confirmed_by_all = alive.iter().all(|host| self.confirmed.contains(host));
        self.unacknowledged.is_empty()
            && (is_confirmed_by_all || now - self.received_at > NOTICE_EXPIRY)
    }
}
