//! The router of one service: the queue, the dispatches and what is known of the endpoints.

use std::collections::BTreeSet;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{Announcement, BootId, EndpointId, Moment, Refusal, RequestId, hash};

use crate::drain::Drain;
use crate::fleet::{Fleet, SlotIndex};
use crate::policy::{Estimated, FIRST_PRIORITY, Placement, Policy};
use crate::queue::{Queue, Ticket, work};
use crate::slot::Load;
use crate::{
    CacheEvent, Dispatch, Failure, Health, Job, Output, Progress, Refuse, Request, Settings, Size,
};

/// How often a request that found no place is tried again, where nothing else happens.
const RETRY: Duration = Duration::from_millis(50);
/// How often an endpoint with a doubtful cache is asked for a whole list.
const RESYNC: Duration = Duration::from_secs(5);
/// When to come back where no endpoint is known.
const NO_ENDPOINT_RETRY: Duration = Duration::from_secs(1);
/// The shortest wait that a refused caller is told.
const SHORTEST_RETRY: Duration = Duration::from_millis(100);
/// Steps between two priority levels in the priority that engines get.
const LEVEL_STEP: u8 = 4;
/// The highest level that engines tell apart.
const HIGHEST_LEVEL: u8 = 60;

#[derive(Debug)]
struct Waiting {
    job: Job,
    ticket: Ticket,
}

#[derive(Debug)]
struct Attempt {
    sent: Moment,
    first_token: Option<Moment>,
    tokens: u64,
    size: Size,
    /// Where it went and in which life, with the work that stood before it, in tokens.
    places: Vec<(EndpointId, BootId, f64)>,
}

/// The router of one service.
///
/// ```
/// use kumquatdrum_routing::{Request, Output, Priority, Progress, Router, Settings, Usage, RequestKind};
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
/// let ask = Request {
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
/// let outputs = router.submit(Moment::ZERO, ask);
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
    fleet: Fleet,
    policy: Box<dyn Policy>,
    queues: [Queue; 4],
    drains: [Drain; 4],
    waiting: IndexMap<RequestId, Waiting>,
    latest_starts: BTreeSet<(Moment, RequestId)>,
    attempts: IndexMap<u64, Attempt>,
    last_attempt: u64,
    next_resync: Moment,
    next_retry: Moment,
}

impl Router {
    /// A router with the chosen policy. The seed should differ from daemon to daemon.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let seed = seed ^ hash::of(&settings.owner);
        Self::with_policy(settings, Box::new(Estimated::new(seed)))
    }

    /// A router with another policy.
    pub fn with_policy(settings: Settings, policy: Box<dyn Policy>) -> Self {
        Self {
            fleet: Fleet::new(settings),
            policy,
            queues: Default::default(),
            drains: Default::default(),
            waiting: IndexMap::new(),
            latest_starts: BTreeSet::new(),
            attempts: IndexMap::new(),
            last_attempt: 0,
            next_resync: Moment::ZERO,
            next_retry: Moment::NEVER,
        }
    }

    /// Sets the owners of all daemons that share the endpoints, this one included.
    pub fn set_owners(&mut self, owners: impl IntoIterator<Item = impl Into<String>>) {
        let owners = owners.into_iter().map(Into::into).collect();
        self.fleet.set_owners(owners);
    }

    /// Takes in an announcement or its renewal, with the load report in it.
    #[must_use]
    pub fn announce(&mut self, now: Moment, announcement: &Announcement) -> Vec<Output> {
        self.fleet.announce(now, announcement);
        self.step(now)
    }

    /// Takes in what membership holds of an endpoint.
    #[must_use]
    pub fn set_health(
        &mut self,
        now: Moment,
        endpoint: &EndpointId,
        health: Health,
    ) -> Vec<Output> {
        self.fleet.health(endpoint, health);
        self.step(now)
    }

    /// Takes in a cache event; asks for a whole list where events were lost.
    #[must_use]
    pub fn apply_cache_event(
        &mut self,
        now: Moment,
        endpoint: &EndpointId,
        event: &CacheEvent,
    ) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.fleet.cache(endpoint, event) {
            self.next_resync = self.next_resync.max(now + RESYNC);
            outputs.push(Output::Resync(endpoint.clone()));
        }
        outputs
    }

    /// Takes in a request. It ends in exactly one dispatch or refusal, or in its withdrawal.
    #[must_use]
    pub fn submit(&mut self, now: Moment, ask: Request) -> Vec<Output> {
        let memory = self.fleet.largest_memory();
        let size = Size::of(&self.fleet.settings, &ask, memory);
        let rates = &self.fleet.rates;
        let service = rates.service_time(size, ask.prompt_tokens, ask.expected_output_tokens);
        // Estimates err; only what would need twice the usual speed is beyond hope.
        let need = u64::try_from(service.as_micros()).unwrap_or(u64::MAX) / 2;
        let latest_start = Moment {
            micros: ask.deadline.micros.saturating_sub(need),
        };
        let job = Job {
            ask,
            size,
            since: now,
            latest_start,
        };
        self.policy.arrived(now, &job, &self.fleet);
        if let Err(refuse) = self.admit(now, &job) {
            return vec![Output::Refuse(refuse)];
        }
        self.enqueue(now, job);
        self.step(now)
    }

    fn admit(&self, now: Moment, job: &Job) -> Result<(), Refuse> {
        let refuse = |reason: Refusal, retry_after: Option<Duration>| Refuse {
            request: job.ask.id.clone(),
            reason,
            retry_after,
        };
        let queue = &self.queues[job.size.index()];
        let ask = &job.ask;
        let ahead = queue.ahead(ask.priority.level, &ask.workspace, ask.weight);
        let wait = self.drains[job.size.index()].time_for(now, ahead);
        let wait = wait.unwrap_or_default();
        match job.size {
            _ if self.fleet.candidates().is_empty() => {
                Err(refuse(Refusal::NoEndpoint, Some(NO_ENDPOINT_RETRY)))
            }
            Size::Spanning if self.total_memory() < job.memory_tokens() => {
                Err(refuse(Refusal::PromptTooLong, None))
            }
            _ if self.waiting.contains_key(&ask.id) => Err(refuse(Refusal::BadRequest, None)),
            _ if self.waiting.len() >= self.fleet.settings.queue_limit => Err(refuse(
                Refusal::Overloaded,
                Some(wait.max(NO_ENDPOINT_RETRY)),
            )),
            _ if now >= job.latest_start => Err(refuse(
                Refusal::DeadlineBeforeDispatch,
                Some(SHORTEST_RETRY.max(wait)),
            )),
            _ if now + wait > job.latest_start => {
                let late = (now + wait) - job.latest_start;
                Err(refuse(Refusal::Overloaded, Some(late.max(SHORTEST_RETRY))))
            }
            _ => Ok(()),
        }
    }

    fn total_memory(&self) -> u64 {
        let candidates = self.fleet.candidates().iter();
        candidates.fold(0, |sum, &index| {
            sum.saturating_add(self.fleet.slot(index).memory())
        })
    }

    fn enqueue(&mut self, now: Moment, job: Job) {
        let class = job.size.index();
        let ticket = self.queues[class].push(&job);
        self.drains[class].busy(now);
        let request = job.ask.id.clone();
        self.latest_starts
            .insert((job.latest_start, request.clone()));
        self.waiting.insert(request, Waiting { job, ticket });
    }

    /// Takes a request back that still waits; `false` where it does not wait any more.
    pub fn withdraw(&mut self, now: Moment, request: &RequestId) -> bool {
        self.dequeue(now, request, false).is_some()
    }

    fn dequeue(&mut self, now: Moment, request: &RequestId, served: bool) -> Option<Job> {
        let Waiting { job, ticket } = self.waiting.swap_remove(request)?;
        self.latest_starts
            .remove(&(job.latest_start, request.clone()));
        let class = job.size.index();
        self.queues[class].take(&job.ask.workspace, &ticket, served);
        let is_empty = self.queues[class].len() == 0;
        self.drains[class].left(now, if served { work(&job) } else { 0 }, is_empty);
        Some(job)
    }

    /// Takes in how far an attempt has come; attempts that it doesn't know are ignored.
    #[must_use]
    pub fn record_progress(
        &mut self,
        now: Moment,
        attempt: u64,
        progress: Progress,
    ) -> Vec<Output> {
        match progress {
            Progress::Started => {}
            Progress::FirstToken => self.first_token(now, attempt),
            Progress::Finished(usage) => {
                self.first_token(now, attempt);
                self.ended(now, attempt, usage.output_tokens, None);
            }
            Progress::Failed(failure) => self.ended(now, attempt, 0, Some(failure)),
        }
        self.step(now)
    }

    fn first_token(&mut self, now: Moment, number: u64) {
        let Some(attempt) = self.attempts.get_mut(&number) else {
            return;
        };
        if attempt.first_token.is_some() {
            return;
        }
        attempt.first_token = Some(now);
        let taken = (now - attempt.sent).as_secs_f64().max(1e-6);
        for (endpoint, boot, ahead) in &attempt.places {
            let Some(index) = life(&self.fleet, endpoint, *boot) else {
                continue;
            };
            self.fleet.slot_mut(index).first_token(number);
            // A prompt may have passed much of what stood before it: that tells no rate.
            if *ahead > attempt.tokens as f64 {
                continue;
            }
            let sample = (attempt.tokens as f64 + ahead) / taken;
            let usual = self.fleet.rates.prefill(attempt.size);
            let slot = self.fleet.slot_mut(index);
            crate::rate::learn_factor(&mut slot.factor, sample / usual);
            self.fleet.rates.learn_prefill(attempt.size, sample);
        }
    }

    fn ended(&mut self, now: Moment, number: u64, output: u64, failure: Option<Failure>) {
        let Some(attempt) = self.attempts.swap_remove(&number) else {
            return;
        };
        if let Some(first) = attempt.first_token {
            self.fleet.rates.learn_output(now - first, output);
        }
        // Of several engines, it is not known which one failed.
        let is_single = attempt.places.len() == 1;
        let is_fault = is_single && !matches!(failure, None | Some(Failure::Cancelled));
        for (endpoint, boot, _) in &attempt.places {
            let Some(index) = life(&self.fleet, endpoint, *boot) else {
                continue;
            };
            let slot = self.fleet.slot_mut(index);
            slot.ended(number);
            if is_fault {
                slot.failed(now);
            }
        }
    }

    /// Does what is due by now. Call it at [`Router::next_wake`].
    #[must_use]
    pub fn tick(&mut self, now: Moment) -> Vec<Output> {
        let mut outputs = self.step(now);
        if now >= self.next_resync {
            self.next_resync = now + RESYNC;
            outputs.extend(self.fleet.doubtful().iter().cloned().map(Output::Resync));
        }
        outputs
    }

    /// When to call [`Router::tick`] at the latest.
    pub fn next_wake(&self) -> Moment {
        let deadline = self
            .latest_starts
            .first()
            .map_or(Moment::NEVER, |(at, _)| *at);
        let resync = if self.fleet.doubtful().is_empty() {
            Moment::NEVER
        } else {
            self.next_resync
        };
        deadline.min(self.next_retry).min(resync)
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Attempts that were dispatched and have not ended.
    pub fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// The endpoints, as this router knows them.
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    fn step(&mut self, now: Moment) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.give_up(now, &mut outputs);
        for size in Size::ALL {
            self.dispatch_all(now, size, &mut outputs);
        }
        self.next_retry = if self.waiting.is_empty() {
            Moment::NEVER
        } else {
            now + RETRY
        };
        outputs
    }

    /// Refuses what can't meet its deadline any more.
    fn give_up(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        while let Some((_, request)) = self.latest_starts.first().filter(|(at, _)| *at <= now) {
            let request = request.clone();
            self.refuse(now, &request, Refusal::DeadlineBeforeDispatch, outputs);
        }
    }

    fn refuse(
        &mut self,
        now: Moment,
        request: &RequestId,
        reason: Refusal,
        outputs: &mut Vec<Output>,
    ) {
        let Some(job) = self.dequeue(now, request, false) else {
            return;
        };
        let class = job.size.index();
        let ask = &job.ask;
        let ahead = self.queues[class].ahead(ask.priority.level, &ask.workspace, ask.weight);
        let wait = self.drains[class].time_for(now, ahead);
        let retry_after = wait.unwrap_or(NO_ENDPOINT_RETRY).max(SHORTEST_RETRY);
        outputs.push(Output::Refuse(Refuse {
            request: request.clone(),
            reason,
            retry_after: Some(retry_after),
        }));
    }

    fn dispatch_all(&mut self, now: Moment, size: Size, outputs: &mut Vec<Output>) {
        while let Some(request) = self.queues[size.index()].head().cloned() {
            let Some(waiting) = self.waiting.get(&request) else {
                return;
            };
            match self.policy.place(now, &waiting.job, &self.fleet) {
                Placement::One(index) => self.dispatch(now, &request, &[index], outputs),
                Placement::Several(indices) => self.dispatch(now, &request, &indices, outputs),
                Placement::Nowhere => self.refuse(now, &request, Refusal::NoEndpoint, outputs),
                Placement::Wait => return,
            }
        }
    }

    fn dispatch(
        &mut self,
        now: Moment,
        request: &RequestId,
        places: &[SlotIndex],
        outputs: &mut Vec<Output>,
    ) {
        let Some(job) = self.dequeue(now, request, true) else {
            return;
        };
        self.last_attempt += 1;
        let number = self.last_attempt;
        let base = self.policy.engine_priority(now, &job, &self.fleet);
        let level = job.ask.priority.level.min(HIGHEST_LEVEL);
        let share = places.len().max(1) as u64;
        let mut attempt = Attempt {
            sent: now,
            first_token: None,
            tokens: job.prefill_tokens() / share,
            size: job.size,
            places: Vec::with_capacity(places.len()),
        };
        for &index in places {
            let rate = self.fleet.rates.bulk();
            let slot = self.fleet.slot_mut(index);
            let ahead = slot.backlog_tokens(now, rate);
            attempt
                .places
                .push((slot.endpoint.clone(), slot.boot, ahead));
            let memory = job.memory_tokens() / share;
            let load = Load {
                attempt: number,
                tokens: attempt.tokens,
                memory,
                size: job.size,
                goes_first: base == FIRST_PRIORITY,
            };
            slot.dispatched(now, load);
        }
        outputs.push(Output::Dispatch(Dispatch {
            request: request.clone(),
            endpoints: attempt.places.iter().map(|place| place.0.clone()).collect(),
            attempt: number,
            engine_priority: level * LEVEL_STEP + base,
        }));
        self.attempts.insert(number, attempt);
    }
}

/// The place of an endpoint, if it still lives the same life.
fn life(fleet: &Fleet, endpoint: &EndpointId, boot: BootId) -> Option<SlotIndex> {
    let index = fleet.find(endpoint)?;
    (fleet.slot(index).boot == boot).then_some(index)
}
