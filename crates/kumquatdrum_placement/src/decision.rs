//! The outcome of a placement, and what it was based on.

use crate::candidate::Candidate;
use crate::{EndpointKey, Plan, Waiter};

/// The result of a placement.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// Dispatch the plan.
    Send(Plan, Diagnostics),
    /// Retry when another job ends, and announce the waiting job to other hosts.
    Wait(Waiter),
    /// The job has waited for a slot for as long as its caller would.
    Expired,
    /// The engines' combined memory cannot hold the prompt.
    TooLarge,
    /// The cost to other callers would outweigh the prompt.
    TooCostly(Refusal),
    /// All usable engines have reached their limits.
    Limited,
    /// No engine is usable.
    NoEngine,
}

/// How a prompt would cost other callers too much.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Harm {
    /// Other prompts would wait for the engines.
    Delay,
    /// Answers in progress would pause for too long.
    Pauses,
}

/// Why a prompt was refused, for logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Refusal {
    /// What outweighs the prompt.
    pub harm: Harm,
    /// Candidate engines.
    pub engines: usize,
    /// Candidate engines without a long prefill.
    pub ready: usize,
    /// The prefill time of one part, in milliseconds.
    pub part_ms: f64,
}

/// The state that a placement was based on, for logs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Diagnostics {
    /// Candidate engines.
    pub engines: usize,
    /// The longest backlog of the chosen engines, in milliseconds.
    pub backlog_ms: f64,
    /// Answers in progress on the first engine.
    pub decodes: usize,
    /// The duration of a pass of the first engine, in milliseconds.
    pub pass_ms: f64,
}

impl Refusal {
    /// Creates a refusal of a prompt whose prefill would take `part_ms` on each engine.
    pub(crate) fn new(harm: Harm, candidates: &[Candidate<'_>], part_ms: f64) -> Self {
        let ready = candidates.iter().filter(|candidate| candidate.is_ready());
        Self {
            harm,
            engines: candidates.len(),
            ready: ready.count(),
            part_ms,
        }
    }
}

impl Diagnostics {
    /// Describes the engines of a plan.
    pub(crate) fn new(plan: &Plan, candidates: &[Candidate<'_>]) -> Self {
        let find = |key: EndpointKey| candidates.iter().find(|candidate| candidate.key == key);
        let first = find(plan.first);
        let chosen = plan.prefill_engines().filter_map(find);
        Self {
            engines: candidates.len(),
            backlog_ms: chosen
                .map(|candidate| candidate.backlog_ms)
                .fold(0.0, f64::max),
            decodes: first.map_or(0, Candidate::decodes),
            pass_ms: first.map_or(0.0, |candidate| candidate.pass_ms),
        }
    }
}
