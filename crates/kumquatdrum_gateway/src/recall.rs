//! Announced endpoints on the disk of a control host.
//!
//! Answers the loss of all hosts at once. Endpoints announce themselves about once a second, so hosts
//! that come back together would know one or two of them in the first tenth of a second and all only
//! after a second: short prompts would be packed on those few, and long ones find no room. A control
//! host keeps who is known on its disk and tells hosts that start.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_disk::Blob;
use kumquatdrum_registry::Update;
use slog::{info, warn};
use tokio::time::{sleep, timeout};

use crate::endpoints::Endpoints;
use crate::settings::Settings;

/// The file's name in the data folder.
const FILE_NAME: &str = "endpoints";
/// How long a start waits for the disk: a read takes a millisecond, and a disk that hangs may do so
/// for seconds.
const READ_LIMIT: Duration = Duration::from_millis(200);
/// The pause between two writes, which gathers the changes of a moment: a fleet that starts makes
/// hundreds.
const PAUSE: Duration = Duration::from_millis(50);
/// How many announcements an endpoint has missed that was read from the disk. Two more, and it counts
/// as silent: whoever left unheard while all hosts were lost gets requests for no longer than that.
const MISSED: u32 = 2;

/// The file of a host, where it has a disk.
pub(crate) fn file(settings: &Settings) -> Option<Blob> {
    let replica = settings.replica.as_ref()?;
    Some(Blob::new(&replica.data, FILE_NAME))
}

/// The endpoints that this host has kept, as old as they have to be taken for at least.
pub(crate) async fn read(file: Blob, announcement: Duration, logger: &slog::Logger) -> Vec<Update> {
    let reading = tokio::task::spawn_blocking(move || file.read());
    let read = match timeout(READ_LIMIT, reading).await {
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
    let missed = (announcement * MISSED).as_millis() as u64;
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

/// Keeps who is known on the disk, again with each change, until the task is aborted.
pub(crate) async fn keep(file: Blob, endpoints: Arc<Endpoints>, logger: slog::Logger) {
    loop {
        endpoints.changed().await;
        let written = write(file.clone(), endpoints.all()).await;
        if let Err(reason) = written {
            warn!(logger, "endpoints_not_kept"; "event" => "endpoints_not_kept",
                "reason" => reason);
        }
        sleep(PAUSE).await;
    }
}

async fn write(file: Blob, updates: Vec<Update>) -> Result<(), String> {
    let bytes = postcard::to_stdvec(&updates).map_err(|error| error.to_string())?;
    let writing = tokio::task::spawn_blocking(move || file.replace(&bytes));
    let written = writing.await.map_err(|error| error.to_string())?;
    written.map_err(|error| error.to_string())
}
