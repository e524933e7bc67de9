//! One run: nine daemons, each with its own router, over the same engines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use kumquatdrum_routing::retry::Budget;
use kumquatdrum_routing::{
    CacheChange, CacheEvent, Dispatch, Failure, Health, Output, Priority, Progress, Request,
    RequestKind, Router, Usage,
};
use kumquatdrum_types::endpoint::{Engine as Announced, Kind};
use kumquatdrum_types::{Announcement, BootId, EndpointId, Load, Moment};
use rand_core::Rng;
use rand_pcg::Pcg32;

use super::engine::{BATCH, Engine, Event, MEMORY, Part};
use super::trace::{Arrival, Mix};

pub const DAEMONS: usize = 9;
const REPORT_EVERY: f64 = 0.5;
const CACHE_LAG: f64 = 0.5;

/// What besides the load goes on in a run.
#[derive(Clone, Copy)]
pub struct Conditions {
    /// Age of a report when it arrives, in seconds.
    pub lag: f64,
    /// When one engine is killed.
    pub kill_at: Option<f64>,
}

/// What became of one arrival.
#[derive(Clone, Copy, Default)]
pub struct Outcome {
    /// Seconds to the first token.
    pub first_token: Option<f64>,
    /// Seconds to the end.
    pub end: Option<f64>,
    pub is_refused: bool,
    parts_open: usize,
    attempt: u64,
}

enum What {
    Arrive(usize),
    Step(usize),
    Report(usize),
    Reported(Announcement),
    Cached(usize, CacheEvent),
    Kill(usize),
    Gone(usize),
    Wake(usize),
}

struct Sim<'a> {
    arrivals: &'a [Arrival],
    outcomes: Vec<Outcome>,
    tries: Vec<Vec<EndpointId>>,
    routers: Vec<Router>,
    budgets: Vec<Budget>,
    wakes: Vec<Moment>,
    engines: Vec<Engine>,
    sequences: Vec<u64>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    due: std::collections::HashMap<u64, What>,
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
    let mut sim = Sim {
        arrivals,
        outcomes: vec![Outcome::default(); arrivals.len()],
        tries: vec![Vec::new(); arrivals.len()],
        routers: (0..DAEMONS).map(router).collect(),
        budgets: (0..DAEMONS).map(|_| Budget::default()).collect(),
        wakes: vec![Moment::NEVER; DAEMONS],
        engines: (0..mix.engines).map(|_| Engine::default()).collect(),
        sequences: vec![0; mix.engines],
        queue: BinaryHeap::new(),
        due: std::collections::HashMap::new(),
        counter: 0,
        now: 0,
        conditions,
        random: Pcg32::new(3, 3),
    };
    for engine in 0..mix.engines {
        let announcement = Sim::announcement(engine, 1, None);
        for daemon in 0..DAEMONS {
            let outputs = sim.routers[daemon].announce(Moment::ZERO, &announcement);
            sim.obey(daemon, outputs);
        }
        let first = REPORT_EVERY * engine as f64 / mix.engines as f64;
        sim.after(first, What::Report(engine));
    }
    for (index, arrival) in arrivals.iter().enumerate() {
        sim.after(arrival.at, What::Arrive(index));
    }
    if let Some(at) = conditions.kill_at {
        sim.after(at, What::Kill(mix.engines / 2));
    }
    let end = arrivals.last().map_or(0.0, |arrival| arrival.at) + 30.0;
    sim.drain(end);
    sim.outcomes
}

impl Sim<'_> {
    fn after(&mut self, seconds: f64, what: What) {
        self.counter += 1;
        let at = self.now + (seconds * 1e6) as u64;
        self.queue.push(Reverse((at, self.counter)));
        self.due.insert(self.counter, what);
    }

    const fn moment(&self) -> Moment {
        Moment { micros: self.now }
    }

    fn drain(&mut self, end: f64) {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            self.now = at;
            if at as f64 / 1e6 > end {
                return;
            }
            if let Some(what) = self.due.remove(&number) {
                self.handle(what);
            }
        }
    }

    fn handle(&mut self, what: What) {
        let now = self.moment();
        match what {
            What::Arrive(index) => self.submit(index),
            What::Step(engine) => self.step(engine),
            What::Report(engine) if !self.engines[engine].is_dead => {
                let load = self.engines[engine].report();
                let announcement = Self::announcement(engine, load.sequence + 1, Some(load));
                self.after(self.conditions.lag, What::Reported(announcement));
                self.after(REPORT_EVERY, What::Report(engine));
            }
            What::Report(_) => {}
            What::Reported(announcement) => {
                self.tell(|router| router.announce(now, &announcement));
            }
            What::Cached(engine, event) => {
                self.tell(|router| router.apply_cache_event(now, &name(engine), &event));
            }
            What::Kill(engine) => {
                let mut lost = self.engines[engine].kill();
                lost.sort_unstable();
                for (index, daemon, attempt) in lost {
                    self.lost(index, daemon, attempt, engine);
                }
                self.after(2.0, What::Gone(engine));
            }
            What::Gone(engine) => {
                self.tell(|router| router.set_health(now, &name(engine), Health::Gone));
            }
            What::Wake(daemon) => {
                self.wakes[daemon] = Moment::NEVER;
                let outputs = self.routers[daemon].tick(now);
                self.obey(daemon, outputs);
            }
        }
    }

    fn tell(&mut self, mut input: impl FnMut(&mut Router) -> Vec<Output>) {
        for daemon in 0..DAEMONS {
            let outputs = input(&mut self.routers[daemon]);
            self.obey(daemon, outputs);
        }
    }

    fn submit(&mut self, index: usize) {
        let arrival = &self.arrivals[index];
        let ask = Request {
            id: index.to_string().as_str().into(),
            workspace: arrival.workspace.to_string().as_str().into(),
            weight: 1,
            priority: Priority::default(),
            prompt_tokens: arrival.prompt,
            expected_output_tokens: arrival.output,
            prefix: arrival.prefix.clone(),
            deadline: Moment {
                micros: (arrival.deadline * 1e6) as u64,
            },
            excluded: self.tries[index].clone(),
            kind: RequestKind::Model,
        };
        let daemon = arrival.daemon;
        if self.tries[index].is_empty() {
            self.budgets[daemon].record_request();
        }
        let now = self.moment();
        let outputs = self.routers[daemon].submit(now, ask);
        self.obey(daemon, outputs);
    }

    fn obey(&mut self, daemon: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Dispatch(dispatch) => self.dispatch(daemon, &dispatch),
                Output::Refuse(refuse) => {
                    let index: usize = refuse.request.as_str().parse().expect("an index");
                    self.outcomes[index].is_refused = true;
                }
                Output::Resync(endpoint) => self.resync(&endpoint),
            }
        }
        let wake = self.routers[daemon].next_wake();
        if wake < self.wakes[daemon] {
            self.wakes[daemon] = wake;
            let after = wake.micros.saturating_sub(self.now) as f64 / 1e6;
            self.after(after + 1e-6, What::Wake(daemon));
        }
    }

    fn dispatch(&mut self, daemon: usize, dispatch: &Dispatch) {
        let index: usize = dispatch.request.as_str().parse().expect("an index");
        let arrival = &self.arrivals[index];
        let count = dispatch.endpoints.len();
        self.outcomes[index].parts_open = count;
        self.outcomes[index].attempt = dispatch.attempt;
        for endpoint in &dispatch.endpoints {
            let engine: usize = endpoint.as_str().parse().expect("an index");
            if self.engines[engine].is_dead {
                self.lost(index, daemon, dispatch.attempt, engine);
                return;
            }
            let mut part = Part::new(index, daemon, dispatch.attempt, dispatch.engine_priority);
            part.prompt = arrival.prompt / count as u64;
            part.output = arrival.output;
            // Parts after the first begin elsewhere in the prompt; none is found in a cache.
            if count == 1 {
                part.prefix.clone_from(&arrival.prefix);
            }
            self.engines[engine].push(part);
            self.go_on(engine);
        }
    }

    fn go_on(&mut self, engine: usize) {
        if self.engines[engine].is_stepping || self.engines[engine].is_dead {
            return;
        }
        if let Some(time) = self.engines[engine].plan() {
            self.engines[engine].is_stepping = true;
            self.after(time, What::Step(engine));
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
                Event::Finished(index, daemon, attempt) => self.finished(index, daemon, attempt),
                Event::Stored(blocks) => self.cached(engine, CacheChange::Stored(blocks)),
                Event::Evicted(blocks) => self.cached(engine, CacheChange::Evicted(blocks)),
            }
        }
        self.go_on(engine);
    }

    fn first_token(&mut self, index: usize, daemon: usize, attempt: u64) {
        let since = self.now as f64 / 1e6 - self.arrivals[index].at;
        let outcome = &mut self.outcomes[index];
        if outcome.attempt != attempt {
            return;
        }
        outcome.parts_open = outcome.parts_open.saturating_sub(1);
        if outcome.parts_open == 0 && outcome.first_token.is_none() {
            outcome.first_token = Some(since);
            let now = self.moment();
            let outputs = self.routers[daemon].record_progress(now, attempt, Progress::FirstToken);
            self.obey(daemon, outputs);
        }
    }

    fn finished(&mut self, index: usize, daemon: usize, attempt: u64) {
        let arrival = &self.arrivals[index];
        let outcome = &mut self.outcomes[index];
        if outcome.attempt != attempt || outcome.parts_open > 0 || outcome.end.is_some() {
            return;
        }
        outcome.end = Some(self.now as f64 / 1e6 - arrival.at);
        let usage = Usage {
            prompt_tokens: arrival.prompt,
            output_tokens: arrival.output,
        };
        let now = self.moment();
        let outputs = self.routers[daemon].record_progress(now, attempt, Progress::Finished(usage));
        self.obey(daemon, outputs);
    }

    /// An attempt broke: it goes elsewhere within the budget.
    fn lost(&mut self, index: usize, daemon: usize, attempt: u64, engine: usize) {
        let progress = Progress::Failed(Failure::Broken);
        let now = self.moment();
        let outputs = self.routers[daemon].record_progress(now, attempt, progress);
        self.obey(daemon, outputs);
        self.tries[index].push(name(engine));
        if self.outcomes[index].end.is_none() && self.budgets[daemon].try_take() {
            self.submit(index);
        }
    }

    fn cached(&mut self, engine: usize, change: CacheChange) {
        self.sequences[engine] += 1;
        // One event in a hundred is lost.
        if !self.random.next_u32().is_multiple_of(100) {
            let event = CacheEvent {
                boot: BootId(1),
                sequence: self.sequences[engine],
                change,
            };
            self.after(CACHE_LAG, What::Cached(engine, event));
        }
    }

    fn resync(&mut self, endpoint: &EndpointId) {
        let engine: usize = endpoint.as_str().parse().expect("an index");
        let blocks = self.engines[engine].cached.iter().copied().collect();
        let event = CacheEvent {
            boot: BootId(1),
            sequence: self.sequences[engine],
            change: CacheChange::Snapshot(blocks),
        };
        self.after(CACHE_LAG, What::Cached(engine, event));
    }

    fn announcement(engine: usize, sequence: u64, load: Option<Load>) -> Announcement {
        Announcement {
            endpoint: name(engine),
            boot: BootId(1),
            sequence,
            service: "formula-llm".into(),
            address: ([127, 0, 0, 1], 1).into(),
            data_centre: "hall".into(),
            kind: Kind::Engine(Announced {
                model: "formula".into(),
                memory_tokens: MEMORY,
                batch_limit: BATCH as u32,
                prefill_tokens_per_second: 0,
                load,
            }),
            leaving: false,
        }
    }
}

fn name(engine: usize) -> EndpointId {
    engine.to_string().as_str().into()
}
