//! A rocket instance of its own on a free loopback port.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rocket::config::{LogLevel, Shutdown};
use rocket::fairing::AdHoc;
use rocket::log::private::{self as log, Log, Metadata, Record};
use rocket::{Build, Config, Rocket};
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// A server that doesn't start.
#[derive(Debug, Error)]
pub enum Error {
    /// The listening address can't be had.
    #[error("the listening address can't be had: {0}")]
    Listen(#[from] std::io::Error),
    /// rocket refuses to start.
    #[error("the HTTP server doesn't start: {0}")]
    Launch(String),
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    shutdown: rocket::Shutdown,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server with the routes that `mount` adds.
    pub async fn start(
        address: SocketAddr,
        mount: impl FnOnce(Rocket<Build>) -> Rocket<Build>,
    ) -> Result<Self, Error> {
        discard_logs();
        let (report, liftoff) = oneshot::channel();
        let report = parking_lot::Mutex::new(Some(report));
        let announce = AdHoc::on_liftoff("address", move |rocket| {
            let config = rocket.config();
            let address = SocketAddr::new(config.address, config.port);
            report.lock().take().map(|sender| sender.send(address));
            Box::pin(async {})
        });
        let rocket = mount(rocket::custom(config(address)))
            .attach(announce)
            .ignite()
            .await
            .map_err(launch_error)?;
        let shutdown = rocket.shutdown();
        let launch = rocket.launch();
        let (failure, failed) = oneshot::channel();
        let task = tokio::spawn(async move {
            // rocket's error prints itself when it is dropped unseen.
            let ended = launch.await.map(drop).map_err(launch_error);
            let _ = failure.send(ended);
        });
        tokio::select! {
            biased;
            Ok(address) = liftoff => Ok(Self { address, shutdown, task }),
            Ok(Err(error)) = failed => Err(error),
            else => Err(Error::Launch("it ended at once".into())),
        }
    }

    /// Stops the server at once and waits for its end.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}

/// Discards rocket's own log lines for the whole process, unless another logger was set before.
///
/// rocket raises the process's log level while an instance is being built, whatever the instance's
/// own level is, so that the lines of others come out in between; `LogLevel::Off` doesn't help.
pub fn discard_logs() {
    let _ = log::set_logger(&Discard);
}

#[derive(Debug)]
struct Discard;

impl Log for Discard {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        false
    }

    fn log(&self, _: &Record<'_>) {}

    fn flush(&self) {}
}

fn launch_error(error: rocket::Error) -> Error {
    Error::Launch(error.to_string())
}

fn config(address: SocketAddr) -> Config {
    Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: Shutdown {
            ctrlc: false,
            signals: HashSet::new(),
            grace: 0,
            mercy: 0,
            ..Shutdown::default()
        },
        ..Config::release_default()
    }
}

/// A free port of the loopback address.
pub const fn loopback() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}
