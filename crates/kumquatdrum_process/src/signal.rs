//! The signals that ask a process to stop.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_stop() -> io::Result<&'static str> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => Ok("SIGTERM"),
        _ = interrupt.recv() => Ok("SIGINT"),
    }
}

/// The signal that says that the settings file has changed. From here on it doesn't end the
/// process.
pub fn reload_signals() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}
