//! A picked endpoint, and what its answers tell of it.

use std::sync::Arc;

use kumquatdrum_fanout::Urgency;
use kumquatdrum_placement::{EndpointKey, Failure, JobId};
use kumquatdrum_registry::Announcement;
use kumquatdrum_types::EndpointId;
use slog::warn;

use super::{Fleet, Policy, Service};
use crate::message::Event;
use crate::protocol::Helper;

/// An engine that reads a part for a picked one.
#[derive(Debug, Clone)]
pub struct Reader {
    /// Its name.
    pub endpoint: EndpointId,
    /// Its key.
    pub key: EndpointKey,
    /// Tokens of its memory that have to be reserved.
    pub reserved: u64,
    /// How the picked endpoint is told of it.
    pub helper: Helper,
}

/// A picked endpoint. Dropping it tells that the request has ended there.
pub struct Pick {
    pub(super) fleet: Arc<Fleet>,
    pub(super) service: Arc<Service>,
    /// The endpoint.
    pub endpoint: Announcement,
    /// Its key.
    pub key: EndpointKey,
    /// Engines that read parts of the prompt.
    pub readers: Vec<Reader>,
    pub(super) job: Option<JobId>,
    pub(super) urgency: Urgency,
}

impl Pick {
    /// The first token has come.
    pub fn began(&self) {
        let Some(job) = self.job else {
            return;
        };
        let now = self.fleet.parts.clock.now();
        if let Policy::Engines(planner) = &mut self.service.state.lock().policy {
            planner.began(now, job);
        }
        self.service.changed.notify_waiters();
        let event = Event::Began(self.service.name.clone(), job);
        self.fleet.tell(event, self.urgency);
    }

    /// The endpoint has answered well, and may have told how much it has to do.
    pub fn succeeded(&self, load: Option<u32>) {
        let now = self.fleet.parts.clock.now();
        match &mut self.service.state.lock().policy {
            Policy::Engines(planner) => planner.succeeded(self.key),
            Policy::Plain(balancer) => balancer.succeeded(now, self.key, load),
        }
    }

    /// The endpoint has failed.
    pub fn failed(&self, failure: Failure) {
        let now = self.fleet.parts.clock.now();
        let is_ejected = match &mut self.service.state.lock().policy {
            Policy::Engines(planner) => planner.failed(now, self.key, failure),
            Policy::Plain(balancer) => balancer.failed(now, self.key, failure),
        };
        if is_ejected {
            warn!(self.fleet.parts.logger, "endpoint_ejected"; "event" => "endpoint_ejected",
                "endpoint" => self.endpoint.id.as_str(), "failure" => ?failure);
        }
    }

    /// A helper has failed the endpoint, which names it by its id or its address.
    pub fn helper_failed(&self, name: &str) {
        let now = self.fleet.parts.clock.now();
        let mut state = self.service.state.lock();
        let named = |endpoint: &Announcement| {
            endpoint.id.as_str() == name || endpoint.address.to_string() == name
        };
        let found = state.directory.iter();
        let mut found = found.filter(|(_, endpoint)| named(endpoint));
        let Some(key) = found.next().map(|(key, _)| *key) else {
            return;
        };
        if let Policy::Engines(planner) = &mut state.policy {
            planner.failed(now, key, Failure::Unreachable);
        }
        warn!(self.fleet.parts.logger, "helper_failed"; "event" => "helper_failed",
            "endpoint" => self.endpoint.id.as_str(), "helper" => name);
    }

    /// Another endpoint answers at the address.
    pub fn mark_displaced(&self) {
        self.fleet.parts.endpoints.mark_displaced(&self.endpoint);
        self.fleet.refresh_service(&self.service);
    }
}

impl Drop for Pick {
    fn drop(&mut self) {
        let now = self.fleet.parts.clock.now();
        match (&mut self.service.state.lock().policy, self.job) {
            (Policy::Engines(planner), Some(job)) => planner.ended(now, job),
            (Policy::Plain(balancer), _) => balancer.ended(self.key),
            (Policy::Engines(_), None) => {}
        }
        self.service.changed.notify_waiters();
        if let Some(job) = self.job {
            let event = Event::Ended(self.service.name.clone(), job);
            self.fleet.tell(event, self.urgency);
        }
    }
}
