//! Plays a load against engines, placed by a planner.

use std::collections::BTreeMap;

use indexmap::IndexMap;
use kumquatdrum_placement::{Cost, Decision, EndpointKey, Group, Job, JobId, Plan, Planner, Turn};
use kumquatdrum_routes::Engine as Figures;
use kumquatdrum_types::Moment;

use super::engine::{Engine, Event};
use super::load::{KINDS, Prompt};

/// How long what an engine does stays unknown to hosts, in milliseconds: the way there.
const LAG_MS: f64 = 3.0;
/// How often hosts tell of all their jobs, in milliseconds.
const RETELL_MS: f64 = 500.0;
/// How often prompts that wait are looked at, in milliseconds.
const LOOK_MS: f64 = 5.0;

/// What callers of one kind got.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub asked: usize,
    pub on_time: usize,
    pub refused: usize,
    pub first_late: usize,
    pub paused: usize,
    /// Answers that came from another data centre than their host's: a cut would break them.
    pub far: usize,
    pub first_ms: Vec<f64>,
}

impl Outcome {
    /// Adds what callers of another play got.
    pub fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.on_time += other.on_time;
        self.refused += other.refused;
        self.first_late += other.first_late;
        self.paused += other.paused;
        self.far += other.far;
        self.first_ms.extend(other.first_ms);
    }

    /// The share that had all of its answer on time.
    pub fn share(&self) -> f64 {
        self.on_time as f64 / self.asked.max(1) as f64
    }

    pub fn first_at(&self, quantile: f64) -> f64 {
        let mut sorted = self.first_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let place = ((sorted.len() as f64 - 1.0) * quantile).max(0.0) as usize;
        sorted.get(place).copied().unwrap_or(0.0)
    }
}

struct Under {
    prompt: Prompt,
    plan: Plan,
    parts: usize,
    first_ms: Option<f64>,
    last_ms: f64,
    paused: bool,
}

/// The figures of a small engine.
pub fn figures() -> Figures {
    Figures {
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

/// The hosts and engines of a play.
#[derive(Debug, Clone)]
pub struct Scene {
    pub engines: u64,
    pub slots: u32,
    /// Hosts that place prompts, in turn.
    pub hosts: usize,
    /// How long what a host does stays unknown to the others, in milliseconds.
    pub view_ms: f64,
    /// Data centres over which hosts and engines are spread evenly.
    pub data_centres: u64,
}

impl Scene {
    /// One host before so many engines.
    pub fn of(engines: u64) -> Self {
        Self {
            engines,
            slots: figures().slots,
            hosts: 1,
            view_ms: 0.0,
            data_centres: 1,
        }
    }

    /// Where an engine stands.
    fn group_of(&self, key: EndpointKey) -> Group {
        Group(key.0 % self.data_centres)
    }

    /// Where a host stands.
    fn group_at(&self, host: usize) -> Group {
        Group(host as u64 % self.data_centres)
    }
}

/// What a host tells the others.
#[derive(Debug, Clone)]
enum Notice {
    Sent(Plan),
    Began(JobId),
    Ended(JobId),
    Waits(Turn),
    Left(JobId),
    Running(Vec<(Plan, bool)>),
}

/// The planners of all hosts, with what is on its way between them.
struct Planners {
    hosts: Vec<Planner>,
    /// By the moment of arrival in microseconds and the order of sending.
    notices: BTreeMap<(u64, u64), (Option<usize>, Notice)>,
    sent: u64,
    view_ms: f64,
}

impl Planners {
    fn new(scene: &Scene, figures: &Figures) -> Self {
        let planner = |host| {
            let planner = Planner::new(figures.clone());
            let mut planner = planner.standing_in(scene.group_at(host));
            let keys = (1..=scene.engines).map(EndpointKey);
            planner.set_endpoints(keys.map(|key| (key, scene.group_of(key))));
            planner
        };
        Self {
            hosts: (0..scene.hosts).map(planner).collect(),
            notices: BTreeMap::new(),
            sent: 0,
            view_ms: scene.view_ms,
        }
    }

    fn own(&mut self, id: JobId) -> &mut Planner {
        &mut self.hosts[id.host as usize]
    }

    /// Tells all hosts but one at a moment, or, where there is none to leave out, the job's own host.
    fn put(&mut self, at: f64, but: Option<usize>, notice: Notice) {
        self.sent += 1;
        let key = (moment(at).micros, self.sent);
        self.notices.insert(key, (but, notice));
    }

    fn tell(&mut self, now: f64, host: u32, notice: Notice) {
        if self.hosts.len() > 1 {
            self.put(now + self.view_ms, Some(host as usize), notice);
        }
    }

    fn next_at(&self) -> f64 {
        let first = self.notices.first_key_value();
        first.map_or(f64::INFINITY, |((at, _), _)| *at as f64 / 1e3)
    }

    fn deliver(&mut self) {
        let Some(((micros, _), (but, notice))) = self.notices.pop_first() else {
            return;
        };
        let now = Moment { micros };
        if but.is_none() {
            self.own_event(now, notice);
            return;
        }
        for (host, planner) in self.hosts.iter_mut().enumerate() {
            match &notice {
                _ if but == Some(host) => {}
                Notice::Sent(plan) => planner.sent(now, plan.clone()),
                Notice::Began(job) => planner.began(now, *job),
                Notice::Ended(job) => planner.ended(now, *job),
                Notice::Waits(turn) => planner.queued(now, *turn),
                Notice::Left(job) => planner.cancelled(*job),
                Notice::Running(jobs) => {
                    for (plan, is_reading) in jobs {
                        planner.running(now, plan.clone(), *is_reading);
                    }
                }
            }
        }
    }

    /// Every host tells of its jobs, by which none is forgotten.
    fn retell(&mut self, now: f64) {
        for host in 0..self.hosts.len() {
            let jobs = self.hosts[host].jobs_of(moment(now), host as u32);
            if !jobs.is_empty() {
                self.tell(now, host as u32, Notice::Running(jobs));
            }
        }
    }

    /// A host hears of its own job from an engine, and tells the others.
    fn own_event(&mut self, now: Moment, notice: Notice) {
        let (Notice::Began(id) | Notice::Ended(id)) = notice else {
            return;
        };
        let planner = self.own(id);
        match &notice {
            Notice::Began(id) => planner.began(now, *id),
            _ => planner.ended(now, id),
        }
        self.tell(now.micros as f64 / 1e3, id.host, notice);
    }

    fn began(&mut self, at: f64, id: JobId) {
        self.put(at + LAG_MS, None, Notice::Began(id));
    }

    fn ended(&mut self, at: f64, id: JobId) {
        self.put(at + LAG_MS, None, Notice::Ended(id));
    }
}

/// Plays prompts and tells what callers of each kind got.
pub fn play(prompts: &[Prompt], scene: &Scene) -> Vec<Outcome> {
    let figures = Figures {
        slots: scene.slots,
        ..figures()
    };
    let cost = Cost::new(figures.clone());
    let mut engines: IndexMap<EndpointKey, Engine> = (0..scene.engines)
        .map(|number| (EndpointKey(number + 1), Engine::new(cost.clone())))
        .collect();
    let mut planners = Planners::new(scene, &figures);
    let mut outcomes = vec![Outcome::default(); KINDS.len()];
    let mut under: IndexMap<JobId, Under> = IndexMap::new();
    let mut waiting: Vec<(JobId, Prompt)> = Vec::new();
    let mut coming = prompts.iter().cloned().enumerate().peekable();
    let mut look_at = 0.0;
    let mut retell_at = RETELL_MS;
    loop {
        let arrival = coming
            .peek()
            .map_or(f64::INFINITY, |(_, prompt)| prompt.at_ms);
        let pass = engines
            .values()
            .map(Engine::next_at)
            .fold(f64::INFINITY, f64::min);
        let look = if waiting.is_empty() {
            f64::INFINITY
        } else {
            look_at
        };
        let told = planners.next_at();
        let now = arrival.min(pass).min(look).min(told);
        if now.is_infinite() {
            return outcomes;
        }
        if retell_at <= now {
            planners.retell(retell_at);
            retell_at += RETELL_MS;
            continue;
        }
        if told <= now {
            planners.deliver();
            continue;
        }
        if arrival <= now {
            let Some((number, prompt)) = coming.next() else {
                return outcomes;
            };
            outcomes[prompt.kind].asked += 1;
            let host = (number % scene.hosts) as u32;
            let number = number as u64;
            waiting.push((JobId { host, number }, prompt));
        }
        if arrival <= now || look <= now {
            look_at = now + LOOK_MS;
            waiting.retain(|(id, prompt)| {
                let decision = planners.own(*id).place(moment(now), &job(*id, prompt));
                match decision {
                    Decision::Wait(turn) if now < prompt.at_ms + 10_000.0 => {
                        planners.tell(now, id.host, Notice::Waits(turn));
                        true
                    }
                    Decision::Send(plan, _) => {
                        let stands_at = scene.group_at(id.host as usize);
                        let is_far = scene.group_of(plan.first) != stands_at;
                        outcomes[prompt.kind].far += usize::from(is_far);
                        planners.tell(now, id.host, Notice::Sent(plan.clone()));
                        send(&mut engines, &cost, now, prompt, &plan);
                        under.insert(*id, start(prompt, plan));
                        false
                    }
                    _ => {
                        planners.own(*id).cancelled(*id);
                        planners.tell(now, id.host, Notice::Left(*id));
                        outcomes[prompt.kind].refused += 1;
                        false
                    }
                }
            });
        }
        if pass <= now {
            let ready = engines
                .iter_mut()
                .find(|(_, engine)| engine.next_at() <= now);
            let Some((key, engine)) = ready else {
                continue;
            };
            let key = *key;
            let (at, events) = engine.pass();
            for event in events {
                take(
                    key,
                    event,
                    at,
                    &mut engines,
                    &mut under,
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
        prompt: prompt.tokens,
        answer: u64::from(prompt.events) * 51,
        pause: prompt.pause,
        arrived,
        due: arrived + prompt.target,
        deadline: arrived + std::time::Duration::from_secs(10),
        spared: Vec::new(),
    }
}

fn start(prompt: &Prompt, plan: Plan) -> Under {
    Under {
        parts: plan.helpers.len() + 1,
        prompt: prompt.clone(),
        plan,
        first_ms: None,
        last_ms: 0.0,
        paused: false,
    }
}

fn send(
    engines: &mut IndexMap<EndpointKey, Engine>,
    cost: &Cost,
    now: f64,
    prompt: &Prompt,
    plan: &Plan,
) {
    let parts = plan.helpers.len() as f64 + 1.0;
    let part_ms = cost.read_ms(prompt.tokens) / parts;
    let tokens = prompt.tokens as f64 / parts;
    for key in plan.readers() {
        let helps = key != plan.first;
        engines[&key].read(now + LAG_MS, plan.job, part_ms, tokens, helps);
    }
}

fn take(
    key: EndpointKey,
    event: Event,
    at: f64,
    engines: &mut IndexMap<EndpointKey, Engine>,
    under: &mut IndexMap<JobId, Under>,
    planners: &mut Planners,
    outcomes: &mut [Outcome],
) {
    let (Event::Read(id) | Event::Sent(id, _)) = event;
    let Some(job) = under.get_mut(&id) else {
        return;
    };
    match event {
        Event::Read(_) => {
            job.parts -= 1;
            if job.parts == 0 {
                let first = &mut engines[&job.plan.first];
                let mut left = job.prompt.events;
                // An engine that reads the last part writes in what is left of the pass.
                if key == job.plan.first {
                    job.first_ms = Some(at - job.prompt.at_ms);
                    job.last_ms = at;
                    planners.began(at, id);
                    left -= 1;
                }
                if left == 0 {
                    finish(job, &mut outcomes[job.prompt.kind]);
                    first.end(id);
                    planners.ended(at, id);
                    under.swap_remove(&id);
                } else {
                    first.write(at, id, job.prompt.tokens, left);
                }
            }
        }
        Event::Sent(_, is_last) => {
            if job.first_ms.is_none() {
                job.first_ms = Some(at - job.prompt.at_ms);
                planners.began(at, id);
            } else {
                job.paused |= at - job.last_ms > job.prompt.pause.as_secs_f64() * 1e3;
            }
            job.last_ms = at;
            if is_last {
                finish(job, &mut outcomes[job.prompt.kind]);
                planners.ended(at, id);
                under.swap_remove(&id);
            }
        }
    }
}

fn finish(job: &Under, outcome: &mut Outcome) {
    let first_ms = job.first_ms.unwrap_or(f64::INFINITY);
    let is_late = first_ms > job.prompt.target.as_secs_f64() * 1e3;
    outcome.first_late += usize::from(is_late);
    outcome.paused += usize::from(job.paused);
    outcome.on_time += usize::from(!is_late && !job.paused);
    outcome.first_ms.push(first_ms);
}
