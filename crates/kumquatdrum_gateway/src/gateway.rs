//! One gateway host: its parts, its rounds, its start and its stop.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kumquatdrum_consensus::Message;
use kumquatdrum_peer::{Channel, Client, Counters};
use kumquatdrum_process::Drain;
use kumquatdrum_process::clock::Clock;
use kumquatdrum_routes::{Limits, Record};
use kumquatdrum_types::{HostId, Moment};
use parking_lot::Mutex;
use slog::{error, info, o};
use tokio::signal::unix::Signal;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::broadcast::Broadcaster;
use crate::endpoints::Endpoints;
use crate::fleet::Fleet;
use crate::hosts::Hosts;
use crate::message::{Answer, Host, Question, Wanted};
use crate::meters::Meters;
use crate::replica::{Ask, Handle};
use crate::spread::Spread;
use crate::{Protocol, Settings, in_force, recall};

mod announced;
mod rounds;
mod start;

/// How often a host greets that knows nothing yet.
const FIRST_GREETING: Duration = Duration::from_millis(100);
/// How long a request waits for what is in force: an election and a greeting.
const INFORMED: Duration = Duration::from_secs(2);
/// The share of a caller's patience that it may wait so.
const INFORMED_SHARE: f64 = 0.4;
/// How long a host that starts waits for a majority of the control hosts before it goes by what
/// it was told by any.
const CERTAINTY: Duration = Duration::from_secs(3);

/// How long a host may take to say that it will send its record.
const FETCH_LIMIT: Duration = Duration::from_millis(500);

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
pub struct SettingsFile {
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
    pub(crate) spread: Arc<Spread>,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) meters: Arc<Meters>,
    pub(crate) drain: Arc<Drain>,
    pub(crate) logger: slog::Logger,
    client: Arc<Client>,
    traffic: Arc<Counters>,
    broadcaster: Option<Arc<Broadcaster>>,
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
        file: Option<SettingsFile>,
        protocol: Arc<dyn Protocol>,
        logger: &slog::Logger,
        stop: impl Future<Output = ()>,
    ) -> Result<(), StartError> {
        let logger = logger.new(o!("host" => settings.name.clone()));
        let stop_limit = Duration::from_millis(settings.stop_ms);
        let file_of_endpoints = recall::file(&settings);
        let announcement = Duration::from_millis(settings.announcement_ms);
        let recalled = match &file_of_endpoints {
            Some(file) => recall::read(file.clone(), announcement, &logger).await,
            None => Vec::new(),
        };
        let (gateway, mut running) = start::start(settings, protocol, logger, recalled)?;
        if let Some(file) = file_of_endpoints {
            let (endpoints, logger) = (gateway.endpoints.clone(), gateway.logger.clone());
            running.tasks.spawn(recall::keep(file, endpoints, logger));
        }
        if let Some(file) = file {
            running.tasks.spawn(rounds::reload(gateway.clone(), file));
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
        while self.in_force.current().is_none() && self.clock.now() < until {
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
        self.meters.count_peers(&self.traffic);
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

    /// Another host, or this one's own log, tells of a committed record; `leads` where this host's
    /// replica leads.
    pub(crate) fn take_record(&self, record: &Record, from: &str, leads: bool) {
        self.in_force.offer(record, from, leads);
    }

    /// Puts records in force as they come.
    async fn take_records(self: Arc<Self>) {
        loop {
            let (in_force, leads) = self.in_force.next().await;
            self.fleet.configure(in_force.table.setup());
            self.spread.tell(&in_force.record, leads);
        }
    }

    /// Answers a greeting.
    pub(crate) fn welcome(
        self: &Arc<Self>,
        host: Host,
        revision: u64,
        is_new: bool,
        wanted: Wanted,
    ) -> Answer {
        let id = host.id.clone();
        self.hosts.heard(host);
        self.hears(id, revision);
        Answer::Welcome {
            host: self.hosts.local(),
            hosts: self.hosts.listing(wanted),
            revision: self.in_force.revision(),
            endpoints: if is_new {
                self.endpoints.all()
            } else {
                Vec::new()
            },
        }
    }

    /// Another host goes by a revision: where it is higher, its record is asked for.
    fn hears(self: &Arc<Self>, host: HostId, revision: u64) {
        if self.spread.hears(revision) {
            self.spawn(self.clone().fetch(host, revision));
        }
    }

    /// Asks whoever tells this host of records, which then sends none twice, and where that one has
    /// nothing newer, the host that goes by the revision.
    async fn fetch(self: Arc<Self>, host: HostId, revision: u64) {
        let sender = self.spread.sender().filter(|sender| *sender != host);
        for asked in sender.into_iter().chain([host]) {
            let channel = Channel::Setup;
            let question = Question::Fetch {
                above: self.in_force.revision(),
            };
            let answer = self.ask(&asked, channel, &question, FETCH_LIMIT).await;
            if matches!(answer, Some(Answer::Taken)) {
                return;
            }
            info!(self.logger, "setup_not_fetched"; "event" => "setup_not_fetched",
                "peer" => asked.as_str(), "revision" => revision, "answered" => answer.is_some());
        }
        self.spread.not_fetched();
    }
}
