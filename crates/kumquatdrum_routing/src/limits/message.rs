//! Messages between hosts and coordinators.

use std::time::Duration;

use kumquatdrum_types::{BootId, HostId, Moment, load};
use serde::{Deserialize, Serialize};

/// A time on a coordinator's clock, interpreted only by that incarnation of the coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timestamp {
    /// The incarnation of the coordinator.
    pub boot: BootId,
    /// The time on the coordinator's clock.
    pub at: Moment,
}

/// A host's demand for a share of a workspace's limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The host.
    pub host: HostId,
    /// Increases with each demand of one incarnation of the host.
    pub round: u64,
    /// The last timestamp of the coordinator, to which the host binds itself by sending it back.
    pub echo: Option<Timestamp>,
    /// The offered load.
    pub load: load::Demand,
    /// Requests in flight and those recently refused for lack of concurrency.
    pub wanted_concurrency: u32,
}

/// A share of a workspace's limits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Requests per second.
    pub requests: f64,
    /// Tokens per second.
    pub tokens: f64,
    /// Requests in flight.
    pub concurrency: u32,
}

/// A lease on a share of the pool, in addition to the host's floor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The coordinator.
    #[serde(rename = "steward")]
    pub coordinator: HostId,
    /// The workspace whose limits are shared.
    pub workspace: kumquatdrum_types::WorkspaceName,
    /// The round of the demand.
    pub round: u64,
    /// The timestamp to echo with the next demand.
    #[serde(rename = "stamp")]
    pub timestamp: Timestamp,
    /// The duration of the lease, starting when the demand was sent.
    pub lease: Duration,
    /// The granted share.
    pub share: Share,
}
