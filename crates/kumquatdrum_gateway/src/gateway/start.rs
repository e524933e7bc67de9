//! How a gateway host starts and stops.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use kumquatdrum_peer::{Client, Counters, Identity, LocalDaemon, Secret};
use kumquatdrum_process::clock::{Clock, unix_ms};
use kumquatdrum_registry::Update;
use kumquatdrum_types::BootId;
use parking_lot::Mutex;
use slog::{error, info};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::{Gateway, StartError};
use crate::body::Body;
use crate::broadcast::Broadcaster;
use crate::callers::{self, Phase};
use crate::endpoints::Endpoints;
use crate::fleet::{self, Fleet};
use crate::hosts::Hosts;
use crate::inbox::Inbox;
use crate::message::Host;
use crate::meters::Meters;
use crate::replica::{self, Event, Handle};
use crate::spread::Spread;
use crate::{Protocol, Settings, call, control, health, in_force, sockets};

/// How long a host that stops still accepts: the balancer needs two misses, a second apart.
const LAST_CALLS: Duration = Duration::from_millis(2_600);
/// What is left of the time for a stop when the last requests are cut.
const LAST_MOMENT: Duration = Duration::from_millis(300);
/// How long a leader gives its successor before it ends.
const HANDOVER: Duration = Duration::from_millis(300);

/// What runs on a host that has started.
pub(super) struct Running {
    pub(super) tasks: JoinSet<()>,
    callers: JoinSet<()>,
    others: JoinSet<()>,
    phase: watch::Sender<Phase>,
    others_phase: watch::Sender<Phase>,
    stopped: watch::Sender<bool>,
}

impl Running {
    fn new() -> (Self, watch::Receiver<Phase>, watch::Receiver<Phase>) {
        let (phase, callers_open) = watch::channel(Phase::Open);
        let (others_phase, others_open) = watch::channel(Phase::Open);
        let running = Self {
            tasks: JoinSet::new(),
            callers: JoinSet::new(),
            others: JoinSet::new(),
            phase,
            others_phase,
            stopped: watch::Sender::new(false),
        };
        (running, callers_open, others_open)
    }

    /// Health turns red, requests run to their end, listeners close, tasks are joined.
    pub(super) async fn stop(mut self, gateway: &Arc<Gateway>, limit: Duration) {
        info!(gateway.logger, "stopping"; "event" => "stopping",
            "under_way" => gateway.drain.under_way());
        gateway.drain.begin();
        gateway.hosts.set_stopping();
        if let Some(replica) = &gateway.replica {
            replica.resign();
            sleep(HANDOVER).await;
        }
        if !self.callers.is_empty() {
            sleep(LAST_CALLS).await;
            self.phase.send_replace(Phase::Closing);
            let left = limit.saturating_sub(LAST_CALLS + LAST_MOMENT);
            let joined = async { while self.callers.join_next().await.is_some() {} };
            let is_joined = timeout(left, joined).await.is_ok();
            if !is_joined {
                info!(gateway.logger, "requests_cut"; "event" => "requests_cut",
                    "under_way" => gateway.drain.under_way());
            }
        }
        let mut background = std::mem::take(&mut *gateway.background.lock());
        let released = async { while background.join_next().await.is_some() {} };
        let _ = timeout(LAST_MOMENT, released).await;
        self.stopped.send_replace(true);
        self.others_phase.send_replace(Phase::Closing);
        self.callers.shutdown().await;
        self.others.shutdown().await;
        self.tasks.shutdown().await;
        gateway.client.shutdown().await;
    }
}

/// Opens all listeners and starts all rounds.
pub(super) fn start(
    settings: Settings,
    protocol: Arc<dyn Protocol>,
    logger: slog::Logger,
    recalled: Vec<Update>,
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
    let gateway = gateway(settings, protocol, logger, &local, handle)?;
    gateway.take_endpoints(recalled, "disk");
    let (mut running, callers_open, others_open) = Running::new();
    let address = SocketAddr::new(gateway.settings.address, gateway.settings.peer_port);
    let listener = listen("peers", address)?;
    let stop = running.stopped.subscribe();
    running
        .tasks
        .spawn(serve_peers(listener, gateway.clone(), local, stop));
    if let Some((handle, received)) = replica {
        start_replica(&gateway, &mut running, handle, received);
    }
    running.tasks.spawn(gateway.clone().greet());
    running.tasks.spawn(gateway.clone().take_records());
    let spread = gateway.spread.clone();
    running.tasks.spawn(async move { spread.run().await });
    if let Some(broadcaster) = gateway.broadcaster.clone() {
        running.tasks.spawn(gateway.clone().retell());
        let gateway = gateway.clone();
        let listening = async move {
            broadcaster
                .listen(|events| gateway.fleet.take(events))
                .await;
        };
        running.tasks.spawn(listening);
    }
    open(&gateway, &mut running, &callers_open, &others_open)?;
    Ok((gateway, running))
}

fn gateway(
    settings: Settings,
    protocol: Arc<dyn Protocol>,
    logger: slog::Logger,
    local: &LocalDaemon,
    replica: Option<Handle>,
) -> Result<Arc<Gateway>, StartError> {
    let clock = Clock::start();
    let client = Arc::new(Client::new(local.clone()));
    let host = Host {
        id: settings.host(),
        data_centre: settings.data_centre.clone(),
        boot: local.identity.boot.0,
        callers: settings.listen.callers.is_some(),
        control: settings.listen.control.is_some(),
        replica: None,
        stopping: false,
    };
    let port = settings.peer_port;
    let hosts = Hosts::new(clock, client.clone(), port, host, logger.clone());
    let hosts = Arc::new(hosts);
    hosts.set_seeds(settings.seed_hosts());
    let endpoints = Arc::new(Endpoints::new(clock, logger.clone()));
    let meters = Arc::new(Meters::new()?);
    let broadcaster = match settings.listen.callers {
        Some(_) => Some(open_broadcaster(
            &settings, clock, &hosts, &meters, &logger,
        )?),
        None => None,
    };
    let fleet = Fleet::new(fleet::Parts {
        clock,
        endpoints: endpoints.clone(),
        hosts: hosts.clone(),
        broadcaster: broadcaster.clone(),
        retries: settings.retries,
        announcement: Duration::from_millis(settings.announcement_ms),
        number: number(&settings),
        data_centre: settings.data_centre.clone(),
        logger: logger.clone(),
    });
    let in_force = in_force::Store::new(protocol.clone(), logger.clone());
    let in_force = Arc::new(in_force);
    let spread = Spread::new(
        hosts.clone(),
        client.clone(),
        in_force.clone(),
        logger.clone(),
    );
    Ok(Arc::new(Gateway {
        in_force,
        spread: Arc::new(spread),
        protocol,
        clock,
        hosts,
        endpoints,
        fleet: Arc::new(fleet),
        meters,
        drain: Arc::default(),
        logger,
        client,
        traffic: local.counters.clone(),
        broadcaster,
        replica,
        started: clock.now(),
        settings,
        heard_majority: Mutex::new(false),
        background: Mutex::default(),
    }))
}

fn start_replica(
    gateway: &Arc<Gateway>,
    running: &mut Running,
    handle: Handle,
    received: mpsc::UnboundedReceiver<Event>,
) {
    let taker = gateway.clone();
    let parts = replica::Parts {
        settings: gateway.settings.clone(),
        client: gateway.client.clone(),
        hosts: gateway.hosts.clone(),
        take: Box::new(move |record, leads| taker.take_record(record, "log", leads)),
        clock: gateway.clock,
        meters: gateway.meters.clone(),
        logger: gateway.logger.clone(),
    };
    let stop = running.stopped.subscribe();
    running
        .tasks
        .spawn(replica::run(parts, handle, received, stop));
    running.tasks.spawn(gateway.clone().pass_on());
}

fn open(
    gateway: &Arc<Gateway>,
    running: &mut Running,
    callers_open: &watch::Receiver<Phase>,
    others_open: &watch::Receiver<Phase>,
) -> Result<(), StartError> {
    let listeners = gateway.settings.listen.clone();
    if let Some(address) = listeners.callers {
        let listener = listen("callers", address)?;
        let phase = callers_open.clone();
        let serving = callers::serve(gateway.clone(), listener, phase, call::handle);
        running.callers.spawn(serving);
    }
    let mut open = |name, address: Option<SocketAddr>, handler| match address {
        Some(address) => open_other(
            gateway,
            &mut running.others,
            others_open,
            (name, address),
            handler,
        ),
        None => Ok(()),
    };
    open("control", listeners.control, Other::Control)?;
    open("health", listeners.health, Other::Health)?;
    open("metrics", listeners.metrics, Other::Metrics)
}

/// Listeners that callers don't come to.
#[derive(Debug, Clone, Copy)]
enum Other {
    Control,
    Health,
    Metrics,
}

impl Other {
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

fn open_other(
    gateway: &Arc<Gateway>,
    others: &mut JoinSet<()>,
    phase: &watch::Receiver<Phase>,
    (name, address): (&'static str, SocketAddr),
    other: Other,
) -> Result<(), StartError> {
    let listener = listen(name, address)?;
    let handler = move |gateway, request| other.handle(gateway, request);
    others.spawn(callers::serve(
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
    meters: &Arc<Meters>,
    logger: &slog::Logger,
) -> Result<Arc<Broadcaster>, StartError> {
    let address = SocketAddr::new(settings.address, settings.peer_port + 1);
    let opened = Broadcaster::open(
        clock,
        address,
        hosts.clone(),
        meters.clone(),
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

/// A number for this host that no other host has: its IPv4 address.
fn number(settings: &Settings) -> u32 {
    match settings.address {
        std::net::IpAddr::V4(address) => u32::from(address),
        std::net::IpAddr::V6(address) => (u128::from(address) & u128::from(u32::MAX)) as u32,
    }
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
