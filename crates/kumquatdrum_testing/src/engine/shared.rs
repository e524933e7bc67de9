//! The state that an engine's tasks share.

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
use super::wire::{CacheEvents, Form};
use crate::condition::Switch;
use crate::control::Control;
use crate::counters::{Counters, Counts};
use crate::fault::{Fault, Faults};
use crate::model::{Attempt, Model, Progress, Rejection, Request, Stage, Step};
use crate::process;
use crate::relay::Connections;

/// How long an idle engine rests before it looks at deadlines again.
const IDLE_REST: Duration = Duration::from_millis(20);
/// Load reports kept to serve late ones.
const REPORT_LIMIT: usize = 4_096;

/// How load reports and cache events lag.
#[derive(Debug, Clone, Default)]
pub struct Reports {
    /// Age of the load that is reported.
    pub load_lag: Duration,
    /// Age from which a cache event is published.
    pub cache_lag: Duration,
    /// Each cache event whose number is a multiple of this is lost; 0 loses none.
    pub lose_every: u64,
}

/// How far an attempt has come, as its streams see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Status {
    pub(super) state: Stage,
    pub(super) tokens: u32,
}

/// What streams of one attempt need.
#[derive(Debug)]
struct Channel {
    status: watch::Sender<Status>,
    form: Form,
}

/// What a stream shows.
#[derive(Debug)]
pub(super) struct Source {
    pub(super) id: AttemptId,
    pub(super) digest: String,
    pub(super) prompt_tokens: u64,
    pub(super) form: Form,
    pub(super) status: watch::Receiver<Status>,
}

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
    zero: Instant,
}

#[derive(Debug)]
struct Core {
    model: Model,
    channels: IndexMap<AttemptId, Channel>,
    reports: VecDeque<(Moment, Load)>,
    cache_marks: VecDeque<(Moment, u64)>,
}

impl Shared {
    pub(super) fn new(options: Options, switch: Arc<Switch>) -> Self {
        let core = Core {
            model: Model::new(options.sizes.clone()),
            channels: IndexMap::new(),
            reports: VecDeque::new(),
            cache_marks: VecDeque::new(),
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
            zero: Instant::now(),
        }
    }

    pub(super) fn now(&self) -> Moment {
        Moment::ZERO + self.zero.elapsed()
    }

    /// The loaded model.
    pub(super) fn model(&self) -> ModelName {
        let report = self.orders.as_ref().map(Orders::report);
        let loaded = report.and_then(|report| report.model);
        loaded.unwrap_or_else(|| self.options.model.clone())
    }

    /// Whether it takes requests at present.
    pub(super) fn is_serving(&self) -> bool {
        let role = self.orders.as_ref().map(|orders| orders.report().role);
        role.is_none_or(|role| role == Role::Serving)
    }

    /// Takes a request; with `fails` it fails at once, as if it had run in part.
    pub(super) fn submit(
        &self,
        request: Request,
        form: Form,
        fails: bool,
    ) -> Result<Source, Rejection> {
        let now = self.now();
        let id = request.id.clone();
        let digest = request.digest.clone();
        let mut core = self.core.lock();
        if fails {
            core.model.fail(now, request)?;
            self.counters.ran(id.as_str(), &digest);
        } else {
            core.model.submit(now, request)?;
        }
        core.open(&id, form);
        self.counters.accepted();
        let source = core.source(&id).ok_or(Rejection::Full);
        drop(core);
        self.wake.notify_one();
        source
    }

    /// A source of an attempt that runs or is still kept.
    pub(super) fn source(&self, id: &AttemptId) -> Option<Source> {
        self.core.lock().source(id)
    }

    /// The latest attempt with another prompt: its identifier and digest.
    pub(super) fn other(&self, source: &Source) -> (AttemptId, String) {
        let core = self.core.lock();
        let kept = core.channels.keys().rev();
        let found = kept
            .filter_map(|id| core.model.attempt(id))
            .find(|other| other.request.digest != source.digest);
        let named = |other: &Attempt| (other.request.id.clone(), other.request.digest.clone());
        found.map_or_else(|| made_up(&source.id), named)
    }

    pub(super) fn cancel(&self, id: &AttemptId) -> Stage {
        let mut core = self.core.lock();
        let state = core.model.cancel(id);
        let tokens = core.model.attempt(id).map_or(0, |attempt| attempt.tokens);
        core.publish(id, Status { state, tokens });
        state
    }

    /// The model itself, for questions and for memory held by name.
    pub(super) fn with<T>(&self, question: impl FnOnce(&mut Model) -> T) -> T {
        let mut core = self.core.lock();
        question(&mut core.model)
    }

    /// Whether anything waits or runs, or some stream has not ended.
    pub(super) fn is_busy(&self) -> bool {
        let core = self.core.lock();
        let mut channels = core.channels.values();
        !core.model.is_idle() || channels.any(|channel| channel.status.receiver_count() > 0)
    }

    pub(super) fn step(&self) -> Step {
        let now = self.now();
        let mut core = self.core.lock();
        let step = core.model.step(now);
        core.report(now);
        for id in &step.started {
            let attempt = core.model.attempt(id);
            let digest = attempt.map_or("", |attempt| &attempt.request.digest);
            self.counters.ran(id.as_str(), digest);
        }
        step
    }

    pub(super) fn publish(&self, progress: &[Progress]) {
        let mut core: MutexGuard<'_, Core> = self.core.lock();
        for change in progress {
            if change.state == Stage::Finished {
                self.counters.finished();
            }
            let status = Status {
                state: change.state,
                tokens: change.tokens,
            };
            core.publish(&change.id, status);
        }
    }

    /// Waits for work, or for a while.
    pub(super) async fn work(&self) {
        let _ = tokio::time::timeout(IDLE_REST, self.wake.notified()).await;
    }

    /// The load report in force, as old as the options say.
    pub(super) fn load(&self) -> Load {
        let now = self.now();
        let lag = self.options.reports.load_lag;
        let mut core = self.core.lock();
        if lag.is_zero() {
            return core.model.load();
        }
        core.report(now);
        let aged = core.reports.iter().rev().find(|(at, _)| now - *at >= lag);
        aged.map(|(_, load)| load.clone()).unwrap_or_default()
    }

    /// Cache events after `seq`, late and with gaps as the options say.
    pub(super) fn cache_events(&self, after: u64) -> CacheEvents {
        let now = self.now();
        let reports = &self.options.reports;
        let core = self.core.lock();
        let (events, last) = core.model.cache_events(after);
        let visible = match reports.cache_lag {
            Duration::ZERO => last,
            lag => core.mark_before(now, lag),
        };
        let kept = |seq: u64| reports.lose_every == 0 || !seq.is_multiple_of(reports.lose_every);
        CacheEvents {
            boot: self.boot,
            last: visible,
            events: events
                .filter(|event| event.seq <= visible && kept(event.seq))
                .cloned()
                .collect(),
        }
    }
}

/// An attempt that was never sent, and a digest that is no prompt's.
fn made_up(id: &AttemptId) -> (AttemptId, String) {
    let name = format!("crossed-{id}");
    let digest = digest::hex(name.as_bytes());
    (AttemptId::new(name), digest)
}

impl Core {
    fn open(&mut self, id: &AttemptId, form: Form) {
        let attempt = self.model.attempt(id);
        let status = Status {
            state: attempt.map_or(Stage::NeverSeen, |attempt| attempt.state),
            tokens: 0,
        };
        let status = watch::channel(status).0;
        self.channels.insert(id.clone(), Channel { status, form });
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
            form: channel.form,
            status: channel.status.subscribe(),
        })
    }

    /// Shows a change to the attempt's streams; an end is never taken back.
    fn publish(&mut self, id: &AttemptId, status: Status) {
        let Some(channel) = self.channels.get(id) else {
            return;
        };
        channel.status.send_if_modified(|shown| {
            let changes = !shown.state.has_ended() && *shown != status;
            if changes {
                *shown = status;
            }
            changes
        });
    }

    /// Keeps what late reports need.
    fn report(&mut self, now: Moment) {
        let due = |last: Option<Moment>| last.is_none_or(|at| now - at >= IDLE_REST);
        if due(self.reports.back().map(|(at, _)| *at)) {
            let load = self.model.load();
            self.reports.push_back((now, load));
        }
        if due(self.cache_marks.back().map(|(at, _)| *at)) {
            let last = self.model.cache_events(u64::MAX).1;
            self.cache_marks.push_back((now, last));
        }
        if self.reports.len() > REPORT_LIMIT {
            self.reports.pop_front();
        }
        if self.cache_marks.len() > REPORT_LIMIT {
            self.cache_marks.pop_front();
        }
    }

    fn mark_before(&self, now: Moment, lag: Duration) -> u64 {
        let marks = self.cache_marks.iter().rev();
        marks
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
        let mut counts = self.counters.read();
        self.with(|model| {
            let load = model.load();
            counts.memory_used_tokens = load.memory_used_tokens;
            counts.running = load.running;
            counts.waiting = load.waiting;
        });
        counts
    }
}
