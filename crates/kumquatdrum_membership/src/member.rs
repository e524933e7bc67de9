//! Identity and location of a host.

use std::net::SocketAddr;

use kumquatdrum_types::{BootId, DataCentre, HostId};
use serde::{Deserialize, Serialize};

/// Identity, location and address of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address on which its daemon accepts peer connections.
    pub address: SocketAddr,
    /// Incarnation of its daemon that published this entry, or 0 for an entry from settings. The
    /// entry with the highest incarnation wins.
    pub boot: BootId,
}
