//! The other hosts of the data centre: heartbeats, suspicion confirmed through others.

use indexmap::IndexSet;
use kumquatdrum_types::{BootId, HostId, Moment};

use crate::Member;
use crate::backlog::Backlog;
use crate::timing::{DEAD_AFTER, REPORT_VALIDITY, SILENT_AFTER};

/// Whether a host lives, as far as this host knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// It is heard, by this host or by another one of the data centre.
    Alive,
    /// No host that this one hears has heard it for a while.
    Suspect,
    /// So for long.
    Dead,
}

/// A host as `status` shows it.
#[derive(Debug, Clone, Copy)]
pub struct Peer<'a> {
    /// Who and where it is.
    pub member: &'a Member,
    /// Whether it lives.
    pub condition: Condition,
}

/// Another host.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) member: Member,
    /// The life of its daemon that speaks.
    pub(crate) boot: BootId,
    pub(crate) condition: Condition,
    /// When its daemon last spoke; the start of this one where it never did.
    pub(crate) last_heard: Moment,
    /// The hosts that it didn't hear, as of its last push.
    pub(crate) silent_hosts: IndexSet<HostId>,
    /// The last push taken from it.
    pub(crate) last_push_received: u64,
    /// The last push sent to it.
    pub(crate) last_push_sent: u64,
    pub(crate) next_push: Moment,
    pub(crate) backlog: Backlog,
    /// Since when its table differs from this host's.
    pub(crate) differs_since: Option<Moment>,
    suspect_since: Moment,
}

/// What others say of a host that this one doesn't hear.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// Some host that this one hears has heard it.
    Heard,
    /// All hosts that this one hears say it is silent; true also where there are none.
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

    /// Forgets all that belonged to the daemon's former life.
    pub(crate) fn restart(&mut self) {
        self.silent_hosts.clear();
        self.last_push_received = 0;
        self.backlog.clear();
        self.differs_since = None;
    }

    /// Whether this host hasn't heard it for a while.
    pub(crate) fn is_silent(&self, now: Moment) -> bool {
        now - self.last_heard > SILENT_AFTER
    }

    /// Whether what it says of others counts.
    pub(crate) fn is_recently_heard(&self, now: Moment) -> bool {
        now - self.last_heard <= REPORT_VALIDITY
    }

    /// The condition that follows from what is heard.
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
