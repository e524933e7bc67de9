//! The routers of all services, in shards, a lock each.

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

/// Shards; services spread over them by their names.
const SHARDS: usize = 16;
/// A router without a due time is looked at this often all the same.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// Where a request goes, or why nowhere.
#[derive(Debug)]
pub enum Decision {
    /// Send it there.
    Placed(Placement),
    /// Nothing of it runs.
    Refused(Refusal, Option<Duration>),
}

/// A dispatch that the router decided on.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Where to, with each endpoint's memory in tokens; several for a prompt that exceeds one.
    pub targets: Vec<(Target, u64)>,
    /// The router's number of the attempt.
    pub attempt: u64,
    /// The priority for the engine; lower goes first.
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
    woken: Notify,
}

/// All routers of one daemon.
#[derive(Debug)]
pub struct Fleet {
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

    fn tell(&mut self, outputs: Vec<Output>) {
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
                    self.decided(&dispatch.request, Decision::Placed(placement));
                }
                Output::Refuse(refuse) => {
                    let decision = Decision::Refused(refuse.reason, refuse.retry_after);
                    self.decided(&refuse.request, decision);
                }
                // Engines have no whole list to offer beyond the events that they still keep, which
                // are read from the start after a restart. Until then the router halves what it
                // believes of the endpoint.
                Output::Resync(_) => {}
            }
        }
    }

    fn decided(&mut self, request: &RequestId, decision: Decision) {
        if let Some(waiting) = self.waiting.swap_remove(request) {
            // A request that is gone has withdrawn, and takes the decision out itself.
            let _ = waiting.send(decision);
        }
    }
}

impl Fleet {
    /// Routers without endpoints.
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

    fn with<T>(&self, name: &ServiceName, work: impl FnOnce(&mut Service, Moment) -> T) -> T {
        let shard = self.shard(name.as_str());
        let mut services = shard.services.lock();
        let service = services
            .entry(name.clone())
            .or_insert_with(|| Service::new(&self.owner, &self.owners.lock(), self.seed));
        let due = service.router.next_wake();
        let result = work(service, self.clock.now());
        let is_earlier = service.router.next_wake() < due;
        drop(services);
        if is_earlier {
            shard.woken.notify_one();
        }
        result
    }

    /// Sets the hosts that share the endpoints.
    pub fn set_owners(&self, owners: Vec<String>) {
        for shard in &self.shards {
            for service in shard.services.lock().values_mut() {
                service.router.set_owners(owners.iter().cloned());
            }
        }
        *self.owners.lock() = owners;
    }

    /// Takes in an announcement.
    pub fn announce(&self, announcement: &Announcement) {
        self.with(&announcement.service, |service, now| {
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
            service.tell(outputs);
        });
    }

    /// Takes in what membership holds of an endpoint.
    pub fn health(&self, name: &ServiceName, endpoint: &EndpointId, health: Health) {
        self.with(name, |service, now| {
            if health == Health::Gone {
                service.targets.swap_remove(endpoint);
            }
            let outputs = service.router.set_health(now, endpoint, health);
            service.tell(outputs);
        });
    }

    /// Takes in a cache event; tells whether events were lost before it.
    pub fn cache(&self, name: &ServiceName, endpoint: &EndpointId, event: &CacheEvent) -> bool {
        self.with(name, |service, now| {
            !service
                .router
                .apply_cache_event(now, endpoint, event)
                .is_empty()
        })
    }

    /// Asks for a place; the decision arrives when it is made.
    pub fn submit(&self, name: &ServiceName, ask: Request) -> oneshot::Receiver<Decision> {
        let (sender, receiver) = oneshot::channel();
        self.with(name, |service, now| {
            service.waiting.insert(ask.id.clone(), sender);
            let outputs = service.router.submit(now, ask);
            service.tell(outputs);
        });
        receiver
    }

    /// Takes a request back. Where the decision was already made it is in the receiver.
    pub fn withdraw(&self, name: &ServiceName, request: &RequestId) {
        self.with(name, |service, now| {
            service.router.withdraw(now, request);
            service.waiting.swap_remove(request);
        });
    }

    /// Tells the router how an attempt goes.
    pub fn progress(&self, name: &ServiceName, attempt: u64, progress: Progress) {
        self.with(name, |service, now| {
            let outputs = service.router.record_progress(now, attempt, progress);
            service.tell(outputs);
        });
    }

    /// Notes a request in the service's retry budget.
    pub fn request(&self, name: &ServiceName) {
        self.with(name, |service, _| service.budget.record_request());
    }

    /// Takes a retry out of the service's budget; `false` where none is left.
    pub fn retry(&self, name: &ServiceName) -> bool {
        self.with(name, |service, _| service.budget.try_take())
    }

    /// The endpoints of a service that are not gone.
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

    /// Keeps the routers' times until `stopped` resolves.
    pub async fn run(self: Arc<Self>, mut stopped: tokio::sync::watch::Receiver<bool>) {
        let mut tasks = tokio::task::JoinSet::new();
        for place in 0..SHARDS {
            let fleet = Arc::clone(&self);
            tasks.spawn(async move { fleet.keep_time(place).await });
        }
        let _ = stopped.wait_for(|stopped| *stopped).await;
        tasks.shutdown().await;
    }

    async fn keep_time(&self, place: usize) {
        let shard = &self.shards[place];
        loop {
            let next = shard.tick(self.clock.now());
            let longest = self.clock.now() + LONGEST_SLEEP;
            let due = self.clock.instant(next.min(longest));
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = shard.woken.notified() => {}
            }
        }
    }
}

impl Shard {
    /// Ticks the routers that are due and says when the next one is.
    fn tick(&self, now: Moment) -> Moment {
        let mut next = Moment::NEVER;
        for service in self.services.lock().values_mut() {
            if service.router.next_wake() <= now {
                let outputs = service.router.tick(now);
                service.tell(outputs);
            }
            next = next.min(service.router.next_wake());
        }
        next
    }
}
