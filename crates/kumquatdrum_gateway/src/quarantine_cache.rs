//! A cache of the evidence against requests that crash endpoints, on the disk of a control host. It
//! survives a restart of all hosts.

use std::sync::Arc;

use kumquatdrum_disk::Blob;
use kumquatdrum_process::quarantine::Store;
use kumquatdrum_quarantine::Suspect;
use slog::warn;
use tokio::time::sleep;

use crate::cache;

/// The name of the cache file in the data folder.
pub(crate) const FILE_NAME: &str = "suspects";

/// Merges the cached evidence into the store.
pub(crate) async fn load(file: Blob, quarantine: &Store, logger: &slog::Logger) {
    match cache::read::<Vec<Suspect>>(file).await {
        Ok(suspects) => quarantine.merge(suspects, "disk"),
        Err(reason) => warn!(logger, "suspects_not_recalled"; "event" => "suspects_not_recalled",
            "reason" => reason),
    }
}

/// Writes the evidence to disk after each change, until the task is aborted.
pub(crate) async fn persist(file: Blob, quarantine: Arc<Store>, logger: slog::Logger) {
    let mut changed = quarantine.subscribe();
    while changed.changed().await.is_ok() {
        let written = cache::write(file.clone(), &quarantine.all()).await;
        if let Err(reason) = written {
            warn!(logger, "suspects_not_kept"; "event" => "suspects_not_kept", "reason" => reason);
        }
        sleep(cache::WRITE_INTERVAL).await;
    }
}
