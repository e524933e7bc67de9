//! Settings of a consensus node.

use std::time::Duration;

use kumquatdrum_types::HostId;

use crate::Member;

/// Settings of a node. Durations must be equal on all replicas.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This replica.
    pub member: Member,
    /// Hosts whose replicas form the cluster once all of them are fresh; if empty, this replica
    /// only joins an existing cluster.
    pub initial_hosts: Vec<HostId>,
    /// All other hosts with a data folder, which must be fresh too before a cluster forms.
    pub additional_hosts: Vec<HostId>,
    /// How long all initial hosts are waited for before a majority of them forms the cluster. `None` waits
    /// for all of them. Only allowed where a replica has `initial_hosts` at the first start of all hosts
    /// alone, so that no cluster can exist which the missing hosts belong to.
    pub formation_wait: Option<Duration>,
    /// Longest interval between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// A replica grants no vote for this long after a message of the leader. Elections start
    /// after a random time between one and two timeouts.
    pub election_timeout: Duration,
    /// A leader steps down when a batch has not been persisted for this long.
    pub persist_timeout: Duration,
    /// A requested replica change is abandoned after this long.
    pub change_timeout: Duration,
    /// Maximum drift between the clocks of two hosts, in percent; leases are shortened by it.
    pub clock_drift_percent: u32,
    /// Maximum bytes of entries in one message; a single larger entry is sent on its own.
    pub max_append_bytes: usize,
    /// Maximum unacknowledged messages with entries to one follower.
    pub max_in_flight_appends: usize,
    /// Maximum bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// A snapshot is requested when this many entries have been applied since the last one.
    pub snapshot_entries: u64,
    /// A snapshot is requested when the entries since the last one take this many bytes.
    pub snapshot_bytes: usize,
    /// Number of entries before a snapshot that stay in memory for followers that lag slightly.
    pub retained_entries: u64,
    /// Proposals are rejected as busy while this many bytes are uncommitted.
    pub max_uncommitted_bytes: usize,
    /// Safety checks, always enabled outside tests.
    pub safeguards: Safeguards,
}

/// Safety checks that tests disable to show which failure each check prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Safeguards {
    /// Whether a replica ignores messages addressed to another incarnation of its host.
    pub is_incarnation_checked: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            is_incarnation_checked: true,
        }
    }
}

impl Settings {
    /// Returns settings with the default durations and sizes.
    ///
    /// ```
    /// use kumquatdrum_consensus::{Member, Settings};
    /// let settings = Settings::new(Member::new("ikeja-1", 7, "ikeja"));
    /// assert!(settings.heartbeat_interval * 5 < settings.election_timeout);
    /// ```
    pub fn new(member: Member) -> Self {
        Self {
            member,
            initial_hosts: Vec::new(),
            additional_hosts: Vec::new(),
            formation_wait: None,
            heartbeat_interval: Duration::from_millis(100),
            election_timeout: Duration::from_secs(1),
            persist_timeout: Duration::from_secs(5),
            change_timeout: Duration::from_secs(60),
            clock_drift_percent: 10,
            max_append_bytes: 256 * 1024,
            max_in_flight_appends: 16,
            snapshot_chunk_bytes: 128 * 1024,
            snapshot_entries: 1_000,
            snapshot_bytes: 4 * 1024 * 1024,
            retained_entries: 200,
            max_uncommitted_bytes: 16 * 1024 * 1024,
            safeguards: Safeguards::default(),
        }
    }
}
