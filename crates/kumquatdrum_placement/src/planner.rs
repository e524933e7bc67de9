//! Prompts on model engines.
//!
//! A prompt is read before its answer is written, and an engine that reads makes the answers that
//! it writes pause. A planner keeps what every host has told of its dispatches, and from that
//! estimates what each engine has still to read, what it writes and what its memory holds.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_routes::Engine;
use kumquatdrum_types::Moment;

use crate::candidate::{Candidate, Endpoint, Writer};
use crate::demand::{Demand, weight};
use crate::ended::Ended;
use crate::long::Placement;
use crate::reach::{Group, Reach};
use crate::turns::Turns;
use crate::{Cost, EndpointKey, Failure, Job, JobId, Part, Plan, Turn, long, short};

/// How long a job counts that its host does not speak of: hosts tell of all their jobs twice a
/// second, and a host that misses four turns is frozen, cut off or gone.
const FORGOTTEN: Duration = Duration::from_millis(2_200);

/// What to do with a job.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Send it; the basis is for those who ask why.
    Send(Plan, Basis),
    /// Ask again when something has ended; other hosts are told.
    Wait(Turn),
    /// All engines together can't hold it.
    TooLarge,
    /// Others would lose more by it than its caller gains.
    TooCostly,
    /// No engine is known.
    Nobody,
}

/// What a decision rests on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Basis {
    /// Engines that could be chosen.
    pub engines: usize,
    /// The longest backlog among the chosen ones, in milliseconds.
    pub backlog_ms: f64,
    /// Answers that the first engine writes already.
    pub writers: usize,
    /// What it writes one pass of in, in milliseconds.
    pub pass_ms: f64,
}

/// Places prompts on the engines of one service.
#[derive(Debug)]
pub struct Planner {
    cost: Cost,
    endpoints: IndexMap<EndpointKey, Endpoint>,
    jobs: IndexMap<JobId, Placed>,
    turns: Turns,
    ended: Ended,
    demand: Demand,
    reach: Reach,
    /// Where this host stands, if that is known.
    here: Option<Group>,
}

#[derive(Debug)]
struct Placed {
    plan: Plan,
    reading: bool,
    forget_at: Moment,
}

impl Planner {
    /// A planner for engines with these figures.
    pub fn new(engine: Engine) -> Self {
        Self {
            cost: Cost::new(engine),
            endpoints: IndexMap::new(),
            jobs: IndexMap::new(),
            turns: Turns::default(),
            ended: Ended::default(),
            demand: Demand::default(),
            reach: Reach::default(),
            here: None,
        }
    }

    /// The same planner for a host that stands in the data centre of this group of engines.
    ///
    /// ```
    /// use kumquatdrum_placement::{EndpointKey, Group, Planner};
    /// # use kumquatdrum_routes::Engine;
    /// # let engine = Engine {
    /// #     slots: 16, memory_tokens: 300_000, pass_steps: 50, step_ms: 1.0, decode_request_ms: 0.01,
    /// #     context_ms_per_k_tokens: 0.01, prefill_tokens_per_ms: 200.0, attention_ms_per_m_pairs: 0.1,
    /// #     chunk_tokens: 2_048, remote_memory_step_ms: 0.05, typical_prompt_tokens: 10_000.0, typical_answer_tokens: 1_000.0,
    /// # };
    ///
    /// let mut planner = Planner::new(engine).standing_in(Group(1));
    /// planner.set_endpoints([(EndpointKey(7), Group(1)), (EndpointKey(8), Group(2))]);
    /// ```
    #[must_use]
    pub fn standing_in(mut self, here: Group) -> Self {
        self.here = Some(here);
        self
    }

    /// The engines that may be chosen from now on.
    pub fn set_endpoints(&mut self, usable: impl IntoIterator<Item = (EndpointKey, Group)>) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.usable = false;
        }
        for (key, group) in usable {
            let endpoint = self.endpoints.entry(key);
            let endpoint = endpoint.or_insert_with(|| Endpoint::new(group));
            endpoint.group = group;
            endpoint.usable = true;
        }
        self.endpoints.retain(|_, endpoint| {
            endpoint.usable || endpoint.reads > 0 || !endpoint.writers.is_empty()
        });
    }

    /// Places a job, or says why not. What is sent counts from now on.
    pub fn place(&mut self, now: Moment, job: &Job) -> Decision {
        self.forget(now);
        let candidates = self.candidates(now, job);
        if self.is_refused(job, &candidates) {
            return Decision::TooCostly;
        }
        let memory = self.cost.engine().memory_tokens;
        if candidates.is_empty() {
            return Decision::Nobody;
        }
        if job.tokens() > memory * candidates.len() as u64 {
            return Decision::TooLarge;
        }
        let read_ms = self.cost.read_ms(job.prompt);
        let mut turn = turn(now, job, read_ms);
        let plan = if short::is_short(job, &candidates, read_ms) {
            let load = short::Load {
                rate: self.demand.rate(),
                here: self.here,
            };
            let candidate = short::place(&self.cost, now, job, &candidates, &load);
            candidate.map(|candidate| {
                let helpers = short::helpers(&candidates, candidate, read_ms);
                shared(job, candidate.key, helpers, read_ms)
            })
        } else {
            match long::place(&self.cost, now, job, &candidates, self.here) {
                Placement::Send(plan) if self.turns.is_next(now, turn) => Some(plan),
                Placement::Send(_) | Placement::Wait => None,
                Placement::Blocked => {
                    turn.blocked = true;
                    None
                }
                // It lets others pass and waits for answers to end, while that can be in time.
                Placement::Harmful { part_ms } if f64::from(turn.left_ms) > part_ms => {
                    turn.blocked = true;
                    None
                }
                Placement::Harmful { .. } => return Decision::TooCostly,
            }
        };
        let Some(plan) = plan else {
            self.turns.put(now, turn);
            return Decision::Wait(turn);
        };
        let basis = basis(&plan, &candidates);
        self.sent(now, plan.clone());
        Decision::Send(plan, basis)
    }

    /// Whether others would lose more by a job than its caller gains. A job that waits already is
    /// not refused any more.
    fn is_refused(&self, job: &Job, candidates: &[Candidate<'_>]) -> bool {
        let engines = candidates.len();
        let width = engines.clamp(1, long::WIDEST);
        let free = candidates
            .iter()
            .filter(|candidate| candidate.parts_ms <= 0.0)
            .count();
        // Where as many engines are left, nobody waits for it.
        if self.turns.contains(job.id) || free >= 2 * width {
            return false;
        }
        let part_ms = self.cost.read_ms(job.prompt) / width as f64;
        self.demand.forbids(job, part_ms, width, engines)
    }

    /// A job waits at another host.
    pub fn queued(&mut self, now: Moment, turn: Turn) {
        self.turns.put(now, turn);
    }

    /// A job waits no longer, and was not sent.
    pub fn cancelled(&mut self, job: JobId) {
        self.turns.remove(job);
    }

    /// Takes a dispatch of this or another host.
    pub fn sent(&mut self, now: Moment, plan: Plan) {
        self.turns.remove(plan.job);
        let target = Duration::from_millis(plan.target_ms.into());
        self.demand.add(now, plan.prompt.into(), target);
        if self.ended.contains(plan.job) {
            return;
        }
        let part_ms = f64::from(plan.part_ms.max(0.0));
        let part = Duration::from_secs_f64(part_ms / 1e3);
        let is_part = plan.has_parts();
        for key in plan.readers() {
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.read_until = endpoint.read_until.max(now) + part;
                if is_part {
                    let pass_ms = self.cost.pass_ms(endpoint.writers.len(), endpoint.tokens);
                    let pass = Duration::from_secs_f64(pass_ms / 1e3);
                    endpoint.parts_until = endpoint.parts_until.max(now) + part + pass;
                }
            }
        }
        self.allocate(now, plan, true);
    }

    /// Counts a job at its engines.
    fn allocate(&mut self, now: Moment, plan: Plan, is_reading: bool) {
        for key in plan.readers().filter(|_| is_reading) {
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.reads += 1;
            }
        }
        for (key, tokens) in memory(&plan) {
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.tokens += tokens;
            }
        }
        if let Some(endpoint) = self.endpoints.get_mut(&plan.first) {
            let writer = Writer {
                pause_ms: f64::from(plan.pause_ms),
                weight: weight(plan.prompt.into()),
            };
            endpoint.writers.insert(plan.job, writer);
        }
        let placed = Placed {
            plan,
            reading: is_reading,
            forget_at: now + FORGOTTEN,
        };
        self.jobs.insert(placed.plan.job, placed);
    }

    /// Another host tells of a job that is under way, whose dispatch may have been missed.
    pub fn running(&mut self, now: Moment, plan: Plan, is_reading: bool) {
        if let Some(placed) = self.jobs.get_mut(&plan.job) {
            placed.forget_at = now + FORGOTTEN;
            if !is_reading {
                self.began(now, plan.job);
            }
            return;
        }
        if !self.ended.contains(plan.job) {
            self.allocate(now, plan, is_reading);
        }
    }

    /// This host's jobs, with whether each is still read, for hosts that have missed them.
    pub fn jobs_of(&mut self, now: Moment, host: u32) -> Vec<(Plan, bool)> {
        let mut jobs = Vec::new();
        for (job, placed) in &mut self.jobs {
            if job.host == host {
                placed.forget_at = now + FORGOTTEN;
                jobs.push((placed.plan.clone(), placed.reading));
            }
        }
        jobs
    }

    /// The first token of a job has come.
    pub fn began(&mut self, now: Moment, job: JobId) {
        if let Some(placed) = self.jobs.get_mut(&job).filter(|placed| placed.reading) {
            placed.reading = false;
            let plan = placed.plan.clone();
            self.read(now, &plan);
        }
    }

    /// A job has ended. What was told of it before may still arrive, by another way.
    pub fn ended(&mut self, now: Moment, job: JobId) {
        self.ended.add(job);
        self.release(now, job);
    }

    /// Frees what a job holds, if it is known.
    fn release(&mut self, now: Moment, job: JobId) {
        let Some(placed) = self.jobs.swap_remove(&job) else {
            return;
        };
        if placed.reading {
            self.read(now, &placed.plan);
        }
        for (key, tokens) in memory(&placed.plan) {
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.tokens = endpoint.tokens.saturating_sub(tokens);
            }
        }
        if let Some(endpoint) = self.endpoints.get_mut(&placed.plan.first) {
            endpoint.writers.swap_remove(&job);
        }
    }

    /// An engine has answered.
    pub fn succeeded(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.health.succeeded();
            self.reach.succeeded(endpoint.group);
        }
    }

    /// An engine has failed; returns whether it is spared from now on.
    pub fn failed(&mut self, now: Moment, key: EndpointKey, failure: Failure) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return false;
        };
        self.reach.failed(now, endpoint.group, failure);
        endpoint.health.failed(now, failure)
    }

    /// The engines that may get a job: those that are not spared, where any are.
    fn candidates(&self, now: Moment, job: &Job) -> Vec<Candidate<'_>> {
        let usable = |(key, endpoint): &(&EndpointKey, &Endpoint)| {
            endpoint.usable && !job.spared.contains(key)
        };
        let usable: Vec<_> = self.endpoints.iter().filter(usable).collect();
        let is_sound = |endpoint: &Endpoint| {
            !endpoint.health.is_ejected(now) && !self.reach.is_cut(now, endpoint.group)
        };
        let has_sound = usable.iter().any(|(_, endpoint)| is_sound(endpoint));
        let chosen = usable.into_iter();
        let chosen = chosen.filter(|(_, endpoint)| !has_sound || is_sound(endpoint));
        chosen
            .map(|(key, endpoint)| endpoint.candidate(now, *key, &self.cost))
            .collect()
    }

    /// A job's parts are read; engines that read nothing else have read all they hold.
    fn read(&mut self, now: Moment, plan: &Plan) {
        for key in plan.readers() {
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.reads = endpoint.reads.saturating_sub(1);
                if endpoint.reads == 0 {
                    endpoint.read_until = endpoint.read_until.min(now);
                    endpoint.parts_until = endpoint.parts_until.min(now);
                }
            }
        }
    }

    fn forget(&mut self, now: Moment) {
        let old = self.jobs.iter();
        let old = old.filter(|(_, placed)| placed.forget_at <= now);
        let old: Vec<JobId> = old.map(|(job, _)| *job).collect();
        for job in old {
            self.release(now, job);
        }
        self.ended.forget(now);
        self.turns.forget(now);
        self.demand.forget(now);
    }
}

fn turn(now: Moment, job: &Job, read_ms: f64) -> Turn {
    Turn {
        job: job.id,
        read_ms: read_ms as f32,
        prompt: u32::try_from(job.prompt).unwrap_or(u32::MAX),
        waited_ms: (now - job.arrived).as_millis() as u32,
        left_ms: (job.due - now).as_millis() as u32,
        blocked: false,
    }
}

fn basis(plan: &Plan, candidates: &[Candidate<'_>]) -> Basis {
    let find = |key: EndpointKey| candidates.iter().find(|candidate| candidate.key == key);
    let first = find(plan.first);
    let chosen = plan.readers().filter_map(find);
    Basis {
        engines: candidates.len(),
        backlog_ms: chosen
            .map(|candidate| candidate.backlog_ms)
            .fold(0.0, f64::max),
        writers: first.map_or(0, Candidate::writers),
        pass_ms: first.map_or(0.0, |candidate| candidate.pass_ms),
    }
}

/// The memory that a plan fills, by engine.
fn memory(plan: &Plan) -> impl Iterator<Item = (EndpointKey, u64)> + '_ {
    let helpers = plan.helpers.iter();
    let helpers = helpers.map(|part| (part.endpoint, u64::from(part.reserved)));
    std::iter::once((plan.first, u64::from(plan.tokens))).chain(helpers)
}

fn shared(job: &Job, first: EndpointKey, helpers: Vec<Part>, read_ms: f64) -> Plan {
    let readers = helpers.len() + 1;
    Plan {
        job: job.id,
        first,
        helpers,
        prompt: u32::try_from(job.prompt).unwrap_or(u32::MAX),
        target_ms: (job.due - job.arrived).as_millis() as u32,
        part_ms: (read_ms / readers as f64) as f32,
        tokens: u32::try_from(job.tokens()).unwrap_or(u32::MAX),
        pause_ms: job.pause.as_millis() as u32,
    }
}
