//! A cache of the evacuations on the disk of a control host.
//!
//! After a restart of all hosts, it provides them before an election. The replica's snapshot may be
//! older, and the last entries of its log are not known to be committed.

use std::sync::Arc;

use kumquatdrum_disk::Blob;
use kumquatdrum_routes::Evacuations;
use slog::warn;
use tokio::sync::Mutex;
use tokio::task::spawn_blocking;

use crate::cache;
use crate::evacuations::Store;

/// The name of the cache file in the data folder.
pub const FILE_NAME: &str = "evacuations";

/// The cache file, if the host has a disk.
pub struct Cache {
    file: Option<Blob>,
    /// The version in the file. The thread that writes the file holds the lock, since the write
    /// continues if its caller no longer waits for it.
    stored: Arc<Mutex<u64>>,
    logger: slog::Logger,
}

impl Cache {
    /// Creates a cache in a file.
    pub fn new(file: Option<Blob>, logger: slog::Logger) -> Self {
        Self {
            file,
            stored: Arc::default(),
            logger,
        }
    }

    /// Returns whether there is a file.
    pub const fn has_file(&self) -> bool {
        self.file.is_some()
    }

    /// Reads the cached evacuations.
    pub async fn load(&self) -> Evacuations {
        let Some(file) = self.file.clone() else {
            return Evacuations::default();
        };
        let read = cache::read::<Evacuations>(file).await;
        read.unwrap_or_else(|reason| {
            warn!(self.logger, "evacuations_not_loaded"; "event" => "evacuations_not_loaded",
                "reason" => reason);
            Evacuations::default()
        })
    }

    /// Writes the newest evacuations and syncs them, unless the file has them. Returns whether it has
    /// them then, or there is no file.
    pub async fn store(&self, evacuations: &Arc<Store>) -> bool {
        let Some(file) = self.file.clone() else {
            return true;
        };
        // Waiting here and not on a thread keeps a hung disk from using up the threads.
        let mut stored = self.stored.clone().lock_owned().await;
        let evacuations = evacuations.clone();
        let writing = spawn_blocking(move || write_newest(&file, &mut stored, &evacuations));
        let written = writing.await.unwrap_or_else(|error| Err(error.to_string()));
        if let Err(reason) = &written {
            warn!(self.logger, "evacuations_not_stored"; "event" => "evacuations_not_stored",
                "reason" => reason);
        }
        written.is_ok()
    }
}

/// Replaces the file by the newest evacuations if their version is above the stored one.
fn write_newest(file: &Blob, stored: &mut u64, evacuations: &Store) -> Result<(), String> {
    let current = evacuations.current();
    if current.version() <= *stored {
        return Ok(());
    }
    let bytes = postcard::to_stdvec(&*current).map_err(|error| error.to_string())?;
    file.replace(&bytes).map_err(|error| error.to_string())?;
    *stored = current.version();
    Ok(())
}
