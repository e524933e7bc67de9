//! Identity, cluster and credentials of this daemon.

use std::fmt;
use std::sync::Arc;

use kumquatdrum_types::{BootId, HostId};

use crate::Counters;

/// Host and incarnation of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Identity {
    /// Name of the host.
    pub host: HostId,
    /// Incarnation of the daemon.
    pub boot: BootId,
}

/// Secret shared by all daemons of a cluster; never logged or sent.
///
/// ```
/// let secret = kumquatdrum_peer::Secret::new("a long secret");
/// assert_eq!(format!("{secret:?}"), "Secret(..)");
/// ```
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Creates a secret from its text in the settings.
    pub fn new(text: impl AsRef<[u8]>) -> Self {
        Self(Arc::from(text.as_ref()))
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// State of this daemon that the client and the server share.
#[derive(Debug, Clone)]
pub struct LocalDaemon {
    /// Name of the cluster; daemons of other clusters are refused.
    pub cluster: String,
    /// Secret of the cluster.
    pub secret: Secret,
    /// Identity of this daemon.
    pub identity: Identity,
    /// Traffic counters by channel.
    pub counters: Arc<Counters>,
    /// Logger for refusals and lost connections.
    pub logger: slog::Logger,
}
