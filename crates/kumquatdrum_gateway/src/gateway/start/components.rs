//! The parts of a gateway host that depend on few others.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_fanout::Urgency;
use kumquatdrum_peer::{Client, LocalDaemon};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_process::quarantine;
use kumquatdrum_quarantine::Fingerprint;

use crate::broadcast::{Broadcaster, RelayPath};
use crate::distribution::Distributor;
use crate::endpoints::Endpoints;
use crate::hosts::Hosts;
use crate::message::{self, Host};
use crate::metrics::Metrics;
use crate::paths::{self, Paths};
use crate::relay::{self, Relays};
use crate::replica::Availability;
use crate::{Settings, active_setup};

pub(super) fn build_endpoints(
    settings: &Settings,
    clock: Clock,
    boot: u64,
    logger: &slog::Logger,
) -> Arc<Endpoints> {
    let drain = Duration::from_millis(settings.drain_ms);
    let announcement_interval = Duration::from_millis(settings.announcement_ms);
    Arc::new(Endpoints::new(
        clock,
        boot,
        drain,
        announcement_interval,
        logger.clone(),
    ))
}

pub(super) fn build_relays(
    clock: Clock,
    hosts: &Arc<Hosts>,
    client: &Arc<Client>,
    metrics: &Arc<Metrics>,
    logger: &slog::Logger,
) -> Relays {
    Relays::new(relay::Dependencies {
        clock,
        hosts: hosts.clone(),
        client: client.clone(),
        metrics: metrics.clone(),
        logger: logger.clone(),
    })
}

pub(super) fn build_paths(
    clock: Clock,
    endpoints: &Arc<Endpoints>,
    metrics: &Arc<Metrics>,
    logger: &slog::Logger,
) -> Arc<Paths> {
    Arc::new(Paths::new(paths::Dependencies {
        clock,
        endpoints: endpoints.clone(),
        metrics: metrics.clone(),
        logger: logger.clone(),
    }))
}

/// Returns whether the replica runs, on hosts that keep one.
pub(super) fn build_availability(
    settings: &Settings,
    clock: Clock,
    metrics: &Arc<Metrics>,
) -> Option<Arc<Availability>> {
    let replica = settings.replica.as_ref();
    replica.map(|_| Arc::new(Availability::new(clock, metrics.clone())))
}

/// Returns this host's description of itself.
pub(super) fn describe(settings: &Settings, local: &LocalDaemon) -> Host {
    Host {
        id: settings.host(),
        data_centre: settings.data_centre.clone(),
        boot: local.identity.boot.0,
        accepts_callers: settings.listen.callers.is_some(),
        is_control: settings.listen.control.is_some(),
        replica: None,
        is_stopping: false,
    }
}

/// Builds the store of requests that crash endpoints.
pub(super) fn build_quarantine(
    clock: Clock,
    boot: u64,
    broadcaster: Option<Arc<Broadcaster>>,
    hosts: &Arc<Hosts>,
    logger: &slog::Logger,
) -> quarantine::Store {
    let publish = move |suspect| {
        if let Some(broadcaster) = &broadcaster {
            let event = message::Event::Suspected(suspect);
            broadcaster.broadcast(event, Urgency::Urgent, RelayPath::Primary);
        }
    };
    let hosts = hosts.clone();
    let is_prober = move |request: Fingerprint| hosts.is_first_by_hash(request.hash());
    quarantine::Store::new(clock, boot, publish, is_prober, logger.clone())
}

pub(super) fn build_distributor(
    clock: Clock,
    hosts: &Arc<Hosts>,
    client: &Arc<Client>,
    active_setup: &Arc<active_setup::Store>,
    logger: &slog::Logger,
) -> Arc<Distributor> {
    let (hosts, client) = (hosts.clone(), client.clone());
    let (active_setup, logger) = (active_setup.clone(), logger.clone());
    Arc::new(Distributor::new(clock, hosts, client, active_setup, logger))
}
