//! What hosts and stewards say to each other.

use std::time::Duration;

use kumquatdrum_types::{BootId, HostId, Moment, load};
use serde::{Deserialize, Serialize};

/// A moment of a steward's clock, in one of its lives. Only the steward itself reads it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The steward's life.
    pub boot: BootId,
    /// Its clock.
    pub at: Moment,
}

/// What one host wants of one workspace's limits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Who wants it.
    pub host: HostId,
    /// Grows with each demand of one life of the host.
    pub round: u64,
    /// The last stamp that the steward sent; with it, the host binds itself to the steward.
    pub echo: Option<Stamp>,
    /// The offered load.
    pub load: load::Demand,
    /// Requests in flight and those lately refused for want of concurrency.
    pub wanted_concurrency: u32,
}

/// A part of a workspace's limits.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Requests a second.
    pub requests: f64,
    /// Tokens a second.
    pub tokens: f64,
    /// Requests in flight.
    pub concurrency: u32,
}

/// A steward's answer: a lease on a part of the pool, on top of the host's floor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The steward.
    pub steward: HostId,
    /// Whose limits.
    pub workspace: kumquatdrum_types::WorkspaceName,
    /// The demand that it answers.
    pub round: u64,
    /// To be echoed with the next demand.
    pub stamp: Stamp,
    /// How long it lasts, from the sending of the demand.
    pub lease: Duration,
    /// The granted part.
    pub share: Share,
}
