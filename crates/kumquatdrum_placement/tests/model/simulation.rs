//! Simulates a workload on engines with one planner per host.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use kumquatdrum_placement::{
    Cost, DataCentreKey, Decision, EndpointKey, Job, JobId, Plan, Planner, Waiter,
};
use kumquatdrum_routes as routes;
use kumquatdrum_types::Moment;

use super::engine::{Engine, Event};
use super::workload::{PROMPT_CLASSES, Prompt};

/// The delay of engine events on the way to hosts, in milliseconds.
const ENGINE_LATENCY_MS: f64 = 3.0;
/// The interval at which hosts announce their jobs, in milliseconds.
const ANNOUNCEMENT_MS: f64 = 500.0;
/// The interval at which waiting prompts are placed again, in milliseconds.
const RETRY_MS: f64 = 5.0;

/// Results of one prompt class.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub requests: usize,
    pub on_time: usize,
    pub refused: usize,
    pub late_first_token: usize,
    pub paused: usize,
    /// Answers from another data centre than their host's, which a network partition would break.
    pub remote: usize,
    pub first_token_ms: Vec<f64>,
}

impl Outcome {
    /// Adds the results of another run.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.on_time += other.on_time;
        self.refused += other.refused;
        self.late_first_token += other.late_first_token;
        self.paused += other.paused;
        self.remote += other.remote;
        self.first_token_ms.extend(other.first_token_ms);
    }

    /// Returns the share of prompts answered in time and without long pauses.
    pub fn on_time_share(&self) -> f64 {
        self.on_time as f64 / self.requests.max(1) as f64
    }

    pub fn first_token_quantile(&self, quantile: f64) -> f64 {
        let mut sorted = self.first_token_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let index = ((sorted.len() as f64 - 1.0) * quantile).max(0.0) as usize;
        sorted.get(index).copied().unwrap_or(0.0)
    }
}

struct Execution {
    prompt: Prompt,
    plan: Plan,
    parts_left: usize,
    first_token_ms: Option<f64>,
    last_event_ms: f64,
    is_paused: bool,
}

/// Returns the declared performance of a small engine.
pub fn engine_settings() -> routes::Engine {
    routes::Engine {
        slots: 16,
        memory_tokens: 315_000,
        pass_steps: 51,
        step_ms: 0.85,
        decode_request_ms: 0.004_25,
        context_ms_per_k_tokens: 0.002_85,
        prefill_tokens_per_ms: 177.0,
        attention_ms_per_m_pairs: 0.184,
        chunk_tokens: 2_048,
        remote_memory_step_ms: 0.05,
        typical_prompt_tokens: 11_108.0,
        typical_answer_tokens: 1_622.0,
    }
}

/// The hosts and engines of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub engines: u64,
    pub slots: u32,
    /// Hosts that place prompts, in turn.
    pub hosts: usize,
    /// The delay of updates between hosts, in milliseconds.
    pub propagation_ms: f64,
    /// Data centres over which hosts and engines are distributed evenly.
    pub data_centres: u64,
}

impl Scenario {
    /// Returns a scenario with one host and `engines` engines.
    pub fn of(engines: u64) -> Self {
        Self {
            engines,
            slots: engine_settings().slots,
            hosts: 1,
            propagation_ms: 0.0,
            data_centres: 1,
        }
    }

    /// Returns the data centre of an engine.
    fn engine_data_centre(&self, key: EndpointKey) -> DataCentreKey {
        DataCentreKey(key.0 % self.data_centres)
    }

    /// Returns the data centre of a host.
    fn host_data_centre(&self, host: usize) -> DataCentreKey {
        DataCentreKey(host as u64 % self.data_centres)
    }
}

/// An update from a host to the other hosts, or from an engine to the job's own host.
#[derive(Debug, Clone)]
enum Notice {
    Sent(Plan),
    FirstToken(JobId),
    Ended(JobId),
    Waiting(Waiter),
    GivenUp(JobId),
    Running(Vec<(Plan, bool)>),
}

/// The planners of all hosts and the updates in transit.
struct Planners {
    hosts: Vec<Planner>,
    /// Ordered by arrival in microseconds, then by order of sending. Each has the host that does not
    /// receive it, or none if only the job's own host does.
    notices: BTreeMap<(u64, u64), (Option<usize>, Notice)>,
    sequence: u64,
    propagation_ms: f64,
}

impl Planners {
    fn new(scenario: &Scenario, engine_settings: &routes::Engine) -> Self {
        let planner = |host| {
            let planner = Planner::new(engine_settings.clone());
            let mut planner = planner.with_data_centre(scenario.host_data_centre(host));
            let keys = (1..=scenario.engines).map(EndpointKey);
            planner.set_endpoints(keys.map(|key| (key, scenario.engine_data_centre(key))));
            planner
        };
        Self {
            hosts: (0..scenario.hosts).map(planner).collect(),
            notices: BTreeMap::new(),
            sequence: 0,
            propagation_ms: scenario.propagation_ms,
        }
    }

    fn owner(&mut self, id: JobId) -> &mut Planner {
        &mut self.hosts[id.host as usize]
    }

    /// Schedules a notice for all hosts except one, or for the job's own host if `except` is none.
    fn schedule(&mut self, at: f64, except: Option<usize>, notice: Notice) {
        self.sequence += 1;
        let key = (moment(at).micros, self.sequence);
        self.notices.insert(key, (except, notice));
    }

    fn broadcast(&mut self, now: f64, host: u32, notice: Notice) {
        if self.hosts.len() > 1 {
            self.schedule(now + self.propagation_ms, Some(host as usize), notice);
        }
    }

    fn next_at(&self) -> f64 {
        let first = self.notices.first_key_value();
        first.map_or(f64::INFINITY, |((at, _), _)| *at as f64 / 1e3)
    }

    fn deliver(&mut self) {
        let Some(((micros, _), (except, notice))) = self.notices.pop_first() else {
            return;
        };
        let now = Moment { micros };
        if except.is_none() {
            self.deliver_to_owner(now, notice);
            return;
        }
        for (host, planner) in self.hosts.iter_mut().enumerate() {
            match &notice {
                _ if except == Some(host) => {}
                Notice::Sent(plan) => planner.record_dispatch(now, plan.clone()),
                Notice::FirstToken(job) => planner.record_first_token(now, *job),
                Notice::Ended(job) => planner.record_end(now, *job),
                Notice::Waiting(waiter) => planner.enqueue(now, *waiter),
                Notice::GivenUp(job) => planner.dequeue(*job),
                Notice::Running(jobs) => {
                    for (plan, is_prefilling) in jobs {
                        planner.renew_job(now, plan.clone(), *is_prefilling);
                    }
                }
            }
        }
    }

    /// Announces each host's jobs, which keeps them from expiring on other hosts.
    fn announce_jobs(&mut self, now: f64) {
        for host in 0..self.hosts.len() {
            let jobs = self.hosts[host].renew_jobs(moment(now), host as u32);
            if !jobs.is_empty() {
                self.broadcast(now, host as u32, Notice::Running(jobs));
            }
        }
    }

    /// Delivers an engine event to the job's own host, which informs the others.
    fn deliver_to_owner(&mut self, now: Moment, notice: Notice) {
        let (Notice::FirstToken(id) | Notice::Ended(id)) = notice else {
            return;
        };
        let planner = self.owner(id);
        match &notice {
            Notice::FirstToken(id) => planner.record_first_token(now, *id),
            _ => planner.record_end(now, id),
        }
        self.broadcast(now.micros as f64 / 1e3, id.host, notice);
    }

    fn schedule_first_token(&mut self, at: f64, id: JobId) {
        self.schedule(at + ENGINE_LATENCY_MS, None, Notice::FirstToken(id));
    }

    fn schedule_end(&mut self, at: f64, id: JobId) {
        self.schedule(at + ENGINE_LATENCY_MS, None, Notice::Ended(id));
    }
}

/// Simulates the prompts and returns the results of each class.
pub fn simulate(prompts: &[Prompt], scenario: &Scenario) -> Vec<Outcome> {
    let engine_settings = routes::Engine {
        slots: scenario.slots,
        ..engine_settings()
    };
    let cost = Cost::new(engine_settings.clone());
    let mut engines: IndexMap<EndpointKey, Engine> = (0..scenario.engines)
        .map(|number| (EndpointKey(number + 1), Engine::new(cost.clone())))
        .collect();
    let mut planners = Planners::new(scenario, &engine_settings);
    let mut outcomes = vec![Outcome::default(); PROMPT_CLASSES.len()];
    let mut running: IndexMap<JobId, Execution> = IndexMap::new();
    let mut waiting: Vec<(JobId, Prompt)> = Vec::new();
    let mut upcoming = prompts.iter().cloned().enumerate().peekable();
    let mut retry_at = 0.0;
    let mut announce_at = ANNOUNCEMENT_MS;
    loop {
        let arrival_at = upcoming
            .peek()
            .map_or(f64::INFINITY, |(_, prompt)| prompt.at_ms);
        let pass_at = engines
            .values()
            .map(Engine::next_pass_at)
            .fold(f64::INFINITY, f64::min);
        let next_retry_at = if waiting.is_empty() {
            f64::INFINITY
        } else {
            retry_at
        };
        let notice_at = planners.next_at();
        let now = arrival_at.min(pass_at).min(next_retry_at).min(notice_at);
        if now.is_infinite() {
            return outcomes;
        }
        if announce_at <= now {
            planners.announce_jobs(announce_at);
            announce_at += ANNOUNCEMENT_MS;
            continue;
        }
        if notice_at <= now {
            planners.deliver();
            continue;
        }
        if arrival_at <= now {
            let Some((number, prompt)) = upcoming.next() else {
                return outcomes;
            };
            outcomes[prompt.class].requests += 1;
            let host = (number % scenario.hosts) as u32;
            let number = number as u64;
            waiting.push((JobId { host, number }, prompt));
        }
        if arrival_at <= now || next_retry_at <= now {
            retry_at = now + RETRY_MS;
            waiting.retain(|(id, prompt)| {
                let decision = planners.owner(*id).place(moment(now), &job(*id, prompt));
                match decision {
                    Decision::Wait(waiter) if now < prompt.at_ms + 10_000.0 => {
                        planners.broadcast(now, id.host, Notice::Waiting(waiter));
                        true
                    }
                    Decision::Send(plan, _) => {
                        let host_data_centre = scenario.host_data_centre(id.host as usize);
                        let is_remote = scenario.engine_data_centre(plan.first) != host_data_centre;
                        outcomes[prompt.class].remote += usize::from(is_remote);
                        planners.broadcast(now, id.host, Notice::Sent(plan.clone()));
                        dispatch(&mut engines, &cost, now, prompt, &plan);
                        running.insert(*id, start_job(prompt, plan));
                        false
                    }
                    _ => {
                        planners.owner(*id).dequeue(*id);
                        planners.broadcast(now, id.host, Notice::GivenUp(*id));
                        outcomes[prompt.class].refused += 1;
                        false
                    }
                }
            });
        }
        if pass_at <= now {
            let ready = engines
                .iter_mut()
                .find(|(_, engine)| engine.next_pass_at() <= now);
            let Some((key, engine)) = ready else {
                continue;
            };
            let key = *key;
            let (at, events) = engine.run_pass();
            for event in events {
                handle_event(
                    key,
                    event,
                    at,
                    &mut engines,
                    &mut running,
                    &mut planners,
                    &mut outcomes,
                );
            }
        }
    }
}

fn moment(ms: f64) -> Moment {
    Moment {
        micros: (ms * 1e3) as u64,
    }
}

fn job(id: JobId, prompt: &Prompt) -> Job {
    let arrived = moment(prompt.at_ms);
    Job {
        id,
        prompt_tokens: prompt.tokens,
        answer_tokens: u64::from(prompt.events) * 51,
        max_pause: prompt.max_pause,
        arrived,
        due: arrived + prompt.target,
        deadline: arrived + std::time::Duration::from_secs(10),
        excluded: Vec::new(),
        first: None,
        is_resumed: false,
    }
}

fn start_job(prompt: &Prompt, plan: Plan) -> Execution {
    Execution {
        parts_left: plan.helpers.len() + 1,
        prompt: prompt.clone(),
        plan,
        first_token_ms: None,
        last_event_ms: 0.0,
        is_paused: false,
    }
}

fn dispatch(
    engines: &mut IndexMap<EndpointKey, Engine>,
    cost: &Cost,
    now: f64,
    prompt: &Prompt,
    plan: &Plan,
) {
    let parts = plan.helpers.len() as f64 + 1.0;
    let part_ms = cost.prefill_ms(prompt.tokens) / parts;
    let tokens = prompt.tokens as f64 / parts;
    for key in plan.prefill_engines() {
        let is_helper = key != plan.first;
        engines[&key].prefill(
            now + ENGINE_LATENCY_MS,
            plan.job,
            part_ms,
            tokens,
            is_helper,
        );
    }
}

fn handle_event(
    key: EndpointKey,
    event: Event,
    at: f64,
    engines: &mut IndexMap<EndpointKey, Engine>,
    running: &mut IndexMap<JobId, Execution>,
    planners: &mut Planners,
    outcomes: &mut [Outcome],
) {
    let (Event::PrefillDone(id) | Event::Sent(id, _)) = event;
    let Some(job) = running.get_mut(&id) else {
        return;
    };
    match event {
        Event::PrefillDone(_) => {
            job.parts_left -= 1;
            if job.parts_left == 0 {
                let first = &mut engines[&job.plan.first];
                let mut remaining_events = job.prompt.events;
                // An engine that completes the last part starts decoding in the same pass.
                if key == job.plan.first {
                    job.first_token_ms = Some(at - job.prompt.at_ms);
                    job.last_event_ms = at;
                    planners.schedule_first_token(at, id);
                    remaining_events -= 1;
                }
                if remaining_events == 0 {
                    record_outcome(job, &mut outcomes[job.prompt.class]);
                    first.end(id);
                    planners.schedule_end(at, id);
                    running.swap_remove(&id);
                } else {
                    first.decode(at, id, job.prompt.tokens, remaining_events);
                }
            }
        }
        Event::Sent(_, is_last) => {
            if job.first_token_ms.is_none() {
                job.first_token_ms = Some(at - job.prompt.at_ms);
                planners.schedule_first_token(at, id);
            } else {
                job.is_paused |= at - job.last_event_ms > job.prompt.max_pause.as_secs_f64() * 1e3;
            }
            job.last_event_ms = at;
            if is_last {
                record_outcome(job, &mut outcomes[job.prompt.class]);
                planners.schedule_end(at, id);
                running.swap_remove(&id);
            }
        }
    }
}

fn record_outcome(job: &Execution, outcome: &mut Outcome) {
    let first_token_ms = job.first_token_ms.unwrap_or(f64::INFINITY);
    let is_late = first_token_ms > job.prompt.target.as_secs_f64() * 1e3;
    outcome.late_first_token += usize::from(is_late);
    outcome.paused += usize::from(job.is_paused);
    outcome.on_time += usize::from(!is_late && !job.is_paused);
    outcome.first_token_ms.push(first_token_ms);
}
