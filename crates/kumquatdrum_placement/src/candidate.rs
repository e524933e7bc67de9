//! The state of one engine as the planner sees it.

use indexmap::IndexMap;
use kumquatdrum_types::Moment;

use crate::suspicion::Suspicion;
use crate::{Cost, DataCentreKey, EndpointKey, Health, Job, JobId, Limits};

/// The share of memory that may be allocated; the rest is left for answers that grow beyond their
/// estimates.
const USABLE_MEMORY_SHARE: f64 = 0.97;

/// The share of an answer's maximum pause above which it counts as disrupted; the rest is left for
/// short prefills that the engine adds to the same pass.
const DISRUPTED_PAUSE_SHARE: f64 = 0.75;

/// The planner's state for one engine.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) data_centre: DataCentreKey,
    pub(crate) is_usable: bool,
    pub(crate) health: Health,
    pub(crate) suspicion: Suspicion,
    /// The estimated end of all prefills assigned to the engine.
    pub(crate) prefill_until: Moment,
    /// The estimated end of all long prefills assigned to the engine, see
    /// [`crate::Plan::has_long_prefill`].
    pub(crate) long_prefill_until: Moment,
    /// The number of jobs with unfinished prefill on the engine.
    pub(crate) prefills: usize,
    /// Jobs whose answers the engine decodes, including those still in prefill.
    pub(crate) decodes: IndexMap<JobId, Decode>,
    /// Allocated tokens of memory.
    pub(crate) used_tokens: u64,
}

/// A job whose answer an engine decodes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Decode {
    pub(crate) max_pause_ms: f64,
    /// The demand weight of the prompt.
    pub(crate) weight: f64,
}

/// An engine at the time of a placement decision.
#[derive(Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) key: EndpointKey,
    pub(crate) endpoint: &'a Endpoint,
    /// The prefill backlog plus the health penalty.
    pub(crate) backlog_ms: f64,
    /// The remaining time of the engine's long prefills, which a new one would delay.
    pub(crate) long_prefill_ms: f64,
    /// The duration of a decode pass.
    pub(crate) pass_ms: f64,
    pub(crate) free_tokens: u64,
    /// Whether the engine names a limit or is cold.
    pub(crate) is_limited: bool,
    pub(crate) is_cold: bool,
}

impl Endpoint {
    /// Returns an idle engine that is not usable yet.
    pub(crate) fn new(data_centre: DataCentreKey) -> Self {
        Self {
            data_centre,
            is_usable: false,
            health: Health::default(),
            suspicion: Suspicion::default(),
            prefill_until: Moment::ZERO,
            long_prefill_until: Moment::ZERO,
            prefills: 0,
            decodes: IndexMap::new(),
            used_tokens: 0,
        }
    }

    /// Forgets the engine's failures.
    pub(crate) fn forget_failures(&mut self) {
        self.health = Health::default();
        self.suspicion.forget_failure();
    }

    /// Returns the engine's state at `now`.
    pub(crate) fn candidate(&self, now: Moment, key: EndpointKey, cost: &Cost) -> Candidate<'_> {
        let backlog = (self.prefill_until - now).as_secs_f64() * 1e3;
        let memory = (cost.engine().memory_tokens as f64 * USABLE_MEMORY_SHARE) as u64;
        Candidate {
            key,
            endpoint: self,
            backlog_ms: backlog + self.health.penalty_ms(now),
            long_prefill_ms: (self.long_prefill_until - now).as_secs_f64() * 1e3,
            pass_ms: cost.pass_ms(self.decodes.len(), self.used_tokens),
            free_tokens: memory.saturating_sub(self.used_tokens),
            is_limited: false,
            is_cold: false,
        }
    }

    /// Returns the engine's state at `now` with what its limits say.
    pub(crate) fn limited_candidate(
        &self,
        now: Moment,
        key: EndpointKey,
        cost: &Cost,
        limits: &Limits,
    ) -> Candidate<'_> {
        let is_cold = limits.warmups().is_cold(now, key);
        Candidate {
            is_limited: is_cold || limits.contains(key),
            is_cold,
            ..self.candidate(now, key, cost)
        }
    }
}

/// Returns whether any engine may be the first of a job's engines.
pub(crate) fn has_first(job: &Job, candidates: &[Candidate<'_>]) -> bool {
    let mut candidates = candidates.iter();
    candidates.any(|candidate| job.may_be_sent_to(candidate.key))
}

/// Removes limited engines if the others have memory for a long job, and cold ones in any case. The
/// only engine that may be the first stays.
pub(crate) fn remove_limited(job: &Job, memory_tokens: u64, candidates: &mut Vec<Candidate<'_>>) {
    let is_only = |candidate: &Candidate<'_>| job.first == Some(candidate.key);
    if candidates
        .iter()
        .any(|candidate| candidate.is_cold && is_only(candidate))
    {
        candidates.retain(is_only);
        return;
    }
    let unlimited = candidates.iter().filter(|candidate| !candidate.is_limited);
    if job.memory_tokens() <= memory_tokens * unlimited.count() as u64 {
        candidates.retain(|candidate| !candidate.is_limited || is_only(candidate));
    } else {
        remove_cold(job, candidates);
    }
}

/// Removes cold engines, which take part in no prefill of several engines. If all are cold, one
/// that may run the job alone is left.
fn remove_cold(job: &Job, candidates: &mut Vec<Candidate<'_>>) {
    if candidates.iter().any(|candidate| !candidate.is_cold) {
        candidates.retain(|candidate| !candidate.is_cold);
        return;
    }
    let alone = candidates.iter();
    let alone = alone.filter(|candidate| job.may_be_sent_to(candidate.key));
    let alone = alone.max_by_key(|candidate| candidate.free_tokens);
    let alone = alone.map(|candidate| candidate.key);
    candidates.retain(|candidate| Some(candidate.key) == alone);
}

impl Candidate<'_> {
    /// Returns the engine's data centre.
    pub(crate) fn data_centre(&self) -> DataCentreKey {
        self.endpoint.data_centre
    }

    /// Returns whether the engine has finished earlier long prefills.
    pub(crate) fn is_ready(&self) -> bool {
        self.long_prefill_ms <= 0.0
    }

    /// Returns whether the engine has neither answers nor prefills, and is neither limited nor cold.
    pub(crate) fn is_idle(&self) -> bool {
        let endpoint = self.endpoint;
        endpoint.decodes.is_empty() && endpoint.prefills == 0 && !self.is_limited
    }

    /// Returns the number of answers on the engine.
    pub(crate) fn decodes(&self) -> usize {
        self.endpoint.decodes.len()
    }

    /// Returns the number of answers whose maximum pause is at most `pause_ms`.
    pub(crate) fn decodes_within(&self, pause_ms: f64) -> usize {
        let decodes = self.endpoint.decodes.values();
        decodes
            .filter(|decode| decode.max_pause_ms <= pause_ms)
            .count()
    }

    /// Returns the allocated tokens of memory.
    pub(crate) fn used_tokens(&self) -> u64 {
        self.endpoint.used_tokens
    }

    /// Returns the smallest maximum pause among the engine's answers.
    pub(crate) fn tightest_pause_ms(&self) -> f64 {
        let decodes = self.endpoint.decodes.values();
        let pauses = decodes.map(|decode| decode.max_pause_ms);
        pauses.fold(f64::INFINITY, f64::min)
    }

    /// Returns the weight of the answers that would pause too long during a prefill of this length.
    pub(crate) fn disruption(&self, prefill_ms: f64) -> f64 {
        let pause = self.pass_ms + prefill_ms;
        let decodes = self.endpoint.decodes.values();
        let disrupted =
            decodes.filter(|decode| pause > decode.max_pause_ms * DISRUPTED_PAUSE_SHARE);
        disrupted.map(|decode| decode.weight).sum()
    }
}
