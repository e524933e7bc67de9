//! A stand-in model engine, which steps [`crate::model`] in real time and serves it over HTTP.

mod answer;
mod http;
pub mod orders;
mod request;
mod shared;
mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_types::endpoint::{self, Kind};
use kumquatdrum_types::{Announcement, ModelName};
use tokio::task::JoinHandle;

use crate::condition::{Gate, Switch};
use crate::control::Control;
use crate::counters::Counts;
use crate::fault::Fault;
use crate::model;
use crate::process::{self, Process};
use crate::server::Error;
use shared::Shared;

pub use shared::Reports;

/// Time between two checks whether a draining engine is idle.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for the relay to forward the last bytes of finished streams.
const STREAM_FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Configuration of an engine.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name, service, addresses and announcements.
    pub process: process::Options,
    /// Loaded model.
    pub model: ModelName,
    /// Sizes and step costs.
    pub sizes: model::Options,
    /// Delay and loss of load reports and cache events.
    pub reports: Reports,
    /// How orders are executed; `None` for an engine that supports none.
    pub orders: Option<orders::Options>,
    /// Maximum size of a request body, in bytes.
    pub body_limit: u64,
}

impl Options {
    /// Returns options for an engine on a free loopback port that isn't announced.
    ///
    /// ```
    /// let options = kumquatdrum_testing::engine::Options::new("e1", "formula-llm", "formula", "hall-raatuse");
    /// assert_eq!(options.model.as_str(), "formula");
    /// ```
    pub fn new(name: &str, service: &str, model: &str, data_centre: &str) -> Self {
        Self {
            process: process::Options::new(name, service, data_centre),
            model: model.into(),
            sizes: model::Options::default(),
            reports: Reports::default(),
            orders: None,
            body_limit: 64 * 1024 * 1024,
        }
    }
}

/// A running engine.
///
/// ```
/// # let runtime = tokio::runtime::Runtime::new().unwrap();
/// # runtime.block_on(async {
/// use kumquatdrum_testing::engine::{Engine, Options};
///
/// let engine = Engine::start(Options::new("e1", "formula-llm", "formula", "hall-raatuse")).await?;
/// assert_eq!(engine.counts().accepted, 0);
/// engine.shutdown().await;
/// # Ok::<(), kumquatdrum_testing::server::Error>(())
/// # }).unwrap();
/// ```
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    process: Process,
    stepper: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine, and announces it if entry hosts are configured.
    pub async fn start(options: Options) -> Result<Self, Error> {
        let switch = Arc::new(Switch::default());
        let shared = Arc::new(Shared::new(options, Arc::clone(&switch)));
        let mounted_state = Arc::clone(&shared);
        let announced_state = Arc::clone(&shared);
        let process = Process::start(
            &shared.options.process,
            Arc::clone(&switch),
            Arc::clone(&shared) as Arc<dyn Control>,
            Arc::clone(&shared.connections),
            |rocket| http::mount(rocket, mounted_state),
            |address| Box::new(move || announcement(&announced_state, address)),
        )
        .await?;
        let stepper = tokio::spawn(step(Arc::clone(&shared), switch.gate()));
        Ok(Self {
            shared,
            process,
            stepper,
        })
    }

    /// Returns the address that serves requests.
    pub fn address(&self) -> SocketAddr {
        self.process.address()
    }

    /// Returns the address of the control port, which stays up after [`Fault::Die`].
    pub fn control_address(&self) -> SocketAddr {
        self.process.control_address()
    }

    /// Activates a fault.
    pub fn inject(&self, fault: &Fault) {
        self.shared.inject(fault);
    }

    /// Returns the counts of requests, runs and memory.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    /// Returns the loaded model and adapters; `None` if the engine supports no orders.
    pub fn order_report(&self) -> Option<kumquatdrum_orders::Report> {
        self.shared.orders.as_ref().map(orders::Orders::report)
    }

    /// Returns the number of announcements that an entry host has accepted.
    pub fn announced(&self) -> u64 {
        self.process.announcer().delivered()
    }

    /// Sends the leaving notice and waits until an entry host has accepted it.
    pub async fn leave(&self) {
        self.process.announcer().leave().await;
    }

    /// Sends the leaving notice and waits until all requests and streams have ended.
    pub async fn drain(&self) {
        self.leave().await;
        while self.shared.is_busy() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        tokio::time::sleep(STREAM_FLUSH_DELAY).await;
    }

    /// Stops the engine at once and joins all its tasks.
    pub async fn shutdown(self) {
        self.process.shutdown().await;
        let _ = self.stepper.await;
    }
}

/// Steps the model until the engine is dead, pausing while it is frozen.
async fn step(shared: Arc<Shared>, mut gate: Gate) {
    let mut death = gate.clone();
    while gate.wait_until_running().await.is_ok() {
        let step = shared.step();
        tokio::select! {
            () = death.wait_until_dead() => return,
            () = wait_for_next_step(&shared, step.cost) => {}
        }
        if gate.wait_until_running().await.is_err() {
            return;
        }
        shared.publish(&step.progress);
    }
}

async fn wait_for_next_step(shared: &Shared, cost: Duration) {
    if cost.is_zero() {
        shared.wait_for_work().await;
    } else {
        tokio::time::sleep(cost).await;
    }
}

fn announcement(shared: &Shared, address: SocketAddr) -> Announcement {
    let options = &shared.options;
    let engine = endpoint::Engine {
        model: shared.model(),
        memory_tokens: options.sizes.memory_tokens,
        batch_limit: options.sizes.batch_limit,
        prefill_tokens_per_second: options.sizes.prefill_tokens_per_second(),
        load: Some(shared.load()),
    };
    options
        .process
        .announcement(shared.boot, address, Kind::Engine(engine))
}
