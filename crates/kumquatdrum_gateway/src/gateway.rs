//! The gateway host, which combines the other modules.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kumquatdrum_consensus::Message;
use kumquatdrum_peer::{Channel, Client, Counters};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_process::{Drain, quarantine};
use kumquatdrum_registry::News;
use kumquatdrum_routes::fetch::{ASK_TIMEOUT, Answer};
use kumquatdrum_routes::{Limits, Record, Setup};
use kumquatdrum_types::{HostId, Moment};
use parking_lot::Mutex;
use slog::{error, info, o};
use tokio::signal::unix::Signal;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::body_memory;
use crate::broadcast::Broadcaster;
use crate::distribution::{BLOCKING_TIMEOUT, Distributor};
use crate::endpoints::Endpoints;
use crate::evacuations as evacuation_store;
use crate::hosts::Hosts;
use crate::message::{EndpointSelection, Event, Hello, Request, Response};
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::quarantine_cache;
use crate::replica::{Availability, Command, Handle};
use crate::upstream::Upstream;
use crate::{
    Protocol, Settings, active_setup, cache, endpoint_cache, evacuation_cache, relay, shutdown,
};

mod contacts;
mod endpoint_updates;
pub(crate) mod evacuations;
mod held_requests;
mod liveness;
mod periodic;
mod probe;
mod start;
mod startup;
mod subscriptions;

use endpoint_updates::Additions;
use startup::Startup;
use subscriptions::Subscriptions;

/// How long a starting host waits for a majority of the control hosts before it becomes ready
/// without one.
const MAJORITY_WAIT: Duration = Duration::from_secs(3);

/// The interval at which the fetch loop wakes while no record is wanted.
const IDLE_FETCH_INTERVAL: Duration = Duration::from_secs(60);

/// The duration of a reservation's lease, as a fraction of the maximum time that memory may stay
/// unused. The rest allows for orders in flight when the lease ends.
const LEASE_FRACTION: f64 = 0.8;

/// The fraction of a lease after which a silent endpoint is checked if memory of other endpoints is
/// reserved for its request. The rest of the lease is for the check and the release.
const RESERVED_SILENCE_FRACTION: f64 = 0.5;

/// An error that prevents a host from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listener cannot be opened.
    #[error("the {name} listener can't be opened on {address}: {reason}")]
    Listen {
        /// The listener's name.
        name: &'static str,
        /// The listener's address.
        address: SocketAddr,
        /// The system error.
        reason: std::io::Error,
    },
    /// The metrics cannot be registered.
    #[error("the metrics can't be registered: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// The settings file and the signal that triggers its reload.
#[derive(Debug)]
pub struct SettingsFile {
    /// The path of the file.
    pub path: PathBuf,
    /// The signal that is sent after a change.
    pub changed: Signal,
}

/// A running gateway host.
pub struct Gateway {
    pub(crate) protocol: Arc<dyn Protocol>,
    pub(crate) clock: Clock,
    pub(crate) hosts: Arc<Hosts>,
    pub(crate) endpoints: Arc<Endpoints>,
    pub(crate) evacuations: Arc<evacuation_store::Store>,
    evacuation_cache: evacuation_cache::Cache,
    pub(crate) active_setup: Arc<active_setup::Store>,
    pub(crate) distributor: Arc<Distributor>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) upstream: Upstream,
    pub(crate) relay_server: Arc<relay::Server>,
    pub(crate) quarantine: Arc<quarantine::Store>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) drain: Arc<Drain>,
    pub(crate) body_memory: body_memory::Budget,
    pub(crate) shutdown: Arc<shutdown::Store>,
    pub(crate) logger: slog::Logger,
    client: Arc<Client>,
    traffic: Arc<Counters>,
    broadcaster: Option<Arc<Broadcaster>>,
    replica: Option<Handle>,
    /// Whether the replica runs, on hosts that keep one.
    availability: Option<Arc<Availability>>,
    pub(crate) settings: Settings,
    started: Moment,
    startup: Startup,
    added: Additions,
    subscriptions: Subscriptions,
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
        let cache_file = cache::file(&settings, endpoint_cache::FILE_NAME);
        let quarantine_file = cache::file(&settings, quarantine_cache::FILE_NAME);
        let announcement_interval = Duration::from_millis(settings.announcement_ms);
        let cached = match &cache_file {
            Some(file) => endpoint_cache::load(file.clone(), announcement_interval, &logger).await,
            None => Vec::new(),
        };
        let evacuation_file = cache::file(&settings, evacuation_cache::FILE_NAME);
        let evacuation_cache = evacuation_cache::Cache::new(evacuation_file, logger.clone());
        let evacuations = evacuation_cache.load().await;
        let cached = start::Cached {
            endpoints: cached,
            evacuations,
            evacuation_cache,
        };
        let (gateway, mut running) = start::start(settings, protocol, logger, cached)?;
        if let Some(file) = quarantine_file {
            let (quarantine, logger) = (gateway.quarantine.clone(), gateway.logger.clone());
            quarantine_cache::load(file.clone(), &quarantine, &logger).await;
            running
                .tasks
                .spawn(quarantine_cache::persist(file, quarantine, logger));
        }
        if let Some(file) = cache_file {
            let (endpoints, logger) = (gateway.endpoints.clone(), gateway.logger.clone());
            running
                .tasks
                .spawn(endpoint_cache::persist(file, endpoints, logger));
        }
        if let Some(file) = file {
            running
                .tasks
                .spawn(periodic::watch_settings(gateway.clone(), file));
        }
        info!(gateway.logger, "started"; "event" => "started",
            "address" => %gateway.settings.address, "replica" => gateway.replica.is_some());
        stop.await;
        running.stop(&gateway, stop_limit).await;
        info!(gateway.logger, "stopped"; "event" => "stopped");
        Ok(())
    }

    /// Returns the limits on callers' requests.
    pub(crate) fn limits(&self) -> Limits {
        let current = self.active_setup.current();
        current.map_or_else(Limits::default, |active| active.table.setup().limits)
    }

    /// Spawns a task that may outlive its request.
    pub(crate) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let mut background = self.background.lock();
        while background.try_join_next().is_some() {}
        background.spawn(task);
    }

    /// Returns the duration of a reservation's lease.
    pub(crate) fn lease_duration(&self) -> Duration {
        Duration::from_millis(self.settings.unused_memory_ms).mul_f64(LEASE_FRACTION)
    }

    /// Returns the silence after which an endpoint is checked if memory of others is reserved for its
    /// request. An endpoint that has crashed without a word must not keep that memory reserved.
    pub(crate) fn reserved_silence(&self) -> Duration {
        self.lease_duration().mul_f64(RESERVED_SILENCE_FRACTION)
    }

    /// Returns the time since the start of this host.
    fn uptime(&self) -> Duration {
        self.clock.now() - self.started
    }

    /// Returns whether this host accepts callers.
    pub(crate) fn is_ready(&self) -> bool {
        let can_trust_setup = self.startup.has_confirmed_setup.load(Ordering::Acquire)
            || self.uptime() > MAJORITY_WAIT;
        !self.drain.is_draining() && can_trust_setup && self.active_setup.current().is_some()
    }

    /// Sets the gauges and peer counters to their current values.
    pub(crate) fn update_gauges(&self) {
        let revision = i64::try_from(self.active_setup.revision()).unwrap_or(i64::MAX);
        self.metrics.revision.set(revision);
        self.metrics.hosts.set(self.hosts.live_hosts().len() as i64);
        let listing_age = self.hosts.listing_age().unwrap_or_default();
        self.metrics
            .listing_age_ms
            .set(listing_age.as_millis() as i64);
        self.metrics.in_flight.set(self.drain.in_flight());
        let body_bytes = self.body_memory.reserved();
        self.metrics.body_bytes.set(body_bytes as i64);
        let (suspects, blocked) = self.quarantine.counts();
        self.metrics.suspects.set(suspects as i64);
        self.metrics.blocked.set(blocked as i64);
        let evacuated = self.evacuations.current().active().count();
        self.metrics.evacuated.set(evacuated as i64);
        let running = self.evacuations.count_local();
        self.metrics.evacuated_running.set(running.into());
        self.metrics.cold.set(self.pool.count_cold() as i64);
        if let Some(availability) = &self.availability {
            availability.update_gauges();
        }
        self.metrics.update_peer_bytes(&self.traffic);
    }

    /// Sends a request to another host. Returns `None` if there is no response in time.
    pub(crate) async fn send_request(
        &self,
        host: &HostId,
        channel: Channel,
        request: &Request,
        limit: Duration,
    ) -> Option<Response> {
        let body = match postcard::to_stdvec(request) {
            Ok(body) => Bytes::from(body),
            Err(error) => {
                error!(self.logger, "question_not_encoded"; "event" => "question_not_encoded",
                    "reason" => %error);
                return None;
            }
        };
        // The client logs when a host stops or resumes responding.
        let response = self.client.ask(host, channel, body, limit).await.ok()?;
        postcard::from_bytes(&response).ok()
    }

    /// Sends a command to this host's replica.
    pub(crate) async fn send_command(&self, command: Command) -> Response {
        match &self.replica {
            Some(replica) => replica.send_command(command).await,
            None => Response::NotLeader(None),
        }
    }

    /// Passes a message to this host's replica.
    pub(crate) fn deliver_to_replica(&self, message: Message) {
        if let Some(replica) = &self.replica {
            replica.send_message(message);
        }
    }

    /// Offers a committed record from another host or the local log. `is_leader` states whether
    /// this host's replica applied it as the leader.
    pub(crate) fn offer_record(&self, record: &Record, from: &str, is_leader: bool) {
        self.distributor.receive(record.revision);
        self.active_setup.offer(record, from, is_leader);
    }

    /// Activates offered records and distributes them.
    async fn activate_records(self: Arc<Self>) {
        loop {
            let prepare = |setup: &Setup| self.pool.configure(setup);
            let (active_setup, is_leader) = self.active_setup.activate_next(prepare).await;
            self.startup.setup_known_at.get_or_init(|| self.clock.now());
            self.update_readiness();
            self.pool.remove_undeclared(active_setup.table.setup());
            self.distributor.distribute(&active_setup.record, is_leader);
        }
    }

    /// Answers a hello.
    pub(crate) fn answer_hello(self: &Arc<Self>, hello: Hello) -> Response {
        let id = hello.host.id.clone();
        let is_control = hello.host.is_control;
        self.hosts.record_contact(hello.host);
        let evidence = hello.evidence.suspects;
        self.quarantine.merge(evidence, id.as_str());
        self.observe_evacuations(&id, &hello.evacuations);
        self.distributor.observe_revision(&id, hello.revision);
        // Changes that are made meanwhile are sent again with the next answer.
        let version = self.endpoints.version();
        let (news, endpoints_version) = match hello.endpoints {
            EndpointSelection::Departures(known) => {
                let departures = self.endpoints.departures_since(known);
                (departures.into(), Some(version))
            }
            EndpointSelection::All => match self.all_endpoints(is_control) {
                Some(endpoints) => (endpoints.into(), Some(version)),
                None => return Response::Unavailable,
            },
            EndpointSelection::Since(known) => match self.endpoints.news_since(known) {
                Some(news) => (news, Some(version)),
                None => (News::default(), None),
            },
        };
        Response::Welcome {
            host: self.hosts.local(),
            is_reachable: !is_control || self.client.check_reachable(&id),
            hosts: self.hosts.listing(hello.hosts, is_control),
            has_majority: self.hosts.has_control_majority(),
            revision: self.active_setup.revision(),
            endpoints: news.updates,
            refreshes: news.refreshes,
            endpoints_version,
            evidence: self.quarantine.answer(hello.known_evidence),
            evacuations: self.evacuations.report_to(Some(hello.evacuations.version)),
        }
    }

    /// Applies events from other hosts.
    fn apply_events(&self, events: Vec<Event>) {
        let mut job_events = Vec::with_capacity(events.len());
        for event in events {
            match event {
                Event::Suspected(suspect) => self.quarantine.merge(vec![suspect], "broadcast"),
                event => job_events.push(event),
            }
        }
        self.pool.apply_events(job_events);
    }

    /// Answers a request for a record newer than `above`.
    pub(crate) fn answer_fetch(self: &Arc<Self>, host: &HostId, above: u64) -> Response {
        let response = self.distributor.answer_fetch(host, above);
        if let Response::Record(record) = &response {
            let (distributor, host) = (self.distributor.clone(), host.clone());
            let revision = record.revision;
            self.spawn(async move {
                sleep(BLOCKING_TIMEOUT).await;
                distributor.finish_answer(&host, revision);
            });
        }
        response
    }

    /// Fetches newer records from the hosts that the schedule names, until dropped.
    async fn fetch_records(self: Arc<Self>) {
        let mut requests = FuturesUnordered::new();
        loop {
            let now = self.clock.now();
            if let Some(host) = self.distributor.next_fetch(now) {
                requests.push(self.fetch_record(host));
                continue;
            }
            if !self.distributor.is_fetching() {
                requests.clear();
            }
            let due = self
                .distributor
                .next_fetch_due()
                .unwrap_or(now + IDLE_FETCH_INTERVAL);
            tokio::select! {
                Some((host, answer)) = requests.next(), if !requests.is_empty() => {
                    self.distributor.finish_fetch(self.clock.now(), &host, answer);
                }
                () = self.distributor.wait_for_change() => {}
                () = sleep_until(self.clock.instant(due)) => {}
            }
        }
    }

    /// Requests the active record from a host and offers it.
    async fn fetch_record(&self, host: HostId) -> (HostId, Answer) {
        let above = self.distributor.received_revision();
        let request = Request::Fetch { above };
        let response = self
            .send_request(&host, Channel::Setup, &request, ASK_TIMEOUT)
            .await;
        let is_answered = response.is_some();
        let answer = match response {
            Some(Response::Record(record)) => {
                self.offer_record(&record, host.as_str(), false);
                self.distributor.confirm(&host, record.revision);
                Answer::Record(record.revision)
            }
            Some(Response::Busy) => Answer::Busy,
            _ => Answer::Missing,
        };
        info!(self.logger, "setup_requested"; "event" => "setup_requested",
            "peer" => host.as_str(), "above" => above, "answer" => ?answer,
            "answered" => is_answered);
        (host, answer)
    }
}
