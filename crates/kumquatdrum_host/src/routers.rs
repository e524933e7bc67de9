//! The routers of all services, in shards with one lock each.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_routing::{CacheEvent, Health, Output, Progress, Request, Router, Settings, retry};
use kumquatdrum_types::endpoint::Kind;
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{
    Announcement, EndpointId, HostId, Moment, Refusal, RequestId, ServiceName,
};
use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use kumquatdrum_process::clock::Clock;

/// The number of shards; a service's name selects its shard.
const SHARDS: usize = 16;
/// The longest time between two ticks of a shard.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The router's decision on a request.
#[derive(Debug)]
pub enum Decision {
    /// The request is placed.
    Placed(Placement),
    /// The request is refused and doesn't run.
    Refused(Refusal, Option<Duration>),
}

/// The placement of one attempt.
#[derive(Debug, Clone)]
pub struct Placement {
    /// The endpoints and their memory in tokens; several if the prompt exceeds one engine.
    pub targets: Vec<(Target, u64)>,
    /// The router's number for the attempt.
    pub attempt: u64,
    /// The priority at the engine; lower goes first.
    pub priority: u8,
}

#[derive(Debug)]
struct Service {
    router: Router,
    targets: IndexMap<EndpointId, (Target, u64)>,
    waiting: IndexMap<RequestId, oneshot::Sender<Decision>>,
    budget: retry::Budget,
}

#[derive(Debug, Default)]
struct Shard {
    services: Mutex<IndexMap<ServiceName, Service>>,
    wake: Notify,
}

/// The routers of all services of one daemon.
#[derive(Debug)]
pub struct Routers {
    clock: Clock,
    owner: HostId,
    owners: Mutex<Vec<String>>,
    seed: u64,
    shards: Vec<Shard>,
}

impl Service {
    fn new(owner: &HostId, owners: &[String], seed: u64) -> Self {
        let settings = Settings::new(owner.as_str(), owners.iter().cloned());
        Self {
            router: Router::new(settings, seed),
            targets: IndexMap::new(),
            waiting: IndexMap::new(),
            budget: retry::Budget::default(),
        }
    }

    fn execute(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Dispatch(dispatch) => {
                    let targets = dispatch.endpoints.iter();
                    let targets = targets.filter_map(|id| self.targets.get(id).cloned());
                    let placement = Placement {
                        targets: targets.collect(),
                        attempt: dispatch.attempt,
                        priority: u8::MAX - dispatch.engine_priority,
                    };
                    self.send_decision(&dispatch.request, Decision::Placed(placement));
                }
                Output::Refuse(refuse) => {
                    let decision = Decision::Refused(refuse.reason, refuse.retry_after);
                    self.send_decision(&refuse.request, decision);
                }
                // Engines have no snapshot of their cache, so a resync can't be requested. The
                // router discounts its view of the cache until the engine restarts.
                Output::Resync(_) => {}
            }
        }
    }

    fn send_decision(&mut self, request: &RequestId, decision: Decision) {
        if let Some(waiting) = self.waiting.swap_remove(request) {
            // The receiver is gone only if the request was withdrawn.
            let _ = waiting.send(decision);
        }
    }
}

impl Routers {
    /// Creates routers without endpoints.
    pub fn new(clock: Clock, owner: HostId, owners: Vec<String>, seed: u64) -> Self {
        Self {
            clock,
            owner,
            owners: Mutex::new(owners),
            seed,
            shards: std::iter::repeat_with(Shard::default)
                .take(SHARDS)
                .collect(),
        }
    }

    fn shard(&self, service: &str) -> &Shard {
        let hash = service.bytes().fold(0_usize, |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(byte.into())
        });
        &self.shards[hash % SHARDS]
    }

    fn with_service<T>(
        &self,
        name: &ServiceName,
        work: impl FnOnce(&mut Service, Moment) -> T,
    ) -> T {
        let shard = self.shard(name.as_str());
        let mut services = shard.services.lock();
        let service = services
            .entry(name.clone())
            .or_insert_with(|| Service::new(&self.owner, &self.owners.lock(), self.seed));
        let due = service.router.next_tick();
        let result = work(service, self.clock.now());
        let is_earlier = service.router.next_tick() < due;
        drop(services);
        if is_earlier {
            shard.wake.notify_one();
        }
        result
    }

    /// Sets the hosts that share the endpoints, including this one.
    pub fn set_owners(&self, owners: Vec<String>) {
        for shard in &self.shards {
            for service in shard.services.lock().values_mut() {
                service.router.set_owners(owners.iter().cloned());
            }
        }
        *self.owners.lock() = owners;
    }

    /// Adds or updates an endpoint from its announcement.
    pub fn announce(&self, announcement: &Announcement) {
        self.with_service(&announcement.service, |service, now| {
            let target = Target {
                endpoint: announcement.endpoint.clone(),
                boot: announcement.boot,
                address: announcement.address,
            };
            let memory = match &announcement.kind {
                Kind::Engine(engine) => engine.memory_tokens,
                Kind::Plain => 0,
            };
            let endpoint = announcement.endpoint.clone();
            service.targets.insert(endpoint, (target, memory));
            let outputs = service.router.announce(now, announcement);
            service.execute(outputs);
        });
    }

    /// Sets the health of an endpoint.
    pub fn set_health(&self, name: &ServiceName, endpoint: &EndpointId, health: Health) {
        self.with_service(name, |service, now| {
            if health == Health::Gone {
                service.targets.swap_remove(endpoint);
            }
            let outputs = service.router.set_health(now, endpoint, health);
            service.execute(outputs);
        });
    }

    /// Applies a cache event of an engine. Returns whether events before it were lost.
    pub fn apply_cache_event(
        &self,
        name: &ServiceName,
        endpoint: &EndpointId,
        event: &CacheEvent,
    ) -> bool {
        self.with_service(name, |service, now| {
            !service
                .router
                .apply_cache_event(now, endpoint, event)
                .is_empty()
        })
    }

    /// Submits a request for placement. The receiver resolves with the decision.
    pub fn submit(&self, name: &ServiceName, request: Request) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        self.with_service(name, |service, now| {
            service.waiting.insert(request.id.clone(), sender);
            let outputs = service.router.submit(now, request);
            service.execute(outputs);
        });
        receiver
    }

    /// Withdraws a request. A decision that was already made is in the receiver.
    pub fn withdraw(&self, name: &ServiceName, request: &RequestId) {
        self.with_service(name, |service, now| {
            service.router.withdraw(now, request);
            service.waiting.swap_remove(request);
        });
    }

    /// Reports the progress of an attempt.
    pub fn record_progress(&self, name: &ServiceName, attempt: u64, progress: Progress) {
        self.with_service(name, |service, now| {
            let outputs = service.router.record_progress(now, attempt, progress);
            service.execute(outputs);
        });
    }

    /// Counts a request towards the service's retry budget.
    pub fn record_request(&self, name: &ServiceName) {
        self.with_service(name, |service, _| service.budget.record_request());
    }

    /// Takes a retry from the service's budget. Returns `false` if it is exhausted.
    pub fn take_retry(&self, name: &ServiceName) -> bool {
        self.with_service(name, |service, _| service.budget.try_take())
    }

    /// Returns the endpoints of a service that aren't gone.
    pub fn targets(&self, name: &ServiceName) -> Vec<Target> {
        let shard = self.shard(name.as_str());
        let services = shard.services.lock();
        services
            .get(name)
            .map(|service| {
                service
                    .targets
                    .values()
                    .map(|(target, _)| target.clone())
                    .collect()
            })
            .unwrap_or_default()
    }

    /// Ticks the routers until `stopped` turns true.
    pub async fn run(self: Arc<Self>, mut stopped: tokio::sync::watch::Receiver<bool>) {
        let mut tasks = tokio::task::JoinSet::new();
        for index in 0..SHARDS {
            let routers = Arc::clone(&self);
            tasks.spawn(async move { routers.run_shard(index).await });
        }
        let _ = stopped.wait_for(|stopped| *stopped).await;
        tasks.shutdown().await;
    }

    async fn run_shard(&self, index: usize) {
        let shard = &self.shards[index];
        loop {
            let next = shard.tick(self.clock.now());
            let latest = self.clock.now() + MAX_SLEEP;
            let due = self.clock.instant(next.min(latest));
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = shard.wake.notified() => {}
            }
        }
    }
}

impl Shard {
    /// Ticks the routers that are due and returns the time of the next tick.
    fn tick(&self, now: Moment) -> Moment {
        let mut next = Moment::NEVER;
        for service in self.services.lock().values_mut() {
            if service.router.next_tick() <= now {
                let outputs = service.router.tick(now);
                service.execute(outputs);
            }
            next = next.min(service.router.next_tick());
        }
        next
    }
}
