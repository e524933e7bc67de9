//! Which endpoint gets a request: the cores' decisions, applied to what this host knows.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_fanout::Urgency;
use kumquatdrum_placement::{
    Balancer, Budget, DataCentreKey, Decision, Diagnostics, EndpointKey, Job, JobId, Plan, Planner,
    Waiter,
};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_registry::Announcement;
use kumquatdrum_routes::{Engine, Setup};
use kumquatdrum_types::{DataCentre, EndpointId, Moment, ServiceName};
use parking_lot::{Mutex, RwLock};
use slog::info;
use tokio::sync::Notify;

use crate::broadcast::{Broadcaster, RelayPath};
use crate::endpoints::Endpoints;
use crate::hosts::Hosts;
use crate::message::Event;
use crate::protocol::Helper;
use crate::settings::Retries;

mod pick;

pub use pick::{Pick, Reader};

/// An endpoint that has been silent for so many announcements counts as silent: one may be lost,
/// and one late by its whole interval.
const SILENT_ANNOUNCEMENTS: u32 = 4;
/// How often a request that waits asks again, where nothing has told it to.
const ASK_AGAIN: Duration = Duration::from_millis(25);
/// How often a job that waits is told of.
const TELL_TURN: Duration = Duration::from_millis(100);
/// The largest encoding of a plan without its parts, in bytes.
const PLAN_BYTES: usize = 48;
/// The largest encoding of a part, in bytes.
const PART_BYTES: usize = 15;
/// What a datagram holds beside a service's name.
const BATCH_BYTES: usize = 1_200;

/// What a fleet is made of.
pub struct Parts {
    /// The host's clock.
    pub clock: Clock,
    /// Announced endpoints.
    pub endpoints: Arc<Endpoints>,
    /// The other hosts.
    pub hosts: Arc<Hosts>,
    /// Tells other hosts of dispatches; absent on hosts that take no callers.
    pub broadcaster: Option<Arc<Broadcaster>>,
    /// Retries that all hosts may make.
    pub retries: Retries,
    /// How often endpoints announce themselves.
    pub announcement: Duration,
    /// This host's number among the hosts that dispatch.
    pub number: u32,
    /// Where this host stands.
    pub data_centre: DataCentre,
    /// Where decisions are told.
    pub logger: slog::Logger,
}

/// All services, as this host dispatches to them.
pub struct Fleet {
    parts: Parts,
    services: RwLock<IndexMap<ServiceName, Arc<Service>>>,
    jobs: AtomicU64,
}

struct Service {
    name: ServiceName,
    state: Mutex<State>,
    changed: Notify,
}

struct State {
    engine: Option<Engine>,
    policy: Policy,
    budget: Budget,
    directory: IndexMap<EndpointKey, Announcement>,
}

enum Policy {
    Engines(Box<Planner>),
    Plain(Balancer),
}

/// Why no endpoint was picked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Unplaced {
    /// No endpoint of the service is known.
    Nobody,
    /// No engine can hold the prompt.
    TooLarge,
    /// Others would lose more by it than its caller gains.
    TooCostly,
    /// No engine had room in time.
    NoRoom(Waiter),
}

impl Fleet {
    /// A fleet without services.
    pub fn new(parts: Parts) -> Self {
        // Numbers of an earlier life of this host must not come again.
        let first = kumquatdrum_process::clock::unix_ms() << 16;
        Self {
            parts,
            services: RwLock::default(),
            jobs: AtomicU64::new(first),
        }
    }

    /// Goes by the services of a setup from now on.
    pub fn configure(&self, setup: &Setup) {
        let mut services = self.services.write();
        services.retain(|name, _| setup.services.contains_key(name));
        for (name, declared) in &setup.services {
            let is_same = services
                .get(name)
                .is_some_and(|known| known.state.lock().engine == declared.engine);
            if !is_same {
                let service = Arc::new(self.service(name, declared.engine.as_ref()));
                services.insert(name.clone(), service);
            }
        }
        drop(services);
        self.refresh();
    }

    fn service(&self, name: &ServiceName, engine: Option<&Engine>) -> Service {
        let retries = &self.parts.retries;
        let window = Duration::from_secs_f64(retries.window_s);
        let policy = match engine {
            Some(engine) => {
                let here = group(&self.parts.data_centre);
                let planner = Planner::new(engine.clone()).with_data_centre(here);
                Policy::Engines(Box::new(planner))
            }
            None => Policy::Plain(Balancer::default()),
        };
        let state = State {
            engine: engine.cloned(),
            policy,
            budget: Budget::new(retries.ratio, retries.slack, window),
            directory: IndexMap::new(),
        };
        Service {
            name: name.clone(),
            state: Mutex::new(state),
            changed: Notify::new(),
        }
    }

    /// Looks at the announced endpoints anew.
    pub fn refresh(&self) {
        for service in self.services.read().values() {
            self.refresh_service(service);
        }
    }

    fn refresh_service(&self, service: &Service) {
        let known = self.parts.endpoints.usable(&service.name);
        let limit = self.parts.announcement * SILENT_ANNOUNCEMENTS;
        let fresh = known.iter().filter(|(_, age)| *age <= limit).count();
        // Where most are silent, it is the way to them that is, and not they.
        let takes_silent = fresh * 2 < known.len();
        let usable = known.into_iter();
        let usable = usable.filter(|(_, age)| takes_silent || *age <= limit);
        let directory: IndexMap<EndpointKey, Announcement> = usable
            .map(|(endpoint, _)| (EndpointKey::of(&endpoint.id, endpoint.started), endpoint))
            .collect();
        let mut state = service.state.lock();
        match &mut state.policy {
            Policy::Engines(planner) => {
                let grouped = directory.iter();
                planner.set_endpoints(
                    grouped.map(|(key, endpoint)| (*key, group(&endpoint.data_centre))),
                );
            }
            Policy::Plain(balancer) => {
                let slots = |(key, endpoint): (&EndpointKey, &Announcement)| {
                    (*key, group(&endpoint.data_centre), endpoint.slots)
                };
                balancer.set_endpoints(directory.iter().map(slots));
            }
        }
        state.directory = directory;
        drop(state);
        service.changed.notify_waiters();
    }

    /// A caller's request for a service has come.
    pub fn requested(&self, name: &ServiceName) {
        if let Some(service) = self.find(name) {
            let now = self.parts.clock.now();
            service.state.lock().budget.record_request(now);
        }
    }

    /// Takes one retry from this host's share.
    pub fn take_retry(&self, name: &ServiceName) -> bool {
        let now = self.parts.clock.now();
        let hosts = self.parts.hosts.caller_hosts();
        self.find(name)
            .is_some_and(|service| service.state.lock().budget.try_take(now, hosts))
    }

    /// Takes what other hosts tell of their dispatches.
    pub fn take(&self, events: Vec<Event>) {
        let mut changed: Vec<Arc<Service>> = Vec::new();
        for event in events {
            let may_free = event.may_free();
            let service = self.take_one(event).filter(|_| may_free);
            if let Some(service) = service
                && !changed.iter().any(|known| Arc::ptr_eq(known, &service))
            {
                changed.push(service);
            }
        }
        for service in changed {
            service.changed.notify_waiters();
        }
    }

    fn take_one(&self, event: Event) -> Option<Arc<Service>> {
        let now = self.parts.clock.now();
        let (Event::Sent(name, _)
        | Event::Began(name, _)
        | Event::Ended(name, _)
        | Event::Queued(name, _)
        | Event::Cancelled(name, _)
        | Event::Running(name, _)) = &event;
        let service = self.find(name)?;
        let mut state = service.state.lock();
        let Policy::Engines(planner) = &mut state.policy else {
            return None;
        };
        match event {
            Event::Sent(_, plan) => planner.record_dispatch(now, plan),
            Event::Began(_, job) => planner.record_first_token(now, job),
            Event::Ended(_, job) => planner.record_end(now, job),
            Event::Queued(_, turn) => planner.enqueue(now, turn),
            Event::Cancelled(_, job) => planner.dequeue(job),
            Event::Running(_, jobs) => {
                for (plan, is_reading) in jobs {
                    planner.refresh(now, plan, is_reading);
                }
            }
        }
        drop(state);
        Some(service)
    }

    /// Tells other hosts of all jobs under way here, for those that have missed some.
    pub fn retell(&self, path: RelayPath) {
        let now = self.parts.clock.now();
        let services: Vec<Arc<Service>> = self.services.read().values().cloned().collect();
        for service in services {
            let jobs = match &mut service.state.lock().policy {
                Policy::Engines(planner) => planner.renew_jobs(now, self.parts.number),
                Policy::Plain(_) => continue,
            };
            for jobs in batches(jobs) {
                let event = Event::Running(service.name.clone(), jobs);
                self.tell_by(event, Urgency::Usual, path);
            }
        }
    }

    /// A name for a job that no host has given before.
    pub fn name(&self) -> JobId {
        JobId {
            host: self.parts.number,
            number: self.jobs.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Picks an endpoint for a job, waiting for room until its deadline at most. `request` is the
    /// caller's name for it, for logs.
    pub async fn pick(
        self: &Arc<Self>,
        name: &ServiceName,
        request: &str,
        job: &Job,
    ) -> Result<Pick, Unplaced> {
        let service = self.find(name).ok_or(Unplaced::Nobody)?;
        let mut queue = Queue {
            fleet: self,
            service: &service,
            job: job.id,
            told: None,
        };
        loop {
            let changed = service.changed.notified();
            match self.try_pick(&service, request, job) {
                Err(Unplaced::NoRoom(turn)) if self.parts.clock.now() < job.deadline => {
                    queue.tell(turn);
                }
                Ok(pick) => {
                    queue.told = None;
                    return Ok(pick);
                }
                result => return result,
            }
            let _ = tokio::time::timeout(ASK_AGAIN, changed).await;
        }
    }

    fn try_pick(
        self: &Arc<Self>,
        service: &Arc<Service>,
        request: &str,
        job: &Job,
    ) -> Result<Pick, Unplaced> {
        let now = self.parts.clock.now();
        let mut state = service.state.lock();
        match &mut state.policy {
            Policy::Engines(planner) => {
                let decision = planner.place(now, job);
                let (plan, basis) = match decision {
                    Decision::Send(plan, basis) => (plan, basis),
                    Decision::Wait(turn) => return Err(Unplaced::NoRoom(turn)),
                    Decision::TooCostly => return Err(Unplaced::TooCostly),
                    Decision::TooLarge => return Err(Unplaced::TooLarge),
                    Decision::NoEngine => return Err(Unplaced::Nobody),
                };
                self.sent(service, &state, (request, job), plan, &basis)
            }
            Policy::Plain(balancer) => {
                let key = balancer.choose(now, &job.excluded);
                let key = key.ok_or(Unplaced::Nobody)?;
                let endpoint = state.directory.get(&key).cloned();
                let endpoint = endpoint.ok_or(Unplaced::Nobody)?;
                Ok(Pick {
                    fleet: self.clone(),
                    service: service.clone(),
                    endpoint,
                    key,
                    readers: Vec::new(),
                    job: None,
                    urgency: Urgency::Usual,
                })
            }
        }
    }

    fn sent(
        self: &Arc<Self>,
        service: &Arc<Service>,
        state: &State,
        (request, job): (&str, &Job),
        plan: Plan,
        basis: &Diagnostics,
    ) -> Result<Pick, Unplaced> {
        let endpoint = state.directory.get(&plan.first).cloned();
        let endpoint = endpoint.ok_or(Unplaced::Nobody)?;
        let helpers = plan.helpers.iter().enumerate();
        let helpers = helpers.filter_map(|(place, part)| {
            let helper = state.directory.get(&part.endpoint)?;
            let name = || format!("{:x}-{:x}-{place}", plan.job.host, plan.job.number);
            Some(Reader {
                endpoint: helper.id.clone(),
                key: part.endpoint,
                reserved: u64::from(part.reserved),
                helper: Helper {
                    address: helper.address,
                    reservation: (part.reserved > 0).then(name),
                },
            })
        });
        info!(self.parts.logger, "placed"; "event" => "placed", "request" => request,
            "endpoint" => endpoint.id.as_str(), "prompt" => job.prompt_tokens,
            "readers" => plan.helpers.len() + 1, "helpers" => helper_names(state, &plan),
            "part_ms" => format!("{:.1}", plan.part_ms),
            "engines" => basis.engines, "backlog_ms" => format!("{:.1}", basis.backlog_ms),
            "writers" => basis.decodes, "pass_ms" => format!("{:.1}", basis.pass_ms),
            "waited_ms" => (self.parts.clock.now() - job.arrived).as_millis() as u64);
        let urgency = urgency(&plan);
        let pick = Pick {
            fleet: self.clone(),
            service: service.clone(),
            endpoint,
            key: plan.first,
            readers: helpers.collect(),
            job: Some(plan.job),
            urgency,
        };
        self.tell(Event::Sent(service.name.clone(), plan), urgency);
        Ok(pick)
    }

    fn tell(&self, event: Event, urgency: Urgency) {
        self.tell_by(event, urgency, RelayPath::Primary);
    }

    fn tell_by(&self, event: Event, urgency: Urgency, path: RelayPath) {
        if let Some(broadcaster) = &self.parts.broadcaster {
            broadcaster.tell(event, urgency, path);
        }
    }

    fn find(&self, name: &ServiceName) -> Option<Arc<Service>> {
        self.services.read().get(name).cloned()
    }
}

/// A job that waits. Dropping it tells that it waits no longer.
struct Queue<'a> {
    fleet: &'a Fleet,
    service: &'a Service,
    job: JobId,
    told: Option<(Moment, bool)>,
}

impl Queue<'_> {
    /// Tells of the turn, where that is due.
    fn tell(&mut self, turn: Waiter) {
        let now = self.fleet.parts.clock.now();
        let is_due = self
            .told
            .is_none_or(|(at, blocked)| now - at >= TELL_TURN || blocked != turn.blocked);
        if is_due {
            let is_news = self.told.is_none_or(|(_, blocked)| blocked != turn.blocked);
            self.told = Some((now, turn.blocked));
            let event = Event::Queued(self.service.name.clone(), turn);
            let urgency = if is_news {
                Urgency::Urgent
            } else {
                Urgency::Usual
            };
            self.fleet.tell(event, urgency);
        }
    }
}

impl Drop for Queue<'_> {
    fn drop(&mut self) {
        if self.told.is_none() {
            return;
        }
        if let Policy::Engines(planner) = &mut self.service.state.lock().policy {
            planner.dequeue(self.job);
        }
        let event = Event::Cancelled(self.service.name.clone(), self.job);
        self.fleet.tell(event, Urgency::Urgent);
        self.service.changed.notify_waiters();
    }
}

/// Endpoints of one data centre are cut off together.
fn group(data_centre: &DataCentre) -> DataCentreKey {
    let name = EndpointId::new(data_centre.as_str());
    DataCentreKey(EndpointKey::of(&name, 0).0)
}

/// How soon hosts of other data centres have to hear of a job.
fn urgency(plan: &Plan) -> Urgency {
    if plan.has_long_prefill() {
        Urgency::Urgent
    } else {
        Urgency::Usual
    }
}

/// The names of the engines that help, for logs.
fn helper_names(state: &State, plan: &Plan) -> String {
    let helpers = plan.helpers.iter();
    let helpers = helpers.filter_map(|part| state.directory.get(&part.endpoint));
    let names: Vec<&str> = helpers.map(|helper| helper.id.as_str()).collect();
    names.join(",")
}

/// Jobs in groups that fit a datagram each.
fn batches(jobs: Vec<(Plan, bool)>) -> Vec<Vec<(Plan, bool)>> {
    let mut batches = Vec::new();
    let mut batch = Vec::new();
    let mut bytes = 0;
    for (plan, is_reading) in jobs {
        let size = PLAN_BYTES + PART_BYTES * plan.helpers.len();
        if bytes + size > BATCH_BYTES {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
        bytes += size;
        batch.push((plan, is_reading));
    }
    if !batch.is_empty() {
        batches.push(batch);
    }
    batches
}
