//! Limits of endpoints, and the jobs that wait for them.

use std::time::Duration;

use kumquatdrum_fanout::Urgency;
use kumquatdrum_placement::{EndpointKey, Job, JobId, Place, Rate, Summary};
use kumquatdrum_types::Moment;
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
    /// Whether the job has a place in the queue.
    is_queued: bool,
    /// Whether the job has been let wait before.
    has_waited: bool,
}

impl<'a> Turn<'a> {
    pub(super) const fn new(service: &'a Service, job: JobId) -> Self {
        Self {
            service,
            job,
            is_queued: false,
            has_waited: false,
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
        if !self.is_queued {
            self.is_queued = true;
            waiting.push_back(self.job);
        }
        let place = waiting.iter().position(|job| *job == self.job);
        place.unwrap_or_default()
    }
}

impl Turn<'_> {
    /// Gives the place up, so that a job that waits for anything else holds up no other.
    pub(super) fn leave(&mut self) {
        if self.is_queued {
            self.is_queued = false;
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
            self.refresh_limits(state);
        }
        is_news
    }

    /// Makes a job wait for its turn at endpoints that are limited or held back, or rejects it if its
    /// turn would come too late. `was_next` states whether the job had its turn and was not placed.
    pub(super) fn await_turn(
        &self,
        turn: &mut Turn<'_>,
        request: &str,
        job: &Job,
        was_next: bool,
    ) -> Result<(), Rejection> {
        let now = self.dependencies.clock.now();
        let is_new = !std::mem::replace(&mut turn.has_waited, true);
        let state = turn.service.state.lock();
        let mut summary = state.summarise_limits(now);
        let hold_end = self.first_hold_end(&state, job);
        // Without a limit or a hold, the job waits for others to be sent first.
        let is_free = summary.endpoints == 0 && hold_end.is_none();
        let hold_end = hold_end.or(is_free.then_some(now));
        let held_for = hold_end.map(|end| end - now);
        summary.held_for = summary.held_for.into_iter().chain(held_for).min();
        // Only its own exclusions keep such a job waiting, so it must not hold up others.
        let is_alone = was_next && self.has_free_endpoint(&state, now);
        let is_cold = state.policy.limits().is_empty();
        drop(state);
        let ahead = if is_alone {
            turn.leave();
            0
        } else {
            turn.join()
        };
        let place = Place {
            ahead,
            left: job.deadline - now,
            is_new,
        };
        let wait = summary.wait(place.ahead);
        let is_in_time = summary.is_in_time(place);
        let is_limited = summary.endpoints > 0;
        if is_limited && (is_new || !is_in_time) {
            info!(self.dependencies.logger, "request_limited"; "event" => "request_limited",
                "request" => request, "endpoints" => summary.endpoints,
                "per_second" => format!("{:.2}", summary.per_second),
                "local_per_second" => format!("{:.2}", summary.local_per_second),
                "hosts" => summary.sharers, "limit_age_ms" => summary.age.as_millis() as u64,
                "held_ms" => summary.held_for.map(|held| held.as_millis() as u64),
                "ahead" => place.ahead, "wait_ms" => wait.map(|wait| wait.as_millis() as u64),
                "left_ms" => place.left.as_millis() as u64, "rejected" => !is_in_time);
        } else if is_new || !is_in_time {
            self.log_wait(request, place, wait, is_in_time);
        }
        let wait = wait.unwrap_or(OTHER_HOSTS_WAIT);
        match is_in_time {
            true => Ok(()),
            false if is_limited && is_cold => Err(Rejection::Cold(wait)),
            false if is_limited => Err(Rejection::Limited(wait)),
            false => Err(Rejection::Held(wait)),
        }
    }
}

impl State {
    /// Summarises the limits of the endpoints that are in use.
    fn summarise_limits(&self, now: Moment) -> Summary {
        let is_in_use = |key: EndpointKey| self.directory.contains_key(&key);
        self.policy.limits().summarise(now, is_in_use)
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
        drop(state);
        if is_news {
            let event = Event::Limited(self.service.name.clone(), self.key, rate);
            self.pool.broadcast(event, Urgency::Urgent);
            self.service.changed.notify_waiters();
        }
    }
}
