//! Identifiers as newtypes, so that one kind can't stand in for another.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// The text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name!(
    /// An entry host, as its settings name it.
    HostId
);
name!(
    /// A data centre.
    DataCentre
);
name!(
    /// A workspace of the declaration.
    WorkspaceName
);
name!(
    /// A service of the declaration: a model behind engines, or a plain service.
    ServiceName
);
name!(
    /// A model of the declaration.
    ModelName
);
name!(
    /// An endpoint, by the name it announces.
    EndpointId
);
name!(
    /// A caller's idempotency key, unique within its workspace.
    IdempotencyKey
);
name!(
    /// One request of a caller, as the entry host that took it named it.
    RequestId
);
name!(
    /// One dispatch of a request to one endpoint; the endpoint echoes it.
    AttemptId
);

/// Set once when an endpoint or daemon starts; a different number is a different life.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BootId(pub u64);

/// A version of the declaration in force; 0 is the empty declaration before the first apply.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for BootId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
