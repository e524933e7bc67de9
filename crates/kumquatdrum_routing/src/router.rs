//! Routes the requests of one service: queue, dispatches and endpoint state.

use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{Announcement, BootId, EndpointId, Moment, Refusal, RequestId, hash};

use crate::drain;
use crate::endpoint;
use crate::policy::{FIRST_PRIORITY, Latency, Placement, Policy};
use crate::pool::{EndpointIndex, Pool};
use crate::queue::{Queue, Ticket, work_tokens};
use crate::{
    CacheEvent, Dispatch, Failure, Health, Job, Output, Progress, Refuse, Request, Settings, Size,
};

/// The interval at which waiting requests are placed again without other events.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The interval at which out-of-sync endpoints are asked for a cache snapshot.
const RESYNC_INTERVAL: Duration = Duration::from_secs(5);
/// The advised retry time without an endpoint or a wait estimate, and the shortest one while the
/// queue is full.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The shortest advised retry time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The number of engine priorities per priority level.
const LEVEL_STEP: u8 = 4;
/// The highest level that engine priorities distinguish.
const MAX_LEVEL: u8 = 60;

#[derive(Debug)]
struct Entry {
    job: Job,
    ticket: Ticket,
}

#[derive(Debug)]
struct Attempt {
    sent: Moment,
    first_token: Option<Moment>,
    /// Prompt tokens on each endpoint.
    tokens: u64,
    size: Size,
    /// Endpoints, each with its incarnation and the backlog before the attempt, in tokens.
    endpoints: Vec<(EndpointId, BootId, f64)>,
}

/// The router of one service.
///
/// ```
/// use kumquatdrum_routing::{
///     Output, Priority, Progress, Request, RequestKind, Router, Settings, Usage,
/// };
/// use kumquatdrum_types::endpoint::Kind;
/// use kumquatdrum_types::{Announcement, BootId, Moment};
///
/// let mut router = Router::new(Settings::new("host-1", ["host-1"]), 0);
/// let announcement = Announcement {
///     endpoint: "salon-api-1".into(),
///     boot: BootId(1),
///     sequence: 1,
///     service: "salon-api".into(),
///     address: ([127, 0, 0, 1], 8080).into(),
///     data_centre: "hall-raatuse".into(),
///     kind: Kind::Plain,
///     leaving: false,
/// };
/// assert!(router.announce(Moment::ZERO, &announcement).is_empty());
///
/// let request = Request {
///     id: "r-1".into(),
///     workspace: "salon".into(),
///     weight: 1,
///     priority: Priority::default(),
///     prompt_tokens: 0,
///     expected_output_tokens: 0,
///     prefix: Vec::new(),
///     deadline: Moment::from_millis(5_000),
///     excluded: Vec::new(),
///     kind: RequestKind::Plain,
/// };
/// let outputs = router.submit(Moment::ZERO, request);
/// let [Output::Dispatch(dispatch)] = outputs.as_slice() else {
///     panic!("dispatched at once");
/// };
/// assert_eq!(dispatch.endpoints, ["salon-api-1".into()]);
///
/// let finished = Progress::Finished(Usage::default());
/// let _ = router.record_progress(Moment::from_millis(40), dispatch.attempt, finished);
/// assert_eq!(router.in_flight(), 0);
/// ```
#[derive(Debug)]
pub struct Router {
    pool: Pool,
    policy: Box<dyn Policy>,
    queues: [Queue; 4],
    drain_rates: [drain::Rate; 4],
    waiting: IndexMap<RequestId, Entry>,
    latest_starts: BTreeSet<(Moment, RequestId)>,
    attempts: IndexMap<u64, Attempt>,
    last_attempt: u64,
    next_resync: Moment,
    next_retry: Moment,
}

impl Router {
    /// Creates a router with the default policy. The seed should differ between daemons.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let seed = seed ^ hash::of(&settings.owner);
        Self::with_policy(settings, Box::new(Latency::new(seed)))
    }

    /// Creates a router with the given policy.
    pub fn with_policy(settings: Settings, policy: Box<dyn Policy>) -> Self {
        Self {
            pool: Pool::new(settings),
            policy,
            queues: Default::default(),
            drain_rates: Default::default(),
            waiting: IndexMap::new(),
            latest_starts: BTreeSet::new(),
            attempts: IndexMap::new(),
            last_attempt: 0,
            next_resync: Moment::ZERO,
            next_retry: Moment::NEVER,
        }
    }

    /// Sets the owners that share the endpoints, including this one.
    pub fn set_owners(&mut self, owners: impl IntoIterator<Item = impl Into<String>>) {
        let owners = owners.into_iter().map(Into::into).collect();
        self.pool.set_owners(owners);
    }

    /// Applies an announcement, including its load report.
    #[must_use]
    pub fn announce(&mut self, now: Moment, announcement: &Announcement) -> Vec<Output> {
        self.pool.announce(now, announcement);
        self.step(now)
    }

    /// Sets the health of an endpoint according to membership.
    #[must_use]
    pub fn set_health(&mut self, now: Moment, id: &EndpointId, health: Health) -> Vec<Output> {
        self.pool.set_health(id, health);
        self.step(now)
    }

    /// Applies a cache event; requests a snapshot if events were lost.
    #[must_use]
    pub fn apply_cache_event(
        &mut self,
        now: Moment,
        id: &EndpointId,
        event: &CacheEvent,
    ) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.pool.apply_cache_event(id, event) {
            self.next_resync = self.next_resync.max(now + RESYNC_INTERVAL);
            outputs.push(Output::Resync(id.clone()));
        }
        outputs
    }

    /// Submits a request. It ends in exactly one dispatch or refusal, unless it is withdrawn.
    #[must_use]
    pub fn submit(&mut self, now: Moment, request: Request) -> Vec<Output> {
        let largest_memory = self.pool.largest_memory();
        let size = Size::classify(&self.pool.settings, &request, largest_memory);
        let rates = &self.pool.rates;
        let service_time =
            rates.service_time(size, request.prompt_tokens, request.expected_output_tokens);
        // Service times are estimates; refuse only requests that would need twice the estimated
        // speed.
        let latest_start = request.deadline.saturating_sub(service_time / 2);
        let job = Job {
            request,
            size,
            arrived: now,
            latest_start,
        };
        self.policy.record_arrival(now, &job, &self.pool);
        if let Err(refuse) = self.admit(now, &job) {
            return vec![Output::Refuse(refuse)];
        }
        self.enqueue(now, job);
        self.step(now)
    }

    fn admit(&self, now: Moment, job: &Job) -> Result<(), Refuse> {
        let refuse = |reason: Refusal, retry_after: Option<Duration>| Refuse {
            request: job.request.id.clone(),
            reason,
            retry_after,
        };
        let queue = &self.queues[job.size.index()];
        let request = &job.request;
        let ahead = queue.work_ahead(request.priority.level, &request.workspace, request.weight);
        let wait = self.drain_rates[job.size.index()].estimate_time(now, ahead);
        let wait = wait.unwrap_or_default();
        match job.size {
            _ if self.pool.candidates().is_empty() => {
                Err(refuse(Refusal::NoEndpoint, Some(DEFAULT_RETRY_AFTER)))
            }
            Size::Spanning if self.total_memory() < job.memory_tokens() => {
                Err(refuse(Refusal::PromptTooLong, None))
            }
            _ if self.waiting.contains_key(&request.id) => Err(refuse(Refusal::BadRequest, None)),
            _ if self.waiting.len() >= self.pool.settings.queue_limit => Err(refuse(
                Refusal::Overloaded,
                Some(wait.max(DEFAULT_RETRY_AFTER)),
            )),
            _ if now >= job.latest_start => Err(refuse(
                Refusal::DeadlineBeforeDispatch,
                Some(MIN_RETRY_AFTER.max(wait)),
            )),
            _ if now + wait > job.latest_start => {
                let late = (now + wait) - job.latest_start;
                Err(refuse(Refusal::Overloaded, Some(late.max(MIN_RETRY_AFTER))))
            }
            _ => Ok(()),
        }
    }

    fn total_memory(&self) -> u64 {
        let candidates = self.pool.candidates().iter();
        candidates.fold(0, |sum, &index| {
            sum.saturating_add(self.pool.endpoint(index).memory_tokens())
        })
    }

    fn enqueue(&mut self, now: Moment, job: Job) {
        let class = job.size.index();
        let ticket = self.queues[class].push(&job);
        self.drain_rates[class].mark_busy(now);
        let id = job.request.id.clone();
        self.latest_starts.insert((job.latest_start, id.clone()));
        self.waiting.insert(id, Entry { job, ticket });
    }

    /// Withdraws a waiting request; returns `false` if it is not waiting.
    pub fn withdraw(&mut self, now: Moment, id: &RequestId) -> bool {
        self.dequeue(now, id, false).is_some()
    }

    fn dequeue(&mut self, now: Moment, id: &RequestId, is_served: bool) -> Option<Job> {
        let Entry { job, ticket } = self.waiting.swap_remove(id)?;
        self.latest_starts.remove(&(job.latest_start, id.clone()));
        let class = job.size.index();
        self.queues[class].remove(&job.request.workspace, &ticket, is_served);
        let is_empty = self.queues[class].len() == 0;
        self.drain_rates[class].record_departure(
            now,
            if is_served { work_tokens(&job) } else { 0 },
            is_empty,
        );
        Some(job)
    }

    /// Records the progress of an attempt; unknown attempts are ignored.
    #[must_use]
    pub fn record_progress(
        &mut self,
        now: Moment,
        attempt: u64,
        progress: Progress,
    ) -> Vec<Output> {
        match progress {
            Progress::Started => {}
            Progress::FirstToken => self.record_first_token(now, attempt),
            Progress::Finished(usage) => {
                self.record_first_token(now, attempt);
                self.end_attempt(now, attempt, usage.output_tokens, None);
            }
            Progress::Failed(failure) => self.end_attempt(now, attempt, 0, Some(failure)),
        }
        self.step(now)
    }

    fn record_first_token(&mut self, now: Moment, number: u64) {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return;
        };
        if attempt.first_token.is_some() {
            return;
        }
        attempt.first_token = Some(now);
        let duration = (now - attempt.sent).as_secs_f64().max(1e-6);
        for (id, boot, ahead) in &attempt.endpoints {
            let Some(index) = find_incarnation(&self.pool, id, *boot) else {
                continue;
            };
            self.pool.endpoint_mut(index).record_first_token(number);
            // The prompt may have overtaken part of the backlog, so its time gives no valid rate.
            if *ahead > attempt.tokens as f64 {
                continue;
            }
            let sample = (attempt.tokens as f64 + ahead) / duration;
            let usual = self.pool.rates.prefill(attempt.size);
            let endpoint = self.pool.endpoint_mut(index);
            crate::rate::update_speed_factor(&mut endpoint.speed_factor, sample / usual);
            self.pool.rates.record_prefill(attempt.size, sample);
        }
    }

    fn end_attempt(&mut self, now: Moment, number: u64, output: u64, failure: Option<Failure>) {
        let Some(attempt) = self.attempts.swap_remove(&number) else {
            return;
        };
        if let Some(first) = attempt.first_token {
            self.pool.rates.record_output(now - first, output);
        }
        // With several engines, it is unknown which one failed.
        let is_single = attempt.endpoints.len() == 1;
        let is_fault = is_single && !matches!(failure, None | Some(Failure::Cancelled));
        for (id, boot, _) in &attempt.endpoints {
            let Some(index) = find_incarnation(&self.pool, id, *boot) else {
                continue;
            };
            let endpoint = self.pool.endpoint_mut(index);
            endpoint.record_end(number);
            if is_fault {
                endpoint.record_failure(now);
            }
        }
    }

    /// Performs all actions that are due. Call it at [`Router::next_tick`].
    #[must_use]
    pub fn tick(&mut self, now: Moment) -> Vec<Output> {
        let mut outputs = self.step(now);
        if now >= self.next_resync {
            self.next_resync = now + RESYNC_INTERVAL;
            outputs.extend(self.pool.out_of_sync().iter().cloned().map(Output::Resync));
        }
        outputs
    }

    /// Returns when to call [`Router::tick`] at the latest.
    pub fn next_tick(&self) -> Moment {
        let deadline = self
            .latest_starts
            .first()
            .map_or(Moment::NEVER, |(at, _)| *at);
        let resync = if self.pool.out_of_sync().is_empty() {
            Moment::NEVER
        } else {
            self.next_resync
        };
        deadline.min(self.next_retry).min(resync)
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns the endpoints known to this router.
    pub const fn pool(&self) -> &Pool {
        &self.pool
    }

    fn step(&mut self, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.refuse_expired(now, &mut outputs);
        for size in Size::ALL {
            self.dispatch_all(now, size, &mut outputs);
        }
        self.next_retry = if self.waiting.is_empty() {
            Moment::NEVER
        } else {
            now + RETRY_INTERVAL
        };
        outputs
    }

    /// Refuses requests that can no longer meet their deadline.
    fn refuse_expired(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        while let Some((_, id)) = self.latest_starts.first().filter(|(at, _)| *at <= now) {
            let id = id.clone();
            self.refuse(now, &id, Refusal::DeadlineBeforeDispatch, outputs);
        }
    }

    fn refuse(&mut self, now: Moment, id: &RequestId, reason: Refusal, outputs: &mut Vec<Output>) {
        let Some(job) = self.dequeue(now, id, false) else {
            return;
        };
        let class = job.size.index();
        let request = &job.request;
        let ahead = self.queues[class].work_ahead(
            request.priority.level,
            &request.workspace,
            request.weight,
        );
        let wait = self.drain_rates[class].estimate_time(now, ahead);
        let retry_after = wait.unwrap_or(DEFAULT_RETRY_AFTER).max(MIN_RETRY_AFTER);
        outputs.push(Output::Refuse(Refuse {
            request: id.clone(),
            reason,
            retry_after: Some(retry_after),
        }));
    }

    fn dispatch_all(&mut self, now: Moment, size: Size, outputs: &mut Vec<Output>) {
        while let Some(id) = self.queues[size.index()].head().cloned() {
            let Some(waiting) = self.waiting.get(&id) else {
                return;
            };
            match self.policy.place(now, &waiting.job, &self.pool) {
                Placement::One(index) => self.dispatch(now, &id, &[index], outputs),
                Placement::Several(indices) => self.dispatch(now, &id, &indices, outputs),
                Placement::Impossible => self.refuse(now, &id, Refusal::NoEndpoint, outputs),
                Placement::Wait => return,
            }
        }
    }

    fn dispatch(
        &mut self,
        now: Moment,
        id: &RequestId,
        endpoints: &[EndpointIndex],
        outputs: &mut Vec<Output>,
    ) {
        let Some(job) = self.dequeue(now, id, true) else {
            return;
        };
        self.last_attempt += 1;
        let number = self.last_attempt;
        let base = self.policy.engine_priority(now, &job, &self.pool);
        let level = job.request.priority.level.min(MAX_LEVEL);
        let endpoint_count = endpoints.len().max(1) as u64;
        let mut attempt = Attempt {
            sent: now,
            first_token: None,
            tokens: job.prefill_tokens() / endpoint_count,
            size: job.size,
            endpoints: Vec::with_capacity(endpoints.len()),
        };
        for &index in endpoints {
            let rate = self.pool.rates.backlog_rate();
            let endpoint = self.pool.endpoint_mut(index);
            let ahead = endpoint.backlog_tokens(now, rate);
            attempt
                .endpoints
                .push((endpoint.id.clone(), endpoint.boot, ahead));
            let memory_tokens = job.memory_tokens() / endpoint_count;
            let load = endpoint::Load {
                attempt: number,
                tokens: attempt.tokens,
                memory_tokens,
                size: job.size,
                has_first_priority: base == FIRST_PRIORITY,
            };
            endpoint.record_dispatch(now, load);
        }
        outputs.push(Output::Dispatch(Dispatch {
            request: id.clone(),
            endpoints: attempt
                .endpoints
                .iter()
                .map(|endpoint| endpoint.0.clone())
                .collect(),
            attempt: number,
            engine_priority: level * LEVEL_STEP + base,
        }));
        self.attempts.insert(number, attempt);
    }
}

/// Returns the index of an endpoint if it is still in this incarnation.
fn find_incarnation(pool: &Pool, id: &EndpointId, boot: BootId) -> Option<EndpointIndex> {
    let index = pool.find(id)?;
    (pool.endpoint(index).boot == boot).then_some(index)
}
