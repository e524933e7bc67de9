//! Announcements by endpoints, and the updates that hosts exchange about them.

use std::net::SocketAddr;

use kumquatdrum_types::{DataCentre, EndpointId, ServiceName};
use serde::{Deserialize, Serialize};

/// A periodic announcement by an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint's id, which may stay the same across restarts.
    pub id: EndpointId,
    /// The incarnation: the start time in Unix milliseconds by the endpoint's clock.
    pub started: u64,
    /// The sequence number of this announcement within the incarnation.
    pub sequence: u64,
    /// The service that the endpoint belongs to.
    pub service: ServiceName,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The data centre that the endpoint runs in.
    pub data_centre: DataCentre,
    /// The number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint is draining: it gets no new requests.
    pub leaving: bool,
    /// The remaining warm-up time in milliseconds.
    pub warming_ms: u64,
}

impl Announcement {
    /// Returns whether another announcement of the same incarnation says the same but for its sequence
    /// number.
    pub(crate) fn has_same_terms(&self, other: &Self) -> bool {
        let renumbered = Self {
            sequence: self.sequence,
            ..other.clone()
        };
        *self == renumbered
    }
}

/// A host's knowledge of an endpoint, as sent to other hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The newest announcement.
    pub announcement: Announcement,
    /// Whether the endpoint has left or its address now belongs to another endpoint.
    pub gone: bool,
    /// The time since any host last heard from the endpoint, in milliseconds.
    pub age_ms: u64,
}

/// A later announcement of a known incarnation that changes nothing but its sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refresh {
    /// The endpoint's id.
    pub id: EndpointId,
    /// The incarnation.
    pub started: u64,
    /// The sequence number of the announcement.
    pub sequence: u64,
    /// The time since any host last heard from the endpoint, in milliseconds.
    pub age_ms: u64,
}

/// What has changed in a registry since an earlier state of it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The endpoints that are new or have changed.
    pub updates: Vec<Update>,
    /// The endpoints that have only announced themselves again.
    pub refreshes: Vec<Refresh>,
}

impl From<Vec<Update>> for News {
    fn from(updates: Vec<Update>) -> Self {
        Self {
            updates,
            refreshes: Vec::new(),
        }
    }
}
