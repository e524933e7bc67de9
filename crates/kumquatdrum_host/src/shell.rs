//! What all parts of one host share.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use kumquatdrum_daemon::body::Budget;
use kumquatdrum_engine::Engine;
use kumquatdrum_process::{Drain, Metrics};
use kumquatdrum_service::Service;
use kumquatdrum_setup::Control;
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{BootId, RequestId, ServiceName};
use tokio_util::task::TaskTracker;

use crate::canceller::Canceller;
use crate::fleet::Fleet;
use crate::gangs::Gangs;
use crate::in_force::Store;
use crate::members::Members;
use crate::quota::Quota;
use crate::settings::Settings;
use kumquatdrum_process::clock::Clock;

/// One host's shared parts.
pub struct Shell {
    /// The settings file.
    pub settings: Settings,
    /// This life of the daemon.
    pub boot: BootId,
    /// The daemon's clock.
    pub clock: Clock,
    /// Where events go.
    pub logger: slog::Logger,
    /// What is counted.
    pub metrics: Arc<Metrics>,
    /// The state of the shutdown.
    pub drain: Arc<Drain>,
    /// The declaration in force.
    pub in_force: Arc<Store>,
    /// The routers.
    pub fleet: Arc<Fleet>,
    /// Model engines.
    pub engine: Arc<dyn Engine>,
    /// Plain services.
    pub plain: Arc<dyn Service>,
    /// Cancels under way.
    pub canceller: Arc<Canceller>,
    /// Memory reserved at several engines.
    pub gangs: Arc<Gangs>,
    /// The control plane.
    pub control: Arc<dyn Control>,
    /// Hosts and endpoints.
    pub members: Arc<Members>,
    /// The workspaces' limits.
    pub quota: Arc<Quota>,
    /// Bytes of bodies.
    pub bodies: Arc<Budget>,
    /// Requests under way; the host joins them when it stops.
    pub requests: TaskTracker,
    /// Names given so far.
    pub names: AtomicU64,
}

impl Shell {
    /// The engines of all model services in force.
    pub fn engines(&self) -> Vec<(ServiceName, Target)> {
        let Some(current) = self.in_force.current() else {
            return Vec::new();
        };
        let services = current.index.declaration().services.iter();
        let models = services.filter(|service| current.index.model_of(service).is_some());
        let engines = models.flat_map(|service| {
            let targets = self.fleet.targets(&service.name).into_iter();
            targets.map(|target| (service.name.clone(), target))
        });
        engines.collect()
    }

    /// A name for the next request.
    pub fn name(&self) -> RequestId {
        let count = self.names.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format!("{}-{:x}-{count}", self.settings.host, self.boot.0))
    }
}
