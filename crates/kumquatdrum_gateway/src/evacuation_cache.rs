//! A cache of the evacuations on the disk of a control host.
//!
//! After a restart of all hosts, it provides them before an election. The replica's snapshot may be
//! older, and the last entries of its log are not known to be committed.

use kumquatdrum_disk::Blob;
use kumquatdrum_routes::Evacuations;
use slog::warn;
use tokio::sync::Mutex;

use crate::cache;
use crate::evacuations::Store;

/// The name of the cache file in the data folder.
pub(crate) const FILE_NAME: &str = "evacuations";

/// The cache file, if the host has a disk.
pub(crate) struct Cache {
    file: Option<Blob>,
    /// The version in the file. It is locked while the file is written.
    stored: Mutex<u64>,
    logger: slog::Logger,
}

impl Cache {
    /// Creates a cache in a file.
    pub(crate) fn new(file: Option<Blob>, logger: slog::Logger) -> Self {
        Self {
            file,
            stored: Mutex::default(),
            logger,
        }
    }

    /// Reads the cached evacuations.
    pub(crate) async fn load(&self) -> Evacuations {
        let Some(file) = self.file.clone() else {
            return Evacuations::default();
        };
        let read = cache::read::<Evacuations>(file).await;
        read.unwrap_or_else(|reason| {
            warn!(self.logger, "evacuations_not_recalled"; "event" => "evacuations_not_recalled",
                "reason" => reason);
            Evacuations::default()
        })
    }

    /// Writes the newest evacuations and syncs them, unless the file has them. Returns whether it has
    /// them then, or there is no file.
    pub(crate) async fn store(&self, evacuations: &Store) -> bool {
        let Some(file) = self.file.clone() else {
            return true;
        };
        let mut stored = self.stored.lock().await;
        let current = evacuations.current();
        if current.version() <= *stored {
            return true;
        }
        match cache::write(file, &*current).await {
            Ok(()) => {
                *stored = current.version();
                true
            }
            Err(reason) => {
                warn!(self.logger, "evacuations_not_kept"; "event" => "evacuations_not_kept",
                    "reason" => reason);
                false
            }
        }
    }
}
