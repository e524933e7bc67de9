//! A picked endpoint, and the feedback from its responses.

use std::sync::Arc;

use kumquatdrum_fanout::Urgency;
use kumquatdrum_placement::{DataCentreKey, EndpointKey, Failure, JobId};
use kumquatdrum_registry::Announcement;
use kumquatdrum_types::Moment;
use slog::warn;

use super::{Policy, Pool, Service, State, Witness, data_centre_key};
use crate::holds::Purpose;
use crate::message::Event;
use crate::protocol::Helper;

/// An engine that prefills a part of a prompt for the picked engine.
#[derive(Debug, Clone)]
pub struct Prefiller {
    /// The engine.
    pub endpoint: Announcement,
    /// The engine's key.
    pub key: EndpointKey,
    /// The number of tokens to reserve in the engine's memory.
    pub reserved_tokens: u64,
    /// The helper as sent to the picked endpoint.
    pub helper: Helper,
}

impl Prefiller {
    /// Returns an engine that is only checked for whether it may be sent to.
    pub fn unreserved(endpoint: Announcement) -> Self {
        let key = EndpointKey::of(&endpoint.id, endpoint.started);
        let address = endpoint.address;
        Self {
            endpoint,
            key,
            reserved_tokens: 0,
            helper: Helper {
                address,
                reservation: None,
            },
        }
    }
}

/// A picked endpoint. Dropping it broadcasts that the request has ended.
pub struct Pick {
    pub(super) pool: Arc<Pool>,
    pub(super) service: Arc<Service>,
    /// The picked endpoint.
    pub endpoint: Announcement,
    /// The endpoint's key.
    pub key: EndpointKey,
    /// The engines that prefill parts of the prompt.
    pub prefillers: Vec<Prefiller>,
    /// What the pick is for, which decides whether a leaving endpoint gets the request.
    pub purpose: Purpose,
    pub(super) job: Option<JobId>,
    pub(super) urgency: Urgency,
    pub(super) picked_at: Moment,
}

/// An answer that is not complete yet.
pub struct Pending {
    pool: Arc<Pool>,
    service: Arc<Service>,
    picked_at: Moment,
    is_streamed: bool,
}

impl Pending {
    /// Records that the answer is complete.
    pub fn record_completion(&self) {
        let duration = self.pool.dependencies.clock.now() - self.picked_at;
        match &mut self.service.state.lock().policy {
            Policy::Plain(balancer) => balancer.record_duration(self.is_streamed, duration),
            // The planner calculates how long a prompt takes.
            Policy::Engines(_) => {}
        }
    }
}

impl Pick {
    /// Records the arrival of the first token.
    pub fn record_first_token(&self) {
        let Some(job) = self.job else {
            return;
        };
        let now = self.pool.dependencies.clock.now();
        if let Policy::Engines(planner) = &mut self.service.state.lock().policy {
            planner.record_first_token(now, job);
        }
        self.service.changed.notify_waiters();
        let event = Event::Began(self.service.name.clone(), job);
        self.pool.broadcast(event, self.urgency);
    }

    /// Returns the answer of the endpoint. `is_streamed` states whether it is a stream of events.
    pub fn pending(&self, is_streamed: bool) -> Pending {
        Pending {
            pool: self.pool.clone(),
            service: self.service.clone(),
            picked_at: self.picked_at,
            is_streamed,
        }
    }

    /// Records a successful response and the load that it reported.
    pub fn record_success(&self, load: Option<u32>) {
        let now = self.pool.dependencies.clock.now();
        match &mut self.service.state.lock().policy {
            Policy::Engines(planner) => planner.record_success(self.key),
            Policy::Plain(balancer) => balancer.record_success(now, self.key, load),
        }
    }

    /// Records a failure of the endpoint.
    pub fn record_failure(&self, failure: Failure) {
        let now = self.pool.dependencies.clock.now();
        let mut state = self.service.state.lock();
        if matches!(failure, Failure::Unreachable | Failure::Down) {
            let from = data_centre_key(&self.pool.dependencies.data_centre);
            self.record_unreachable(&mut state, self.key, from);
        }
        if failure.breaks_connection() {
            self.pool.record_cold_failure(&mut state, self.key);
        }
        let is_ejected = match &mut state.policy {
            Policy::Engines(planner) => planner.record_failure(now, self.key, failure),
            Policy::Plain(balancer) => balancer.record_failure(now, self.key, failure),
        };
        drop(state);
        if is_ejected {
            warn!(self.pool.dependencies.logger, "endpoint_ejected"; "event" => "endpoint_ejected",
                "endpoint" => self.endpoint.id.as_str(), "failure" => ?failure);
        }
    }

    /// Records that a helper, given by its id or address, failed a caller's request, given by its
    /// attempt id. Returns the helper's key, if it is known.
    pub fn record_helper_failure(&self, name: &str, request: &str) -> Option<EndpointKey> {
        let mut state = self.service.state.lock();
        let is_named = |endpoint: &Announcement| {
            endpoint.id.as_str() == name || endpoint.address.to_string() == name
        };
        let found = state.directory.iter();
        let mut found = found.filter(|(_, endpoint)| is_named(endpoint));
        let key = found.next().map(|(key, _)| *key)?;
        let from = match &state.policy {
            Policy::Engines(planner) => planner.data_centre(self.key),
            Policy::Plain(_) => None,
        };
        if let Some(from) = from {
            self.record_unreachable(&mut state, key, from);
        }
        self.pool.record_cold_failure(&mut state, key);
        warn!(self.pool.dependencies.logger, "helper_failed"; "event" => "helper_failed",
            "request" => request, "endpoint" => self.endpoint.id.as_str(), "helper" => name);
        Some(key)
    }

    fn record_unreachable(&self, state: &mut State, key: EndpointKey, from: DataCentreKey) {
        self.pool
            .record_unreachable(&self.service, state, key, from, Witness::Local);
    }

    /// Updates the endpoints that this one was picked from.
    pub fn refresh_endpoints(&self) {
        let senders = self.pool.find_senders();
        self.pool.refresh_service(&self.service, senders.as_deref());
    }

    /// Marks the endpoint as absent because another endpoint answers at its address.
    pub fn mark_displaced(&self) {
        self.pool
            .dependencies
            .endpoints
            .mark_displaced(&self.endpoint);
        self.refresh_endpoints();
    }
}

impl Drop for Pick {
    fn drop(&mut self) {
        let now = self.pool.dependencies.clock.now();
        match (&mut self.service.state.lock().policy, self.job) {
            (Policy::Engines(planner), Some(job)) => planner.record_end(now, job),
            (Policy::Plain(balancer), None) => balancer.record_end(self.key),
            // The service was of the other kind when the endpoint was picked.
            (Policy::Plain(_), Some(_)) | (Policy::Engines(_), None) => {}
        }
        self.service.changed.notify_waiters();
        if let Some(job) = self.job {
            let event = Event::Ended(self.service.name.clone(), job);
            self.pool.broadcast(event, self.urgency);
        }
    }
}
