//! Identifiers of replicas, clusters and places in the log.

use std::fmt;

use kumquatdrum_types::{DataCentre, HostId};
use serde::{Deserialize, Serialize};

macro_rules! number {
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

number!(
    /// A random number made together with a data folder; a new folder is a new replica.
    Incarnation
);
number!(
    /// A random number made when a cluster forms; replicas of other clusters are not listened to.
    ClusterId
);
number!(
    /// An election term; at most one leader each.
    Term
);
number!(
    /// A place in the log; the first entry is 1.
    LogIndex
);
number!(
    /// Chosen by the shell to recognise the answer to a proposal or read.
    Token
);

impl Term {
    /// The following term.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl LogIndex {
    /// The following place.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// The place before, or 0.
    #[must_use]
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// A replica: a host together with the life of its data folder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The host that runs it.
    pub host: HostId,
    /// The life of its data folder.
    pub incarnation: Incarnation,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.host, self.incarnation.0)
    }
}

/// A replica and where it stands.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Who it is.
    pub id: ReplicaId,
    /// Where its host stands.
    pub data_centre: DataCentre,
}

impl Member {
    /// A member from its parts.
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
