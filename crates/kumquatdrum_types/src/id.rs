//! Identifier newtypes.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! define_identifier {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an identifier from its text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the identifier's text.
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

define_identifier!(
    /// Name of a host, as given in its settings.
    HostId
);
define_identifier!(
    /// Name of a data centre.
    DataCentre
);
define_identifier!(
    /// Name of a workspace in the declaration.
    WorkspaceName
);
define_identifier!(
    /// Name of a service in the declaration: a model served by engines, or a plain service.
    ServiceName
);
define_identifier!(
    /// Name of a model in the declaration.
    ModelName
);
define_identifier!(
    /// Name that an endpoint announces.
    EndpointId
);
define_identifier!(
    /// Idempotency key of a caller, unique within its workspace.
    IdempotencyKey
);
define_identifier!(
    /// Identifier of a request, assigned by the entry host that received it.
    RequestId
);
define_identifier!(
    /// Identifier of one dispatch of a request to one endpoint, echoed by the endpoint.
    AttemptId
);

/// Incarnation of an endpoint or daemon, set once when it starts.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BootId(pub u64);

/// Version of the declaration; 0 is the empty declaration before the first apply.
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
