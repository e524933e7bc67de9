//! Startup and shutdown of one host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use kumquatdrum_consensus::{Incarnation, Node};
use kumquatdrum_daemon::body::Budget;
use kumquatdrum_disk::{Store as _, WriteCallback, Writer};
use kumquatdrum_membership::Member;
use kumquatdrum_operator::Operators;
use kumquatdrum_peer::{Client, Counters, LocalDaemon};
use kumquatdrum_process::{Metrics, monitoring};
use kumquatdrum_setup::Control;
use kumquatdrum_types::{BootId, HostId};
use slog::{error, info};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio_util::task::TaskTracker;

use crate::announce;
use crate::caches;
use crate::context::Context;
use crate::control::{self, Event, Handle, Proxy, Replica};
use crate::frontend::Frontend;
use crate::gauges;
use crate::in_force::Store;
use crate::members::{self, Members};
use crate::orders;
use crate::orphans;
use crate::peers::Inbox;
use crate::settings::Settings;
use crate::web::{self, Server};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_process::random;

mod components;

use components::Components;

/// How long a shutdown waits for unconfirmed cancels and releases.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a replica keeps running after it resigns, to transfer leadership.
const RESIGNATION_TIME: Duration = Duration::from_millis(300);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The reason why a host did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listener could not be opened.
    #[error(transparent)]
    Listen(#[from] web::Error),
    /// The listener for other daemons could not be opened.
    #[error("the peers listener can't be opened on {address}: {reason}")]
    Peers {
        /// The address of the listener.
        address: SocketAddr,
        /// The reason.
        reason: std::io::Error,
    },
    /// The data folder can't be used.
    #[error("the data folder can't be used: {0}")]
    Disk(String),
    /// An HTTP client for endpoints could not be created.
    #[error("the HTTP client can't be created: {0}")]
    Http(String),
    /// The metrics could not be registered.
    #[error("the metrics can't be registered: {0}")]
    Metrics(String),
    /// The operators in the settings are invalid.
    #[error("the settings have findings: {0:?}")]
    Settings(Vec<kumquatdrum_types::Finding>),
}

/// The addresses of a host's listeners.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// The listener for callers.
    pub callers: SocketAddr,
    /// The listener for endpoints.
    pub endpoints: SocketAddr,
    /// The listener for operators.
    pub operators: SocketAddr,
    /// The listener for other daemons.
    pub peers: SocketAddr,
    /// The listener for the platform.
    pub platform: SocketAddr,
}

/// A running host.
pub struct Host {
    /// The addresses of the listeners.
    pub addresses: Addresses,
    context: Arc<Context>,
    client: Arc<Client>,
    replica: Option<Handle>,
    counters: Arc<Counters>,
    stopped: watch::Sender<bool>,
    tasks: JoinSet<()>,
    caller_server: Option<Server>,
    other_servers: Vec<Server>,
}

impl Host {
    /// Starts a host and waits until all listeners are open.
    pub async fn start(settings: Settings, logger: &slog::Logger) -> Result<Self, StartError> {
        let components = Components::new(&settings, logger)?;
        let dependencies = components.members_dependencies();
        let Components {
            clock,
            boot,
            metrics,
            drain,
            in_force,
            routers,
            engine,
            plain,
            canceller,
            reservations,
            local,
            client,
            logger,
        } = components;
        let (stopped, stop) = watch::channel(false);
        let mut tasks = JoinSet::new();
        tasks.spawn(routers.clone().run(stop.clone()));
        tasks.spawn(canceller.clone().run(stop.clone()));
        tasks.spawn(reservations.clone().run(stop.clone()));

        let peers = bind_peers(settings.listen.peers).await?;
        let peers_address = peers.local_addr().unwrap_or(settings.listen.peers);
        let members = Arc::new(build_members(&settings, boot, peers_address, dependencies));
        tasks.spawn(members.clone().run(stop.clone()));
        let replica = match restore_replica(&settings, clock, &members, &metrics, &client, &logger)?
        {
            Some((handle, replica, received)) => {
                tasks.spawn(replica.run(received, stop.clone()));
                Some(handle)
            }
            None => None,
        };
        let proxy: Arc<dyn Control> = Arc::new(Proxy::new(
            settings.host.clone(),
            settings.replicas.clone(),
            replica.clone(),
            client.clone(),
            in_force.clone(),
            members.clone(),
        ));
        let quota = Arc::new(components::build_quota(
            &settings, boot, clock, &client, &in_force, &members,
        ));
        tasks.spawn(quota.clone().run(stop.clone()));
        let exchanger =
            components::build_exchanger(&settings, boot, clock, &client, &members, &logger);
        let quarantine = exchanger.store.clone();
        tasks.spawn(exchanger.clone().run(stop.clone()));
        let inbox = Arc::new(Inbox {
            replica: replica.clone(),
            exchanger,
            quota: quota.clone(),
            members: members.clone(),
            logger: logger.clone(),
        });
        let counters = local.counters.clone();
        tasks.spawn(serve_peers(peers, inbox, local, stop.clone()));

        let context = Arc::new(Context {
            boot,
            clock,
            metrics,
            drain,
            in_force,
            routers,
            engine,
            plain,
            canceller,
            reservations,
            control: proxy,
            quota,
            members: members.clone(),
            quarantine,
            body_budget: Budget::new(settings.limits.held_body_bytes),
            requests: TaskTracker::new(),
            request_count: AtomicU64::new(0),
            logger,
            settings,
        });
        tasks.spawn(gauges::run(context.clone(), counters.clone(), stop.clone()));
        spawn_engine_tasks(&mut tasks, &context, &members, replica.clone(), &stop);
        let (caller_server, other_servers) = open_listeners(&context, &members).await?;
        let addresses = list_addresses(&caller_server, &other_servers, peers_address);
        log_start(&context.logger, &addresses);
        Ok(Self {
            addresses,
            context,
            client,
            replica,
            counters,
            stopped,
            tasks,
            caller_server: Some(caller_server),
            other_servers,
        })
    }

    /// Returns the host's name.
    pub fn name(&self) -> &HostId {
        &self.context.settings.host
    }

    /// Sets the address of another host.
    pub fn set_peer_address(&self, host: &HostId, address: SocketAddr) {
        if host != self.name() {
            self.client.set_address(host, address);
        }
    }

    /// Returns the control plane as seen from this host.
    pub fn control(&self) -> &Arc<dyn Control> {
        &self.context.control
    }

    /// Returns the declaration in force on this host.
    pub fn in_force(&self) -> &Arc<Store> {
        &self.context.in_force
    }

    /// Returns the message and byte counters of the peer channels.
    pub fn traffic(&self) -> &Counters {
        &self.counters
    }

    /// Stops the host as a crash would, without drain or transfer of leadership.
    pub async fn kill(mut self) {
        self.stopped.send_replace(true);
        self.tasks.abort_all();
        while self.tasks.join_next().await.is_some() {}
        for server in self
            .caller_server
            .take()
            .into_iter()
            .chain(std::mem::take(&mut self.other_servers))
        {
            server.kill().await;
        }
        self.client.shutdown().await;
    }

    /// Returns the number of body bytes that this host holds.
    pub fn body_bytes(&self) -> u64 {
        self.context.body_budget.used()
    }

    /// Returns the host's metrics.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.context.metrics
    }

    /// Stops gracefully: readiness turns false, new requests are served for a while, requests in
    /// flight run to their end, then all tasks are joined.
    pub async fn stop(mut self) {
        let drain = &self.context.settings.drain;
        info!(self.context.logger, ""; "event" => "draining", "under_way" => self.context.drain.in_flight());
        self.context.drain.begin();
        tokio::time::sleep(Duration::from_millis(drain.notice_ms)).await;
        let drain_timeout = Duration::from_millis(drain.longest_ms);
        let _ = tokio::time::timeout(drain_timeout, self.context.drain.wait_until_idle()).await;
        if let Some(server) = self.caller_server.take() {
            server.stop().await;
        }
        let _ = tokio::time::timeout(CANCEL_TIMEOUT, self.wait_for_cancels_and_releases()).await;
        self.context.requests.close();
        self.context.requests.wait().await;
        for server in std::mem::take(&mut self.other_servers) {
            server.stop().await;
        }
        if let Some(replica) = &self.replica {
            replica.resign();
            tokio::time::sleep(RESIGNATION_TIME).await;
        }
        self.stopped.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
        self.client.shutdown().await;
        info!(self.context.logger, ""; "event" => "stopped");
    }

    async fn wait_for_cancels_and_releases(&self) {
        while !(self.context.canceller.is_idle() && self.context.reservations.is_idle()) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

fn list_addresses(callers: &Server, others: &[Server], peers: SocketAddr) -> Addresses {
    Addresses {
        callers: callers.address,
        endpoints: others[0].address,
        operators: others[1].address,
        platform: others[2].address,
        peers,
    }
}

fn log_start(logger: &slog::Logger, addresses: &Addresses) {
    info!(logger, ""; "event" => "started", "callers" => %addresses.callers,
        "endpoints" => %addresses.endpoints, "operators" => %addresses.operators,
        "peers" => %addresses.peers, "platform" => %addresses.platform);
}

/// Spawns the tasks that poll and reconcile engines.
fn spawn_engine_tasks(
    tasks: &mut JoinSet<()>,
    context: &Arc<Context>,
    members: &Arc<Members>,
    replica: Option<Handle>,
    stop: &watch::Receiver<bool>,
) {
    let (context, members) = (context.clone(), members.clone());
    tasks.spawn(caches::run(context.clone(), stop.clone()));
    tasks.spawn(orphans::run(context.clone(), members.clone(), stop.clone()));
    tasks.spawn(orders::run(context, members, replica, stop.clone()));
}

async fn bind_peers(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|reason| StartError::Peers { address, reason })
}

fn build_members(
    settings: &Settings,
    boot: BootId,
    address: SocketAddr,
    dependencies: members::Dependencies,
) -> Members {
    let local = Member {
        host: settings.host.clone(),
        data_centre: settings.data_centre.clone(),
        address,
        boot,
    };
    let others = settings.hosts.iter().map(|host| Member {
        host: host.host.clone(),
        data_centre: host.data_centre.clone(),
        address: host.address,
        boot: BootId(0),
    });
    Members::new(
        local,
        others.collect(),
        settings.replicas.clone(),
        dependencies,
    )
}

async fn open_listeners(
    context: &Arc<Context>,
    members: &Arc<Members>,
) -> Result<(Server, Vec<Server>), StartError> {
    let listen = &context.settings.listen;
    let operators: Vec<_> = context
        .settings
        .operators
        .iter()
        .map(convert_operator)
        .collect();
    let operator_context = kumquatdrum_operator::Context {
        control: context.control.clone(),
        operators: Operators::new("/operators", &operators).map_err(StartError::Settings)?,
        logger: context.logger.clone(),
    };
    let endpoints = web::build(listen.endpoints)
        .manage(context.clone())
        .manage(members.clone())
        .mount("/", announce::routes());
    let operators = web::build(listen.operators)
        .manage(operator_context)
        .mount("/", kumquatdrum_operator::routes());
    let platform = web::build(listen.platform)
        .manage(context.drain.clone())
        .manage(context.metrics.clone())
        .mount("/", monitoring::routes());
    let frontend = Arc::new(Frontend::new(context.clone()));
    let callers =
        web::build(listen.callers).mount("/", kumquatdrum_caller::routes::all(frontend.clone()));
    let others = vec![
        web::launch("endpoints", listen.endpoints, endpoints).await?,
        web::launch("operators", listen.operators, operators).await?,
        web::launch("platform", listen.platform, platform).await?,
    ];
    let callers = web::launch("callers", listen.callers, callers).await?;
    frontend.set_port(callers.address.port());
    Ok((callers, others))
}

fn convert_operator(operator: &crate::settings::Operator) -> kumquatdrum_operator::Operator {
    kumquatdrum_operator::Operator {
        name: operator.name.clone(),
        sha256: operator.sha256.clone(),
    }
}

async fn serve_peers(
    listener: TcpListener,
    inbox: Arc<Inbox>,
    local: LocalDaemon,
    mut stop: watch::Receiver<bool>,
) {
    let logger = local.logger.clone();
    let stopped = async move {
        let _ = stop.wait_for(|stopped| *stopped).await;
    };
    if let Err(reason) = kumquatdrum_peer::serve(listener, inbox, local, stopped).await {
        error!(logger, ""; "event" => "peers_not_served", "reason" => %reason);
    }
}

/// A replica with its handle and the receiver of its events.
type RestoredReplica = (Handle, Replica, mpsc::UnboundedReceiver<Event>);

/// Restores the replica of a host with a data folder.
fn restore_replica(
    settings: &Settings,
    clock: Clock,
    members: &Arc<Members>,
    metrics: &Arc<Metrics>,
    client: &Arc<Client>,
    logger: &slog::Logger,
) -> Result<Option<RestoredReplica>, StartError> {
    let Some(folder) = &settings.data else {
        return Ok(None);
    };
    let disk_error = |error: &dyn std::fmt::Display| StartError::Disk(error.to_string());
    let store =
        kumquatdrum_disk::Folder::open(folder, &settings.host, Incarnation(random::number()));
    let store = store.map_err(|error| disk_error(&error))?;
    let stored = store.load().map_err(|error| disk_error(&error))?;
    let member = kumquatdrum_consensus::Member {
        id: store.identity().replica(),
        data_centre: settings.data_centre.clone(),
    };
    let mut node_settings = kumquatdrum_consensus::Settings::new(member);
    node_settings.initial_hosts.clone_from(&settings.replicas);
    let (handle, events, received) = Handle::new();
    let report: WriteCallback = Box::new(move |written| events.send(Event::from(written)).is_ok());
    let dependencies = control::Dependencies {
        node: Node::new(node_settings, stored, clock.now(), random::number()),
        writer: Writer::start(Box::new(store), report).map_err(|error| disk_error(&error))?,
        client: client.clone(),
        members: members.clone(),
        clock,
        logger: logger.clone(),
        metrics: metrics.clone(),
    };
    Ok(Some((handle, Replica::new(dependencies), received)))
}
