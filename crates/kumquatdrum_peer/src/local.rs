//! What a daemon knows of itself: who it is, its cluster, its counters and its log.

use std::fmt;
use std::sync::Arc;

use kumquatdrum_types::{BootId, HostId};

use crate::Counters;

/// One life of one host's daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Identity {
    /// The host.
    pub host: HostId,
    /// The life of its daemon.
    pub boot: BootId,
}

/// The secret that all daemons of a cluster share. It is never logged and never sent.
///
/// ```
/// let secret = kumquatdrum_peer::Secret::new("a long secret");
/// assert_eq!(format!("{secret:?}"), "Secret(..)");
/// ```
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Wraps the secret of the settings.
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

/// This daemon, as the client and the server need it.
#[derive(Debug, Clone)]
pub struct LocalDaemon {
    /// The cluster's name; a daemon of another cluster is refused.
    pub cluster: String,
    /// The cluster's secret.
    pub secret: Secret,
    /// Who this daemon is.
    pub identity: Identity,
    /// What passed, by channel.
    pub counters: Arc<Counters>,
    /// Where refusals and lost connections are told.
    pub logger: slog::Logger,
}
