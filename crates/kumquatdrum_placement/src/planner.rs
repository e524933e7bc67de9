//! Places prompts on model engines.
//!
//! Prefill delays the answers that an engine is decoding. The planner tracks the dispatches of all
//! hosts and estimates each engine's prefill backlog, answers and memory use.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_routes::Engine;
use kumquatdrum_types::Moment;

use crate::candidate::{Candidate, Decode, Endpoint, has_first, remove_limited};
use crate::demand::{Demand, weight};
use crate::long_prompt::Placement;
use crate::queue::Queue;
use crate::reachability::{DataCentreKey, Reachability};
use crate::slot_queue;
use crate::tombstones::Tombstones;
use crate::{
    Cost, Decision, Diagnostics, EndpointKey, Failure, Harm, Job, JobId, Limits, Plan, Refusal,
    Waiter, long_prompt, short_prompt, suspicion,
};

mod performance;

/// The time after which a job is dropped unless its host announces it: four missed announcements
/// mean that the host is paused, unreachable or gone.
const JOB_EXPIRY: Duration = Duration::from_millis(2_200);

/// Places prompts on the engines of one service.
#[derive(Debug)]
pub struct Planner {
    cost: Cost,
    endpoints: IndexMap<EndpointKey, Endpoint>,
    jobs: IndexMap<JobId, Assignment>,
    queue: Queue,
    tombstones: Tombstones,
    demand: Demand,
    reachability: Reachability,
    limits: Limits,
    /// The data centre of this host, if known.
    local_data_centre: Option<DataCentreKey>,
}

#[derive(Debug)]
struct Assignment {
    plan: Plan,
    is_prefilling: bool,
    expires_at: Moment,
}

impl Planner {
    /// Creates a planner for engines with this declared performance.
    pub fn new(engine: Engine) -> Self {
        Self {
            cost: Cost::new(engine),
            endpoints: IndexMap::new(),
            jobs: IndexMap::new(),
            queue: Queue::default(),
            tombstones: Tombstones::default(),
            demand: Demand::default(),
            reachability: Reachability::default(),
            limits: Limits::default(),
            local_data_centre: None,
        }
    }

    /// Sets the data centre of the planner's host.
    ///
    /// ```
    /// use kumquatdrum_placement::{DataCentreKey, EndpointKey, Planner};
    /// # use kumquatdrum_routes::Engine;
    /// # let engine = Engine {
    /// #     slots: 16, memory_tokens: 300_000, pass_steps: 50, step_ms: 1.0, decode_request_ms: 0.01,
    /// #     context_ms_per_k_tokens: 0.01, prefill_tokens_per_ms: 200.0, attention_ms_per_m_pairs: 0.1,
    /// #     chunk_tokens: 2_048, remote_memory_step_ms: 0.05, typical_prompt_tokens: 10_000.0, typical_answer_tokens: 1_000.0,
    /// # };
    ///
    /// let mut planner = Planner::new(engine).with_data_centre(DataCentreKey(1));
    /// planner.set_endpoints([(EndpointKey(7), DataCentreKey(1)), (EndpointKey(8), DataCentreKey(2))]);
    /// ```
    #[must_use]
    pub fn with_data_centre(mut self, local_data_centre: DataCentreKey) -> Self {
        self.local_data_centre = Some(local_data_centre);
        self
    }

    /// Returns the limits of the engines.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the limits of the engines.
    pub const fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// Replaces the set of usable engines.
    pub fn set_endpoints(
        &mut self,
        usable: impl IntoIterator<Item = (EndpointKey, DataCentreKey)>,
    ) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.is_usable = false;
        }
        for (key, data_centre) in usable {
            let endpoint = self.endpoints.entry(key);
            let endpoint = endpoint.or_insert_with(|| Endpoint::new(data_centre));
            endpoint.data_centre = data_centre;
            endpoint.is_usable = true;
        }
        self.endpoints.retain(|_, endpoint| {
            endpoint.is_usable || endpoint.prefills > 0 || !endpoint.decodes.is_empty()
        });
    }

    /// Decides where to place a job. A plan that is returned counts as dispatched.
    pub fn place(&mut self, now: Moment, job: &Job) -> Decision {
        self.expire(now);
        let mut candidates = self.candidates(now, job);
        let engines = candidates.len();
        let is_possible = has_first(job, &candidates);
        candidates.retain(|candidate| !self.limits.is_exhausted(now, candidate.key));
        let is_all_limited = candidates.is_empty() && engines > 0;
        // An exhausted engine that is the only possible one takes requests again.
        if is_all_limited || (is_possible && !has_first(job, &candidates)) {
            return Decision::Limited;
        }
        if let Some(refusal) = self.find_delay(now, job, &candidates) {
            return Decision::TooCostly(refusal);
        }
        let memory_tokens = self.cost.engine().memory_tokens;
        if !has_first(job, &candidates) {
            return Decision::NoEngine;
        }
        if job.memory_tokens() > memory_tokens * engines as u64 {
            return Decision::TooLarge;
        }
        let prefill_ms = self.cost.prefill_ms(job.prompt_tokens);
        let mut waiter = new_waiter(now, job, prefill_ms);
        let is_short = short_prompt::is_short(job, &candidates, prefill_ms);
        if !is_short {
            remove_limited(job, memory_tokens, &mut candidates);
        }
        let queued_for = self.queue.queued_for(now, job.id);
        let plan = if is_short {
            let free = short_prompt::free_slots(&self.cost, job, &candidates);
            let turn =
                slot_queue::turn(&self.cost, job, &mut waiter, &self.queue, queued_for, free);
            let conditions = short_prompt::Conditions {
                dispatch_rate: self.demand.dispatch_rate(),
                local_data_centre: self.local_data_centre,
                is_spread: short_prompt::is_spread(&candidates),
            };
            let candidate =
                short_prompt::place(&self.cost, now, job, &candidates, &conditions, turn);
            candidate.map(|candidate| {
                let helpers = short_prompt::choose_helpers(
                    job,
                    &candidates,
                    candidate,
                    prefill_ms,
                    conditions.is_spread,
                );
                short_prompt::plan(job, candidate.key, helpers, prefill_ms)
            })
        } else {
            match long_prompt::place(&self.cost, now, job, &candidates, self.local_data_centre) {
                Placement::Send(plan) if self.queue.is_next(now, waiter) => Some(plan),
                Placement::Send(_) | Placement::Wait => None,
                Placement::Blocked => {
                    waiter.is_blocked = true;
                    None
                }
                // Let others overtake while the first token can still be in time.
                Placement::TooDisruptive { part_ms } if f64::from(waiter.left_ms) > part_ms => {
                    waiter.is_blocked = true;
                    None
                }
                Placement::TooDisruptive { part_ms } => {
                    let refusal = Refusal::new(Harm::Pauses, &candidates, part_ms);
                    return Decision::TooCostly(refusal);
                }
            }
        };
        let Some(plan) = plan else {
            if is_short && slot_queue::has_expired(job, queued_for) {
                return Decision::Expired;
            }
            self.queue.insert(now, waiter);
            return Decision::Wait(waiter);
        };
        let diagnostics = Diagnostics::new(&plan, &candidates);
        self.record_dispatch(now, plan.clone());
        Decision::Send(plan, diagnostics)
    }

    /// Returns a refusal if the delay to other callers would outweigh the job. A job that already
    /// waits is not refused.
    fn find_delay(&self, now: Moment, job: &Job, candidates: &[Candidate<'_>]) -> Option<Refusal> {
        if self.queue.contains(job.id) {
            return None;
        }
        let engines = candidates.len();
        let max_engines = engines.clamp(1, long_prompt::MAX_PREFILL_ENGINES);
        let part_ms = self.cost.prefill_ms(job.prompt_tokens) / max_engines as f64;
        let refusal = Refusal::new(Harm::Delay, candidates, part_ms);
        let left_ms = (job.due - now).as_secs_f64() * 1e3;
        // An overdue job, such as a resumed answer, is not one that was late from the start.
        let is_always_late = left_ms > 0.0 && part_ms > left_ms;
        // Enough other engines remain available, so no other caller is delayed. If the load turns
        // to short prompts during a prefill of seconds, they need all engines.
        let leaves_enough = refusal.ready >= 2 * max_engines && !is_always_late;
        let is_too_costly = !leaves_enough
            && self
                .demand
                .is_too_costly(job, part_ms, max_engines, engines);
        is_too_costly.then_some(refusal)
    }

    /// Adds or updates a job that waits at another host.
    pub fn enqueue(&mut self, now: Moment, waiter: Waiter) {
        self.queue.insert(now, waiter);
    }

    /// Removes a waiting job that is given up.
    pub fn dequeue(&mut self, job: JobId) {
        self.queue.remove(job);
    }

    /// Records a dispatch of this or another host.
    pub fn record_dispatch(&mut self, now: Moment, plan: Plan) {
        self.queue.remove(plan.job);
        let target = Duration::from_millis(plan.target_ms.into());
        self.demand.add(now, plan.prompt_tokens.into(), target);
        if !self.jobs.contains_key(&plan.job) {
            self.record_requests(now, &plan);
        }
        if self.tombstones.contains(plan.job) {
            return;
        }
        let part_ms = f64::from(plan.part_ms.max(0.0));
        let part = Duration::from_secs_f64(part_ms / 1e3);
        let is_long = plan.has_long_prefill();
        for key in plan.prefill_engines() {
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.prefill_until = endpoint.prefill_until.max(now) + part;
                if is_long {
                    let pass_ms = self
                        .cost
                        .pass_ms(endpoint.decodes.len(), endpoint.used_tokens);
                    let pass = Duration::from_secs_f64(pass_ms / 1e3);
                    endpoint.long_prefill_until =
                        endpoint.long_prefill_until.max(now) + part + pass;
                }
            }
        }
        self.add_assignment(now, plan, true);
    }

    /// Adds a job to the state of its engines.
    fn add_assignment(&mut self, now: Moment, plan: Plan, is_prefilling: bool) {
        for key in plan.prefill_engines().filter(|_| is_prefilling) {
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.prefills += 1;
            }
        }
        for (key, tokens) in memory_by_engine(&plan) {
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.used_tokens += tokens;
            }
        }
        if let Some(endpoint) = self.endpoints.get_mut(&plan.first) {
            let decode = Decode {
                max_pause_ms: f64::from(plan.pause_ms),
                weight: weight(plan.prompt_tokens.into()),
            };
            endpoint.decodes.insert(plan.job, decode);
        }
        let assignment = Assignment {
            plan,
            is_prefilling,
            expires_at: now + JOB_EXPIRY,
        };
        self.jobs.insert(assignment.plan.job, assignment);
    }

    /// Renews a running job of another host, or adds it if its dispatch was missed.
    pub fn renew_job(&mut self, now: Moment, plan: Plan, is_prefilling: bool) {
        if let Some(assignment) = self.jobs.get_mut(&plan.job) {
            assignment.expires_at = now + JOB_EXPIRY;
            if !is_prefilling {
                self.record_first_token(now, plan.job);
            }
            return;
        }
        if !self.tombstones.contains(plan.job) {
            self.record_requests(now, &plan);
            self.add_assignment(now, plan, is_prefilling);
        }
    }

    /// Counts a plan against the limits of its engines.
    fn record_requests(&mut self, now: Moment, plan: &Plan) {
        for key in plan.prefill_engines() {
            self.limits.record(now, key, plan.job.host);
        }
    }

    /// Renews this host's jobs and returns them, each with whether it is in prefill, for
    /// announcement to other hosts.
    pub fn renew_jobs(&mut self, now: Moment, host: u32) -> Vec<(Plan, bool)> {
        let mut jobs = Vec::new();
        for (job, assignment) in &mut self.jobs {
            if job.host == host {
                assignment.expires_at = now + JOB_EXPIRY;
                jobs.push((assignment.plan.clone(), assignment.is_prefilling));
            }
        }
        jobs
    }

    /// Records the first token of a job.
    pub fn record_first_token(&mut self, now: Moment, job: JobId) {
        if let Some(assignment) = self
            .jobs
            .get_mut(&job)
            .filter(|assignment| assignment.is_prefilling)
        {
            assignment.is_prefilling = false;
            let plan = assignment.plan.clone();
            self.finish_prefill(now, &plan);
        }
    }

    /// Records the end of a job. Delayed messages about it are ignored from now on.
    pub fn record_end(&mut self, now: Moment, job: JobId) {
        self.tombstones.add(job);
        self.release(now, job);
    }

    /// Frees the job's resources, if it is known.
    fn release(&mut self, now: Moment, job: JobId) {
        let Some(assignment) = self.jobs.swap_remove(&job) else {
            return;
        };
        if assignment.is_prefilling {
            self.finish_prefill(now, &assignment.plan);
        }
        for (key, tokens) in memory_by_engine(&assignment.plan) {
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.used_tokens = endpoint.used_tokens.saturating_sub(tokens);
            }
        }
        if let Some(endpoint) = self.endpoints.get_mut(&assignment.plan.first) {
            endpoint.decodes.swap_remove(&job);
        }
    }

    /// Records a success of an engine.
    pub fn record_success(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.health.record_success();
            self.reachability.record_success(endpoint.data_centre);
        }
    }

    /// Records a failure; returns whether it ejects the engine.
    pub fn record_failure(&mut self, now: Moment, key: EndpointKey, failure: Failure) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return false;
        };
        self.reachability
            .record_failure(now, endpoint.data_centre, failure);
        endpoint.health.record_failure(now, failure)
    }

    /// Forgets the failures of all engines, which the path to them explains.
    pub fn forget_failures(&mut self) {
        self.reachability = Reachability::default();
        for endpoint in self.endpoints.values_mut() {
            endpoint.forget_failures();
        }
    }

    /// Records when an engine last announced itself.
    pub fn record_announcement(&mut self, key: EndpointKey, at: Moment) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.suspicion.record_announcement(at);
        }
    }

    /// Records that an engine could not be reached from a data centre. Returns whether the engine is
    /// suspected from now on. Failures seen from other data centres count only if the engine's own
    /// data centre has seen them, since a network partition may separate the two.
    pub fn record_unreachable(
        &mut self,
        now: Moment,
        key: EndpointKey,
        from: DataCentreKey,
    ) -> bool {
        let local_data_centre = self.local_data_centre;
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return false;
        };
        let is_seen_here = local_data_centre.is_none_or(|local| local == from);
        let counts = is_seen_here || endpoint.data_centre == from;
        counts && endpoint.suspicion.record_failure(now)
    }

    /// Returns an engine's data centre.
    pub fn data_centre(&self, key: EndpointKey) -> Option<DataCentreKey> {
        self.endpoints
            .get(&key)
            .map(|endpoint| endpoint.data_centre)
    }

    /// Returns the candidate engines for a job: the healthy ones, or all if none is healthy.
    fn candidates(&self, now: Moment, job: &Job) -> Vec<Candidate<'_>> {
        let is_usable = |(key, endpoint): &(&EndpointKey, &Endpoint)| {
            endpoint.is_usable && !job.excluded.contains(key)
        };
        let usable: Vec<_> = self.endpoints.iter().filter(is_usable).collect();
        let suspicions = self.endpoints.values();
        let suspicions = suspicions.map(|endpoint| (endpoint.data_centre, &endpoint.suspicion));
        let cut_off = suspicion::cut_off(now, suspicions, self.local_data_centre);
        let is_healthy = |endpoint: &Endpoint| {
            !endpoint.health.is_ejected(now)
                && !endpoint.suspicion.is_active(now)
                && !cut_off.contains(&endpoint.data_centre)
                && !self.reachability.is_unreachable(now, endpoint.data_centre)
        };
        let has_healthy = usable.iter().any(|(_, endpoint)| is_healthy(endpoint));
        let chosen = usable.into_iter();
        let chosen = chosen.filter(|(_, endpoint)| !has_healthy || is_healthy(endpoint));
        chosen
            .map(|(key, endpoint)| endpoint.limited_candidate(now, *key, &self.cost, &self.limits))
            .collect()
    }

    /// Records the end of a job's prefill, and clears the backlog of engines without other
    /// prefills.
    fn finish_prefill(&mut self, now: Moment, plan: &Plan) {
        for key in plan.prefill_engines() {
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.prefills = endpoint.prefills.saturating_sub(1);
                if endpoint.prefills == 0 {
                    endpoint.prefill_until = endpoint.prefill_until.min(now);
                    endpoint.long_prefill_until = endpoint.long_prefill_until.min(now);
                }
            }
        }
    }

    fn expire(&mut self, now: Moment) {
        let expired = self.jobs.iter();
        let expired = expired.filter(|(_, assignment)| assignment.expires_at <= now);
        let expired: Vec<JobId> = expired.map(|(job, _)| *job).collect();
        for job in expired {
            self.release(now, job);
        }
        self.tombstones.expire(now);
        self.queue.expire(now);
        self.demand.expire(now);
    }
}

fn new_waiter(now: Moment, job: &Job, prefill_ms: f64) -> Waiter {
    Waiter {
        job: job.id,
        prefill_ms: prefill_ms as f32,
        prompt_tokens: u32::try_from(job.prompt_tokens).unwrap_or(u32::MAX),
        waited_ms: (now - job.arrived).as_millis() as u32,
        left_ms: (job.due - now).as_millis() as u32,
        is_blocked: false,
        slot_order: None,
    }
}

/// Returns the memory of a plan by engine.
fn memory_by_engine(plan: &Plan) -> impl Iterator<Item = (EndpointKey, u64)> + '_ {
    let helpers = plan.helpers.iter();
    let helpers = helpers.map(|helper| (helper.endpoint, u64::from(helper.reserved_tokens)));
    std::iter::once((plan.first, u64::from(plan.memory_tokens))).chain(helpers)
}
