//! What endpoints say of themselves, and what hosts pass on.

use std::net::SocketAddr;

use kumquatdrum_types::{DataCentre, EndpointId, ServiceName};
use serde::{Deserialize, Serialize};

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Its name, which it may keep over a restart.
    pub id: EndpointId,
    /// When it started, in Unix milliseconds by its own clock: its incarnation.
    pub started: u64,
    /// Counts its announcements since it started.
    pub sequence: u64,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It takes no new requests after a while.
    pub leaving: bool,
    /// How much longer it is slow after its start.
    pub warming_ms: u64,
}

/// What one host knows of an endpoint, told to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The newest announcement.
    pub announcement: Announcement,
    /// It has said that it is going, or another endpoint has taken its address.
    pub gone: bool,
    /// How long ago it was heard, by whoever heard it.
    pub age_ms: u64,
}
