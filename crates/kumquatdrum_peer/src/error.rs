//! Why a peer gave no answer.

use std::time::Duration;

use kumquatdrum_types::HostId;

/// Why a question brought no answer, or why a handler gives none.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No address is known for the host; nothing was sent.
    #[error("no address is known for host {0}")]
    UnknownHost(HostId),
    /// No connection could be opened; nothing was sent.
    #[error("host {host} can't be reached: {reason}")]
    Unreachable {
        /// The peer.
        host: HostId,
        /// What the transport said.
        reason: String,
    },
    /// The time is up; the peer may or may not have acted.
    #[error("host {host} gave no answer within {timeout:?}")]
    Timeout {
        /// The peer.
        host: HostId,
        /// How long it was given.
        timeout: Duration,
    },
    /// The connection broke during the call; the peer may or may not have acted.
    #[error("the connection to host {host} broke: {reason}")]
    Lost {
        /// The peer.
        host: HostId,
        /// What the transport said.
        reason: String,
    },
    /// The peer belongs to another cluster, is another host, or one of the two has a wrong secret.
    #[error("host {host} and this one don't accept each other: {reason}")]
    Refused {
        /// The peer.
        host: HostId,
        /// What didn't fit; never the secret.
        reason: String,
    },
    /// The peer's handler answered with an error.
    #[error("host {host} answered: {reason}")]
    Failed {
        /// The peer.
        host: HostId,
        /// What the handler said.
        reason: String,
    },
    /// A handler's own reason to give no answer; its peer sees it as [`Error::Failed`].
    #[error("{0}")]
    Handler(String),
    /// The body exceeds what a frame may hold; nothing was sent.
    #[error("a body of {bytes} bytes exceeds the limit of {limit}")]
    TooLarge {
        /// The body's length.
        bytes: usize,
        /// The most that a frame holds.
        limit: usize,
    },
    /// The client has been shut down.
    #[error("the client has been shut down")]
    Closed,
}

impl Error {
    /// Whether it is certain that the peer's handler never saw the question.
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
