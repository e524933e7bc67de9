//! Construction of the components that are created before any task runs.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_peer::{Client, Counters, Identity, LocalDaemon, Secret};
use kumquatdrum_process::{Drain, Metrics, quarantine};
use kumquatdrum_quarantine::Fingerprint;
use kumquatdrum_types::BootId;
use slog::o;

use super::StartError;
use crate::canceller::Canceller;
use crate::in_force::Store;
use crate::members::{self, Members};
use crate::quarantine::Exchanger;
use crate::quota::{self, Quota};
use crate::reservations::Reservations;
use crate::routers::Routers;
use crate::settings::Settings;
use kumquatdrum_process::clock::{Clock, unix_ms};

/// The components that are created before any task runs.
pub(super) struct Components {
    pub(super) clock: Clock,
    pub(super) boot: BootId,
    pub(super) metrics: Arc<Metrics>,
    pub(super) drain: Arc<Drain>,
    pub(super) in_force: Arc<Store>,
    pub(super) routers: Arc<Routers>,
    pub(super) engine: Arc<kumquatdrum_engine::Client>,
    pub(super) plain: Arc<kumquatdrum_service::Client>,
    pub(super) canceller: Arc<Canceller>,
    pub(super) reservations: Arc<Reservations>,
    pub(super) local: LocalDaemon,
    pub(super) client: Arc<Client>,
    pub(super) logger: slog::Logger,
}

impl Components {
    pub(super) fn new(settings: &Settings, logger: &slog::Logger) -> Result<Self, StartError> {
        let http_error = |error: reqwest::Error| StartError::Http(error.to_string());
        let logger = logger.new(o!("host" => settings.host.to_string()));
        let clock = Clock::start();
        let boot = BootId(unix_ms());
        let metrics = Metrics::new().map_err(|error| StartError::Metrics(error.to_string()))?;
        let metrics = Arc::new(metrics);
        let engine = Arc::new(kumquatdrum_engine::Client::new().map_err(http_error)?);
        let routers = Routers::new(clock, settings.host.clone(), list_owners(settings), boot.0);
        let local = build_local(settings, boot, &logger);
        let client = Arc::new(Client::new(local.clone()));
        for host in &settings.hosts {
            client.set_address(&host.host, host.address);
        }
        Ok(Self {
            canceller: Arc::new(Canceller::new(clock, engine.clone(), metrics.clone())),
            reservations: Arc::new(Reservations::new(
                settings.host.clone(),
                clock,
                engine.clone(),
            )),
            plain: Arc::new(kumquatdrum_service::Client::new().map_err(http_error)?),
            drain: Arc::default(),
            in_force: Arc::default(),
            routers: Arc::new(routers),
            clock,
            boot,
            metrics,
            engine,
            local,
            client,
            logger,
        })
    }

    pub(super) fn members_dependencies(&self) -> members::Dependencies {
        members::Dependencies {
            clock: self.clock,
            client: self.client.clone(),
            routers: self.routers.clone(),
            canceller: self.canceller.clone(),
            reservations: self.reservations.clone(),
            in_force: self.in_force.clone(),
            drain: self.drain.clone(),
            metrics: self.metrics.clone(),
            logger: self.logger.clone(),
        }
    }
}

/// Returns the hosts of the data centre, which share its endpoints.
fn list_owners(settings: &Settings) -> Vec<String> {
    let is_local = |host: &&crate::settings::Host| host.data_centre == settings.data_centre;
    let others = settings.hosts.iter().filter(is_local);
    let others = others.map(|host| host.host.to_string());
    others.chain([settings.host.to_string()]).collect()
}

fn build_local(settings: &Settings, boot: BootId, logger: &slog::Logger) -> LocalDaemon {
    LocalDaemon {
        cluster: settings.cluster.name.clone(),
        secret: Secret::new(&settings.cluster.secret),
        identity: Identity {
            host: settings.host.clone(),
            boot,
        },
        counters: Arc::new(Counters::default()),
        logger: logger.clone(),
    }
}

/// Builds the exchange of evidence, which watches the store and sends what is new.
pub(super) fn build_exchanger(
    settings: &Settings,
    boot: BootId,
    clock: Clock,
    client: &Arc<Client>,
    members: &Arc<Members>,
    logger: &slog::Logger,
) -> Arc<Exchanger> {
    let prober = members.clone();
    let is_prober = move |request: Fingerprint| prober.is_first_by_hash(request.hash());
    let store = quarantine::Store::new(clock, boot.0, |_| {}, is_prober, logger.clone());
    Arc::new(Exchanger {
        host: settings.host.clone(),
        store: Arc::new(store),
        client: client.clone(),
        members: members.clone(),
        logger: logger.clone(),
    })
}

pub(super) fn build_quota(
    settings: &Settings,
    boot: BootId,
    clock: Clock,
    client: &Arc<Client>,
    in_force: &Arc<Store>,
    members: &Arc<Members>,
) -> Quota {
    Quota::new(quota::Dependencies {
        host: settings.host.clone(),
        boot,
        hosts: settings.hosts.len() + 1,
        max_request_duration: Duration::from_millis(settings.drain.longest_ms),
        clock,
        client: client.clone(),
        in_force: in_force.clone(),
        members: members.clone(),
    })
}
