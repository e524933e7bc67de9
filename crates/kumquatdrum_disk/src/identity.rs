//! The replica that a data folder belongs to.

use kumquatdrum_consensus::{Incarnation, ReplicaId};
use kumquatdrum_types::HostId;
use serde::{Deserialize, Serialize};

/// The host and incarnation of a data folder, written once when it is created.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The host that created the folder.
    pub host: HostId,
    /// A random number that distinguishes this folder from earlier folders of the same host.
    pub incarnation: Incarnation,
}

impl Identity {
    /// Returns the id of the replica whose state the folder holds.
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
