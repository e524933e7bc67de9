//! The announced endpoints known to this host.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_registry::{Announcement, Change, News, Presence, Refresh, Registry, Update};
use kumquatdrum_types::{Checkpoint, DataCentre, EndpointId, HostId, Moment, ServiceName};
use parking_lot::Mutex;
use slog::info;
use tokio::sync::Notify;

use crate::message::EndpointSelection;

/// The longest time from the last check of a request to its arrival at a leaving endpoint.
const MAX_TRANSIT: Duration = Duration::from_millis(500);

/// What updates from another host have changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// Nothing but ages.
    Nothing,
    /// Endpoints were added.
    Added,
    /// Endpoints that were known have changed.
    Changed,
}

/// The announced endpoints known to this host.
pub struct Endpoints {
    clock: Clock,
    /// The start of this host, which the versions of its news name.
    boot: u64,
    /// The time for which a leaving endpoint gets requests that no other endpoint can serve.
    grace: Duration,
    state: Mutex<State>,
    /// Notified when an endpoint is added, is leaving or is removed.
    changed: Notify,
    logger: slog::Logger,
}

struct State {
    registry: Registry,
    /// Endpoints that sent an announcement or a leave request to this host since the last round.
    unpublished: IndexSet<EndpointId>,
    /// The version of the last news from each control host that has sent all endpoints.
    received: IndexMap<HostId, Checkpoint>,
    /// The version up to which each control host has sent the endpoints that have left.
    departures: IndexMap<HostId, Checkpoint>,
}

impl Endpoints {
    /// Creates the empty registry of a host started at `boot`. Leaving endpoints serve for `drain` after
    /// hosts have been told.
    pub fn new(
        clock: Clock,
        boot: u64,
        drain: Duration,
        announcement_interval: Duration,
        logger: slog::Logger,
    ) -> Self {
        let state = State {
            registry: Registry::with_max_gap(announcement_interval * 3 / 2),
            unpublished: IndexSet::new(),
            received: IndexMap::new(),
            departures: IndexMap::new(),
        };
        Self {
            clock,
            boot,
            grace: drain.saturating_sub(MAX_TRANSIT),
            state: Mutex::new(state),
            changed: Notify::new(),
            logger,
        }
    }

    /// Applies an announcement that an endpoint sent to this host.
    pub fn announce(&self, announcement: Announcement) -> (Change, Option<Update>) {
        let now = self.clock.now();
        let id = announcement.id.clone();
        let mut state = self.state.lock();
        let change = state.registry.announce(now, announcement);
        state.unpublished.insert(id.clone());
        let update = state.registry.update_for(now, &id);
        drop(state);
        self.log_and_notify(change, update.as_ref(), "endpoint");
        (change, update)
    }

    /// Deregisters an endpoint at its own request.
    pub fn leave(&self, id: &EndpointId, incarnation: Option<u64>) -> Option<Update> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let update = state.registry.leave(now, id, incarnation);
        state.unpublished.insert(id.clone());
        drop(state);
        self.changed.notify_one();
        info!(self.logger, "endpoint_left"; "event" => "endpoint_left", "endpoint" => id.as_str(),
            "incarnation" => incarnation, "known" => update.is_some());
        update
    }

    /// Returns whether an incarnation of an endpoint is known.
    pub fn knows(&self, id: &EndpointId) -> bool {
        let state = self.state.lock();
        state.registry.update_for(self.clock.now(), id).is_some()
    }

    /// Merges updates from another host.
    pub fn merge(&self, updates: Vec<Update>, from: &str) -> Effect {
        let now = self.clock.now();
        let mut effect = Effect::Nothing;
        for update in updates {
            let received = update.clone();
            let change = self.state.lock().registry.merge(now, update);
            effect = effect.max(match change {
                Change::New if !received.gone && !received.announcement.leaving => Effect::Added,
                change if change.is_news() => Effect::Changed,
                _ => Effect::Nothing,
            });
            self.log_and_notify(change, Some(&received), from);
        }
        effect
    }

    /// Returns the news for a host that has this host's endpoints up to a version. `None` if that is not
    /// a version of this incarnation.
    pub fn news_since(&self, known: Checkpoint) -> Option<News> {
        let now = self.clock.now();
        let state = self.state.lock();
        let is_own = known.boot == self.boot;
        is_own.then(|| state.registry.news_since(now, known.changes))
    }

    /// Returns the version of this host's endpoints.
    pub fn version(&self) -> Checkpoint {
        Checkpoint {
            boot: self.boot,
            changes: self.state.lock().registry.changes(),
        }
    }

    /// Returns what to request of a control host: the endpoints that have left since its last answer, or
    /// all its news if these are requested and it has sent all endpoints before.
    pub fn selection(&self, from: &HostId, requests_changes: bool) -> EndpointSelection {
        let state = self.state.lock();
        match state.received.get(from) {
            Some(version) if requests_changes => EndpointSelection::Since(*version),
            _ => EndpointSelection::Departures(state.departures.get(from).copied()),
        }
    }

    /// Records the version up to which a control host's endpoints were received. `None` if they are to
    /// be requested again.
    pub fn record_version(&self, from: &HostId, version: Option<Checkpoint>) {
        let mut state = self.state.lock();
        match version {
            Some(version) => {
                state.received.insert(from.clone(), version);
            }
            None => {
                state.received.swap_remove(from);
            }
        }
    }

    /// Records the version up to which a control host's departures were received.
    pub fn record_departures(&self, from: &HostId, version: Option<Checkpoint>) {
        if let Some(version) = version {
            let mut state = self.state.lock();
            state.departures.insert(from.clone(), version);
        }
    }

    /// Applies announcements that change nothing else. Returns whether anything but ages has changed, or
    /// `None` if an endpoint is not known.
    pub fn refresh(&self, refreshes: &[Refresh], from: &str) -> Option<bool> {
        let now = self.clock.now();
        let (mut has_changed, mut is_complete) = (false, true);
        let mut state = self.state.lock();
        for refresh in refreshes {
            match state.registry.refresh(now, refresh) {
                Some(change) if change.is_news() => {
                    has_changed = true;
                    let update = state.registry.update_for(now, &refresh.id);
                    self.log_and_notify(change, update.as_ref(), from);
                }
                Some(_) => {}
                None => is_complete = false,
            }
        }
        is_complete.then_some(has_changed)
    }

    /// Marks an endpoint as absent until its next announcement because another endpoint answers at its
    /// address.
    pub fn mark_displaced(&self, endpoint: &Announcement) {
        let mut state = self.state.lock();
        let is_news = state
            .registry
            .mark_displaced(&endpoint.id, endpoint.started);
        drop(state);
        if is_news {
            self.changed.notify_one();
            info!(self.logger, "endpoint_displaced"; "event" => "endpoint_displaced",
                "endpoint" => endpoint.id.as_str(), "address" => %endpoint.address);
        }
    }

    /// Marks an endpoint as leaving because one of its responses says so. Returns the update for other
    /// hosts if this is news.
    pub fn mark_leaving(&self, endpoint: &Announcement) -> Option<Update> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let update = state
            .registry
            .mark_leaving(now, &endpoint.id, endpoint.started);
        drop(state);
        if update.is_some() {
            self.changed.notify_one();
        }
        update
    }

    /// Returns whether an endpoint stays.
    pub fn presence(&self, endpoint: &Announcement) -> Presence {
        let state = self.state.lock();
        state.registry.presence(endpoint, self.grace)
    }

    /// Returns the endpoints that accept requests for a service, each with the time since its last
    /// announcement.
    pub fn usable(&self, service: &ServiceName) -> Vec<(Announcement, Duration)> {
        let now = self.clock.now();
        let state = self.state.lock();
        let usable = state.registry.usable(now, service);
        usable.map(|(a, age)| (a.clone(), age)).collect()
    }

    /// Returns the number of a service's endpoints, including those that leave and still serve.
    pub fn count_usable(&self, service: &ServiceName) -> usize {
        let now = self.clock.now();
        let state = self.state.lock();
        let leaving = state.registry.leaving(now, service, self.grace).count();
        state.registry.usable(now, service).count() + leaving
    }

    /// Returns the announcement of an endpoint's incarnation, if it is the newest one known.
    pub fn find(&self, id: &EndpointId, started: u64) -> Option<Announcement> {
        let state = self.state.lock();
        let update = state.registry.update_for(self.clock.now(), id)?;
        Some(update.announcement).filter(|known| known.started == started)
    }

    /// Returns the endpoints that are leaving and serve requests that no other endpoint can, each with
    /// the time since its last announcement and the time until which it serves.
    pub fn leaving(&self, service: &ServiceName) -> Vec<(Announcement, Duration, Moment)> {
        let now = self.clock.now();
        let state = self.state.lock();
        let leaving = state.registry.leaving(now, service, self.grace);
        leaving
            .map(|(a, age, until)| (a.clone(), age, until))
            .collect()
    }

    /// Returns whether an endpoint is known to be leaving or gone, or its incarnation is unknown.
    pub fn is_leaving(&self, endpoint: &Announcement) -> bool {
        let state = self.state.lock();
        let update = state.registry.update_for(self.clock.now(), &endpoint.id);
        update.is_none_or(|update| {
            let known = update.announcement;
            update.gone || known.leaving || known.started != endpoint.started
        })
    }

    /// Waits for a change in the known endpoints since the previous call.
    pub async fn wait_for_change(&self) {
        self.changed.notified().await;
    }

    /// Returns updates for all known endpoints.
    pub fn all_updates(&self) -> Vec<Update> {
        let state = self.state.lock();
        state.registry.updates(self.clock.now())
    }

    /// Returns whether any known endpoint is in a data centre.
    pub fn has_data_centre(&self, data_centre: &DataCentre) -> bool {
        let state = self.state.lock();
        state.registry.has_data_centre(data_centre)
    }

    /// Returns updates for the endpoints that are leaving or gone, for a host that has them up to a
    /// version. All of them if that is not a version of this incarnation.
    pub fn departures_since(&self, known: Option<Checkpoint>) -> Vec<Update> {
        let known = known.filter(|known| known.boot == self.boot);
        let changes = known.map_or(0, |known| known.changes);
        let state = self.state.lock();
        state.registry.departures_since(self.clock.now(), changes)
    }

    /// Returns the updates to publish in this round: endpoints that announced themselves to this
    /// host. Also evicts expired endpoints.
    pub fn take_round(&self) -> Vec<Update> {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let unpublished = std::mem::take(&mut state.unpublished);
        let updates = state.registry.updates(now);
        let is_published = |update: &Update| unpublished.contains(&update.announcement.id);
        let published = updates.into_iter().filter(is_published).collect();
        for id in state.registry.evict_expired(now) {
            info!(self.logger, "endpoint_forgotten"; "event" => "endpoint_forgotten",
                "endpoint" => id.as_str());
        }
        published
    }

    /// Logs a new or changed endpoint, and wakes the task that waits for changes.
    fn log_and_notify(&self, change: Change, update: Option<&Update>, from: &str) {
        let Some(update) = update.filter(|_| change.is_news()) else {
            return;
        };
        self.changed.notify_one();
        let endpoint = &update.announcement;
        info!(self.logger, "endpoint_known"; "event" => "endpoint_known",
            "endpoint" => endpoint.id.as_str(), "incarnation" => endpoint.started,
            "sequence" => endpoint.sequence, "service" => endpoint.service.as_str(),
            "address" => %endpoint.address, "leaving" => endpoint.leaving,
            "cold_ms" => endpoint.warming_ms,
            "gone" => update.gone, "age_ms" => update.age_ms, "from" => from);
    }
}
