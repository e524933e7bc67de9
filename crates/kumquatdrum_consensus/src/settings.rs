//! Settings of a node.

use std::time::Duration;

use kumquatdrum_types::HostId;

use crate::Member;

/// Settings of a node. Times must be equal on all replicas.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This replica.
    pub member: Member,
    /// Hosts whose replicas form the cluster when all of them are fresh. Empty: join only.
    pub initial_hosts: Vec<HostId>,
    /// All further hosts with a data folder. No cluster forms unless they are fresh as well.
    pub additional_hosts: Vec<HostId>,
    /// A leader says something at least this often.
    pub heartbeat: Duration,
    /// No vote is given for this long after a leader was heard; elections start at random
    /// between one and two of it.
    pub election_timeout: Duration,
    /// A leader steps down when its disk has taken this long over one batch.
    pub persist_timeout: Duration,
    /// A replica change that was asked for is given up when it takes longer than this.
    pub change_timeout: Duration,
    /// How far clocks may run apart, in percent; leases are shorter by it.
    pub clock_drift_percent: u32,
    /// Bytes of entries in one message, except where one entry exceeds it.
    pub max_append_bytes: usize,
    /// Unanswered messages with entries to one follower.
    pub max_in_flight: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// A snapshot is wanted when this many entries have been applied since the last one.
    pub snapshot_entries: u64,
    /// A snapshot is wanted when the entries since the last one take this many bytes.
    pub snapshot_bytes: usize,
    /// Entries before a snapshot that are kept in memory for followers slightly behind.
    pub retained_entries: u64,
    /// Proposals are refused as busy when this many bytes wait to be committed.
    pub max_uncommitted_bytes: usize,
    /// Rules that tests may turn off.
    pub rules: Rules,
}

/// Rules that tests turn off to show what they are for. Never off elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// A replica answers only what is meant for its own incarnation.
    pub own_incarnation: bool,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            own_incarnation: true,
        }
    }
}

impl Settings {
    /// Settings with the usual times and sizes.
    ///
    /// ```
    /// use kumquatdrum_consensus::{Member, Settings};
    /// let settings = Settings::new(Member::new("ikeja-1", 7, "ikeja"));
    /// assert!(settings.heartbeat * 5 < settings.election_timeout);
    /// ```
    pub fn new(member: Member) -> Self {
        Self {
            member,
            initial_hosts: Vec::new(),
            additional_hosts: Vec::new(),
            heartbeat: Duration::from_millis(100),
            election_timeout: Duration::from_secs(1),
            persist_timeout: Duration::from_secs(5),
            change_timeout: Duration::from_secs(60),
            clock_drift_percent: 10,
            max_append_bytes: 256 * 1024,
            max_in_flight: 16,
            snapshot_chunk_bytes: 128 * 1024,
            snapshot_entries: 1_000,
            snapshot_bytes: 4 * 1024 * 1024,
            retained_entries: 200,
            max_uncommitted_bytes: 16 * 1024 * 1024,
            rules: Rules::default(),
        }
    }
}
