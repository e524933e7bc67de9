//! Values that a control host keeps on its disk to know them at once after a restart.

use std::time::Duration;

use kumquatdrum_disk::Blob;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::task::spawn_blocking;
use tokio::time::timeout;

use crate::settings::Settings;

/// The timeout for reading a cache at startup, in case the disk hangs.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// The minimum interval between writes of a cache, which combines bursts of changes.
pub(crate) const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the file of a cache, if the host has a disk.
pub(crate) fn file(settings: &Settings, name: &str) -> Option<Blob> {
    let replica = settings.replica.as_ref()?;
    Some(Blob::new(&replica.data, name))
}

/// Reads a cached value, or the default if none was written.
pub(crate) async fn read<T: DeserializeOwned + Default>(file: Blob) -> Result<T, String> {
    let reading = spawn_blocking(move || file.read());
    let read = match timeout(READ_TIMEOUT, reading).await {
        Ok(Ok(Ok(bytes))) => Ok(bytes),
        Ok(Ok(Err(error))) => Err(error.to_string()),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("the disk did not answer in time".to_owned()),
    };
    match read? {
        Some(bytes) => postcard::from_bytes(&bytes).map_err(|error| error.to_string()),
        None => Ok(T::default()),
    }
}

/// Replaces a cached value.
pub(crate) async fn write(file: Blob, value: &impl Serialize) -> Result<(), String> {
    let bytes = postcard::to_stdvec(value).map_err(|error| error.to_string())?;
    let writing = spawn_blocking(move || file.replace(&bytes));
    let written = writing.await.map_err(|error| error.to_string())?;
    written.map_err(|error| error.to_string())
}
