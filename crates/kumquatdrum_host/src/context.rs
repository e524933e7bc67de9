//! State that all tasks of one host share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use kumquatdrum_daemon::body::Budget;
use kumquatdrum_engine::Engine;
use kumquatdrum_process::{Drain, Metrics, quarantine};
use kumquatdrum_service::Service;
use kumquatdrum_setup::Control;
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{BootId, RequestId, ServiceName};
use tokio_util::task::TaskTracker;

use crate::canceller::Canceller;
use crate::in_force::Store;
use crate::members::Members;
use crate::quota::Quota;
use crate::reservations::Reservations;
use crate::routers::Routers;
use crate::settings::Settings;
use kumquatdrum_process::clock::Clock;

/// The shared state of one host.
pub struct Context {
    /// The host's settings.
    pub settings: Settings,
    /// The incarnation of this daemon.
    pub boot: BootId,
    /// The daemon's clock.
    pub clock: Clock,
    /// The logger of events.
    pub logger: slog::Logger,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The state of the shutdown.
    pub drain: Arc<Drain>,
    /// The declaration in force.
    pub in_force: Arc<Store>,
    /// The routers of all services.
    pub routers: Arc<Routers>,
    /// The client for model engines.
    pub engine: Arc<dyn Engine>,
    /// The client for plain services.
    pub plain: Arc<dyn Service>,
    /// The cancels that await confirmation.
    pub canceller: Arc<Canceller>,
    /// The reservations that span several engines.
    pub reservations: Arc<Reservations>,
    /// The control plane.
    pub control: Arc<dyn Control>,
    /// The hosts and endpoints known to this host.
    pub members: Arc<Members>,
    /// The workspaces' limits.
    pub quota: Arc<Quota>,
    /// The requests that crash endpoints.
    pub quarantine: Arc<quarantine::Store>,
    /// The memory budget for request bodies.
    pub body_budget: Arc<Budget>,
    /// The tasks of requests in flight, joined at shutdown.
    pub requests: TaskTracker,
    /// The number of request ids assigned so far.
    pub request_count: AtomicU64,
}

impl Context {
    /// Returns the engines of all declared model services.
    pub fn engines(&self) -> Vec<(ServiceName, Target)> {
        let Some(current) = self.in_force.current() else {
            return Vec::new();
        };
        let services = current.index.declaration().services.iter();
        let models = services.filter(|service| current.index.model_of(service).is_some());
        let engines = models.flat_map(|service| {
            let targets = self.routers.targets(&service.name).into_iter();
            targets.map(|target| (service.name.clone(), target))
        });
        engines.collect()
    }

    /// Returns a unique id for the next request.
    pub fn next_request_id(&self) -> RequestId {
        let count = self.request_count.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format!("{}-{:x}-{count}", self.settings.host, self.boot.0))
    }
}
