//! Signals that stop the process or reload its settings.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or SIGINT and returns the signal's name.
pub async fn wait_for_stop() -> io::Result<&'static str> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok("SIGTERM"),
        _ = interrupt.recv() => Ok("SIGINT"),
    }
}

/// Returns the stream of SIGHUP signals, which request a reload of the settings file. After the
/// first call, SIGHUP does not terminate the process.
pub fn reload_signals() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}
