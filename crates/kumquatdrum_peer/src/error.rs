//! Errors of peer requests.

use std::time::Duration;

use kumquatdrum_types::HostId;

/// Error of a request to a peer or of its handler.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No address is known for the host; nothing was sent.
    #[error("no address is known for host {0}")]
    UnknownHost(HostId),
    /// No connection could be opened; nothing was sent.
    #[error("host {host} can't be reached: {reason}")]
    Unreachable {
        /// Peer.
        host: HostId,
        /// Error of the transport.
        reason: String,
    },
    /// The request timed out; the peer may or may not have processed it.
    #[error("host {host} did not respond within {timeout:?}")]
    Timeout {
        /// Peer.
        host: HostId,
        /// Time limit of the request.
        timeout: Duration,
    },
    /// The connection was lost during the call; the peer may or may not have processed it.
    #[error("connection to host {host} was lost: {reason}")]
    Lost {
        /// Peer.
        host: HostId,
        /// Error of the transport.
        reason: String,
    },
    /// The peer is another host or in another cluster, or the secrets differ.
    #[error("authentication with host {host} failed: {reason}")]
    Refused {
        /// Peer.
        host: HostId,
        /// Mismatch, without the secret.
        reason: String,
    },
    /// The peer's handler returned an error.
    #[error("host {host} returned an error: {reason}")]
    Failed {
        /// Peer.
        host: HostId,
        /// Error of the handler.
        reason: String,
    },
    /// Error returned by a handler; its peer receives [`Error::Failed`].
    #[error("{0}")]
    Handler(String),
    /// The body exceeds the size limit of a frame; nothing was sent.
    #[error("a body of {bytes} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// Length of the body in bytes.
        bytes: usize,
        /// Size limit in bytes.
        limit: usize,
    },
    /// The client has been shut down.
    #[error("the client has been shut down")]
    Closed,
}

impl Error {
    /// Returns whether the peer's handler certainly didn't receive the request.
    ///
    /// ```
    /// use kumquatdrum_peer::Error;
    /// assert!(Error::Closed.is_unsent());
    /// ```
    pub const fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::UnknownHost(_)
                | Self::Unreachable { .. }
                | Self::Refused { .. }
                | Self::TooLarge { .. }
                | Self::Closed
        )
    }
}
