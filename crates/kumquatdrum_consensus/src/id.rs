//! Identifiers of replicas, clusters, terms and log entries.

use std::fmt;

use kumquatdrum_types::{DataCentre, HostId};
use serde::{Deserialize, Serialize};

macro_rules! define_number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

define_number!(
    /// A random number created with a data folder; a new folder makes a new replica.
    Incarnation
);
define_number!(
    /// A random number created when a cluster forms, which tells its messages from those of other
    /// clusters.
    ClusterId
);
define_number!(
    /// An election term, which has at most one leader.
    Term
);
define_number!(
    /// The index of a log entry; the first entry has index 1.
    LogIndex
);
define_number!(
    /// Correlates a proposal, replica change or read with its outcome; chosen by the driver.
    Token
);

impl Term {
    /// Returns the following term.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl LogIndex {
    /// Returns the following index.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the preceding index, or 0.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Identifies a replica by its host and the incarnation of its data folder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The host that runs the replica.
    pub host: HostId,
    /// The incarnation of the replica's data folder.
    pub incarnation: Incarnation,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.host, self.incarnation.0)
    }
}

/// A replica and the data centre of its host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The replica.
    pub id: ReplicaId,
    /// The data centre of the replica's host.
    pub data_centre: DataCentre,
}

impl Member {
    /// Creates a member from its host, incarnation and data centre.
    ///
    /// ```
    /// let member = kumquatdrum_consensus::Member::new("ikeja-1", 7, "ikeja");
    /// assert_eq!(member.id.to_string(), "ikeja-1/7");
    /// ```
    pub fn new(host: impl AsRef<str>, incarnation: u64, data_centre: impl AsRef<str>) -> Self {
        Self {
            id: ReplicaId {
                host: HostId::new(host),
                incarnation: Incarnation(incarnation),
            },
            data_centre: DataCentre::new(data_centre),
        }
    }
}
