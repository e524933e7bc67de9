//! Errors of the data folder.

use std::io;
use std::path::PathBuf;

use kumquatdrum_types::HostId;
use thiserror::Error as ThisError;

/// An error in opening, reading or writing a data folder.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The folder is already open, in this or in another process.
    #[error("{}: in use by another process", path.display())]
    Locked {
        /// The file.
        path: PathBuf,
    },
    /// The folder was created by another host.
    #[error("{}: belongs to host {found}, not to {expected}", path.display())]
    OtherHost {
        /// The file.
        path: PathBuf,
        /// The host named in the settings.
        expected: HostId,
        /// The host that created the folder.
        found: HostId,
    },
    /// The folder has a format that this version does not support.
    #[error("{}: format {found} is not supported", path.display())]
    Format {
        /// The file.
        path: PathBuf,
        /// The format number in the file.
        found: u64,
    },
    /// The contents are corrupt, so the replica must not start from them. Once the folder is moved
    /// away, the host joins as a new replica.
    #[error("{}: {place}: {reason}", path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// The damaged record, such as `log entry 17`.
        place: String,
        /// A description of the damage.
        reason: String,
    },
    /// The disk is full.
    #[error("{}: no space left", path.display())]
    Full {
        /// The file.
        path: PathBuf,
    },
    /// The operating system reported an error.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The underlying error.
        source: io::Error,
    },
    /// An earlier write failed; the store rejects all further writes.
    #[error("{}: closed after a failed write", path.display())]
    Closed {
        /// The file.
        path: PathBuf,
    },
}

impl Error {
    /// Returns the kind of the error for logs and metrics.
    ///
    /// ```
    /// use kumquatdrum_disk::Error;
    ///
    /// let error = Error::Full { path: "replica.redb".into() };
    /// assert_eq!(error.kind(), "full");
    /// ```
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Locked { .. } => "locked",
            Self::OtherHost { .. } => "other_host",
            Self::Format { .. } => "format",
            Self::Corrupt { .. } => "corrupt",
            Self::Full { .. } => "full",
            Self::Io { .. } => "io",
            Self::Closed { .. } => "closed",
        }
    }
}
