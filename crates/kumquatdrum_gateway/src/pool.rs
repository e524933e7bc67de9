//! The endpoint pool: picks endpoints for requests by the load known to this host.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_fanout::Urgency;
use kumquatdrum_placement::cold::{Activity, Tracker};
use kumquatdrum_placement::{Budget, DataCentreKey, EndpointKey, Job, JobId, Planner, Waiter};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_registry::Announcement;
use kumquatdrum_routes::{Engine, Setup};
use kumquatdrum_types::{DataCentre, EndpointId, Moment, ServiceName};
use parking_lot::{Mutex, RwLock};
use tokio::sync::Notify;

use crate::broadcast::{Broadcaster, RelayPath};
use crate::endpoints::Endpoints;
use crate::evacuations;
use crate::holds::Holds;
use crate::hosts::Hosts;
use crate::message::Event;
use crate::metrics::Metrics;
use crate::paths::Paths;
use crate::settings::{Cold, Retries};
use crate::shutdown;

mod cold;
mod evacuated;
mod events;
mod hold;
mod limit;
mod pick;
mod place;
mod policy;
mod queue;
mod rebroadcast;
mod unreachable;
mod wait;

use limit::Turn;
pub use pick::{Pick, Prefiller};
use policy::Policy;
use queue::QueueEntry;
use unreachable::{Unreported, Witness};

/// The number of announcement intervals after which a silent endpoint is not used. It tolerates a
/// lost announcement and a late one.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 4;
/// The interval at which a queued request is retried without a notification.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// The dependencies of a pool.
pub struct Dependencies {
    /// The host's clock.
    pub clock: Clock,
    /// Announced endpoints.
    pub endpoints: Arc<Endpoints>,
    /// The evacuated data centres.
    pub evacuations: Arc<evacuations::Store>,
    /// What the endpoints may be sent.
    pub holds: Arc<Holds>,
    /// What this host reaches directly.
    pub paths: Arc<Paths>,
    /// The other hosts.
    pub hosts: Arc<Hosts>,
    /// Broadcasts dispatch events. `None` on hosts that do not accept callers.
    pub broadcaster: Option<Arc<Broadcaster>>,
    /// The retry budget, shared by all hosts.
    pub retries: Retries,
    /// The requests that cold endpoints may get; if `None`, they are not limited.
    pub cold: Option<Cold>,
    /// The planned end of this host.
    pub shutdown: Arc<shutdown::Store>,
    /// The host's metrics.
    pub metrics: Arc<Metrics>,
    /// The interval between an endpoint's announcements.
    pub announcement_interval: Duration,
    /// A number that identifies this host among the dispatching hosts.
    pub number: u32,
    /// The data centre that this host runs in.
    pub data_centre: DataCentre,
    /// The host's logger.
    pub logger: slog::Logger,
}

/// Holds the endpoints of all services and picks one for each request.
pub struct Pool {
    dependencies: Dependencies,
    services: RwLock<IndexMap<ServiceName, Arc<Service>>>,
    next_job: AtomicU64,
    /// Failures that other hosts have not been told yet.
    unreported: Mutex<Vec<Unreported>>,
    /// Which endpoints are cold. Locked after the state of a service.
    cold: Mutex<Tracker>,
    activity: Activity,
    /// Locked while all services are refreshed. Locked before the state of a service.
    refreshing: Mutex<()>,
}

struct Service {
    name: ServiceName,
    state: Mutex<State>,
    changed: Notify,
    /// Whether the setup no longer declares the service.
    is_dropped: AtomicBool,
    /// The jobs that wait for a limited endpoint, in order.
    limited: Mutex<VecDeque<JobId>>,
}

struct State {
    engine: Option<Engine>,
    policy: Policy,
    budget: Budget,
    /// How long an endpoint is cold after its start.
    cold_start: Duration,
    directory: IndexMap<EndpointKey, Announcement>,
    /// The endpoints of `directory` that are leaving, and until when they serve.
    leaving: IndexMap<EndpointKey, Moment>,
    /// Whether `directory` is empty because its endpoints are in evacuated data centres.
    is_evacuated: bool,
}

/// The reason why no endpoint was picked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Rejection {
    /// No endpoint of the service is known.
    NoEndpoint,
    /// The setup no longer declares the service.
    Dropped,
    /// This host ends before it could serve the request.
    Stopping,
    /// The prompt exceeds the combined memory of the candidate engines.
    TooLarge,
    /// The cost of the request to other callers exceeds its value.
    TooCostly,
    /// No engine had capacity in time.
    NoCapacity(Waiter),
    /// The prompt has waited for a slot for as long as its caller would.
    Expired,
    /// All endpoints have reached the limits that they name. Holds the expected wait.
    Limited(Duration),
    /// All endpoints are in evacuated data centres.
    Evacuated,
    /// All endpoints are cold and have had the requests that they take. Holds the expected wait.
    Cold(Duration),
    /// All endpoints have asked for a back-off. Holds the expected wait.
    Held(Duration),
}

impl Pool {
    /// Creates a pool without services.
    pub fn new(dependencies: Dependencies) -> Self {
        // Job numbers must not repeat after a restart of this host.
        let first = kumquatdrum_process::clock::unix_ms() << 16;
        let interval = dependencies.announcement_interval;
        let max_silence = interval * MAX_MISSED_ANNOUNCEMENTS;
        let now = dependencies.clock.now();
        Self {
            cold: Mutex::new(Tracker::new(now, max_silence)),
            activity: Activity::new(now),
            refreshing: Mutex::default(),
            dependencies,
            services: RwLock::default(),
            next_job: AtomicU64::new(first),
            unreported: Mutex::default(),
        }
    }

    /// Adds and alters services to match a setup. What runs and waits at a service stays with it.
    pub fn configure(&self, setup: &Setup) {
        let mut services = self.services.write();
        for (name, declared) in &setup.services {
            let engine = declared.engine.as_ref();
            if let Some(known) = services.get(name) {
                self.alter(&mut known.state.lock(), engine);
            } else {
                let service = Arc::new(self.build_service(name, engine));
                services.insert(name.clone(), service);
            }
        }
        drop(services);
        self.configure_cold(setup);
        self.refresh();
    }

    /// Removes services that a setup doesn't declare, and ends the waits at them.
    pub fn remove_undeclared(&self, setup: &Setup) {
        let mut services = self.services.write();
        services.retain(|name, service| {
            let is_declared = setup.services.contains_key(name);
            if !is_declared {
                service.drop_waits();
            }
            is_declared
        });
    }

    fn alter(&self, state: &mut State, engine: Option<&Engine>) {
        if state.engine.as_ref() == engine {
            return;
        }
        match (&mut state.policy, engine) {
            (Policy::Engines(planner), Some(engine)) => planner.set_engine(engine.clone()),
            (policy, _) => *policy = self.build_policy(engine),
        }
        state.engine = engine.cloned();
    }

    fn build_policy(&self, engine: Option<&Engine>) -> Policy {
        match engine {
            Some(engine) => {
                let local_key = data_centre_key(&self.dependencies.data_centre);
                let planner = Planner::new(engine.clone()).with_data_centre(local_key);
                Policy::Engines(Box::new(planner))
            }
            None => Policy::Plain(Box::default()),
        }
    }

    fn build_service(&self, name: &ServiceName, engine: Option<&Engine>) -> Service {
        let retries = &self.dependencies.retries;
        let window = Duration::from_secs_f64(retries.window_s);
        let state = State {
            engine: engine.cloned(),
            policy: self.build_policy(engine),
            budget: Budget::new(retries.ratio, retries.slack, window),
            cold_start: Duration::ZERO,
            directory: IndexMap::new(),
            leaving: IndexMap::new(),
            is_evacuated: false,
        };
        Service {
            name: name.clone(),
            state: Mutex::new(state),
            changed: Notify::new(),
            is_dropped: AtomicBool::new(false),
            limited: Mutex::default(),
        }
    }

    /// Returns whether an endpoint of any service is known. Endpoints in evacuated data centres count
    /// if `has_all`, that is, if it is known that a service has no others.
    pub fn has_endpoints(&self, has_all: bool) -> bool {
        let services = self.services.read();
        let mut services = services.values();
        services.any(|service| {
            let state = service.state.lock();
            !state.directory.is_empty() || (has_all && state.is_evacuated)
        })
    }

    /// Replaces the endpoints of all services with the currently announced ones.
    pub fn refresh(&self) {
        let _refreshing = self.refreshing.lock();
        self.refresh_all();
    }

    /// Refreshes all services and then records this host's activity, so that no request is placed by
    /// what was known before a suspension.
    fn refresh_all(&self) {
        let now = self.dependencies.clock.now();
        if self.activity.is_suspended(now) {
            self.cold.lock().resume(now);
        }
        let senders = self.find_senders();
        for service in self.services.read().values() {
            self.refresh_service(service, senders.as_deref());
        }
        self.activity.resume(now);
    }

    /// Refreshes a service. `senders` are the hosts that may send requests to cold endpoints, if known.
    fn refresh_service(&self, service: &Service, senders: Option<&[u32]>) {
        let mut known = self.dependencies.endpoints.usable(&service.name);
        let mut leaving = self.dependencies.endpoints.leaving(&service.name);
        let has_evacuated = self.remove_evacuated(&mut known, |(endpoint, _)| endpoint)
            | self.remove_evacuated(&mut leaving, |(endpoint, ..)| endpoint);
        let limit = self.dependencies.announcement_interval * MAX_MISSED_ANNOUNCEMENTS;
        let fresh = known.iter().filter(|(_, age)| *age <= limit).count();
        // If most endpoints are silent, the network is more likely at fault than the endpoints.
        let includes_silent = fresh * 2 < known.len();
        let usable = known.into_iter();
        let usable = usable.filter(|(_, age)| includes_silent || *age <= limit);
        let leaving_keys = leaving.iter().map(|(endpoint, _, until)| {
            let key = EndpointKey::of(&endpoint.id, endpoint.started);
            (key, *until)
        });
        let leaving_keys = leaving_keys.collect();
        let leaving = leaving.into_iter();
        let usable = usable.chain(leaving.map(|(endpoint, age, _)| (endpoint, age)));
        let now = self.dependencies.clock.now();
        let (directory, announced): (IndexMap<EndpointKey, Announcement>, Vec<_>) = usable
            .map(|(endpoint, age)| {
                let key = EndpointKey::of(&endpoint.id, endpoint.started);
                ((key, endpoint), (key, now.saturating_sub(age)))
            })
            .unzip();
        let mut state = service.state.lock();
        let made_at: Vec<Moment> = announced.iter().map(|(_, at)| *at).collect();
        match &mut state.policy {
            Policy::Engines(planner) => {
                let grouped = directory.iter();
                planner.set_endpoints(
                    grouped.map(|(key, endpoint)| (*key, data_centre_key(&endpoint.data_centre))),
                );
                for (key, at) in announced {
                    planner.record_announcement(key, at);
                }
            }
            Policy::Plain(balancer) => {
                let slots = |(key, endpoint): (&EndpointKey, &Announcement)| {
                    (*key, data_centre_key(&endpoint.data_centre), endpoint.slots)
                };
                balancer.set_endpoints(directory.iter().map(slots));
            }
        }
        state.is_evacuated = has_evacuated && directory.is_empty();
        state.directory = directory;
        state.leaving = leaving_keys;
        self.refresh_limits(&mut state);
        self.refresh_cold(service, &mut state, &made_at, senders);
        drop(state);
        service.changed.notify_waiters();
    }

    /// Records a caller's request in the retry budget.
    pub fn record_request(&self, name: &ServiceName) {
        if let Some(service) = self.find_service(name) {
            let now = self.dependencies.clock.now();
            service.state.lock().budget.record_request(now);
        }
    }

    /// Takes one retry from this host's share of the budget. Returns whether it was granted.
    pub fn take_retry(&self, name: &ServiceName) -> bool {
        let now = self.dependencies.clock.now();
        let hosts = self.dependencies.hosts.count_caller_hosts();
        self.find_service(name)
            .is_some_and(|service| service.state.lock().budget.try_take(now, hosts))
    }

    /// Returns a new job id, unique across hosts.
    pub fn next_job_id(&self) -> JobId {
        JobId {
            host: self.dependencies.number,
            number: self.next_job.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Picks an endpoint for a job, waiting for capacity until the job's deadline. `request` is the
    /// caller's attempt id, for logs.
    pub async fn pick(
        self: &Arc<Self>,
        name: &ServiceName,
        request: &str,
        job: &Job,
    ) -> Result<Pick, Rejection> {
        let service = self.find_service(name).ok_or(Rejection::Dropped)?;
        let mut entry = QueueEntry {
            pool: self,
            service: &service,
            job: job.id,
            last_broadcast: None,
        };
        let clock = &self.dependencies.clock;
        let mut turn = Turn::new(&service, job.id);
        loop {
            let changed = service.changed.notified();
            self.check_wait(&service, job)?;
            let is_next = turn.is_next();
            let picked = if is_next {
                self.try_pick(&service, request, job)
            } else {
                Ok(None)
            };
            match picked {
                Ok(None) => self.await_turn(&mut turn, request, job, is_next)?,
                Err(Rejection::NoCapacity(waiter)) if clock.now() < job.deadline => {
                    turn.leave();
                    entry.broadcast_if_due(waiter);
                }
                Ok(Some(pick)) => {
                    entry.last_broadcast = None;
                    return Ok(pick);
                }
                Err(rejection) => return Err(rejection),
            }
            let _ = tokio::time::timeout(RETRY_INTERVAL, changed).await;
        }
    }

    fn broadcast(&self, event: Event, urgency: Urgency) {
        self.broadcast_via(event, urgency, RelayPath::Primary);
    }

    fn broadcast_via(&self, event: Event, urgency: Urgency, path: RelayPath) {
        if let Some(broadcaster) = &self.dependencies.broadcaster {
            broadcaster.broadcast(event, urgency, path);
        }
    }

    fn find_service(&self, name: &ServiceName) -> Option<Arc<Service>> {
        self.services.read().get(name).cloned()
    }
}

/// Returns the key that identifies a data centre to the planner and the balancer.
fn data_centre_key(data_centre: &DataCentre) -> DataCentreKey {
    let name = EndpointId::new(data_centre.as_str());
    DataCentreKey(EndpointKey::of(&name, 0).0)
}
