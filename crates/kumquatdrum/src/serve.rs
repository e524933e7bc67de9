//! Runs the daemon of one host.

use std::path::Path;

use kumquatdrum_host::{Host, Settings, settings};
use kumquatdrum_operator::Exit;
use slog::{Level, error};

use crate::logging;

/// Runs until SIGTERM or SIGINT, then shuts down gracefully.
pub fn run(file: &Path) -> Exit {
    let settings = match read_settings(file) {
        Ok(settings) => settings,
        Err(lines) => {
            eprintln!("{}", lines.join("\n"));
            return Exit::Usage;
        }
    };
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    if settings.limits.threads > 0 {
        runtime.worker_threads(settings.limits.threads);
    }
    match runtime.enable_all().build() {
        Ok(runtime) => runtime.block_on(serve(settings)),
        Err(reason) => {
            eprintln!("can't start the runtime: {reason}");
            Exit::Unknown
        }
    }
}

/// Checks a settings file and prints every finding.
pub fn check(file: &Path) -> Exit {
    match read_settings(file) {
        Ok(_) => Exit::Success,
        Err(lines) => {
            println!("{}", lines.join("\n"));
            Exit::Failure
        }
    }
}

fn read_settings(file: &Path) -> Result<Settings, Vec<String>> {
    let name = file.display();
    let text = std::fs::read_to_string(file).map_err(|error| vec![format!("{name}: {error}")])?;
    settings::parse(&text).map_err(|findings| {
        let lines = findings.iter();
        lines.map(|finding| format!("{name}: {finding}")).collect()
    })
}

async fn serve(settings: Settings) -> Exit {
    let (logger, _guard) = logging::start(Level::Info, std::io::stderr());
    let host = match Host::start(settings, &logger).await {
        Ok(host) => host,
        Err(reason) => {
            error!(logger, ""; "event" => "not_started", "reason" => %reason);
            return Exit::Usage;
        }
    };
    let stopped = kumquatdrum_process::signal::wait_for_stop().await;
    if let Err(reason) = stopped {
        error!(logger, ""; "event" => "no_signals", "reason" => %reason);
    }
    host.stop().await;
    Exit::Success
}
