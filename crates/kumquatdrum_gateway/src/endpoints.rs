//! Announced endpoints, as this host knows them.

use std::time::Duration;

use indexmap::IndexSet;
use kumquatdrum_process::clock::Clock;
use kumquatdrum_registry::{Announcement, Change, Registry, Update};
use kumquatdrum_types::{EndpointId, ServiceName};
use parking_lot::Mutex;
use slog::info;
use tokio::sync::Notify;

/// How long a farewell is told again with each round, for hosts that missed it.
const FAREWELL_TOLD: Duration = Duration::from_secs(10);

/// Announced endpoints, as this host knows them.
pub struct Endpoints {
    clock: Clock,
    state: Mutex<State>,
    /// Who is known, or is leaving, has changed.
    changed: Notify,
    logger: slog::Logger,
}

#[derive(Default)]
struct State {
    registry: Registry,
    /// Heard from the endpoints themselves since the last round.
    heard: IndexSet<EndpointId>,
}

impl Endpoints {
    /// None are known.
    pub fn new(clock: Clock, logger: slog::Logger) -> Self {
        Self {
            clock,
            state: Mutex::default(),
            changed: Notify::new(),
            logger,
        }
    }

    /// An endpoint announces itself to this host.
    pub fn announce(&self, announcement: Announcement) -> (Change, Option<Update>) {
        let now = self.clock.now();
        let id = announcement.id.clone();
        let mut state = self.state.lock();
        let change = state.registry.announce(now, announcement);
        state.heard.insert(id.clone());
        let update = state.registry.update_for(now, &id);
        drop(state);
        self.note(change, update.as_ref(), "endpoint");
        (change, update)
    }

    /// An endpoint says farewell to this host.
    pub fn leave(&self, id: &EndpointId, incarnation: Option<u64>) -> Option<Update> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let update = state.registry.leave(now, id, incarnation);
        state.heard.insert(id.clone());
        drop(state);
        self.changed.notify_one();
        info!(self.logger, "endpoint_left"; "event" => "endpoint_left", "endpoint" => id.as_str(),
            "incarnation" => incarnation, "known" => update.is_some());
        update
    }

    /// Another host tells what it knows. Returns whether anything has changed but ages.
    pub fn merge(&self, updates: Vec<Update>, from: &str) -> bool {
        let now = self.clock.now();
        let mut has_changed = false;
        for update in updates {
            let told = update.clone();
            let change = self.state.lock().registry.merge(now, update);
            has_changed |= matches!(change, Change::New | Change::Changed);
            self.note(change, Some(&told), from);
        }
        has_changed
    }

    /// Another endpoint answers at this one's address.
    pub fn mark_displaced(&self, endpoint: &Announcement) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let update = state
            .registry
            .mark_displaced(now, &endpoint.id, endpoint.started);
        if update.is_some() {
            self.changed.notify_one();
            info!(self.logger, "endpoint_displaced"; "event" => "endpoint_displaced",
                "endpoint" => endpoint.id.as_str(), "address" => %endpoint.address);
        }
    }

    /// The endpoints that may get requests of a service, each with its age.
    pub fn usable(&self, service: &ServiceName) -> Vec<(Announcement, Duration)> {
        let now = self.clock.now();
        let state = self.state.lock();
        let usable = state.registry.usable(now, service);
        usable.map(|(a, age)| (a.clone(), age)).collect()
    }

    /// Waits until who is known, or is leaving, has changed since the last such wait.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// All that is known.
    pub fn all(&self) -> Vec<Update> {
        let state = self.state.lock();
        state.registry.updates(self.clock.now(), Duration::MAX)
    }

    /// What this round tells other hosts: what endpoints have said here, and who is going.
    pub fn round(&self) -> Vec<Update> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let heard = std::mem::take(&mut state.heard);
        let updates = state.registry.updates(now, Duration::MAX);
        let is_told = |update: &Update| {
            let going = update.gone || update.announcement.leaving;
            let is_recent = Duration::from_millis(update.age_ms) < FAREWELL_TOLD;
            heard.contains(&update.announcement.id) || (going && is_recent)
        };
        let told = updates.into_iter().filter(is_told).collect();
        for id in state.registry.evict_expired(now) {
            info!(self.logger, "endpoint_forgotten"; "event" => "endpoint_forgotten",
                "endpoint" => id.as_str());
        }
        told
    }

    fn note(&self, change: Change, update: Option<&Update>, from: &str) {
        let Some(update) = update.filter(|_| matches!(change, Change::New | Change::Changed))
        else {
            return;
        };
        self.changed.notify_one();
        let endpoint = &update.announcement;
        info!(self.logger, "endpoint_known"; "event" => "endpoint_known",
            "endpoint" => endpoint.id.as_str(), "incarnation" => endpoint.started,
            "sequence" => endpoint.sequence, "service" => endpoint.service.as_str(),
            "address" => %endpoint.address, "leaving" => endpoint.leaving,
            "gone" => update.gone, "age_ms" => update.age_ms, "from" => from);
    }
}
