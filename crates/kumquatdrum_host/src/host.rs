//! Starting and stopping one host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use kumquatdrum_consensus::{Incarnation, Node};
use kumquatdrum_daemon::body::Budget;
use kumquatdrum_disk::{Callback, Store as _, Writer};
use kumquatdrum_membership::Member;
use kumquatdrum_operator::{Context, Operators};
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
use crate::control::{Event, Handle, Link, Machine, Parts};
use crate::frontend::Frontend;
use crate::gauges;
use crate::in_force::Store;
use crate::members::{self, Members};
use crate::orders;
use crate::orphans;
use crate::peers::Inbox;
use crate::quota::{self, Quota};
use crate::settings::Settings;
use crate::shell::Shell;
use crate::web::{self, Web};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_process::random;

mod base;

use base::Base;

/// How long cancels may take to be confirmed at the end of a shutdown.
const LAST_CANCELS: Duration = Duration::from_secs(2);
/// How long a resigned replica stays to tell its successor.
const HANDOVER: Duration = Duration::from_millis(300);
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Why a host did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listener could not be opened.
    #[error(transparent)]
    Listen(#[from] web::Failed),
    /// The listener for other daemons could not be opened.
    #[error("the peers listener can't be opened on {address}: {reason}")]
    Peers {
        /// Where.
        address: SocketAddr,
        /// Why.
        reason: std::io::Error,
    },
    /// The data folder can't be used.
    #[error("the data folder can't be used: {0}")]
    Disk(String),
    /// A client for endpoints could not be made.
    #[error("no HTTP client: {0}")]
    Http(String),
    /// The metrics clash.
    #[error("the metrics can't be registered: {0}")]
    Metrics(String),
    /// The operators in the settings are wrong.
    #[error("the settings have findings: {0:?}")]
    Settings(Vec<kumquatdrum_types::Finding>),
}

/// Where a host listens, once it does.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For endpoints.
    pub endpoints: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For the platform.
    pub platform: SocketAddr,
}

/// A running host.
pub struct Host {
    /// Where it listens.
    pub addresses: Addresses,
    shell: Arc<Shell>,
    client: Arc<Client>,
    replica: Option<Handle>,
    counters: Arc<Counters>,
    stopped: watch::Sender<bool>,
    tasks: JoinSet<()>,
    callers: Option<Web>,
    others: Vec<Web>,
}

impl Host {
    /// Starts a host and waits until it listens everywhere.
    pub async fn start(settings: Settings, logger: &slog::Logger) -> Result<Self, StartError> {
        let base = Base::new(&settings, logger)?;
        let parts = base.members_parts();
        let Base {
            clock,
            boot,
            metrics,
            drain,
            in_force,
            fleet,
            engine,
            plain,
            canceller,
            gangs,
            local,
            client,
            logger,
        } = base;
        let (stopped, stop) = watch::channel(false);
        let mut tasks = JoinSet::new();
        tasks.spawn(fleet.clone().run(stop.clone()));
        tasks.spawn(canceller.clone().run(stop.clone()));
        tasks.spawn(gangs.clone().run(stop.clone()));

        let peers = listen(settings.listen.peers).await?;
        let peers_address = peers.local_addr().unwrap_or(settings.listen.peers);
        let members = Arc::new(members(&settings, boot, peers_address, parts));
        tasks.spawn(members.clone().run(stop.clone()));
        let replica = match start_replica(&settings, clock, &members, &metrics, &client, &logger)? {
            Some((handle, machine, received)) => {
                tasks.spawn(machine.run(received, stop.clone()));
                Some(handle)
            }
            None => None,
        };
        let link: Arc<dyn Control> = Arc::new(Link::new(
            settings.host.clone(),
            settings.replicas.clone(),
            replica.clone(),
            client.clone(),
            in_force.clone(),
            members.clone(),
        ));
        let quota = Arc::new(quota(&settings, boot, clock, &client, &in_force, &members));
        tasks.spawn(quota.clone().run(stop.clone()));
        let inbox = Arc::new(Inbox {
            replica: replica.clone(),
            quota: quota.clone(),
            members: members.clone(),
            logger: logger.clone(),
        });
        let counters = local.counters.clone();
        tasks.spawn(serve_peers(peers, inbox, local, stop.clone()));

        let shell = Arc::new(Shell {
            boot,
            clock,
            metrics,
            drain,
            in_force,
            fleet,
            engine,
            plain,
            canceller,
            gangs,
            control: link,
            quota,
            members: members.clone(),
            bodies: Budget::new(settings.limits.held_body_bytes),
            requests: TaskTracker::new(),
            names: AtomicU64::new(0),
            logger,
            settings,
        });
        tasks.spawn(gauges::run(shell.clone(), counters.clone(), stop.clone()));
        spawn_rounds(&mut tasks, &shell, &members, replica.clone(), &stop);
        let (callers, others) = open(&shell, &members).await?;
        let addresses = Addresses {
            callers: callers.address,
            endpoints: others[0].address,
            operators: others[1].address,
            platform: others[2].address,
            peers: peers_address,
        };
        info!(shell.logger, ""; "event" => "started", "callers" => %addresses.callers,
            "endpoints" => %addresses.endpoints, "operators" => %addresses.operators,
            "peers" => %addresses.peers, "platform" => %addresses.platform);
        Ok(Self {
            addresses,
            shell,
            client,
            replica,
            counters,
            stopped,
            tasks,
            callers: Some(callers),
            others,
        })
    }

    /// The host's name.
    pub fn name(&self) -> &HostId {
        &self.shell.settings.host
    }

    /// Makes another host's address known.
    pub fn introduce(&self, host: &HostId, address: SocketAddr) {
        if host != self.name() {
            self.client.set_address(host, address);
        }
    }

    /// The control plane as this host reaches it.
    pub fn control(&self) -> &Arc<dyn Control> {
        &self.shell.control
    }

    /// The declaration in force on this host.
    pub fn in_force(&self) -> &Arc<Store> {
        &self.shell.in_force
    }

    /// What passed between this host and others, by channel.
    pub fn traffic(&self) -> &Counters {
        &self.counters
    }

    /// Ends the host as a crash would: nothing is drained, handed over or told.
    pub async fn kill(mut self) {
        self.stopped.send_replace(true);
        self.tasks.abort_all();
        while self.tasks.join_next().await.is_some() {}
        for web in self
            .callers
            .take()
            .into_iter()
            .chain(std::mem::take(&mut self.others))
        {
            web.kill().await;
        }
        self.client.shutdown().await;
    }

    /// Bytes of request bodies that this host holds.
    pub fn body_bytes(&self) -> u64 {
        self.shell.bodies.used()
    }

    /// What this host has counted.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.shell.metrics
    }

    /// Stops without cutting off a request: the health turns red, new requests are served for a
    /// while, those under way run to their ends, then everything that was spawned is joined.
    pub async fn stop(mut self) {
        let drain = &self.shell.settings.drain;
        info!(self.shell.logger, ""; "event" => "draining", "under_way" => self.shell.drain.under_way());
        self.shell.drain.begin();
        tokio::time::sleep(Duration::from_millis(drain.notice_ms)).await;
        let longest = Duration::from_millis(drain.longest_ms);
        let _ = tokio::time::timeout(longest, self.shell.drain.wait_until_idle()).await;
        if let Some(callers) = self.callers.take() {
            callers.stop().await;
        }
        let _ = tokio::time::timeout(LAST_CANCELS, self.cancels_confirmed()).await;
        self.shell.requests.close();
        self.shell.requests.wait().await;
        for web in std::mem::take(&mut self.others) {
            web.stop().await;
        }
        if let Some(replica) = &self.replica {
            replica.resign();
            tokio::time::sleep(HANDOVER).await;
        }
        self.stopped.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
        self.client.shutdown().await;
        info!(self.shell.logger, ""; "event" => "stopped");
    }

    async fn cancels_confirmed(&self) {
        while !(self.shell.canceller.is_idle() && self.shell.gangs.is_idle()) {
            tokio::time::sleep(LOOK_AGAIN).await;
        }
    }
}

fn quota(
    settings: &Settings,
    boot: BootId,
    clock: Clock,
    client: &Arc<Client>,
    in_force: &Arc<Store>,
    members: &Arc<Members>,
) -> Quota {
    Quota::new(quota::Parts {
        host: settings.host.clone(),
        boot,
        hosts: settings.hosts.len() + 1,
        longest_request: Duration::from_millis(settings.drain.longest_ms),
        clock,
        client: client.clone(),
        in_force: in_force.clone(),
        members: members.clone(),
    })
}

/// Spawns what watches and mends engines in rounds.
fn spawn_rounds(
    tasks: &mut JoinSet<()>,
    shell: &Arc<Shell>,
    members: &Arc<Members>,
    replica: Option<Handle>,
    stop: &watch::Receiver<bool>,
) {
    let (shell, members) = (shell.clone(), members.clone());
    tasks.spawn(caches::run(shell.clone(), stop.clone()));
    tasks.spawn(orphans::run(shell.clone(), members.clone(), stop.clone()));
    tasks.spawn(orders::run(shell, members, replica, stop.clone()));
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|reason| StartError::Peers { address, reason })
}

fn members(
    settings: &Settings,
    boot: BootId,
    address: SocketAddr,
    parts: members::Parts,
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
    Members::new(local, others.collect(), settings.replicas.clone(), parts)
}

async fn open(shell: &Arc<Shell>, members: &Arc<Members>) -> Result<(Web, Vec<Web>), StartError> {
    let listen = &shell.settings.listen;
    let operators: Vec<_> = shell.settings.operators.iter().map(operator).collect();
    let context = Context {
        control: shell.control.clone(),
        operators: Operators::new("/operators", &operators).map_err(StartError::Settings)?,
        logger: shell.logger.clone(),
    };
    let endpoints = web::build(listen.endpoints)
        .manage(shell.clone())
        .manage(members.clone())
        .mount("/", announce::all());
    let operators = web::build(listen.operators)
        .manage(context)
        .mount("/", kumquatdrum_operator::routes());
    let platform = web::build(listen.platform)
        .manage(shell.drain.clone())
        .manage(shell.metrics.clone())
        .mount("/", monitoring::routes());
    let frontend = Arc::new(Frontend::new(shell.clone()));
    let callers =
        web::build(listen.callers).mount("/", kumquatdrum_caller::routes::all(frontend.clone()));
    let others = vec![
        web::launch("endpoints", listen.endpoints, endpoints).await?,
        web::launch("operators", listen.operators, operators).await?,
        web::launch("platform", listen.platform, platform).await?,
    ];
    let callers = web::launch("callers", listen.callers, callers).await?;
    frontend.opened(callers.address.port());
    Ok((callers, others))
}

fn operator(operator: &crate::settings::Operator) -> kumquatdrum_operator::Operator {
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

type Replica = (Handle, Machine, mpsc::UnboundedReceiver<Event>);

/// The replica of a host with a data folder.
fn start_replica(
    settings: &Settings,
    clock: Clock,
    members: &Arc<Members>,
    metrics: &Arc<Metrics>,
    client: &Arc<Client>,
    logger: &slog::Logger,
) -> Result<Option<Replica>, StartError> {
    let Some(folder) = &settings.data else {
        return Ok(None);
    };
    let disk = |error: &dyn std::fmt::Display| StartError::Disk(error.to_string());
    let store =
        kumquatdrum_disk::Folder::open(folder, &settings.host, Incarnation(random::number()));
    let store = store.map_err(|error| disk(&error))?;
    let stored = store.load().map_err(|error| disk(&error))?;
    let member = kumquatdrum_consensus::Member {
        id: store.identity().replica(),
        data_centre: settings.data_centre.clone(),
    };
    let mut node = kumquatdrum_consensus::Settings::new(member);
    node.initial_hosts.clone_from(&settings.replicas);
    let (handle, events, received) = Handle::new();
    let report: Callback = Box::new(move |written| events.send(Event::from(written)).is_ok());
    let parts = Parts {
        node: Node::new(node, stored, clock.now(), random::number()),
        writer: Writer::start(Box::new(store), report).map_err(|error| disk(&error))?,
        client: client.clone(),
        members: members.clone(),
        clock,
        logger: logger.clone(),
        metrics: metrics.clone(),
    };
    Ok(Some((handle, Machine::new(parts), received)))
}
