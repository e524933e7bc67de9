//! HTTP servers, one per listener.

use std::net::SocketAddr;

use rocket::config::{Config, LogLevel, Shutdown};
use rocket::fairing::AdHoc;
use rocket::{Build, Ignite, Rocket};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// How long a server waits for responses in flight at shutdown. The daemon stops it only after its
/// requests have ended.
const GRACE_SECONDS: u32 = 5;
const MERCY_SECONDS: u32 = 1;

/// A running HTTP server.
pub struct Server {
    /// The address of the listener.
    pub address: SocketAddr,
    shutdown: rocket::Shutdown,
    task: JoinHandle<Result<Rocket<Ignite>, rocket::Error>>,
}

/// The error for a listener that can't be opened.
#[derive(Debug, thiserror::Error)]
#[error("the {name} listener can't be opened on {address}: {reason}")]
pub struct Error {
    name: &'static str,
    address: SocketAddr,
    reason: String,
}

/// Builds a server that leaves signal handling and logging to the daemon.
pub fn build(address: SocketAddr) -> Rocket<Build> {
    let mut shutdown = Shutdown {
        ctrlc: false,
        grace: GRACE_SECONDS,
        mercy: MERCY_SECONDS,
        force: false,
        ..Shutdown::default()
    };
    shutdown.signals.clear();
    let config = Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        keep_alive: 60,
        shutdown,
        ..Config::release_default()
    };
    rocket::custom(config)
}

/// Launches a server and waits until it listens.
pub async fn launch(
    name: &'static str,
    address: SocketAddr,
    rocket: Rocket<Build>,
) -> Result<Server, Error> {
    let failed = |reason: String| Error {
        name,
        address,
        reason,
    };
    let (sender, listens) = oneshot::channel();
    let sender = parking_lot::Mutex::new(Some(sender));
    let liftoff = AdHoc::on_liftoff("listens", move |rocket| {
        let config = rocket.config();
        if let Some(sender) = sender.lock().take() {
            let _ = sender.send(SocketAddr::new(config.address, config.port));
        }
        Box::pin(async {})
    });
    let ignited = rocket.attach(liftoff).ignite().await;
    let ignited = ignited.map_err(|error| failed(error.to_string()))?;
    let shutdown = ignited.shutdown();
    let task = tokio::spawn(ignited.launch());
    match listens.await {
        Ok(address) => Ok(Server {
            address,
            shutdown,
            task,
        }),
        Err(_) => match task.await {
            Ok(Err(error)) => Err(failed(error.to_string())),
            _ => Err(failed("the server stopped during startup".to_owned())),
        },
    }
}

impl Server {
    /// Aborts the server.
    pub async fn kill(self) {
        self.task.abort();
        let _ = self.task.await;
    }

    /// Stops listening and waits for the responses in flight.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}
