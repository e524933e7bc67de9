//! Simulates nine daemons, each with its own router, over the same engines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use kumquatdrum_routing::retry::Budget;
use kumquatdrum_routing::{
    CacheChange, CacheEvent, Dispatch, Failure, Health, Output, Priority, Progress, Request,
    RequestKind, Router, Usage,
};
use kumquatdrum_types::endpoint::{self, Kind};
use kumquatdrum_types::{Announcement, BootId, EndpointId, Load, Moment};
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::engine::{BATCH_LIMIT, Engine, Event, MEMORY_TOKENS, Task};
use super::trace::{Arrival, Mix};

pub const DAEMONS: usize = 9;
const REPORT_INTERVAL_SECONDS: f64 = 0.5;
const CACHE_DELAY_SECONDS: f64 = 0.5;

/// The conditions of a run besides its load.
#[derive(Clone, Copy)]
pub struct Conditions {
    /// The age of a report on arrival, in seconds.
    pub report_delay: f64,
    /// When one engine is killed, in seconds.
    pub kill_at: Option<f64>,
}

/// The outcome of one arrival.
#[derive(Clone, Copy, Default)]
pub struct Outcome {
    /// Seconds to first token.
    pub first_token: Option<f64>,
    /// Seconds to the end of the answer.
    pub end: Option<f64>,
    pub is_refused: bool,
    pending_tasks: usize,
    attempt: u64,
}

enum Action {
    Arrive(usize),
    Step(usize),
    Report(usize),
    Reported(Announcement),
    Cached(usize, CacheEvent),
    Kill(usize),
    Gone(usize),
    Wake(usize),
}

struct Simulation<'a> {
    arrivals: &'a [Arrival],
    outcomes: Vec<Outcome>,
    failed_endpoints: Vec<Vec<EndpointId>>,
    routers: Vec<Router>,
    budgets: Vec<Budget>,
    wakes: Vec<Moment>,
    engines: Vec<Engine>,
    sequences: Vec<u64>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    actions: std::collections::HashMap<u64, Action>,
    counter: u64,
    now: u64,
    conditions: Conditions,
    random: Pcg32,
}

pub fn run(
    mix: &Mix,
    arrivals: &[Arrival],
    conditions: Conditions,
    router: impl Fn(usize) -> Router,
) -> Vec<Outcome> {
    let mut simulation = Simulation {
        arrivals,
        outcomes: vec![Outcome::default(); arrivals.len()],
        failed_endpoints: vec![Vec::new(); arrivals.len()],
        routers: (0..DAEMONS).map(router).collect(),
        budgets: (0..DAEMONS).map(|_| Budget::default()).collect(),
        wakes: vec![Moment::NEVER; DAEMONS],
        engines: (0..mix.engines).map(|_| Engine::default()).collect(),
        sequences: vec![0; mix.engines],
        queue: BinaryHeap::new(),
        actions: std::collections::HashMap::new(),
        counter: 0,
        now: 0,
        conditions,
        random: Pcg32::new(3, 3),
    };
    for engine in 0..mix.engines {
        let announcement = Simulation::announcement(engine, 1, None);
        for daemon in 0..DAEMONS {
            let outputs = simulation.routers[daemon].announce(Moment::ZERO, &announcement);
            simulation.apply(daemon, outputs);
        }
        let first = REPORT_INTERVAL_SECONDS * engine as f64 / mix.engines as f64;
        simulation.schedule(first, Action::Report(engine));
    }
    for (index, arrival) in arrivals.iter().enumerate() {
        simulation.schedule(arrival.at, Action::Arrive(index));
    }
    if let Some(at) = conditions.kill_at {
        simulation.schedule(at, Action::Kill(mix.engines / 2));
    }
    let end = arrivals.last().map_or(0.0, |arrival| arrival.at) + 30.0;
    simulation.run_until(end);
    simulation.outcomes
}

impl Simulation<'_> {
    fn schedule(&mut self, seconds: f64, action: Action) {
        self.counter += 1;
        let at = self.now + (seconds * 1e6) as u64;
        self.queue.push(Reverse((at, self.counter)));
        self.actions.insert(self.counter, action);
    }

    const fn moment(&self) -> Moment {
        Moment { micros: self.now }
    }

    fn run_until(&mut self, end: f64) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            if at as f64 / 1e6 > end {
                return;
            }
            if let Some(action) = self.actions.remove(&number) {
                self.handle(action);
            }
        }
    }

    fn handle(&mut self, action: Action) {
        let now = self.moment();
        match action {
            Action::Arrive(index) => self.submit(index),
            Action::Step(engine) => self.step(engine),
            Action::Report(engine) if !self.engines[engine].is_dead => {
                let load = self.engines[engine].report();
                let announcement = Self::announcement(engine, load.sequence + 1, Some(load));
                self.schedule(self.conditions.report_delay, Action::Reported(announcement));
                self.schedule(REPORT_INTERVAL_SECONDS, Action::Report(engine));
            }
            Action::Report(_) => {}
            Action::Reported(announcement) => {
                self.broadcast(|router| router.announce(now, &announcement));
            }
            Action::Cached(engine, event) => {
                self.broadcast(|router| {
                    router.apply_cache_event(now, &endpoint_id(engine), &event)
                });
            }
            Action::Kill(engine) => {
                let mut lost = self.engines[engine].kill();
                lost.sort_unstable();
                for (index, daemon, attempt) in lost {
                    self.fail_attempt(index, daemon, attempt, engine);
                }
                self.schedule(2.0, Action::Gone(engine));
            }
            Action::Gone(engine) => {
                self.broadcast(|router| router.set_health(now, &endpoint_id(engine), Health::Gone));
            }
            Action::Wake(daemon) => {
                self.wakes[daemon] = Moment::NEVER;
                let outputs = self.routers[daemon].tick(now);
                self.apply(daemon, outputs);
            }
        }
    }

    fn broadcast(&mut self, mut input: impl FnMut(&mut Router) -> Vec<Output>) {
        for daemon in 0..DAEMONS {
            let outputs = input(&mut self.routers[daemon]);
            self.apply(daemon, outputs);
        }
    }

    fn submit(&mut self, index: usize) {
        let arrival = &self.arrivals[index];
        let request = Request {
            id: index.to_string().as_str().into(),
            workspace: arrival.workspace.to_string().as_str().into(),
            weight: 1,
            priority: Priority::default(),
            prompt_tokens: arrival.prompt_tokens,
            expected_output_tokens: arrival.output_tokens,
            prefix: arrival.prefix.clone(),
            deadline: Moment {
                micros: (arrival.deadline * 1e6) as u64,
            },
            excluded: self.failed_endpoints[index].clone(),
            kind: RequestKind::Model,
        };
        let daemon = arrival.daemon;
        if self.failed_endpoints[index].is_empty() {
            self.budgets[daemon].record_request();
        }
        let now = self.moment();
        let outputs = self.routers[daemon].submit(now, request);
        self.apply(daemon, outputs);
    }

    fn apply(&mut self, daemon: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Dispatch(dispatch) => self.dispatch(daemon, &dispatch),
                Output::Refuse(refuse) => {
                    let index: usize = refuse.request.as_str().parse().expect("an index");
                    self.outcomes[index].is_refused = true;
                }
                Output::Resync(endpoint) => self.send_snapshot(&endpoint),
            }
        }
        let wake = self.routers[daemon].next_tick();
        if wake < self.wakes[daemon] {
            self.wakes[daemon] = wake;
            let delay = wake.micros.saturating_sub(self.now) as f64 / 1e6;
            self.schedule(delay + 1e-6, Action::Wake(daemon));
        }
    }

    fn dispatch(&mut self, daemon: usize, dispatch: &Dispatch) {
        let index: usize = dispatch.request.as_str().parse().expect("an index");
        let arrival = &self.arrivals[index];
        let count = dispatch.endpoints.len();
        self.outcomes[index].pending_tasks = count;
        self.outcomes[index].attempt = dispatch.attempt;
        for endpoint in &dispatch.endpoints {
            let engine: usize = endpoint.as_str().parse().expect("an index");
            if self.engines[engine].is_dead {
                self.fail_attempt(index, daemon, dispatch.attempt, engine);
                return;
            }
            let mut task = Task::new(index, daemon, dispatch.attempt, dispatch.engine_priority);
            task.prompt_tokens = arrival.prompt_tokens / count as u64;
            task.output_tokens = arrival.output_tokens;
            // Later parts start inside the prompt, so none of their blocks is cached.
            if count == 1 {
                task.prefix.clone_from(&arrival.prefix);
            }
            self.engines[engine].push(task);
            self.start_step(engine);
        }
    }

    fn start_step(&mut self, engine: usize) {
        if self.engines[engine].is_stepping || self.engines[engine].is_dead {
            return;
        }
        if let Some(time) = self.engines[engine].plan_step() {
            self.engines[engine].is_stepping = true;
            self.schedule(time, Action::Step(engine));
        }
    }

    fn step(&mut self, engine: usize) {
        if self.engines[engine].is_dead {
            return;
        }
        self.engines[engine].is_stepping = false;
        let events = self.engines[engine].step();
        for event in events {
            match event {
                Event::FirstToken(index, daemon, attempt) => {
                    self.first_token(index, daemon, attempt);
                }
                Event::Finished(index, daemon, attempt) => self.finish(index, daemon, attempt),
                Event::Stored(blocks) => self.publish_change(engine, CacheChange::Stored(blocks)),
                Event::Evicted(blocks) => self.publish_change(engine, CacheChange::Evicted(blocks)),
            }
        }
        self.start_step(engine);
    }

    fn first_token(&mut self, index: usize, daemon: usize, attempt: u64) {
        let since = self.now as f64 / 1e6 - self.arrivals[index].at;
        let outcome = &mut self.outcomes[index];
        if outcome.attempt != attempt {
            return;
        }
        outcome.pending_tasks = outcome.pending_tasks.saturating_sub(1);
        if outcome.pending_tasks == 0 && outcome.first_token.is_none() {
            outcome.first_token = Some(since);
            let now = self.moment();
            let outputs = self.routers[daemon].record_progress(now, attempt, Progress::FirstToken);
            self.apply(daemon, outputs);
        }
    }

    fn finish(&mut self, index: usize, daemon: usize, attempt: u64) {
        let arrival = &self.arrivals[index];
        let outcome = &mut self.outcomes[index];
        if outcome.attempt != attempt || outcome.pending_tasks > 0 || outcome.end.is_some() {
            return;
        }
        outcome.end = Some(self.now as f64 / 1e6 - arrival.at);
        let usage = Usage {
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: arrival.output_tokens,
        };
        let now = self.moment();
        let outputs = self.routers[daemon].record_progress(now, attempt, Progress::Finished(usage));
        self.apply(daemon, outputs);
    }

    /// Fails an attempt and retries it within the budget.
    fn fail_attempt(&mut self, index: usize, daemon: usize, attempt: u64, engine: usize) {
        let progress = Progress::Failed(Failure::Broken);
        let now = self.moment();
        let outputs = self.routers[daemon].record_progress(now, attempt, progress);
        self.apply(daemon, outputs);
        self.failed_endpoints[index].push(endpoint_id(engine));
        if self.outcomes[index].end.is_none() && self.budgets[daemon].try_take() {
            self.submit(index);
        }
    }

    fn publish_change(&mut self, engine: usize, change: CacheChange) {
        self.sequences[engine] += 1;
        // One event in a hundred is lost.
        if !self.random.next_u32().is_multiple_of(100) {
            let event = CacheEvent {
                boot: BootId(1),
                sequence: self.sequences[engine],
                change,
            };
            self.schedule(CACHE_DELAY_SECONDS, Action::Cached(engine, event));
        }
    }

    fn send_snapshot(&mut self, endpoint: &EndpointId) {
        let engine: usize = endpoint.as_str().parse().expect("an index");
        let blocks = self.engines[engine].cached.iter().copied().collect();
        let event = CacheEvent {
            boot: BootId(1),
            sequence: self.sequences[engine],
            change: CacheChange::Snapshot(blocks),
        };
        self.schedule(CACHE_DELAY_SECONDS, Action::Cached(engine, event));
    }

    fn announcement(engine: usize, sequence: u64, load: Option<Load>) -> Announcement {
        Announcement {
            endpoint: endpoint_id(engine),
            boot: BootId(1),
            sequence,
            service: "formula-llm".into(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "hall".into(),
            kind: Kind::Engine(endpoint::Engine {
                model: "formula".into(),
                memory_tokens: MEMORY_TOKENS,
                batch_limit: BATCH_LIMIT as u32,
                prefill_tokens_per_second: 0,
                load,
            }),
            leaving: false,
        }
    }
}

fn endpoint_id(engine: usize) -> EndpointId {
    engine.to_string().as_str().into()
}
