//! A cache of the announced endpoints on the disk of a control host.
//!
//! After a restart of all hosts, it provides the known endpoints at once, so that the first
//! requests are not all placed on the few endpoints that have already announced themselves again.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_disk::Blob;
use kumquatdrum_registry::Update;
use slog::{info, warn};
use tokio::time::sleep;

use crate::cache;
use crate::endpoints::Endpoints;

/// The name of the cache file in the data folder.
pub(crate) const FILE_NAME: &str = "endpoints";
/// The number of announcements that a cached endpoint is assumed to have missed. It limits how long
/// requests are sent to an endpoint that left while all hosts were down.
const ASSUMED_MISSED_ANNOUNCEMENTS: u32 = 2;

/// Loads the cached endpoints, with ages raised to account for missed announcements.
pub(crate) async fn load(
    file: Blob,
    announcement_interval: Duration,
    logger: &slog::Logger,
) -> Vec<Update> {
    let missed = (announcement_interval * ASSUMED_MISSED_ANNOUNCEMENTS).as_millis() as u64;
    match cache::read::<Vec<Update>>(file).await {
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
        let written = cache::write(file.clone(), &endpoints.all_updates()).await;
        if let Err(reason) = written {
            warn!(logger, "endpoints_not_kept"; "event" => "endpoints_not_kept",
                "reason" => reason);
        }
        sleep(cache::WRITE_INTERVAL).await;
    }
}
