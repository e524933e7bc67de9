//! The parts of a host that need no running task.

use std::sync::Arc;

use kumquatdrum_peer::{Client, Counters, Identity, LocalDaemon, Secret};
use kumquatdrum_process::{Drain, Metrics};
use kumquatdrum_types::BootId;
use slog::o;

use super::StartError;
use crate::canceller::Canceller;
use crate::fleet::Fleet;
use crate::gangs::Gangs;
use crate::in_force::Store;
use crate::members;
use crate::settings::Settings;
use kumquatdrum_process::clock::{Clock, unix_ms};

/// The parts that need no running task.
pub(super) struct Base {
    pub(super) clock: Clock,
    pub(super) boot: BootId,
    pub(super) metrics: Arc<Metrics>,
    pub(super) drain: Arc<Drain>,
    pub(super) in_force: Arc<Store>,
    pub(super) fleet: Arc<Fleet>,
    pub(super) engine: Arc<kumquatdrum_engine::Client>,
    pub(super) plain: Arc<kumquatdrum_service::Client>,
    pub(super) canceller: Arc<Canceller>,
    pub(super) gangs: Arc<Gangs>,
    pub(super) local: LocalDaemon,
    pub(super) client: Arc<Client>,
    pub(super) logger: slog::Logger,
}

impl Base {
    pub(super) fn new(settings: &Settings, logger: &slog::Logger) -> Result<Self, StartError> {
        let http = |error: reqwest::Error| StartError::Http(error.to_string());
        let logger = logger.new(o!("host" => settings.host.to_string()));
        let clock = Clock::start();
        let boot = BootId(unix_ms());
        let metrics = Metrics::new().map_err(|error| StartError::Metrics(error.to_string()))?;
        let metrics = Arc::new(metrics);
        let engine = Arc::new(kumquatdrum_engine::Client::new().map_err(http)?);
        let fleet = Fleet::new(clock, settings.host.clone(), owners(settings), boot.0);
        let local = local(settings, boot, &logger);
        let client = Arc::new(Client::new(local.clone()));
        for host in &settings.hosts {
            client.set_address(&host.host, host.address);
        }
        Ok(Self {
            canceller: Arc::new(Canceller::new(clock, engine.clone(), metrics.clone())),
            gangs: Arc::new(Gangs::new(settings.host.clone(), clock, engine.clone())),
            plain: Arc::new(kumquatdrum_service::Client::new().map_err(http)?),
            drain: Arc::default(),
            in_force: Arc::default(),
            fleet: Arc::new(fleet),
            clock,
            boot,
            metrics,
            engine,
            local,
            client,
            logger,
        })
    }

    pub(super) fn members_parts(&self) -> members::Parts {
        members::Parts {
            clock: self.clock,
            client: self.client.clone(),
            fleet: self.fleet.clone(),
            canceller: self.canceller.clone(),
            gangs: self.gangs.clone(),
            in_force: self.in_force.clone(),
            drain: self.drain.clone(),
            metrics: self.metrics.clone(),
            logger: self.logger.clone(),
        }
    }
}

fn owners(settings: &Settings) -> Vec<String> {
    let same = |host: &&crate::settings::Host| host.data_centre == settings.data_centre;
    let others = settings.hosts.iter().filter(same);
    let others = others.map(|host| host.host.to_string());
    others.chain([settings.host.to_string()]).collect()
}

fn local(settings: &Settings, boot: BootId, logger: &slog::Logger) -> LocalDaemon {
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
