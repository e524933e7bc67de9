//! Jobs and the endpoints that are held back from them.

use std::borrow::Cow;
use std::time::Duration;

use kumquatdrum_placement::{EndpointKey, Job, Place};
use kumquatdrum_types::Moment;
use slog::info;

use super::{Policy, Pool, State};

/// Returns whether a hold keeps an endpoint from a job that could go there otherwise.
pub(super) fn is_any_held(held: &[(EndpointKey, Moment)], job: &Job) -> bool {
    first_end(held, job).is_some()
}

/// Returns a job that may go to none of the given endpoints.
pub(super) fn without<'a, 'b>(
    job: &'a Job,
    endpoints: impl Iterator<Item = &'b EndpointKey>,
) -> Cow<'a, Job> {
    let mut endpoints = endpoints.peekable();
    if endpoints.peek().is_none() {
        return Cow::Borrowed(job);
    }
    let mut job = job.clone();
    job.excluded.extend(endpoints);
    Cow::Owned(job)
}

/// Returns the end of the first hold on an endpoint to which a job may go.
fn first_end(held: &[(EndpointKey, Moment)], job: &Job) -> Option<Moment> {
    let eligible = held.iter().filter(|(key, _)| {
        !job.excluded.contains(key) && job.first.is_none_or(|first| first == *key)
    });
    eligible.map(|(_, until)| *until).min()
}

impl State {
    /// Returns whether the memory of all engines together can hold a job.
    pub(super) fn can_hold(&self, job: &Job) -> bool {
        let engine = self.engine.as_ref();
        let memory_tokens = engine.map_or(0, |engine| engine.memory_tokens);
        job.memory_tokens() <= memory_tokens * self.directory.len() as u64
    }
}

impl Pool {
    /// Returns the endpoints that a job avoids: those that are held back. A job that an endpoint has
    /// rejected also avoids those that may reject it again, if another one is left.
    pub(super) fn avoided(
        &self,
        state: &State,
        job: &Job,
        held: &[(EndpointKey, Moment)],
    ) -> Vec<EndpointKey> {
        let mut avoided: Vec<EndpointKey> = held.iter().map(|(key, _)| *key).collect();
        if job.excluded.is_empty() || job.first.is_some() {
            return avoided;
        }
        let recovering = self.dependencies.holds.recovering(state.directory.keys());
        let is_left = |key: &EndpointKey| {
            let mut excluded = job.excluded.iter().chain(&avoided).chain(&recovering);
            !excluded.any(|other| other == key)
        };
        let mut staying = state.directory.keys();
        let mut staying = staying
            .by_ref()
            .filter(|key| !state.leaving.contains_key(*key));
        if !recovering.is_empty() && staying.any(is_left) {
            avoided.extend(recovering);
        }
        avoided
    }

    /// Returns the leaving endpoints that end before they could complete a job.
    pub(super) fn leaves_too_early(&self, state: &State, job: &Job) -> Vec<EndpointKey> {
        let now = self.dependencies.clock.now();
        let duration = match &state.policy {
            Policy::Engines(planner) => planner.expected_duration(job),
            Policy::Plain(_) => Duration::ZERO,
        };
        let leaving = state.leaving.iter();
        let too_early = leaving.filter(|(_, until)| now + duration >= **until);
        too_early.map(|(key, _)| *key).collect()
    }

    /// Returns the end of the first hold on an endpoint to which a job may go.
    pub(super) fn first_hold_end(&self, state: &State, job: &Job) -> Option<Moment> {
        let held = self.dependencies.holds.held(state.directory.keys());
        first_end(&held, job)
    }

    /// Logs that a job waits for the end of a back-off, or is rejected as it would end too late.
    pub(super) fn log_wait(
        &self,
        request: &str,
        place: Place,
        wait: Option<Duration>,
        is_in_time: bool,
    ) {
        let decision = if is_in_time { "waits" } else { "rejected" };
        info!(self.dependencies.logger, "request_held"; "event" => "request_held",
            "request" => request, "hold" => "backoff", "decision" => decision,
            "ahead" => place.ahead, "wait_ms" => wait.map(|wait| wait.as_millis() as u64),
            "left_ms" => place.left.as_millis() as u64);
    }

    /// Returns whether an endpoint is free for jobs without exclusions.
    pub(super) fn has_free_endpoint(&self, state: &State, now: Moment) -> bool {
        let held = self.dependencies.holds.held(state.directory.keys());
        let is_held = |key: EndpointKey| held.iter().any(|(other, _)| *other == key);
        let limits = state.policy.limits();
        let mut keys = state.directory.keys();
        keys.any(|key| {
            let is_leaving = state.leaving.contains_key(key);
            !is_leaving && !is_held(*key) && !limits.is_exhausted(now, *key)
        })
    }
}
