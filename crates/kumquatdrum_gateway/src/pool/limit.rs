//! Limits that endpoints name, and the jobs that wait for them.

use std::time::Duration;

use kumquatdrum_fanout::Urgency;
use kumquatdrum_placement::{EndpointKey, Job, JobId, Rate};
use slog::{info, warn};

use super::{Pick, Pool, Rejection, Service, State};
use crate::message::Event;
use crate::protocol::Limit;

/// The wait that is reported if other hosts share the limited endpoints.
const OTHER_HOSTS_WAIT: Duration = Duration::from_secs(1);

/// The place of a job among those that wait for limited endpoints. Dropping it gives the place up.
pub(super) struct Turn<'a> {
    service: &'a Service,
    job: JobId,
    is_waiting: bool,
}

impl<'a> Turn<'a> {
    pub(super) const fn new(service: &'a Service, job: JobId) -> Self {
        Self {
            service,
            job,
            is_waiting: false,
        }
    }

    /// Returns whether no other job is ahead.
    pub(super) fn is_next(&self) -> bool {
        let waiting = self.service.limited.lock();
        waiting.front().is_none_or(|first| *first == self.job)
    }

    /// Joins the waiting jobs. Returns the number of jobs ahead.
    fn join(&mut self) -> usize {
        let mut waiting = self.service.limited.lock();
        if !self.is_waiting {
            self.is_waiting = true;
            waiting.push_back(self.job);
        }
        let place = waiting.iter().position(|job| *job == self.job);
        place.unwrap_or_default()
    }
}

impl Turn<'_> {
    /// Gives the place up, so that a job that waits for anything else holds up no other.
    pub(super) fn leave(&mut self) {
        if self.is_waiting {
            self.is_waiting = false;
            self.service.limited.lock().retain(|job| *job != self.job);
            self.service.changed.notify_waiters();
        }
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        self.leave();
    }
}

impl Pool {
    /// Updates the hosts that share limited endpoints.
    pub(super) fn refresh_limits(&self, state: &mut State) {
        let State {
            policy, directory, ..
        } = state;
        let limits = policy.limits_mut();
        if limits.is_empty() {
            return;
        }
        let hosts = self.dependencies.hosts.caller_numbers();
        limits.set_hosts(self.dependencies.number, hosts);
        let now = self.dependencies.clock.now();
        limits.retain(now, |key| directory.contains_key(&key));
    }

    /// Records a limit, or its end. Returns whether other hosts need to know.
    pub(super) fn apply_limit(
        &self,
        state: &mut State,
        key: EndpointKey,
        rate: Option<Rate>,
    ) -> bool {
        let now = self.dependencies.clock.now();
        let limits = state.policy.limits_mut();
        let was_limited = limits.contains(key);
        let is_news = match rate {
            Some(rate) => limits.name(now, key, rate),
            None => limits.end(now, key),
        };
        if was_limited != limits.contains(key) {
            let endpoint = state.directory.get(&key);
            info!(self.dependencies.logger, "endpoint_limit"; "event" => "endpoint_limit",
                "endpoint" => endpoint.map_or("unknown", |endpoint| endpoint.id.as_str()),
                "per_second" => rate.map(Rate::per_second));
        }
        is_news
    }

    /// Returns the time between two requests of this host to limited endpoints.
    pub(super) fn expected_wait(&self, state: &State) -> Duration {
        let now = self.dependencies.clock.now();
        let is_in_use = |key: EndpointKey| state.directory.contains_key(&key);
        let summary = state.policy.limits().summarise(now, is_in_use);
        let seconds = 1.0 / summary.local_per_second;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    pub(super) fn limited_wait(&self, service: &Service) -> Duration {
        self.expected_wait(&service.state.lock())
    }

    /// Makes a job wait for its turn at limited endpoints, or rejects it if its turn would come
    /// after its deadline. `spacing` is the time between two requests.
    pub(super) fn await_turn(
        &self,
        turn: &mut Turn<'_>,
        request: &str,
        job: &Job,
        spacing: Duration,
    ) -> Result<(), Rejection> {
        let now = self.dependencies.clock.now();
        let is_first_wait = !turn.is_waiting;
        let ahead = turn.join();
        let jobs = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        let wait = spacing.checked_mul(jobs).unwrap_or(Duration::MAX);
        let is_rejected = wait >= job.deadline - now;
        if is_first_wait || is_rejected {
            let state = turn.service.state.lock();
            let is_in_use = |key: EndpointKey| state.directory.contains_key(&key);
            let summary = state.policy.limits().summarise(now, is_in_use);
            info!(self.dependencies.logger, "request_limited"; "event" => "request_limited",
                "request" => request, "endpoints" => summary.endpoints,
                "per_second" => format!("{:.2}", summary.per_second),
                "local_per_second" => format!("{:.2}", summary.local_per_second),
                "hosts" => summary.sharers, "limit_age_ms" => summary.age.as_millis() as u64,
                "ahead" => ahead, "wait_ms" => wait.as_millis() as u64,
                "rejected" => is_rejected);
        }
        match is_rejected {
            true if wait == Duration::MAX => Err(Rejection::Limited(OTHER_HOSTS_WAIT)),
            true => Err(Rejection::Limited(wait)),
            false => Ok(()),
        }
    }
}

impl Pick {
    /// Records the limit that a response of the endpoint names.
    pub fn record_limit(&self, limit: &Limit) {
        let mut state = self.service.state.lock();
        let rate = match limit {
            Limit::Rate(rate) => Some(*rate),
            Limit::Absent if state.policy.limits().is_empty() => return,
            Limit::Absent => None,
            Limit::Invalid(value) => {
                warn!(self.pool.dependencies.logger, "limit_invalid";
                    "event" => "limit_invalid", "endpoint" => self.endpoint.id.as_str(),
                    "value" => value);
                return;
            }
        };
        let is_news = self.pool.apply_limit(&mut state, self.key, rate);
        if rate.is_some() {
            self.pool.refresh_limits(&mut state);
        }
        drop(state);
        if is_news {
            let event = Event::Limited(self.service.name.clone(), self.key, rate);
            self.pool.broadcast(event, Urgency::Urgent);
            self.service.changed.notify_waiters();
        }
    }
}
