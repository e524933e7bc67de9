//! Shared test helpers: announcements, requests, and a small model of an engine.
#![allow(dead_code, reason = "each test file uses its own part")]

use kumquatdrum_routing::{
    Dispatch, Output, Priority, Progress, Refuse, Request, RequestKind, Router, Usage,
};
use kumquatdrum_types::endpoint::{self, Kind};
use kumquatdrum_types::{Announcement, BootId, EndpointId, Load, Moment};

pub const MEMORY_TOKENS: u64 = 400_000;
pub const OWNERS: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];

pub fn endpoint(index: usize) -> EndpointId {
    format!("engine-{index:04}").as_str().into()
}

pub fn announcement(index: usize, boot: u64, sequence: u64, load: Option<Load>) -> Announcement {
    Announcement {
        endpoint: endpoint(index),
        boot: BootId(boot),
        sequence,
        service: "formula-llm".into(),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: "hall-raatuse".into(),
        kind: Kind::Engine(endpoint::Engine {
            model: "formula".into(),
            memory_tokens: MEMORY_TOKENS,
            batch_limit: 64,
            prefill_tokens_per_second: 20_000,
            load,
        }),
        leaving: false,
    }
}

/// Returns a report with this backlog, which includes no attempt of any owner.
pub fn load(sequence: u64, prefill_tokens: u64) -> Load {
    Load {
        sequence,
        prefill_tokens,
        ..Load::default()
    }
}

pub fn build_request(name: impl AsRef<str>, prompt_tokens: u64, deadline: Moment) -> Request {
    Request {
        id: name.as_ref().into(),
        workspace: "salon".into(),
        weight: 1,
        priority: Priority::default(),
        prompt_tokens,
        expected_output_tokens: 100,
        prefix: Vec::new(),
        deadline,
        excluded: Vec::new(),
        kind: RequestKind::Model,
    }
}

pub fn seconds(seconds: f64) -> Moment {
    Moment {
        micros: (seconds * 1e6) as u64,
    }
}

/// Returns a router with `count` idle engines.
pub fn router(owner: &str, count: usize, seed: u64) -> Router {
    let settings = kumquatdrum_routing::Settings::new(owner, OWNERS);
    let mut router = Router::new(settings, seed);
    for index in 0..count {
        let _ = router.announce(Moment::ZERO, &announcement(index, 1, 1, None));
    }
    router
}

pub fn dispatches(outputs: &[Output]) -> Vec<&Dispatch> {
    let found = outputs.iter().filter_map(|output| match output {
        Output::Dispatch(dispatch) => Some(dispatch),
        _ => None,
    });
    found.collect()
}

pub fn refusals(outputs: &[Output]) -> Vec<&Refuse> {
    let found = outputs.iter().filter_map(|output| match output {
        Output::Refuse(refuse) => Some(refuse),
        _ => None,
    });
    found.collect()
}

/// An engine that computes prompts one by one, highest priority first, in small steps.
#[derive(Debug, Default)]
pub struct Engine {
    queue: Vec<Prompt>,
    reports: u64,
    last_attempt: u64,
}

#[derive(Debug)]
struct Prompt {
    request: String,
    attempt: u64,
    priority: u8,
    remaining: f64,
}

/// A router and its engines, simulated in steps.
#[derive(Debug)]
pub struct Simulation {
    pub router: Router,
    pub engines: Vec<Engine>,
    /// Requests and the time of their first token.
    pub first_tokens: Vec<(String, Moment)>,
    pub refused: Vec<String>,
    prompt_tokens: std::collections::HashMap<String, u64>,
}

pub const STEP_SECONDS: f64 = 0.02;
pub const TOKENS_PER_SECOND: f64 = 20_000.0;

impl Simulation {
    pub fn new(count: usize) -> Self {
        let settings = kumquatdrum_routing::Settings::new("a", ["a"]);
        let mut router = Router::new(settings, 1);
        for index in 0..count {
            let _ = router.announce(Moment::ZERO, &announcement(index, 1, 1, None));
        }
        Self {
            router,
            engines: (0..count).map(|_| Engine::default()).collect(),
            first_tokens: Vec::new(),
            refused: Vec::new(),
            prompt_tokens: std::collections::HashMap::new(),
        }
    }

    pub fn submit(&mut self, now: Moment, request: Request) {
        let name = request.id.as_str().to_owned();
        self.prompt_tokens.insert(name, request.prompt_tokens);
        let outputs = self.router.submit(now, request);
        self.apply(&outputs);
    }

    pub fn step(&mut self, now: Moment) {
        for index in 0..self.engines.len() {
            for (request, attempt) in self.engines[index].step() {
                self.first_tokens.push((request, now));
                let outputs = self
                    .router
                    .record_progress(now, attempt, Progress::FirstToken);
                self.apply(&outputs);
                let ended = Progress::Finished(Usage::default());
                let outputs = self.router.record_progress(now, attempt, ended);
                self.apply(&outputs);
            }
        }
        let outputs = self.router.tick(now);
        self.apply(&outputs);
    }

    pub fn report(&mut self, now: Moment) {
        for index in 0..self.engines.len() {
            let load = self.engines[index].report();
            let announcement = announcement(index, 1, load.sequence + 1, Some(load));
            let outputs = self.router.announce(now, &announcement);
            self.apply(&outputs);
        }
    }

    fn apply(&mut self, outputs: &[Output]) {
        for refuse in refusals(outputs) {
            self.refused.push(refuse.request.as_str().to_owned());
        }
        for dispatch in dispatches(outputs) {
            let request = dispatch.request.as_str().to_owned();
            let index = (0..self.engines.len()).find(|i| endpoint(*i) == dispatch.endpoints[0]);
            let engine = &mut self.engines[index.expect("a known engine")];
            engine.last_attempt = dispatch.attempt;
            engine.queue.push(Prompt {
                remaining: self.prompt_tokens[&request] as f64,
                request,
                attempt: dispatch.attempt,
                priority: dispatch.engine_priority,
            });
        }
    }
}

impl Engine {
    fn step(&mut self) -> Vec<(String, u64)> {
        self.queue.sort_by_key(|prompt| u8::MAX - prompt.priority);
        let mut budget = STEP_SECONDS * TOKENS_PER_SECOND;
        for prompt in &mut self.queue {
            let completed = prompt.remaining.min(budget);
            prompt.remaining -= completed;
            budget -= completed;
        }
        let ended = self.queue.extract_if(.., |prompt| prompt.remaining <= 0.0);
        ended
            .map(|prompt| (prompt.request, prompt.attempt))
            .collect()
    }

    fn report(&mut self) -> Load {
        self.reports += 1;
        let remaining: f64 = self.queue.iter().map(|prompt| prompt.remaining).sum();
        Load {
            sequence: self.reports,
            running: self.queue.len() as u32,
            prefill_tokens: remaining as u64,
            seen: vec![("a".to_owned(), self.last_attempt)],
            ..Load::default()
        }
    }
}
