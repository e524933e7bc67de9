//! Messages between daemons about hosts and endpoints.

use kumquatdrum_types::{Announcement, BootId, DataCentre, EndpointId, HostId, Load};
use serde::{Deserialize, Serialize};

use crate::propagation::Status;
use crate::{Key, Member, Summary};

/// Message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Periodic heartbeat with updates, sent to each host of the data centre in turn.
    Push(Push),
    /// Leaving notice that the receiver confirms.
    Leaving(Snapshot),
    /// Confirms that the sender holds a leaving notice.
    Confirm {
        /// Endpoint.
        endpoint: EndpointId,
        /// Incarnation of the endpoint.
        boot: BootId,
    },
    /// Keys of the sender's whole table. The receiver sends the records that the sender lacks and
    /// requests those that the receiver lacks.
    Digest {
        /// Endpoints that accept new work.
        staying: Vec<Key>,
        /// Endpoints that are leaving.
        leaving: Vec<Key>,
    },
    /// Requests the records with these keys.
    Want(Vec<Key>),
    /// Full records.
    Records(Vec<Snapshot>),
    /// State of the sender's data centre, sent between relays.
    Summary(Box<Report>),
    /// Hosts known to the sender.
    Members {
        /// Hosts, or a chunk of them.
        members: Vec<Member>,
        /// Whether the sender requests the receiver's hosts in return.
        wanted: bool,
    },
}

/// Heartbeat with updates for one host of the same data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Increases with each push from one incarnation of the sender to this receiver.
    pub sequence: u64,
    /// Digest of the sender's table.
    pub table: u32,
    /// Digest of the sender's roster.
    pub roster: u32,
    /// Hosts that the sender hasn't heard from recently.
    pub silent: Vec<HostId>,
    /// Data centres that the relay can't reach; set by the relay only.
    pub unreachable: Option<Vec<DataCentre>>,
    /// Status of the setup in force on the sender.
    pub setup: Option<Status>,
    /// Endpoints that are leaving.
    pub leaving: Vec<Departure>,
    /// New or changed endpoints.
    pub records: Vec<Snapshot>,
    /// Renewals received by the sender, with the load if it changed.
    #[serde(rename = "refreshes")]
    pub renewals: Vec<Renewal>,
    /// Summaries of other data centres; set by the relay only.
    pub summaries: Vec<Summary>,
}

/// Leaving notice for an endpoint that the receiver is expected to know.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Key of the endpoint's record.
    pub key: Key,
    /// Sequence number of its announcement.
    pub sequence: u64,
}

/// Renewal of an endpoint's announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Key of the endpoint's record.
    pub key: Key,
    /// Sequence number of its announcement.
    pub sequence: u64,
    /// Load, if it changed and fits into the push. Its `seen` contains only the counters whose owner
    /// starts with the receiver's name, without that prefix.
    pub load: Option<Load>,
}

/// Full record of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Announcement; the `seen` counters of its load are reduced as in [`Renewal::load`].
    pub announcement: Announcement,
    /// Time since the last renewal, in milliseconds.
    pub age_ms: u32,
}

/// State of a data centre, as reported by its relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Relay that sent the report.
    pub relay: HostId,
    /// Digest of the sender's roster.
    pub roster: u32,
    /// Summary of the data centre.
    pub summary: Summary,
}
