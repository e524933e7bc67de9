//! A host as other hosts know it.

use std::net::SocketAddr;

use kumquatdrum_types::{BootId, DataCentre, HostId};
use serde::{Deserialize, Serialize};

/// A host, where it stands and where its daemon takes peers' calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where its daemon listens to peers.
    pub address: SocketAddr,
    /// The life of its daemon that said so; 0 where only settings do. The higher one counts.
    pub boot: BootId,
}
