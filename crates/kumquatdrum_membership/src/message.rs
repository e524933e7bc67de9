//! What daemons say to each other about hosts and endpoints.

use kumquatdrum_types::{Announcement, BootId, DataCentre, EndpointId, HostId, Load};
use serde::{Deserialize, Serialize};

use crate::propagation::Status;
use crate::{Key, Member, Summary};

/// One message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat and news, to each host of the data centre in turn.
    Push(Push),
    /// A leaving notice that waits for confirmation.
    Leaving(Snapshot),
    /// The leaving notice of this endpoint's life is held.
    Confirm {
        /// The endpoint.
        endpoint: EndpointId,
        /// Its life.
        boot: BootId,
    },
    /// The sender's whole table, by keys; what the receiver misses and what it has beyond it
    /// follow in both directions.
    Digest {
        /// Endpoints that take work.
        staying: Vec<Key>,
        /// Endpoints that are leaving.
        leaving: Vec<Key>,
    },
    /// Asks for the records of these keys.
    Want(Vec<Key>),
    /// Whole records.
    Records(Vec<Snapshot>),
    /// From relay to relay: the state of the sender's data centre.
    Summary(Box<Report>),
    /// The hosts that the sender knows.
    Members {
        /// The hosts, or a chunk of them.
        members: Vec<Member>,
        /// Whether the sender wants the receiver's in return.
        wanted: bool,
    },
}

/// Heartbeat and news to one host of the same data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// Grows with each push of one life of the sender to this receiver.
    pub sequence: u64,
    /// Digest of the sender's table.
    pub table: u32,
    /// Digest of the sender's roster.
    pub roster: u32,
    /// Hosts that the sender hasn't heard for a while.
    pub silent: Vec<HostId>,
    /// From the relay only: data centres it can't reach.
    pub cut_off: Option<Vec<DataCentre>>,
    /// The setup in force on the sender.
    pub setup: Option<Status>,
    /// Endpoints that are leaving.
    pub leaving: Vec<Departure>,
    /// New or changed endpoints.
    pub records: Vec<Snapshot>,
    /// Renewals that the sender took, with load where it changed.
    #[serde(rename = "refreshes")]
    pub renewals: Vec<Renewal>,
    /// From the relay only: other data centres.
    pub summaries: Vec<Summary>,
}

/// A short word on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The endpoint's record.
    pub key: Key,
    /// The sequence of its announcement.
    pub sequence: u64,
}

/// A renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The endpoint's record.
    pub key: Key,
    /// The sequence of its announcement.
    pub sequence: u64,
    /// Its load, where it changed and there is room. Its `seen` holds only what the receiver
    /// sent, with the receiver's name left out of the owners.
    pub load: Option<Load>,
}

/// A whole record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The announcement; its load's `seen` is cut as in [`Renewal::load`].
    pub announcement: Announcement,
    /// How long ago it was renewed, in milliseconds.
    pub age_millis: u32,
}

/// The state of a data centre, from its relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The relay that speaks for the data centre.
    pub relay: HostId,
    /// Digest of the sender's roster.
    pub roster: u32,
    /// The state.
    pub summary: Summary,
}
