//! Whose data folder it is.

use kumquatdrum_consensus::{Incarnation, ReplicaId};
use kumquatdrum_types::HostId;
use serde::{Deserialize, Serialize};

/// Written once, when a data folder is made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The host that made it.
    pub host: HostId,
    /// Chosen at random when it was made.
    pub incarnation: Incarnation,
}

impl Identity {
    /// The replica that speaks from this folder.
    ///
    /// ```
    /// use kumquatdrum_consensus::Incarnation;
    /// use kumquatdrum_disk::Identity;
    ///
    /// let identity = Identity { host: "ikeja-1".into(), incarnation: Incarnation(7) };
    /// assert_eq!(identity.replica().to_string(), "ikeja-1/7");
    /// ```
    pub fn replica(&self) -> ReplicaId {
        ReplicaId {
            host: self.host.clone(),
            incarnation: self.incarnation,
        }
    }
}
