//! Startup and shutdown of a gateway host.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use kumquatdrum_peer::{Client, Counters, Identity, LocalDaemon, Secret};
use kumquatdrum_placement::Shutdown;
use kumquatdrum_process::Drain;
use kumquatdrum_process::clock::{Clock, unix_ms};
use kumquatdrum_registry::Update;
use kumquatdrum_routes::Evacuations;
use kumquatdrum_types::BootId;
use parking_lot::Mutex;
use slog::{error, info};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::endpoint_updates::Additions;
use super::startup::Startup;
use super::subscriptions::Subscriptions;
mod components;

use super::{Gateway, StartError};
use crate::body::Body;
use crate::body_memory;
use crate::broadcast::Broadcaster;
use crate::evacuations;
use crate::holds::{self, Holds};
use crate::hosts::{self, Hosts};
use crate::inbox::Inbox;
use crate::listener::{self, Phase};
use crate::metrics::Metrics;
use crate::pool::{self, Pool};
use crate::relay;
use crate::replica::{self, Availability, Event, Handle};
use crate::upstream::{self, Upstream};
use crate::{
    Protocol, Settings, active_setup, call, control, evacuation_cache, health, shutdown, sockets,
};

/// How long a stopping host still accepts connections, so that two health checks a second apart
/// fail before the listener closes.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// The part of the shutdown time that remains after the last requests are cancelled.
const CLEANUP_TIME: Duration = Duration::from_millis(300);
/// How long a stopping host waits for operators' and endpoints' calls.
const CALLS_TIMEOUT: Duration = Duration::from_millis(2_800);
/// How long a resigning leader waits for its successor.
const HANDOVER_DELAY: Duration = Duration::from_millis(300);

/// How long a stopping host waits for a spare to take its vote.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(2);
const REPLACEMENT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The tasks of a running host.
pub(super) struct Running {
    pub(super) tasks: JoinSet<()>,
    callers: JoinSet<()>,
    auxiliary: JoinSet<()>,
    callers_phase: watch::Sender<Phase>,
    auxiliary_phase: watch::Sender<Phase>,
    stopped: watch::Sender<bool>,
}

impl Running {
    fn new() -> (Self, watch::Receiver<Phase>, watch::Receiver<Phase>) {
        let (callers_phase, callers_phase_receiver) = watch::channel(Phase::Open);
        let (auxiliary_phase, auxiliary_phase_receiver) = watch::channel(Phase::Open);
        let running = Self {
            tasks: JoinSet::new(),
            callers: JoinSet::new(),
            auxiliary: JoinSet::new(),
            callers_phase,
            auxiliary_phase,
            stopped: watch::Sender::new(false),
        };
        (running, callers_phase_receiver, auxiliary_phase_receiver)
    }

    /// Stops the host: fails health checks, completes requests, closes listeners and joins tasks.
    pub(super) async fn stop(mut self, gateway: &Arc<Gateway>, limit: Duration) {
        info!(gateway.logger, "stopping"; "event" => "stopping",
            "under_way" => gateway.drain.in_flight());
        let ends_at = gateway.clock.now() + limit.saturating_sub(CLEANUP_TIME);
        gateway.shutdown.begin(Shutdown::new(ends_at));
        gateway.drain.begin();
        gateway.pool.recheck_waits();
        gateway.hosts.set_stopping();
        if let Some(replica) = &gateway.replica {
            replica.resign();
            sleep(HANDOVER_DELAY).await;
            wait_for_replacement(gateway).await;
        }
        if !self.callers.is_empty() {
            sleep(DRAIN_DELAY).await;
            self.callers_phase.send_replace(Phase::Closing);
            let remaining = ends_at - gateway.clock.now();
            let joined = async {
                while self.callers.join_next().await.is_some() {}
                // Requests that this host relays for others.
                gateway.drain.wait_until_idle().await;
            };
            let is_joined = timeout(remaining, joined).await.is_ok();
            if !is_joined {
                info!(gateway.logger, "requests_cut"; "event" => "requests_cut",
                    "under_way" => gateway.drain.in_flight());
            }
        }
        // Operators' and endpoints' calls need the replica and the other hosts until they are answered.
        self.auxiliary_phase.send_replace(Phase::Closing);
        let remaining = (ends_at - gateway.clock.now()).min(CALLS_TIMEOUT);
        let joined = async { while self.auxiliary.join_next().await.is_some() {} };
        let _ = timeout(remaining, joined).await;
        gateway.end_subscriptions();
        let mut background = std::mem::take(&mut *gateway.background.lock());
        let joined = async { while background.join_next().await.is_some() {} };
        let _ = timeout(CLEANUP_TIME, joined).await;
        self.stopped.send_replace(true);
        self.callers.shutdown().await;
        self.auxiliary.shutdown().await;
        self.tasks.shutdown().await;
        gateway.client.shutdown().await;
    }
}

/// Waits for a spare to take this host's vote, as the host may not come back.
async fn wait_for_replacement(gateway: &Gateway) {
    let replaced = async {
        while gateway.hosts.can_give_up_vote() {
            sleep(REPLACEMENT_POLL_INTERVAL).await;
        }
    };
    if timeout(REPLACEMENT_TIMEOUT, replaced).await.is_err() {
        info!(gateway.logger, "vote_kept"; "event" => "vote_kept");
    }
}

/// What a control host has read from its disk.
pub(super) struct Cached {
    pub(super) endpoints: Vec<Update>,
    pub(super) evacuations: Evacuations,
    pub(super) evacuation_cache: evacuation_cache::Cache,
}

/// Opens all listeners and starts all tasks.
pub(super) fn start(
    settings: Settings,
    protocol: Arc<dyn Protocol>,
    logger: slog::Logger,
    cached: Cached,
) -> Result<(Arc<Gateway>, Running), StartError> {
    let boot = BootId(unix_ms());
    let local = LocalDaemon {
        cluster: settings.cluster.name.clone(),
        secret: Secret::new(&settings.cluster.secret),
        identity: Identity {
            host: settings.host(),
            boot,
        },
        counters: Arc::new(Counters::default()),
        logger: logger.clone(),
    };
    let replica = settings.replica.as_ref().map(|_| Handle::new());
    let handle = replica.as_ref().map(|(handle, _)| handle.clone());
    let cache = cached.evacuation_cache;
    let built = build_gateway(settings, protocol, logger, &local, (handle, cache))?;
    let (gateway, departures) = built;
    gateway.evacuations.adopt(&cached.evacuations, "disk");
    gateway.merge_endpoints(cached.endpoints, "disk");
    let (mut running, callers_phase_receiver, auxiliary_phase_receiver) = Running::new();
    let address = SocketAddr::new(gateway.settings.address, gateway.settings.peer_port);
    let listener = listen("peers", address)?;
    let stop = running.stopped.subscribe();
    running
        .tasks
        .spawn(serve_peers(listener, gateway.clone(), local, stop));
    if let (Some((handle, received)), Some(availability)) = (replica, &gateway.availability) {
        let availability = availability.clone();
        start_replica(&gateway, &mut running, availability, handle, received);
    }
    running.tasks.spawn(gateway.clone().contact_control_hosts());
    running.tasks.spawn(gateway.clone().release_held_requests());
    running.tasks.spawn(gateway.clone().activate_records());
    running.tasks.spawn(gateway.clone().fetch_records());
    running.tasks.spawn(gateway.clone().probe_paths());
    running.tasks.spawn(gateway.clone().apply_added_endpoints());
    running.tasks.spawn(gateway.clone().watch_suspension());
    running
        .tasks
        .spawn(gateway.clone().announce_departures(departures));
    let distributor = gateway.distributor.clone();
    running.tasks.spawn(async move { distributor.run().await });
    if let Some(broadcaster) = gateway.broadcaster.clone() {
        running.tasks.spawn(gateway.clone().rebroadcast_jobs());
        let gateway = gateway.clone();
        let listening = async move {
            broadcaster
                .listen(|events| gateway.apply_events(events))
                .await;
        };
        running.tasks.spawn(listening);
    }
    open_listeners(
        &gateway,
        &mut running,
        &callers_phase_receiver,
        &auxiliary_phase_receiver,
    )?;
    Ok((gateway, running))
}

fn build_gateway(
    settings: Settings,
    protocol: Arc<dyn Protocol>,
    logger: slog::Logger,
    local: &LocalDaemon,
    (replica, evacuation_cache): (Option<Handle>, evacuation_cache::Cache),
) -> Result<(Arc<Gateway>, mpsc::UnboundedReceiver<Update>), StartError> {
    let clock = Clock::start();
    let client = Arc::new(Client::new(local.clone()));
    let host = components::describe(&settings, local);
    let port = settings.peer_port;
    let hosts = Hosts::new(clock, client.clone(), port, host, logger.clone());
    let hosts = Arc::new(hosts);
    hosts.set_seeds(settings.seed_hosts());
    let boot = local.identity.boot.0;
    let endpoints = components::build_endpoints(&settings, clock, boot, &logger);
    let metrics = Arc::new(Metrics::new()?);
    let number = hosts::number(settings.address);
    let evacuations = Arc::new(evacuations::Store::new(logger.clone()));
    let (holds, departures) = Holds::new(holds::Dependencies {
        clock,
        endpoints: endpoints.clone(),
        evacuations: evacuations.clone(),
        number,
        metrics: metrics.clone(),
        logger: logger.clone(),
    });
    let holds = Arc::new(holds);
    let broadcaster = settings
        .listen
        .callers
        .map(|_| open_broadcaster(&settings, clock, &hosts, &metrics, &logger));
    let broadcaster = broadcaster.transpose()?;
    let quarantine =
        components::build_quarantine(clock, boot, broadcaster.clone(), &hosts, &logger);
    let paths = components::build_paths(clock, &endpoints, &metrics, &logger);
    let relays = components::build_relays(clock, &hosts, &client, &metrics, &logger);
    let upstream = Upstream::new(upstream::Dependencies {
        clock,
        protocol: protocol.clone(),
        evacuations: evacuations.clone(),
        holds: holds.clone(),
        paths: paths.clone(),
        relays,
    });
    let drain = Arc::<Drain>::default();
    let shutdown = Arc::new(shutdown::Store::new(clock));
    let relay_server = relay::Server::new(relay::ServerDependencies {
        boot,
        upstream: upstream.clone(),
        endpoints: endpoints.clone(),
        drain: drain.clone(),
        logger: logger.clone(),
    });
    let pool = Pool::new(pool::Dependencies {
        clock,
        paths,
        endpoints: endpoints.clone(),
        evacuations: evacuations.clone(),
        holds: holds.clone(),
        hosts: hosts.clone(),
        broadcaster: broadcaster.clone(),
        retries: settings.retries,
        cold: settings.cold,
        shutdown: shutdown.clone(),
        metrics: metrics.clone(),
        announcement_interval: Duration::from_millis(settings.announcement_ms),
        number,
        data_centre: settings.data_centre.clone(),
        logger: logger.clone(),
    });
    let active_setup = Arc::new(active_setup::Store::new(protocol.clone(), logger.clone()));
    let distributor = components::build_distributor(clock, &hosts, &client, &active_setup, &logger);
    let availability = components::build_availability(&settings, clock, &metrics);
    let gateway = Arc::new(Gateway {
        upstream,
        relay_server: Arc::new(relay_server),
        evacuations,
        evacuation_cache,
        active_setup,
        distributor,
        protocol,
        clock,
        hosts,
        endpoints,
        pool: Arc::new(pool),
        quarantine: Arc::new(quarantine),
        metrics,
        drain,
        body_memory: body_memory::Budget::new(settings.body_bytes),
        shutdown,
        logger,
        client,
        traffic: local.counters.clone(),
        broadcaster,
        replica,
        availability,
        started: clock.now(),
        settings,
        startup: Startup::default(),
        added: Additions::default(),
        subscriptions: Subscriptions::default(),
        background: Mutex::default(),
    });
    Ok((gateway, departures))
}

fn start_replica(
    gateway: &Arc<Gateway>,
    running: &mut Running,
    availability: Arc<Availability>,
    handle: Handle,
    received: mpsc::UnboundedReceiver<Event>,
) {
    let target = gateway.clone();
    let evacuations_target = gateway.clone();
    let dependencies = replica::Dependencies {
        settings: gateway.settings.clone(),
        client: gateway.client.clone(),
        hosts: gateway.hosts.clone(),
        on_commit: Box::new(move |record, is_leader| target.offer_record(record, "log", is_leader)),
        on_evacuations: Box::new(move |evacuations, is_leader| {
            evacuations_target.adopt_evacuations(evacuations, "log", is_leader);
        }),
        clock: gateway.clock,
        metrics: gateway.metrics.clone(),
        availability,
        logger: gateway.logger.clone(),
    };
    let stop = running.stopped.subscribe();
    running
        .tasks
        .spawn(replica::run(dependencies, handle, received, stop));
    running.tasks.spawn(gateway.clone().publish_endpoints());
    running.tasks.spawn(gateway.clone().broadcast_additions());
}

fn open_listeners(
    gateway: &Arc<Gateway>,
    running: &mut Running,
    callers_phase_receiver: &watch::Receiver<Phase>,
    auxiliary_phase_receiver: &watch::Receiver<Phase>,
) -> Result<(), StartError> {
    let listeners = gateway.settings.listen.clone();
    if let Some(address) = listeners.callers {
        let listener = listen("callers", address)?;
        let phase = callers_phase_receiver.clone();
        let serving = listener::serve(gateway.clone(), listener, phase, call::handle);
        running.callers.spawn(serving);
    }
    let mut open = |name, address: Option<SocketAddr>, handler| match address {
        Some(address) => open_auxiliary(
            gateway,
            &mut running.auxiliary,
            auxiliary_phase_receiver,
            (name, address),
            handler,
        ),
        None => Ok(()),
    };
    open("control", listeners.control, Auxiliary::Control)?;
    open("health", listeners.health, Auxiliary::Health)?;
    open("metrics", listeners.metrics, Auxiliary::Metrics)
}

/// A listener that does not serve callers.
#[derive(Debug, Clone, Copy)]
enum Auxiliary {
    Control,
    Health,
    Metrics,
}

impl Auxiliary {
    async fn handle(
        self,
        gateway: Arc<Gateway>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Infallible> {
        match self {
            Self::Control => control::handle(gateway, request).await,
            Self::Health => Ok(health::handle(&gateway, &request)),
            Self::Metrics => Ok(health::metrics(&gateway)),
        }
    }
}

fn open_auxiliary(
    gateway: &Arc<Gateway>,
    auxiliary: &mut JoinSet<()>,
    phase: &watch::Receiver<Phase>,
    (name, address): (&'static str, SocketAddr),
    kind: Auxiliary,
) -> Result<(), StartError> {
    let listener = listen(name, address)?;
    let handler = move |gateway, request| kind.handle(gateway, request);
    auxiliary.spawn(listener::serve(
        gateway.clone(),
        listener,
        phase.clone(),
        handler,
    ));
    Ok(())
}

fn open_broadcaster(
    settings: &Settings,
    clock: Clock,
    hosts: &Arc<Hosts>,
    metrics: &Arc<Metrics>,
    logger: &slog::Logger,
) -> Result<Arc<Broadcaster>, StartError> {
    let address = SocketAddr::new(settings.address, settings.peer_port + 1);
    let opened = Broadcaster::open(
        clock,
        address,
        hosts.clone(),
        metrics.clone(),
        logger.clone(),
    );
    opened.map(Arc::new).map_err(|reason| StartError::Listen {
        name: "datagrams",
        address,
        reason,
    })
}

fn listen(name: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    sockets::listen(address).map_err(|reason| StartError::Listen {
        name,
        address,
        reason,
    })
}

async fn serve_peers(
    listener: TcpListener,
    gateway: Arc<Gateway>,
    local: LocalDaemon,
    mut stop: watch::Receiver<bool>,
) {
    let stopped = async move {
        let _ = stop.wait_for(|stopped| *stopped).await;
    };
    let inbox = Arc::new(Inbox::new(&gateway));
    if let Err(reason) = kumquatdrum_peer::serve(listener, inbox, local, stopped).await {
        error!(gateway.logger, "peers_not_served"; "event" => "peers_not_served",
            "reason" => %reason);
    }
}
