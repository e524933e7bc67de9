//! A Rocket server for one stand-in.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rocket::config::{LogLevel, Shutdown};
use rocket::fairing::AdHoc;
use rocket::log::private::{self as log, Log, Metadata, Record};
use rocket::{Build, Config, Rocket};
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Reason why a server fails to start.
#[derive(Debug, Error)]
pub enum Error {
    /// The listening address can't be bound.
    #[error("cannot bind the listening address: {0}")]
    Listen(#[from] std::io::Error),
    /// Rocket fails to launch.
    #[error("the HTTP server failed to start: {0}")]
    Launch(String),
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    /// Listening address.
    pub address: SocketAddr,
    shutdown: rocket::Shutdown,
    task: JoinHandle<()>,
}

impl Server {
    /// Starts a server with the routes mounted by `mount`.
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
            // `launch_error` inspects the error, as Rocket prints errors that are dropped uninspected.
            let ended = launch.await.map(drop).map_err(launch_error);
            let _ = failure.send(ended);
        });
        tokio::select! {
            biased;
            Ok(address) = liftoff => Ok(Self { address, shutdown, task }),
            Ok(Err(error)) = failed => Err(error),
            else => Err(Error::Launch("the server stopped during startup".into())),
        }
    }

    /// Stops the server at once and waits until it has ended.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}

/// Discards Rocket's log lines for the whole process, unless another logger is already set.
///
/// `LogLevel::Off` isn't enough, as Rocket raises the log level of the process while an instance is
/// being built.
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

/// Returns the loopback address with port 0, which picks a free port.
pub const fn loopback() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}
