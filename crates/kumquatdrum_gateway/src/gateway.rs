//! One gateway host: its parts, its rounds, its start and its stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kumquatdrum_consensus::Message;
use kumquatdrum_peer::{Channel, Client, Counters, Identity, Local, Secret};
use kumquatdrum_process::Drain;
use kumquatdrum_process::clock::{Clock, unix_ms};
use kumquatdrum_registry::Update;
use kumquatdrum_routes::{Limits, Record};
use kumquatdrum_types::{BootId, HostId, Moment};
use parking_lot::Mutex;
use slog::{error, info, o};
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep, timeout};

use crate::callers::{self, Phase};
use crate::endpoints::Endpoints;
use crate::fleet::{self, Fleet};
use crate::hosts::Hosts;
use crate::inbox::Inbox;
use crate::message::{Answer, Host, Notice, Question};
use crate::meters::Meters;
use crate::replica::{self, Ask, Handle};
use crate::tell::Teller;
use crate::{Protocol, Settings, call, control, health, in_force, settings, sockets};

/// How often hosts greet the control hosts: a host that was cut off knows what is in force within
/// half a second of its return.
const GREETING: Duration = Duration::from_millis(500);
/// How often a host greets that knows nothing yet.
const FIRST_GREETING: Duration = Duration::from_millis(100);
/// How long a request waits for what is in force: an election and a greeting.
const INFORMED: Duration = Duration::from_millis(2_000);
/// The share of a caller's patience that it may wait so.
const INFORMED_SHARE: f64 = 0.4;
/// How long a greeting may take.
const GREETING_LIMIT: Duration = Duration::from_millis(700);
/// How often a control host passes on what endpoints have said.
const ROUND: Duration = Duration::from_millis(1_000);
/// How often a host tells of all its jobs: one that starts knows them before it takes callers.
const RETELLING: Duration = Duration::from_millis(500);
/// How long a host that starts waits for a majority of the control hosts before it goes by what
/// it was told by any.
const CERTAINTY: Duration = Duration::from_secs(3);
/// How often the settings file is looked at for a change without a signal.
const RELOAD: Duration = Duration::from_millis(1_000);
/// How long a host that stops still accepts: the balancer needs two misses, a second apart.
const LAST_CALLS: Duration = Duration::from_millis(2_600);
/// What is left of the time for a stop when the last requests are cut.
const LAST_MOMENT: Duration = Duration::from_millis(300);
/// How long a leader gives its successor before it ends.
const HANDOVER: Duration = Duration::from_millis(300);

/// A reservation's lease, as a share of the time that memory may lie unused. The rest is for an
/// order that is on its way while the lease ends.
const RESERVATION: f64 = 0.8;

/// Why a host did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listener can't be opened.
    #[error("the {name} listener can't be opened on {address}: {reason}")]
    Listen {
        /// Which listener.
        name: &'static str,
        /// Its address.
        address: SocketAddr,
        /// What the system said.
        reason: std::io::Error,
    },
    /// The metrics can't be registered.
    #[error("the metrics can't be registered: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// The settings file, and the signal that says that it has changed.
#[derive(Debug)]
pub struct File {
    /// Where it is.
    pub path: PathBuf,
    /// The signal.
    pub changed: Signal,
}

/// One gateway host.
pub struct Gateway {
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) clock: Clock,
    pub(crate) hosts: Arc<Hosts>,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) in_force: Arc<in_force::Store>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) meters: Arc<Meters>,
    pub(crate) drain: Arc<Drain>,
    pub(crate) logger: slog::Logger,
    client: Arc<Client>,
    teller: Option<Arc<Teller>>,
    replica: Option<Handle>,
    settings: Settings,
    started: Moment,
    heard_majority: Mutex<bool>,
    background: Mutex<JoinSet<()>>,
}

impl Gateway {
    /// Runs a host until `stop` resolves, then shuts it down gracefully.
    pub async fn run(
        settings: Settings,
        file: Option<File>,
        protocol: Arc<dyn Protocol>,
        logger: &slog::Logger,
        stop: impl Future<Output = ()>,
    ) -> Result<(), StartError> {
        let logger = logger.new(o!("host" => settings.name.clone()));
        let stop_limit = Duration::from_millis(settings.stop_ms);
        let (gateway, mut running) = start(settings, protocol, logger)?;
        if let Some(file) = file {
            running.tasks.spawn(reload(gateway.clone(), file));
        }
        info!(gateway.logger, "started"; "event" => "started",
            "address" => %gateway.settings.address, "replica" => gateway.replica.is_some());
        stop.await;
        running.stop(&gateway, stop_limit).await;
        info!(gateway.logger, "stopped"; "event" => "stopped");
        Ok(())
    }

    /// What callers may send.
    pub(crate) fn limits(&self) -> Limits {
        let current = self.in_force.current();
        current.map_or_else(Limits::default, |in_force| in_force.table.setup().limits)
    }

    /// Runs something that outlives its request.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut background = self.background.lock();
        while background.try_join_next().is_some() {}
        background.spawn(task);
    }

    /// How long a reservation lasts that is not renewed.
    pub(crate) fn reservation_time(&self) -> Duration {
        Duration::from_millis(self.settings.unused_memory_ms).mul_f64(RESERVATION)
    }

    /// Waits, on a host that has just started, until it knows what is in force. A caller whose
    /// first host was lost has no further try than this one.
    pub(crate) async fn informed(&self, patience: Option<Duration>) {
        let share = patience.map_or(INFORMED, |patience| patience.mul_f64(INFORMED_SHARE));
        let until = self.clock.now() + share.min(INFORMED);
        while self.lacks_record() && self.clock.now() < until {
            sleep(FIRST_GREETING / 4).await;
        }
    }

    /// Whether this host takes callers.
    pub(crate) fn is_ready(&self) -> bool {
        let is_certain = *self.heard_majority.lock() || self.clock.now() - self.started > CERTAINTY;
        !self.drain.is_draining() && is_certain && self.in_force.current().is_some()
    }

    /// Sets the gauges.
    pub(crate) fn measure(&self) {
        let revision = i64::try_from(self.in_force.revision()).unwrap_or(i64::MAX);
        self.meters.revision.set(revision);
        self.meters.hosts.set(self.hosts.live().len() as i64);
        self.meters.under_way.set(self.drain.under_way());
    }

    /// Asks another host; nothing where it does not answer in time.
    pub(crate) async fn ask(
        &self,
        host: &HostId,
        channel: Channel,
        question: &Question,
        limit: Duration,
    ) -> Option<Answer> {
        let body = match postcard::to_stdvec(question) {
            Ok(body) => Bytes::from(body),
            Err(error) => {
                error!(self.logger, "question_not_encoded"; "event" => "question_not_encoded",
                    "reason" => %error);
                return None;
            }
        };
        // Whether a host answers is logged where it turns from one to the other.
        let answer = self.client.ask(host, channel, body, limit).await.ok()?;
        postcard::from_bytes(&answer).ok()
    }

    /// Asks this host's replica.
    pub(crate) async fn ask_replica(&self, ask: Ask) -> Answer {
        match &self.replica {
            Some(replica) => replica.ask(ask).await,
            None => Answer::NotLeader(None),
        }
    }

    /// A message for this host's replica.
    pub(crate) fn replica_message(&self, message: Message) {
        if let Some(replica) = &self.replica {
            replica.message(message);
        }
    }

    /// Another host tells of a committed record.
    pub(crate) fn take_record(&self, record: &Record, from: &str) {
        if self.in_force.take(record, from).is_some() {
            self.configured();
        }
    }

    fn configured(&self) {
        if let Some(in_force) = self.in_force.current() {
            self.fleet.configure(in_force.table.setup());
        }
    }

    /// Another host tells of endpoints.
    pub(crate) fn take_endpoints(&self, updates: Vec<Update>, from: &str) {
        if self.endpoints.merge(updates, from) {
            self.endpoints_changed();
        }
    }

    /// What is known of endpoints has changed.
    pub(crate) fn endpoints_changed(&self) {
        self.fleet.refresh();
    }

    /// Tells all hosts of endpoints.
    pub(crate) fn push_endpoints(&self, updates: Vec<Update>) {
        if updates.is_empty() {
            return;
        }
        match postcard::to_stdvec(&Notice::Endpoints(updates)) {
            Ok(bytes) => {
                let bytes = Bytes::from(bytes);
                for host in self.hosts.live() {
                    let channel = Channel::Membership;
                    self.client.send(&host.id, channel, bytes.clone());
                }
            }
            Err(error) => error!(self.logger, "notice_not_encoded";
                "event" => "notice_not_encoded", "reason" => %error),
        }
    }

    /// Answers a greeting, and sends what the other host lacks.
    pub(crate) fn welcome(&self, host: Host, revision: u64, is_new: bool) -> Answer {
        let id = host.id.clone();
        self.hosts.heard(host);
        let current = self.in_force.current();
        let newer = current.filter(|in_force| in_force.record.revision > revision);
        if let Some(in_force) = newer {
            self.send_record(&id, &in_force.record);
        }
        Answer::Welcome {
            host: self.hosts.local(),
            hosts: self.hosts.sightings(),
            revision: self.in_force.revision(),
            endpoints: match is_new {
                true => self.endpoints.all(),
                false => Vec::new(),
            },
        }
    }

    fn send_record(&self, host: &HostId, record: &Record) {
        match postcard::to_stdvec(&Notice::Record(record.clone())) {
            Ok(bytes) => self.client.send(host, Channel::Setup, bytes.into()),
            Err(error) => error!(self.logger, "notice_not_encoded";
                "event" => "notice_not_encoded", "reason" => %error),
        }
    }

    async fn greet(self: Arc<Self>) {
        let mut is_new = true;
        loop {
            let mut greetings = JoinSet::new();
            for host in self.hosts.greeted() {
                let gateway = self.clone();
                let question = Question::Hello {
                    host: self.hosts.local(),
                    revision: self.in_force.revision(),
                    is_new,
                };
                greetings.spawn(async move {
                    let channel = Channel::Membership;
                    let answer = gateway.ask(&host, channel, &question, GREETING_LIMIT);
                    match answer.await {
                        Some(answer) => gateway.welcomed(answer),
                        None => false,
                    }
                });
            }
            while let Some(welcomed) = greetings.join_next().await {
                is_new &= !welcomed.unwrap_or(false);
                if self.hosts.hears_majority() && !self.lacks_record() {
                    *self.heard_majority.lock() = true;
                }
            }
            self.hosts.sweep();
            self.fleet.refresh();
            let pause = if is_new || self.lacks_record() {
                FIRST_GREETING
            } else {
                GREETING
            };
            sleep(pause).await;
        }
    }

    fn lacks_record(&self) -> bool {
        self.in_force.current().is_none()
    }

    /// Takes the answer to a greeting; returns whether it was one.
    fn welcomed(&self, answer: Answer) -> bool {
        let Answer::Welcome {
            host,
            hosts,
            revision,
            endpoints,
        } = answer
        else {
            return false;
        };
        let id = host.id.clone();
        self.hosts.heard(host);
        self.hosts.merge(hosts);
        let current = self.in_force.current();
        let newer = current.filter(|in_force| in_force.record.revision > revision);
        if let (Some(in_force), Some(_)) = (newer, &self.replica) {
            self.send_record(&id, &in_force.record);
        }
        self.take_endpoints(endpoints, id.as_str());
        true
    }

    async fn retell(self: Arc<Self>) {
        let mut rounds = interval(RETELLING);
        loop {
            rounds.tick().await;
            self.fleet.retell();
        }
    }

    async fn pass_on(self: Arc<Self>) {
        let mut rounds = interval(ROUND);
        loop {
            rounds.tick().await;
            let updates = self.endpoints.round();
            self.push_endpoints(updates);
        }
    }
}

struct Running {
    tasks: JoinSet<()>,
    callers: JoinSet<()>,
    others: JoinSet<()>,
    phase: watch::Sender<Phase>,
    others_phase: watch::Sender<Phase>,
    stopped: watch::Sender<bool>,
}

fn start(
    settings: Settings,
    protocol: Arc<dyn Protocol>,
    logger: slog::Logger,
) -> Result<(Arc<Gateway>, Running), StartError> {
    let clock = Clock::start();
    let boot = BootId(unix_ms());
    let meters = Arc::new(Meters::new()?);
    let counters = Arc::new(Counters::default());
    let local = Local {
        cluster: settings.cluster.name.clone(),
        secret: Secret::new(&settings.cluster.secret),
        identity: Identity {
            host: settings.host(),
            boot,
        },
        counters,
        logger: logger.clone(),
    };
    let client = Arc::new(Client::new(local.clone()));
    let host = Host {
        id: settings.host(),
        data_centre: settings.data_centre.clone(),
        boot: boot.0,
        callers: settings.listen.callers.is_some(),
        control: settings.listen.control.is_some(),
        replica: None,
        stopping: false,
    };
    let hosts = Hosts::new(
        clock,
        client.clone(),
        settings.peer_port,
        host,
        logger.clone(),
    );
    let hosts = Arc::new(hosts);
    hosts.set_seeds(&settings.seeds);
    let endpoints = Arc::new(Endpoints::new(clock, logger.clone()));
    let in_force = Arc::new(in_force::Store::new(protocol.clone(), logger.clone()));
    let teller = match settings.listen.callers {
        Some(_) => Some(open_teller(&settings, &hosts, &logger)?),
        None => None,
    };
    let fleet = Arc::new(Fleet::new(fleet::Parts {
        clock,
        endpoints: endpoints.clone(),
        hosts: hosts.clone(),
        teller: teller.clone(),
        retries: settings.retries,
        announcement: Duration::from_millis(settings.announcement_ms),
        number: number(&settings),
        logger: logger.clone(),
    }));
    let replica = settings.replica.as_ref().map(|_| Handle::new());
    let gateway = Arc::new(Gateway {
        protocol,
        clock,
        hosts: hosts.clone(),
        endpoints,
        in_force: in_force.clone(),
        fleet: fleet.clone(),
        meters: meters.clone(),
        drain: Arc::default(),
        logger: logger.clone(),
        client: client.clone(),
        teller,
        replica: replica.as_ref().map(|(handle, _)| handle.clone()),
        settings: settings.clone(),
        started: clock.now(),
        heard_majority: Mutex::new(false),
        background: Mutex::default(),
    });
    let (phase, callers_phase) = watch::channel(Phase::Open);
    let (others_phase, others_open) = watch::channel(Phase::Open);
    let (stopped, stop) = watch::channel(false);
    let mut tasks = JoinSet::new();
    let mut callers = JoinSet::new();
    let mut others = JoinSet::new();
    let peers = SocketAddr::new(settings.address, settings.peer_port);
    let listener = listen("peers", peers)?;
    tasks.spawn(serve_peers(listener, gateway.clone(), local, stop.clone()));
    if let Some((handle, received)) = replica {
        let parts = replica::Parts {
            settings: settings.clone(),
            client,
            hosts,
            in_force: in_force.clone(),
            applied: Box::new(move || {
                if let Some(in_force) = in_force.current() {
                    fleet.configure(in_force.table.setup());
                }
            }),
            clock,
            meters,
            logger,
        };
        tasks.spawn(replica::run(parts, handle, received, stop));
        tasks.spawn(gateway.clone().pass_on());
    }
    tasks.spawn(gateway.clone().greet());
    if let Some(teller) = gateway.teller.clone() {
        tasks.spawn(gateway.clone().retell());
        let gateway = gateway.clone();
        tasks.spawn(async move { teller.listen(|event| gateway.fleet.take(event)).await });
    }
    if let Some(address) = settings.listen.callers {
        let listener = listen("callers", address)?;
        let serving = callers::serve(gateway.clone(), listener, callers_phase, call::handle);
        callers.spawn(serving);
    }
    if let Some(address) = settings.listen.control {
        let listener = listen("control", address)?;
        let phase = others_open.clone();
        let serving = callers::serve(gateway.clone(), listener, phase, control::handle);
        others.spawn(serving);
    }
    if let Some(address) = settings.listen.health {
        let listener = listen("health", address)?;
        let phase = others_open.clone();
        let serving = callers::serve(gateway.clone(), listener, phase, health::handle);
        others.spawn(serving);
    }
    if let Some(address) = settings.listen.metrics {
        let listener = listen("metrics", address)?;
        let serving = callers::serve(gateway.clone(), listener, others_open, health::metrics);
        others.spawn(serving);
    }
    let running = Running {
        tasks,
        callers,
        others,
        phase,
        others_phase,
        stopped,
    };
    Ok((gateway, running))
}

impl Running {
    /// Health turns red, requests run to their end, listeners close, tasks are joined.
    async fn stop(mut self, gateway: &Arc<Gateway>, limit: Duration) {
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

fn open_teller(
    settings: &Settings,
    hosts: &Arc<Hosts>,
    logger: &slog::Logger,
) -> Result<Arc<Teller>, StartError> {
    let address = SocketAddr::new(settings.address, settings.peer_port + 1);
    let opened = Teller::open(address, hosts.clone(), logger.clone());
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
    local: Local,
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

/// Looks for new seeds in the settings file; nothing else in it changes while a host runs.
async fn reload(gateway: Arc<Gateway>, mut file: File) {
    let mut known = gateway.settings.seeds.clone();
    let mut rounds = interval(RELOAD);
    loop {
        tokio::select! {
            _ = rounds.tick() => {}
            Some(()) = file.changed.recv() => {
                info!(gateway.logger, "reload_asked"; "event" => "reload_asked");
            }
        }
        let text = match std::fs::read_to_string(&file.path) {
            Ok(text) => text,
            Err(error) => {
                error!(gateway.logger, "settings_unreadable"; "event" => "settings_unreadable",
                    "reason" => %error);
                continue;
            }
        };
        match settings::parse(&text) {
            Ok(settings) if settings.seeds != known => {
                gateway.hosts.set_seeds(&settings.seeds);
                info!(gateway.logger, "reloaded"; "event" => "reloaded",
                    "seeds" => format!("{:?}", settings.seeds));
                known = settings.seeds;
            }
            Ok(_) => {}
            Err(finding) => {
                error!(gateway.logger, "settings_invalid"; "event" => "settings_invalid",
                    "finding" => %finding);
            }
        }
    }
}
