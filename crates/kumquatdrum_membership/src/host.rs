//! Failure detection for the other hosts of the data centre, by direct and indirect heartbeats.

use indexmap::IndexSet;
use kumquatdrum_types::{BootId, HostId, Moment};

use crate::Member;
use crate::backlog::Backlog;
use crate::timing::{DEAD_AFTER, REPORT_VALIDITY, SILENT_AFTER};

/// Liveness of a host from this host's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Heartbeats arrive at this host or at another host of the data centre.
    Alive,
    /// No heartbeat has arrived recently, at this host or at any host that reports to it.
    Suspect,
    /// The host was suspect for longer than [`DEAD_AFTER`].
    Dead,
}

/// A known host and its condition.
#[derive(Debug, Clone, Copy)]
pub struct Peer<'a> {
    /// Identity and location of the host.
    pub member: &'a Member,
    /// Condition of the host.
    pub condition: Condition,
}

/// State of another host of the data centre.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) member: Member,
    /// Latest known incarnation of its daemon.
    pub(crate) boot: BootId,
    pub(crate) condition: Condition,
    /// Time of the last message from the host, initially the start of this daemon.
    pub(crate) last_heard: Moment,
    /// Hosts that the host reported as silent in its last push.
    pub(crate) silent_hosts: IndexSet<HostId>,
    /// Sequence number of the last push received from the host.
    pub(crate) last_push_received: u64,
    /// Sequence number of the last push sent to the host.
    pub(crate) last_push_sent: u64,
    pub(crate) next_push: Moment,
    pub(crate) backlog: Backlog,
    /// Time since which the host's table differs from this host's.
    pub(crate) differs_since: Option<Moment>,
    suspect_since: Moment,
}

/// Evidence from other hosts about a host that is silent towards this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// At least one host has received a message from it recently.
    Heard,
    /// All hosts that reported recently list it as silent, or no host reported.
    Silent,
}

impl Host {
    pub(crate) fn new(member: Member, now: Moment) -> Self {
        Self {
            member,
            boot: BootId(0),
            condition: Condition::Alive,
            last_heard: now,
            silent_hosts: IndexSet::new(),
            last_push_received: 0,
            last_push_sent: 0,
            next_push: now,
            backlog: Backlog::default(),
            differs_since: None,
            suspect_since: now,
        }
    }

    /// Resets the state that belongs to the daemon's previous incarnation.
    pub(crate) fn reset_for_boot(&mut self) {
        self.silent_hosts.clear();
        self.last_push_received = 0;
        self.backlog.clear();
        self.differs_since = None;
    }

    /// Returns whether the host has sent no message for [`SILENT_AFTER`].
    pub(crate) fn is_silent(&self, now: Moment) -> bool {
        now - self.last_heard > SILENT_AFTER
    }

    /// Returns whether the host has sent a message within [`REPORT_VALIDITY`], so that its reports
    /// about other hosts are still valid.
    pub(crate) fn is_recently_heard(&self, now: Moment) -> bool {
        now - self.last_heard <= REPORT_VALIDITY
    }

    /// Returns the condition that follows from direct and indirect evidence.
    pub(crate) fn evaluate(&mut self, now: Moment, indirect_evidence: Evidence) -> Condition {
        match (self.is_silent(now), indirect_evidence, self.condition) {
            (false, _, _) | (true, Evidence::Heard, _) => Condition::Alive,
            (true, Evidence::Silent, Condition::Alive) => {
                self.suspect_since = now;
                Condition::Suspect
            }
            (true, Evidence::Silent, Condition::Suspect)
                if now - self.suspect_since > DEAD_AFTER =>
            {
                Condition::Dead
            }
            (true, Evidence::Silent, condition) => condition,
        }
    }
}
