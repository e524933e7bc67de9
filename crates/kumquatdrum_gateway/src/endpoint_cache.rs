//! A cache of the announced endpoints on the disk of a control host.
//!
//! After a restart of all hosts, it provides the known endpoints at once, so that the first
//! requests are not all placed on the few endpoints that have already announced themselves again.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_disk::Blob;
use kumquatdrum_registry::Update;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::endpoints::Endpoints;
use crate::settings::Settings;

/// The name of the cache file in the data folder.
const FILE_NAME: &str = "endpoints";
/// The timeout for reading the cache at startup, in case the disk hangs.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// The minimum interval between writes, which combines bursts of changes.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);
/// The number of announcements that a cached endpoint is assumed to have missed. It limits how long
/// requests are sent to an endpoint that left while all hosts were down.
const ASSUMED_MISSED_ANNOUNCEMENTS: u32 = 2;

/// Returns the cache file, if the host has a disk.
pub(crate) fn file(settings: &Settings) -> Option<Blob> {
    let replica = settings.replica.as_ref()?;
    Some(Blob::new(&replica.data, FILE_NAME))
}

/// Loads the cached endpoints, with ages raised to account for missed announcements.
pub(crate) async fn load(
    file: Blob,
    announcement_interval: Duration,
    logger: &slog::Logger,
) -> Vec<Update> {
    let reading = tokio::task::spawn_blocking(move || file.read());
    let read = match timeout(READ_TIMEOUT, reading).await {
        Ok(Ok(Ok(bytes))) => Ok(bytes),
        Ok(Ok(Err(error))) => Err(error.to_string()),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("the disk did not answer in time".to_owned()),
    };
    let decoded = read.and_then(|bytes| match bytes {
        Some(bytes) => {
            let decoded = postcard::from_bytes::<Vec<Update>>(&bytes);
            decoded.map_err(|error| error.to_string())
        }
        None => Ok(Vec::new()),
    });
    let missed = (announcement_interval * ASSUMED_MISSED_ANNOUNCEMENTS).as_millis() as u64;
    match decoded {
        Ok(mut updates) => {
            info!(logger, "endpoints_recalled"; "event" => "endpoints_recalled",
                "endpoints" => updates.len());
            for update in &mut updates {
                update.age_ms = update.age_ms.max(missed);
            }
            updates
        }
        Err(reason) => {
            warn!(logger, "endpoints_not_recalled"; "event" => "endpoints_not_recalled",
                "reason" => reason);
            Vec::new()
        }
    }
}

/// Writes the known endpoints to disk after each change, until the task is aborted.
pub(crate) async fn persist(file: Blob, endpoints: Arc<Endpoints>, logger: slog::Logger) {
    loop {
        endpoints.wait_for_change().await;
        let written = write(file.clone(), endpoints.all_updates()).await;
        if let Err(reason) = written {
            warn!(logger, "endpoints_not_kept"; "event" => "endpoints_not_kept",
                "reason" => reason);
        }
        sleep(WRITE_INTERVAL).await;
    }
}

async fn write(file: Blob, updates: Vec<Update>) -> Result<(), String> {
    let bytes = postcard::to_stdvec(&updates).map_err(|error| error.to_string())?;
    let writing = tokio::task::spawn_blocking(move || file.replace(&bytes));
    let written = writing.await.map_err(|error| error.to_string())?;
    written.map_err(|error| error.to_string())
}
