//! Runs a gateway host.

use std::path::Path;

use std::sync::Arc;

use kumquatdrum_gateway::{Gateway, Settings, SettingsFile, settings};
use kumquatdrum_operator::Exit;
use kumquatdrum_platform::Platform;
use slog::{Level, Logger, error};

use crate::logging;

/// Runs until SIGTERM or SIGINT, then shuts down gracefully.
pub fn run(file: &Path) -> Exit {
    let settings = match read_settings(file) {
        Ok(settings) => settings,
        Err(line) => {
            eprintln!("{line}");
            return Exit::Usage;
        }
    };
    // Single-threaded, as a gateway host gets only a fraction of a core.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(serve(settings, file)),
        Err(reason) => {
            eprintln!("can't start the runtime: {reason}");
            Exit::Unknown
        }
    }
}

fn read_settings(file: &Path) -> Result<Settings, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|error| format!("{name}: {error}"))?;
    settings::parse(&text).map_err(|finding| format!("{name}: {finding}"))
}

async fn serve(settings: Settings, file: &Path) -> Exit {
    let (logger, _guard) = logging::start(Level::Info, std::io::stdout());
    let stop = wait_for_stop(logger.clone());
    let changed = match kumquatdrum_process::signal::reload_signals() {
        Ok(changed) => changed,
        Err(reason) => {
            error!(logger, "no_signals"; "event" => "no_signals", "reason" => %reason);
            return Exit::Unknown;
        }
    };
    let file = Some(SettingsFile {
        path: file.to_owned(),
        changed,
    });
    match Gateway::run(settings, file, Arc::new(Platform), &logger, stop).await {
        Ok(()) => Exit::Success,
        Err(reason) => {
            error!(logger, "not_started"; "event" => "not_started", "reason" => %reason);
            Exit::Usage
        }
    }
}

async fn wait_for_stop(logger: Logger) {
    if let Err(reason) = kumquatdrum_process::signal::wait_for_stop().await {
        error!(logger, "no_signals"; "event" => "no_signals", "reason" => %reason);
        std::future::pending::<()>().await;
    }
}
