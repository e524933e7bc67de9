//! The exchange of evidence between hosts, each of which sends what another one lacks.

use indexmap::IndexMap;
use kumquatdrum_types::{Checkpoint, HostId, Moment};
use serde::{Deserialize, Serialize};

use crate::{Quarantine, Suspect};

/// The maximum number of suspects in a message. More follow with the next one.
const MAX_SUSPECTS_PER_MESSAGE: usize = 128;

/// A host's evidence against requests that crash endpoints, as far as the recipient lacks it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The checkpoint that the recipient has after it merges the suspects.
    pub checkpoint: Checkpoint,
    /// The suspects that have changed.
    pub suspects: Vec<Suspect>,
}

/// A host's quarantine, and which of its evidence other hosts have.
#[derive(Debug)]
pub struct Exchange {
    boot: u64,
    quarantine: Quarantine,
    /// For each host, the checkpoint of this host's evidence that it has, with that host's boot.
    sent: IndexMap<HostId, Checkpoint>,
    /// For each host, the checkpoint of its evidence that this host has.
    received: IndexMap<HostId, Checkpoint>,
}

impl Exchange {
    /// Creates the exchange of a process started at `boot`, in Unix milliseconds.
    pub fn new(boot: u64) -> Self {
        Self {
            boot,
            quarantine: Quarantine::default(),
            sent: IndexMap::new(),
            received: IndexMap::new(),
        }
    }

    /// Returns this host's quarantine.
    pub const fn quarantine(&self) -> &Quarantine {
        &self.quarantine
    }

    /// Returns this host's quarantine.
    pub const fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Returns the evidence that another host has not received from this host, and the checkpoint
    /// of its evidence that this host has.
    ///
    /// ```
    /// use kumquatdrum_quarantine::{Exchange, Fingerprint, Incarnation};
    /// # use kumquatdrum_types::{HostId, Moment};
    ///
    /// let (now, near, far) = (Moment::ZERO, HostId::new("near"), HostId::new("far"));
    /// let (mut one, mut other) = (Exchange::new(1), Exchange::new(2));
    /// let request = Fingerprint::of("POST", "/check/", None, b"text");
    /// one.quarantine_mut().record_crash(now, request, Incarnation(1), false);
    ///
    /// let (evidence, known) = one.outgoing(now, &far);
    /// let sent = evidence.checkpoint;
    /// for suspect in evidence.suspects {
    ///     other.quarantine_mut().merge(now, suspect);
    /// }
    /// let answer = other.answer(now, known);
    /// one.record(&far, 2, sent, answer.checkpoint);
    /// assert_eq!(other.quarantine().len(), 1);
    /// assert!(one.outgoing(now, &far).0.suspects.is_empty());
    /// assert!(!one.outgoing(now, &near).0.suspects.is_empty());
    /// ```
    pub fn outgoing(&self, now: Moment, to: &HostId) -> (Evidence, Checkpoint) {
        let sent = self.sent.get(to).copied().unwrap_or_default();
        let received = self.received.get(to).copied().unwrap_or_default();
        (self.evidence_since(now, sent.changes), received)
    }

    /// Returns whether another host lacks evidence of this host.
    pub fn has_news(&self, to: &HostId) -> bool {
        let sent = self.sent.get(to).map_or(0, |sent| sent.changes);
        sent < self.quarantine.changes()
    }

    /// Returns the evidence that another host lacks, given the checkpoint that it has.
    pub fn answer(&self, now: Moment, known: Checkpoint) -> Evidence {
        let is_current = known.boot == self.boot;
        self.evidence_since(now, if is_current { known.changes } else { 0 })
    }

    /// Records that another host, started at `boot`, has received this host's evidence up to
    /// `sent`, and that this host has that host's evidence up to `received`.
    pub fn record(&mut self, host: &HostId, boot: u64, sent: Checkpoint, received: Checkpoint) {
        let known = self.sent.get(host);
        // A host that has restarted since the last exchange needs all evidence again.
        let has_restarted = known.is_some_and(|known| known.boot != boot);
        let changes = if has_restarted { 0 } else { sent.changes };
        self.sent.insert(host.clone(), Checkpoint { boot, changes });
        self.received.insert(host.clone(), received);
    }

    fn evidence_since(&self, now: Moment, changes: u64) -> Evidence {
        let limit = MAX_SUSPECTS_PER_MESSAGE;
        let (suspects, changes) = self.quarantine.changed_since(now, changes, limit);
        let boot = self.boot;
        Evidence {
            checkpoint: Checkpoint { boot, changes },
            suspects,
        }
    }
}
