//! State shared between the tasks of an engine.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use kumquatdrum_orders::Role;
use kumquatdrum_types::{AttemptId, BootId, Load, ModelName, Moment, digest};
use parking_lot::{Mutex, MutexGuard};
use tokio::sync::{Notify, watch};

use super::Options;
use super::orders::Orders;
use super::wire::{Api, CacheEvents};
use crate::condition::Switch;
use crate::control::Control;
use crate::counters::{Counters, Counts};
use crate::fault::{Fault, Faults};
use crate::model::{Attempt, Model, Progress, Rejection, Request, Stage, Step};
use crate::process;
use crate::relay::Connections;

/// Time between two steps of an idle engine, which also check deadlines.
const IDLE_INTERVAL: Duration = Duration::from_millis(20);
/// Entries of each history kept to serve delayed reports.
const MAX_HISTORY_LENGTH: usize = 4_096;

/// Delay and loss of load reports and cache events.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    /// Minimum age of the reported load.
    pub load_lag: Duration,
    /// Minimum age of a published cache event.
    pub cache_lag: Duration,
    /// Cache events whose number is a multiple of this are dropped; 0 drops none.
    pub lose_every: u64,
}

/// Progress of an attempt, as published to its streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Status {
    pub(super) state: Stage,
    pub(super) tokens: u32,
}

/// Publishes the status of one attempt to its streams.
#[derive(Debug)]
struct Channel {
    status: watch::Sender<Status>,
    api: Api,
}

/// The attempt that a stream sends.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) id: AttemptId,
    pub(super) digest: String,
    pub(super) prompt_tokens: u64,
    pub(super) api: Api,
    pub(super) status: watch::Receiver<Status>,
}

/// An engine, as shared by its tasks.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) options: Options,
    pub(super) boot: BootId,
    pub(super) switch: Arc<Switch>,
    pub(super) faults: Faults,
    pub(super) orders: Option<Orders>,
    pub(super) counters: Counters,
    pub(super) connections: Arc<Connections>,
    core: Mutex<Core>,
    wake: Notify,
    started_at: Instant,
}

/// The model and the streams of its attempts.
#[derive(Debug)]
struct Core {
    model: Model,
    channels: IndexMap<AttemptId, Channel>,
    load_history: VecDeque<(Moment, Load)>,
    cache_history: VecDeque<(Moment, u64)>,
}

impl Shared {
    pub(super) fn new(options: Options, switch: Arc<Switch>) -> Self {
        let core = Core {
            model: Model::new(options.sizes.clone()),
            channels: IndexMap::new(),
            load_history: VecDeque::new(),
            cache_history: VecDeque::new(),
        };
        let boot = options.process.boot();
        let orders = options.orders.clone();
        let orders = orders.map(|orders| Orders::new(orders, boot, options.model.clone()));
        Self {
            boot,
            orders,
            options,
            switch,
            faults: Faults::default(),
            counters: Counters::default(),
            connections: Arc::default(),
            core: Mutex::new(core),
            wake: Notify::new(),
            started_at: Instant::now(),
        }
    }

    pub(super) fn now(&self) -> Moment {
        Moment::ZERO + self.started_at.elapsed()
    }

    /// Returns the loaded model.
    pub(super) fn model(&self) -> ModelName {
        let report = self.orders.as_ref().map(Orders::report);
        let loaded = report.and_then(|report| report.model);
        loaded.unwrap_or_else(|| self.options.model.clone())
    }

    /// Whether the engine accepts requests.
    pub(super) fn is_serving(&self) -> bool {
        let role = self.orders.as_ref().map(|orders| orders.report().role);
        role.is_none_or(|role| role == Role::Serving)
    }

    /// Submits a request; with `fails` set, it fails at once as if it had run in part.
    pub(super) fn submit(
        &self,
        request: Request,
        api: Api,
        fails: bool,
    ) -> Result<Source, Rejection> {
        let now = self.now();
        let id = request.id.clone();
        let digest = request.digest.clone();
        let mut core = self.core.lock();
        if fails {
            core.model.fail(now, request)?;
            self.counters.record_run(id.as_str(), &digest);
        } else {
            core.model.submit(now, request)?;
        }
        core.open(&id, api);
        self.counters.record_accepted();
        let source = core.source(&id).ok_or(Rejection::Full);
        drop(core);
        self.wake.notify_one();
        source
    }

    /// Returns the source of an attempt that is running or still kept.
    pub(super) fn source(&self, id: &AttemptId) -> Option<Source> {
        self.core.lock().source(id)
    }

    /// Returns identifier and digest of the latest attempt with a different prompt.
    pub(super) fn other_attempt(&self, source: &Source) -> (AttemptId, String) {
        let core = self.core.lock();
        let kept = core.channels.keys().rev();
        let found = kept
            .filter_map(|id| core.model.attempt(id))
            .find(|other| other.request.digest != source.digest);
        let identify = |other: &Attempt| (other.request.id.clone(), other.request.digest.clone());
        found.map_or_else(|| fabricated_attempt(&source.id), identify)
    }

    pub(super) fn cancel(&self, id: &AttemptId) -> Stage {
        let mut core = self.core.lock();
        let state = core.model.cancel(id);
        let tokens = core.model.attempt(id).map_or(0, |attempt| attempt.tokens);
        core.publish(id, Status { state, tokens });
        state
    }

    /// Runs `action` on the locked model.
    pub(super) fn with_model<T>(&self, action: impl FnOnce(&mut Model) -> T) -> T {
        let mut core = self.core.lock();
        action(&mut core.model)
    }

    /// Whether any request is waiting or running, or a stream is open.
    pub(super) fn is_busy(&self) -> bool {
        let core = self.core.lock();
        let mut channels = core.channels.values();
        !core.model.is_idle() || channels.any(|channel| channel.status.receiver_count() > 0)
    }

    pub(super) fn step(&self) -> Step {
        let now = self.now();
        let mut core = self.core.lock();
        let step = core.model.step(now);
        core.record_history(now);
        for id in &step.started {
            let attempt = core.model.attempt(id);
            let digest = attempt.map_or("", |attempt| &attempt.request.digest);
            self.counters.record_run(id.as_str(), digest);
        }
        step
    }

    pub(super) fn publish(&self, progress: &[Progress]) {
        let mut core: MutexGuard<'_, Core> = self.core.lock();
        for change in progress {
            if change.state == Stage::Finished {
                self.counters.record_finished();
            }
            let status = Status {
                state: change.state,
                tokens: change.tokens,
            };
            core.publish(&change.id, status);
        }
    }

    /// Waits for a request, at most for `IDLE_INTERVAL`.
    pub(super) async fn wait_for_work(&self) {
        let _ = tokio::time::timeout(IDLE_INTERVAL, self.wake.notified()).await;
    }

    /// Returns the load report, delayed by `load_lag`.
    pub(super) fn load(&self) -> Load {
        let now = self.now();
        let lag = self.options.reports.load_lag;
        let mut core = self.core.lock();
        if lag.is_zero() {
            return core.model.load();
        }
        core.record_history(now);
        let visible = core
            .load_history
            .iter()
            .rev()
            .find(|(at, _)| now - *at >= lag);
        visible.map(|(_, load)| load.clone()).unwrap_or_default()
    }

    /// Returns cache events after `after`, delayed and dropped as configured.
    pub(super) fn cache_events(&self, after: u64) -> CacheEvents {
        let now = self.now();
        let reports = &self.options.reports;
        let core = self.core.lock();
        let (events, last) = core.model.cache_events(after);
        let last_visible = match reports.cache_lag {
            Duration::ZERO => last,
            lag => core.last_event_before(now, lag),
        };
        let is_kept = |seq: u64| reports.lose_every == 0 || !seq.is_multiple_of(reports.lose_every);
        CacheEvents {
            boot: self.boot,
            last: last_visible,
            events: events
                .filter(|event| event.seq <= last_visible && is_kept(event.seq))
                .cloned()
                .collect(),
        }
    }
}

/// Returns the identifier of an attempt that doesn't exist, and a digest that belongs to no prompt.
fn fabricated_attempt(id: &AttemptId) -> (AttemptId, String) {
    let name = format!("crossed-{id}");
    let digest = digest::hex(name.as_bytes());
    (AttemptId::new(name), digest)
}

impl Core {
    fn open(&mut self, id: &AttemptId, api: Api) {
        let attempt = self.model.attempt(id);
        let status = Status {
            state: attempt.map_or(Stage::NeverSeen, |attempt| attempt.state),
            tokens: 0,
        };
        let status = watch::channel(status).0;
        self.channels.insert(id.clone(), Channel { status, api });
        if self.channels.len() > 2 * self.model.options().ended_limit {
            let model = &self.model;
            self.channels.retain(|id, _| model.attempt(id).is_some());
        }
    }

    fn source(&self, id: &AttemptId) -> Option<Source> {
        let channel = self.channels.get(id)?;
        let attempt = self.model.attempt(id)?;
        Some(Source {
            id: id.clone(),
            digest: attempt.request.digest.clone(),
            prompt_tokens: attempt.request.prompt_tokens,
            api: channel.api,
            status: channel.status.subscribe(),
        })
    }

    /// Publishes a status to the attempt's streams, unless the attempt has ended.
    fn publish(&mut self, id: &AttemptId, status: Status) {
        let Some(channel) = self.channels.get(id) else {
            return;
        };
        channel.status.send_if_modified(|published| {
            let is_modified = !published.state.has_ended() && *published != status;
            if is_modified {
                *published = status;
            }
            is_modified
        });
    }

    /// Appends the current load and cache event number to the histories.
    fn record_history(&mut self, now: Moment) {
        let is_due = |last: Option<Moment>| last.is_none_or(|at| now - at >= IDLE_INTERVAL);
        if is_due(self.load_history.back().map(|(at, _)| *at)) {
            let load = self.model.load();
            self.load_history.push_back((now, load));
        }
        if is_due(self.cache_history.back().map(|(at, _)| *at)) {
            let last = self.model.cache_events(u64::MAX).1;
            self.cache_history.push_back((now, last));
        }
        if self.load_history.len() > MAX_HISTORY_LENGTH {
            self.load_history.pop_front();
        }
        if self.cache_history.len() > MAX_HISTORY_LENGTH {
            self.cache_history.pop_front();
        }
    }

    /// Returns the number of the last cache event that is at least `lag` old.
    fn last_event_before(&self, now: Moment, lag: Duration) -> u64 {
        let history = self.cache_history.iter().rev();
        history
            .filter(|(at, _)| now - *at >= lag)
            .map(|(_, last)| *last)
            .next()
            .unwrap_or(0)
    }
}

impl Control for Shared {
    fn inject(&self, fault: &Fault) {
        process::apply(&self.switch, fault);
        self.faults.inject(fault);
    }

    fn counts(&self) -> Counts {
        let mut counts = self.counters.snapshot();
        self.with_model(|model| {
            let load = model.load();
            counts.memory_used_tokens = load.memory_used_tokens;
            counts.running = load.running;
            counts.waiting = load.waiting;
        });
        counts
    }
}
