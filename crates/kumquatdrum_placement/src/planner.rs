//! Prompts on model engines.
//!
//! A prompt is read before its answer is written, and an engine that reads makes the answers that
//! it writes pause. Short prompts are therefore packed on engines that write already, and long
//! ones are read in parts by many engines where few write.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_routes::Engine;
use kumquatdrum_types::Moment;

use crate::{Cost, EndpointKey, Failure, Health, Job, JobId, Plan};

/// The most engines that read one prompt together: the engines' own limit of sixteen helpers.
const WIDEST: usize = 17;
/// A prompt whose reading takes at most this long, in milliseconds, is read by one engine: the
/// order of a pass, below which sharing gains nothing.
const SHORT_MS: f64 = 60.0;
/// The share of an engine's slots that short answers may fill before the next engine is begun.
const PACKED: f64 = 0.625;
/// How long after its caller's deadline a job that a host told of is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(30);
/// What a long prompt weighs a writer at an engine, in milliseconds of backlog.
const WRITER_MS: f64 = 100.0;
/// The share of memory that is planned for: answers grow beyond their estimates.
const FILLED: f64 = 0.97;

/// What to do with a job.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it.
    Send(Plan),
    /// No engine has room; ask again when something ends.
    Wait,
    /// No engine can ever hold it.
    TooLarge,
    /// No engine is known.
    Nobody,
}

/// Places prompts on the engines of one service.
#[derive(Debug)]
pub struct Planner {
    cost: Cost,
    endpoints: IndexMap<EndpointKey, Endpoint>,
    jobs: IndexMap<JobId, Placed>,
}

#[derive(Debug, Default)]
struct Endpoint {
    usable: bool,
    health: Health,
    /// When it has read what it holds, as far as that is known.
    read_until: Moment,
    writers: usize,
    tokens: u64,
    tightest_ms: u32,
}

#[derive(Debug)]
struct Placed {
    plan: Plan,
    reading: bool,
    forget_at: Moment,
}

struct Candidate {
    key: EndpointKey,
    backlog_ms: f64,
    writers: usize,
    free: u64,
    pass_ms: f64,
    tightest_ms: u32,
}

impl Planner {
    /// A planner for engines with these figures.
    pub fn new(engine: Engine) -> Self {
        Self {
            cost: Cost::new(engine),
            endpoints: IndexMap::new(),
            jobs: IndexMap::new(),
        }
    }

    /// The engines that may be chosen from now on.
    pub fn set_endpoints(&mut self, usable: impl IntoIterator<Item = EndpointKey>) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.usable = false;
        }
        for key in usable {
            self.endpoints.entry(key).or_default().usable = true;
        }
        let jobs = &self.jobs;
        self.endpoints.retain(|key, endpoint| {
            endpoint.usable || jobs.values().any(|placed| placed.plan.first == *key)
        });
    }

    /// What the engines cost.
    pub const fn cost(&self) -> &Cost {
        &self.cost
    }

    /// Places a job, or says why not. What is sent counts from now on.
    pub fn place(&mut self, now: Moment, job: &Job) -> Decision {
        self.forget(now);
        let candidates = self.candidates(now, job);
        if candidates.is_empty() {
            return Decision::Nobody;
        }
        let tokens = job.prompt + job.answer;
        if tokens > self.cost.engine().memory_tokens {
            return Decision::TooLarge;
        }
        let read_ms = self.cost.read_ms(job.prompt);
        let plan = if read_ms <= SHORT_MS {
            self.place_short(job, &candidates, read_ms)
        } else {
            Self::place_long(job, candidates, read_ms)
        };
        let Some(plan) = plan else {
            return Decision::Wait;
        };
        self.sent(now, plan.clone());
        Decision::Send(plan)
    }

    /// Takes a dispatch of this or another host.
    pub fn sent(&mut self, now: Moment, plan: Plan) {
        let part = Duration::from_secs_f64(f64::from(plan.part_ms.max(0.0)) / 1e3);
        for key in plan.readers() {
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.read_until = endpoint.read_until.max(now) + part;
            }
        }
        let placed = Placed {
            plan,
            reading: true,
            forget_at: now + FORGOTTEN,
        };
        self.jobs.insert(placed.plan.job, placed);
        self.recount();
    }

    /// The first token of a job has come.
    pub fn began(&mut self, now: Moment, job: JobId) {
        let Some(placed) = self.jobs.get_mut(&job) else {
            return;
        };
        placed.reading = false;
        self.settle(now, job);
    }

    /// A job has ended.
    pub fn ended(&mut self, now: Moment, job: JobId) {
        if let Some(placed) = self.jobs.swap_remove(&job) {
            self.settle_at(now, &placed.plan);
            self.recount();
        }
    }

    /// An engine has answered.
    pub fn succeeded(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.health.succeeded();
        }
    }

    /// An engine has failed; returns whether it is spared from now on.
    pub fn failed(&mut self, now: Moment, key: EndpointKey, failure: Failure) -> bool {
        self.endpoints
            .get_mut(&key)
            .is_some_and(|endpoint| endpoint.health.failed(now, failure))
    }

    fn place_short(&self, job: &Job, candidates: &[Candidate], read_ms: f64) -> Option<Plan> {
        let tokens = job.prompt + job.answer;
        let slots = self.cost.engine().slots as usize;
        let packed = (f64::from(self.cost.engine().slots) * PACKED) as usize;
        let fits = candidates
            .iter()
            .filter(|candidate| candidate.free >= tokens);
        let fits = fits.filter(|candidate| candidate.writers < slots);
        let best = fits.min_by_key(|candidate| {
            let is_quiet = candidate.backlog_ms <= SHORT_MS;
            let is_packed = candidate.writers >= packed;
            let writers = if is_packed {
                candidate.writers
            } else {
                slots - candidate.writers
            };
            let backlog = (candidate.backlog_ms * 1e3) as u64;
            match (is_quiet, is_packed) {
                (true, false) => (0, writers as u64, backlog),
                (true, true) => (1, writers as u64, backlog),
                (false, _) => (2, backlog, writers as u64),
            }
        })?;
        Some(plan(job, best.key, Vec::new(), read_ms))
    }

    fn place_long(job: &Job, mut candidates: Vec<Candidate>, read_ms: f64) -> Option<Plan> {
        let tokens = job.prompt + job.answer;
        let weight =
            |candidate: &Candidate| candidate.backlog_ms + WRITER_MS * candidate.writers as f64;
        candidates.sort_by(|one, other| weight(one).total_cmp(&weight(other)));
        let finish = |width: usize| {
            let members = &candidates[..width];
            let part = read_ms / width as f64;
            let last = members
                .iter()
                .map(|member| member.backlog_ms + member.pass_ms);
            let harmed = members.iter().filter(|member| member.is_harmed(part));
            let harm: usize = harmed.map(|member| member.writers).sum();
            last.fold(0.0, f64::max) + part + harm as f64 * WRITER_MS / 4.0
        };
        let widest = candidates.len().min(WIDEST);
        let width = (1..=widest).min_by(|one, other| finish(*one).total_cmp(&finish(*other)))?;
        let members = &candidates[..width];
        let first = members.iter().max_by_key(|member| member.free)?;
        if first.free < tokens {
            let anywhere = candidates.iter().max_by_key(|candidate| candidate.free)?;
            if anywhere.free < tokens {
                return None;
            }
            let helpers = members.iter().take(width - 1).map(|member| member.key);
            return Some(plan(
                job,
                anywhere.key,
                helpers.collect(),
                read_ms / width as f64,
            ));
        }
        let helpers = members.iter().map(|member| member.key);
        let helpers = helpers.filter(|key| *key != first.key).collect();
        Some(plan(job, first.key, helpers, read_ms / width as f64))
    }

    fn candidates(&self, now: Moment, job: &Job) -> Vec<Candidate> {
        let usable = |(key, endpoint): &(&EndpointKey, &Endpoint)| {
            endpoint.usable && !job.spared.contains(key)
        };
        let healthy = self.endpoints.iter().filter(usable);
        let healthy = healthy.filter(|(_, endpoint)| !endpoint.health.is_ejected(now));
        let healthy: Vec<Candidate> = healthy
            .map(|(key, endpoint)| self.candidate(now, *key, endpoint))
            .collect();
        if !healthy.is_empty() {
            return healthy;
        }
        let any = self.endpoints.iter().filter(usable);
        any.map(|(key, endpoint)| self.candidate(now, *key, endpoint))
            .collect()
    }

    fn candidate(&self, now: Moment, key: EndpointKey, endpoint: &Endpoint) -> Candidate {
        let backlog = (endpoint.read_until - now).as_secs_f64() * 1e3;
        let memory = (self.cost.engine().memory_tokens as f64 * FILLED) as u64;
        Candidate {
            key,
            backlog_ms: backlog + endpoint.health.penalty_ms(),
            writers: endpoint.writers,
            free: memory.saturating_sub(endpoint.tokens),
            pass_ms: self.cost.pass_ms(endpoint.writers, endpoint.tokens),
            tightest_ms: endpoint.tightest_ms,
        }
    }

    fn settle(&mut self, now: Moment, job: JobId) {
        if let Some(placed) = self.jobs.get(&job) {
            let plan = placed.plan.clone();
            self.settle_at(now, &plan);
        }
    }

    /// Engines that read nothing else have read all they hold.
    fn settle_at(&mut self, now: Moment, plan: &Plan) {
        for key in plan.readers() {
            let reads = |placed: &Placed| {
                placed.reading
                    && placed.plan.job != plan.job
                    && placed.plan.readers().any(|reader| reader == key)
            };
            let is_reading = self.jobs.values().any(reads);
            if let Some(endpoint) = self.endpoints.get_mut(&key).filter(|_| !is_reading) {
                endpoint.read_until = endpoint.read_until.min(now);
            }
        }
    }

    fn recount(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.writers = 0;
            endpoint.tokens = 0;
            endpoint.tightest_ms = u32::MAX;
        }
        for placed in self.jobs.values() {
            if let Some(endpoint) = self.endpoints.get_mut(&placed.plan.first) {
                endpoint.writers += 1;
                endpoint.tokens += u64::from(placed.plan.tokens);
                endpoint.tightest_ms = endpoint.tightest_ms.min(placed.plan.pause_ms);
            }
        }
    }

    fn forget(&mut self, now: Moment) {
        let before = self.jobs.len();
        self.jobs.retain(|_, placed| placed.forget_at > now);
        if self.jobs.len() < before {
            self.recount();
        }
    }
}

impl Candidate {
    /// A part would make its answers pause too long.
    fn is_harmed(&self, part_ms: f64) -> bool {
        let pause = self.backlog_ms + self.pass_ms + part_ms;
        self.writers > 0 && pause > f64::from(self.tightest_ms) * 0.9
    }
}

fn plan(job: &Job, first: EndpointKey, helpers: Vec<EndpointKey>, part_ms: f64) -> Plan {
    Plan {
        job: job.id,
        first,
        helpers,
        part_ms: part_ms as f32,
        tokens: u32::try_from(job.prompt + job.answer).unwrap_or(u32::MAX),
        pause_ms: job.pause.as_millis() as u32,
    }
}
