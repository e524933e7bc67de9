//! Cold endpoints: what this host learns of them, and the limits that follow.

use std::time::Duration;

use kumquatdrum_placement::cold::Sighting;
use kumquatdrum_placement::{Allowance, EndpointKey, Rate};
use kumquatdrum_registry::Announcement;
use kumquatdrum_routes::{Service as DeclaredService, Setup};
use kumquatdrum_types::{DataCentre, Moment};
use slog::info;

use super::{Pick, Pool, Service, State, data_centre_key};

impl Pool {
    /// Applies what a setup declares of cold endpoints.
    pub(super) fn configure_cold(&self, setup: &Setup) {
        for (name, declared) in &setup.services {
            if let Some(service) = self.find_service(name) {
                let mut state = service.state.lock();
                state.cold_start = declared.cold_start;
                let allowance = self.allowance(declared);
                let warmups = state.policy.limits_mut().warmups_mut();
                warmups.set_allowance(allowance);
                warmups.set_announcement_interval(self.dependencies.announcement_interval);
            }
        }
    }

    fn allowance(&self, declared: &DeclaredService) -> Option<Allowance> {
        let cold = self.dependencies.cold?;
        let rate = Rate::new(declared.cold_per_second).filter(|_| declared.cold_per_second > 0.0);
        rate.map(|rate| Allowance::new(rate, cold.overage, cold.slack))
    }

    /// Returns the hosts that may send requests to cold endpoints. `None` if cold endpoints are not
    /// limited or this host does not know all of them.
    pub(super) fn find_senders(&self) -> Option<Vec<u32>> {
        let dependencies = &self.dependencies;
        dependencies.cold?;
        let now = dependencies.clock.now();
        let is_complete = dependencies.hosts.has_complete_listing();
        let is_settled = self.cold.lock().settle(now, is_complete);
        is_settled.then(|| dependencies.hosts.remembered_caller_numbers())
    }

    /// Updates the cold endpoints of a service, and the hosts that may send to them. `made_at` are the
    /// times of the newest announcements, in the order of the directory.
    pub(super) fn refresh_cold(
        &self,
        service: &Service,
        state: &mut State,
        made_at: &[Moment],
        senders: Option<&[u32]>,
    ) {
        if !state.policy.limits().warmups().is_enabled() {
            return;
        }
        let dependencies = &self.dependencies;
        let now = dependencies.clock.now();
        let endpoints = state.directory.iter().zip(made_at);
        let sightings = endpoints.map(|((key, endpoint), made_at)| Sighting {
            key: *key,
            data_centre: data_centre_key(&endpoint.data_centre),
            made_at: *made_at,
            warming: Duration::from_millis(endpoint.warming_ms),
        });
        let sightings: Vec<Sighting> = sightings.collect();
        let mut tracker = self.cold.lock();
        tracker.update(now, &service.name, state.cold_start, &sightings);
        drop(tracker);
        let State {
            policy, directory, ..
        } = &mut *state;
        let limits = policy.limits_mut();
        limits.retain(now, |key| directory.contains_key(&key));
        let warmups = limits.warmups_mut();
        warmups.set_hosts(now, dependencies.number, senders.map(<[u32]>::to_vec));
        for sighting in sightings {
            self.assess(state, sighting.key);
        }
    }

    /// Limits an endpoint if it is cold, and logs when it turns cold or warm.
    fn assess(&self, state: &mut State, key: EndpointKey) {
        let now = self.dependencies.clock.now();
        let assessment = self.cold.lock().assess(now, key);
        let warmups = state.policy.limits_mut().warmups_mut();
        match assessment.status {
            Some(status) => warmups.begin(now, key, status.end, assessment.is_new),
            None => warmups.end(now, key),
        }
        if !assessment.has_turned {
            return;
        }
        let endpoint = state.directory.get(&key);
        let id = endpoint.map_or("unknown", |endpoint| endpoint.id.as_str());
        match assessment.status {
            Some(status) => info!(self.dependencies.logger, "endpoint_cold";
                "event" => "endpoint_cold", "endpoint" => id, "reason" => ?status.reason,
                "left_ms" => status.end.map(|end| (end - now).as_millis() as u64)),
            None => info!(self.dependencies.logger, "endpoint_warm"; "event" => "endpoint_warm",
                "endpoint" => id),
        }
    }

    /// Records that an endpoint could not be connected to or broke a connection.
    pub(super) fn record_cold_failure(&self, state: &mut State, key: EndpointKey) {
        if state.policy.limits().warmups().is_enabled() {
            let now = self.dependencies.clock.now();
            self.cold.lock().record_failure(now, key);
            self.assess(state, key);
        }
    }

    /// Forgets the failures of a service's endpoints, which this host's path to them explains.
    pub(super) fn forget_cold_failures(&self, state: &mut State) {
        let keys: Vec<EndpointKey> = state.directory.keys().copied().collect();
        self.cold.lock().forget_failures(keys.iter().copied());
        for key in keys {
            self.assess(state, key);
        }
    }

    /// Records how long an endpoint will be cold, if one of its responses says so.
    pub fn record_cold(&self, endpoint: &Announcement, left: Option<Duration>) {
        if let Some(left) = left
            && let Some(service) = self.find_service(&endpoint.service)
        {
            let key = EndpointKey::of(&endpoint.id, endpoint.started);
            self.record_response(&service, key, left);
        }
    }

    fn record_response(&self, service: &Service, key: EndpointKey, left: Duration) {
        let mut state = service.state.lock();
        if state.policy.limits().warmups().is_enabled() {
            let now = self.dependencies.clock.now();
            self.cold.lock().record_response(now, key, left);
            self.assess(&mut state, key);
        }
    }

    /// Records that the evacuation of a data centre has ended: its endpoints may be cold.
    pub fn expect_cold(&self, data_centre: &DataCentre) {
        let now = self.dependencies.clock.now();
        let key = data_centre_key(data_centre);
        self.cold.lock().record_return(now, key);
        self.refresh();
    }

    /// Refreshes the endpoints if this host was suspended, so that none counts as warm by what was
    /// known before. Other requests wait for that.
    pub(super) fn note_activity(&self) {
        let clock = &self.dependencies.clock;
        if self.activity.record(clock.now()) {
            return;
        }
        let _refreshing = self.refreshing.lock();
        if !self.activity.record(clock.now()) {
            self.refresh_all();
        }
    }

    /// Counts a request that was placed on a warm endpoint while a cold one could not get it.
    pub(super) fn count_moved(&self, state: &State, key: EndpointKey) {
        let now = self.dependencies.clock.now();
        if state.policy.limits().warmups().is_moved(now, key) {
            self.dependencies.metrics.moved_from_cold.inc();
        }
    }

    /// Returns the number of cold endpoints.
    pub fn count_cold(&self) -> usize {
        let now = self.dependencies.clock.now();
        let services = self.services.read();
        let counts = services.values().map(|service| {
            let state = service.state.lock();
            state.policy.limits().warmups().count_cold(now)
        });
        counts.sum()
    }
}

impl Pick {
    /// Records how long the endpoint will be cold, if a response says so.
    pub fn record_cold(&self, left: Option<Duration>) {
        if let Some(left) = left {
            self.pool.record_response(&self.service, self.key, left);
        }
    }
}
