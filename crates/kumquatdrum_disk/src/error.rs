//! What can go wrong with a data folder.

use std::io;
use std::path::PathBuf;

use kumquatdrum_types::HostId;
use thiserror::Error as ThisError;

/// Why a data folder can't be used.
#[derive(Debug, ThisError)]
pub enum Error {
    /// Another process has it open, or this one has it open twice.
    #[error("{}: in use by another process", path.display())]
    Locked {
        /// The file.
        path: PathBuf,
    },
    /// It was made by another host.
    #[error("{}: belongs to host {found}, not to {expected}", path.display())]
    OtherHost {
        /// The file.
        path: PathBuf,
        /// The host of the settings.
        expected: HostId,
        /// The host that made it.
        found: HostId,
    },
    /// It was written by a version that this one does not understand.
    #[error("{}: format {found} is not supported", path.display())]
    Format {
        /// The file.
        path: PathBuf,
        /// The format found.
        found: u64,
    },
    /// Its contents are damaged. The replica must not start from it: moved away, the host comes
    /// back as a new replica.
    #[error("{}: {place}: {reason}", path.display())]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Where in the file, such as `log entry 17`.
        place: String,
        /// What is wrong there.
        reason: String,
    },
    /// The disk is full.
    #[error("{}: no space left", path.display())]
    Full {
        /// The file.
        path: PathBuf,
    },
    /// The disk failed.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// An earlier write failed, so that nothing more is written.
    #[error("{}: closed after a failed write", path.display())]
    Closed {
        /// The file.
        path: PathBuf,
    },
}
