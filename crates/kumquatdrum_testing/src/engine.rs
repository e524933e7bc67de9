//! A stand-in model engine: the pure model stepped in real time behind HTTP.

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

/// Time between two looks at whether a leaving engine has become idle.
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);
/// What the server has taken of the last streams still passes through the relay.
const DRAIN_DELIVERY: Duration = Duration::from_millis(200);

/// What an engine is.
#[derive(Debug, Clone)]
pub struct Options {
    /// Who it is and where it listens.
    pub process: process::Options,
    /// The loaded model.
    pub model: ModelName,
    /// Sizes and step costs.
    pub sizes: model::Options,
    /// How its load reports and cache events lag.
    pub reports: Reports,
    /// How it takes orders; it takes none where absent.
    pub orders: Option<orders::Options>,
    /// The largest request body, in bytes.
    pub body_limit: u64,
}

impl Options {
    /// An engine on a free loopback port that announces itself to no one.
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
    /// Starts an engine; it announces itself at once, where it has entry hosts to announce to.
    pub async fn start(options: Options) -> Result<Self, Error> {
        let switch = Arc::new(Switch::default());
        let shared = Arc::new(Shared::new(options, Arc::clone(&switch)));
        let mounted = Arc::clone(&shared);
        let announced = Arc::clone(&shared);
        let process = Process::start(
            &shared.options.process,
            Arc::clone(&switch),
            Arc::clone(&shared) as Arc<dyn Control>,
            Arc::clone(&shared.connections),
            |rocket| http::mount(rocket, mounted),
            |address| Box::new(move || announcement(&announced, address)),
        )
        .await?;
        let stepper = tokio::spawn(step(Arc::clone(&shared), switch.gate()));
        Ok(Self {
            shared,
            process,
            stepper,
        })
    }

    /// Where it takes calls.
    pub fn address(&self) -> SocketAddr {
        self.process.address()
    }

    /// Where its control port listens; it outlives the engine's ordered death.
    pub fn control_address(&self) -> SocketAddr {
        self.process.control_address()
    }

    /// Puts a fault in force.
    pub fn inject(&self, fault: &Fault) {
        self.shared.inject(fault);
    }

    /// What it ran and holds.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    /// What it has loaded, where it takes orders.
    pub fn order_report(&self) -> Option<kumquatdrum_orders::Report> {
        self.shared.orders.as_ref().map(orders::Orders::report)
    }

    /// Announcements that an entry host has answered with success.
    pub fn announced(&self) -> u64 {
        self.process.announcer().delivered()
    }

    /// Sends the leaving notice and waits until an entry host has answered it.
    pub async fn leave(&self) {
        self.process.announcer().leave().await;
    }

    /// Sends the leaving notice and waits until nothing runs or waits any more, and all streams
    /// have ended.
    pub async fn drain(&self) {
        self.leave().await;
        while self.shared.is_busy() {
            tokio::time::sleep(DRAIN_INTERVAL).await;
        }
        tokio::time::sleep(DRAIN_DELIVERY).await;
    }

    /// Stops it at once and joins all its tasks.
    pub async fn shutdown(self) {
        self.process.shutdown().await;
        let _ = self.stepper.await;
    }
}

/// Steps the model until the engine is dead; a frozen engine doesn't step.
async fn step(shared: Arc<Shared>, mut gate: Gate) {
    let mut dead = gate.clone();
    while gate.running().await.is_ok() {
        let step = shared.step();
        tokio::select! {
            () = dead.dead() => return,
            () = rest(&shared, step.cost) => {}
        }
        if gate.running().await.is_err() {
            return;
        }
        shared.publish(&step.progress);
    }
}

async fn rest(shared: &Shared, cost: Duration) {
    if cost.is_zero() {
        shared.work().await;
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
