//! Messages between hosts.

use bytes::Bytes;
use kumquatdrum_consensus::Member as ReplicaMember;
use kumquatdrum_fanout::Urgency;
use kumquatdrum_placement::{DataCentreKey, EndpointKey, JobId, Plan, Rate, Waiter};
use kumquatdrum_quarantine::{Evidence, Suspect};
use kumquatdrum_registry::{Refresh, Update};
use kumquatdrum_routes::evacuation::Change;
use kumquatdrum_routes::{Evacuations, Record};
use kumquatdrum_types::{Checkpoint, DataCentre, EndpointId, HostId, ServiceName};
use serde::{Deserialize, Serialize};
use slog::error;

use crate::evacuations::{Progress, Report};
use crate::relay::Incarnation;

/// A host's description of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's id, which is its address.
    pub id: HostId,
    /// The data centre that the host runs in.
    pub data_centre: DataCentre,
    /// The host's start time in Unix milliseconds.
    pub boot: u64,
    /// Whether the host accepts callers.
    pub accepts_callers: bool,
    /// Whether the host accepts operators and endpoints.
    pub is_control: bool,
    /// The host's replica, if any.
    pub replica: Option<ReplicaMember>,
    /// Whether the host is shutting down.
    pub is_stopping: bool,
}

/// A host as known to another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host.
    pub host: Host,
    /// The time since the host was last heard from, in milliseconds.
    pub age_ms: u64,
}

/// The hosts that a host requests in a hello.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Selection {
    /// No hosts.
    Nothing,
    /// All hosts.
    All,
    /// The hosts that have changed since an earlier listing.
    Since(Checkpoint),
    /// The control hosts, for a host that knows none yet.
    ControlHosts,
}

/// The endpoints that a host requests in a hello.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointSelection {
    /// Those that have left since an earlier answer. `None` requests all that have left.
    Departures(Option<Checkpoint>),
    /// All endpoints, for a host that has just started.
    All,
    /// What has changed since an earlier answer.
    Since(Checkpoint),
}

/// Reports that a host is live, and its active revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Hello {
    /// The sender.
    pub host: Host,
    /// The sender's active revision.
    pub revision: u64,
    /// The endpoints that the sender requests.
    pub endpoints: EndpointSelection,
    /// The hosts that the sender requests.
    pub hosts: Selection,
    /// The sender's evidence that the recipient lacks.
    pub evidence: Evidence,
    /// The checkpoint of the recipient's evidence that the sender has.
    pub known_evidence: Checkpoint,
    /// What the sender knows of evacuations.
    pub evacuations: Report,
}

/// A control host's list of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The version of the listing.
    #[serde(rename = "edition")]
    pub version: Checkpoint,
    /// Whether the listing contains all hosts, not only the changed ones.
    pub is_complete: bool,
    /// The listed hosts.
    pub hosts: Vec<Member>,
}

/// A request to another host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Request {
    /// A hello.
    Hello(Hello),
    /// Requests the active record if it is newer than the sender's.
    Fetch {
        /// The sender's active revision, or 0 if there is none.
        above: u64,
    },
    /// A committed record.
    Record(Record),
    /// Sends endpoint updates to be acknowledged.
    Endpoints(Vec<Update>),
    /// Sends endpoint updates to be acknowledged by the receiver and relayed to other hosts.
    RelayEndpoints {
        /// The updates.
        updates: Vec<Update>,
        /// The hosts to relay to, in the receiver's data centre.
        hosts: Vec<HostId>,
    },
    /// An endpoint whose leaving the sender has learned from its response, to be broadcast by the
    /// receiver, a control host, if it did not know.
    Departure(Update),
    /// A leave request of an endpoint that the sender, a control host, does not know.
    Leave {
        /// The endpoint.
        endpoint: EndpointId,
        /// The incarnation that leaves, if it is named.
        incarnation: Option<u64>,
    },
    /// Asks whether an endpoint's incarnation accepts connections of the receiver.
    Check(Incarnation),
    /// Commits a record. Only the leader accepts this.
    Apply(Record),
    /// Reads the active record. Only the leader accepts this.
    Read,
    /// The newest known evacuations.
    Evacuations(Evacuations),
    /// Reads the evacuations. Only the leader accepts this.
    ReadEvacuations {
        /// Whether to include the audit entries.
        includes_audit: bool,
    },
    /// Commits an order to evacuate a data centre, or to end that. Only the leader accepts this.
    Evacuate(Change),
    /// Asks a control host what the hosts that it hears from report of evacuations.
    ReadProgress,
}

/// The response to a request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    /// The response to `Hello`.
    Welcome {
        /// The responder.
        host: Host,
        /// Whether the responder can connect to the requester, if that is a control host.
        is_reachable: bool,
        /// The requested hosts.
        hosts: Option<Listing>,
        /// Whether the responder is in contact with a majority of the control hosts.
        has_majority: bool,
        /// The responder's active revision.
        revision: u64,
        /// The requested endpoints.
        endpoints: Vec<Update>,
        /// Announcements of known endpoints that change nothing else, with [`EndpointSelection::Since`].
        refreshes: Vec<Refresh>,
        /// The version of the responder's endpoints. `None` if the answer does not complete what the
        /// requester has.
        endpoints_version: Option<Checkpoint>,
        /// The responder's evidence that the requester lacks.
        evidence: Evidence,
        /// What the responder knows of evacuations.
        evacuations: Report,
    },
    /// The message was accepted.
    Taken,
    /// In response to `Leave`: the endpoint is not known.
    Unknown,
    /// The message was accepted, but these hosts did not acknowledge it.
    Unconfirmed(Vec<HostId>),
    /// In response to `Check`: whether the endpoint accepts connections.
    Listening(bool),
    /// The record was committed, or superseded by a higher revision.
    Applied,
    /// The active record, confirmed by a majority.
    Current(Option<Record>),
    /// The evacuations, confirmed by a majority.
    Evacuations(Evacuations),
    /// What hosts report of evacuations.
    Progress(Vec<Progress>),
    /// The order was committed but not applied, as its base was stale.
    Stale,
    /// The replica is not the leader. Holds the presumed leader, if known.
    NotLeader(Option<HostId>),
    /// The request cannot be answered now.
    Unavailable,
    /// In response to `Fetch`: the active record.
    Record(Record),
    /// In response to `Fetch`: there is a newer record, but too many bytes are in flight, or a copy to
    /// the requester.
    Busy,
}

/// A one-way message to another host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Notice {
    /// Endpoint updates.
    Endpoints(Vec<Update>),
    /// Endpoint updates to be relayed within the receiver's data centre.
    RelayEndpoints {
        /// The updates.
        updates: Vec<Update>,
        /// The hosts to relay to.
        hosts: Vec<HostId>,
    },
    /// The sender's active revision.
    Revision(u64),
    /// The sender has received the record of this revision in the receiver's answer.
    Received(u64),
}

impl Notice {
    /// Encodes the message. Logs an error and returns `None` on failure.
    pub fn encode(&self, logger: &slog::Logger) -> Option<Bytes> {
        match postcard::to_stdvec(self) {
            Ok(bytes) => Some(bytes.into()),
            Err(reason) => {
                error!(logger, "notice_not_encoded"; "event" => "notice_not_encoded",
                    "reason" => %reason);
                None
            }
        }
    }
}

/// The hosts that a datagram is addressed to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// Only the receiver.
    Host,
    /// All hosts in the data centre of the receiver, which relays the events.
    DataCentre(Urgency),
}

/// A datagram between hosts that accept callers.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Datagram {
    /// The hosts that the datagram is addressed to.
    pub reach: Reach,
    /// The events.
    pub events: Vec<Event>,
}

/// A change that other hosts need to know at once.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Event {
    /// The job was sent to an engine.
    Sent(ServiceName, Plan),
    /// The job's first token has arrived.
    Began(ServiceName, JobId),
    /// The job has ended.
    Ended(ServiceName, JobId),
    /// The job is queued.
    Queued(ServiceName, Waiter),
    /// The job has left the queue without being sent.
    Cancelled(ServiceName, JobId),
    /// Jobs in flight, each with whether its prefill is still in progress.
    Running(ServiceName, Vec<(Plan, bool)>),
    /// An endpoint names a limit, or no longer does.
    Limited(ServiceName, EndpointKey, Option<Rate>),
    /// A host, given by its number, sent a request to a limited endpoint of a plain service.
    Taken(ServiceName, EndpointKey, u32),
    /// A request was in flight at endpoints that crashed, or is cleared of it.
    Suspected(Suspect),
    /// An engine could not be reached from a data centre, by a host or another engine there.
    Unreachable(ServiceName, EndpointKey, DataCentreKey),
}

impl Event {
    /// Returns the service that the event concerns, if any.
    pub const fn service(&self) -> Option<&ServiceName> {
        match self {
            Self::Sent(name, _)
            | Self::Began(name, _)
            | Self::Ended(name, _)
            | Self::Queued(name, _)
            | Self::Cancelled(name, _)
            | Self::Running(name, _)
            | Self::Limited(name, ..)
            | Self::Taken(name, ..)
            | Self::Unreachable(name, ..) => Some(name),
            Self::Suspected(_) => None,
        }
    }

    /// Returns whether the event may free capacity for a queued job.
    pub const fn can_free_capacity(&self) -> bool {
        match self {
            Self::Sent(..)
            | Self::Began(..)
            | Self::Ended(..)
            | Self::Cancelled(..)
            | Self::Limited(..) => true,
            Self::Queued(..)
            | Self::Running(..)
            | Self::Taken(..)
            | Self::Suspected(_)
            | Self::Unreachable(..) => false,
        }
    }
}
