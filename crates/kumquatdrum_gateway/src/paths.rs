//! What this host reaches directly, for each service.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_placement::{Change, EndpointKey, Path, Route, Trouble};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_registry::Announcement;
use kumquatdrum_types::{Moment, ServiceName};
use parking_lot::Mutex;
use slog::{info, warn};
use tokio::sync::Notify;

use crate::endpoints::Endpoints;
use crate::metrics::Metrics;

/// The dependencies of [`Paths`].
pub struct Dependencies {
    /// The host's clock.
    pub clock: Clock,
    /// Announced endpoints.
    pub endpoints: Arc<Endpoints>,
    /// The host's metrics.
    pub metrics: Arc<Metrics>,
    /// The host's logger.
    pub logger: slog::Logger,
}

/// The paths from this host to the endpoints of each service.
pub struct Paths {
    dependencies: Dependencies,
    services: Mutex<IndexMap<ServiceName, Path>>,
    /// Services whose path has failed, until failures of their endpoints are forgotten.
    failed: Mutex<Vec<ServiceName>>,
    /// Notified when a path has changed.
    changed: Notify,
}

impl Paths {
    /// Creates the state of a host that has sent nothing yet.
    pub fn new(dependencies: Dependencies) -> Self {
        Self {
            dependencies,
            services: Mutex::default(),
            failed: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Returns the route of a request that is about to be sent to an endpoint.
    pub fn route(&self, endpoint: &Announcement) -> Route {
        let now = self.dependencies.clock.now();
        match self.services.lock().get_mut(&endpoint.service) {
            Some(path) => path.route(now, key(endpoint)),
            None => Route::Direct,
        }
    }

    /// Returns whether the direct path to a service is in doubt or cut.
    pub fn is_in_doubt(&self, service: &ServiceName) -> bool {
        let services = self.services.lock();
        services.get(service).is_some_and(Path::is_in_doubt)
    }

    /// Returns whether the direct path to a service is cut.
    pub fn is_cut(&self, service: &ServiceName) -> bool {
        let services = self.services.lock();
        services.get(service).is_some_and(Path::is_cut)
    }

    /// Returns the time after which the answer to a direct request is late, at most `limit`.
    pub fn patience(&self, service: &ServiceName, limit: Duration) -> Duration {
        let services = self.services.lock();
        let path = services.get(service);
        path.map_or(limit, |path| path.patience(limit))
    }

    /// Returns the endpoint of a service to probe, of those that are known, each with the time since its last
    /// announcement. `turn` numbers the probes.
    pub fn choose_probe<'a>(
        &self,
        service: &ServiceName,
        known: &'a [(Announcement, Duration)],
        turn: usize,
    ) -> Option<&'a Announcement> {
        let now = self.dependencies.clock.now();
        let keys = known.iter().map(|(endpoint, age)| (key(endpoint), *age));
        let keys: Vec<(EndpointKey, Duration)> = keys.collect();
        let services = self.services.lock();
        let place = services.get(service)?.choose_probe(now, &keys, turn)?;
        known.get(place).map(|(endpoint, _)| endpoint)
    }

    /// Takes the services whose path has failed, which explains failures of their endpoints.
    pub fn take_failed(&self) -> Vec<ServiceName> {
        std::mem::take(&mut *self.failed.lock())
    }

    /// Waits until the path to a service is not in doubt any more, or counts as cut.
    pub async fn wait_until_settled(&self, service: &ServiceName) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if !self.is_in_doubt(service) || self.is_cut(service) {
                return;
            }
            changed.await;
        }
    }

    /// Returns whether this host reaches no endpoint of a service, whoever is at fault.
    pub fn is_isolated(&self, service: &ServiceName) -> bool {
        let services = self.services.lock();
        services.get(service).is_some_and(Path::is_isolated)
    }

    /// Returns the services whose path is in doubt or cut.
    pub fn services_in_doubt(&self) -> Vec<ServiceName> {
        let services = self.services.lock();
        let in_doubt = services.iter().filter(|(_, path)| path.is_in_doubt());
        in_doubt.map(|(service, _)| service.clone()).collect()
    }

    /// Waits until a path changes.
    pub async fn wait_for_change(&self) {
        self.changed.notified().await;
    }

    /// Waits until the direct path to a service is cut.
    pub async fn wait_for_cut(&self, service: &ServiceName) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if self.is_cut(service) {
                return;
            }
            changed.await;
        }
    }

    /// Records the answer to a request that was sent directly at `sent_at`.
    pub fn record_answer(&self, endpoint: &Announcement, sent_at: Moment) {
        self.update(endpoint, |now, path| {
            path.record_answer(now, key(endpoint), sent_at)
        });
    }

    /// Records trouble with a direct request that began at `from`.
    pub fn record_trouble(&self, endpoint: &Announcement, trouble: Trouble, from: Moment) {
        let known = self.dependencies.endpoints.count_usable(&endpoint.service);
        self.update(endpoint, |now, path| {
            path.record_trouble(now, key(endpoint), trouble, from, known)
        });
    }

    /// Records that a relay reached an endpoint to which this host had just failed to connect.
    pub fn record_second_opinion(&self, endpoint: &Announcement) {
        let known = self.dependencies.endpoints.count_usable(&endpoint.service);
        self.update(endpoint, |now, path| {
            path.record_second_opinion(now, key(endpoint), known)
        });
    }

    /// Records that an endpoint answered through a relay.
    pub fn record_relayed_answer(&self, endpoint: &Announcement) {
        self.update(endpoint, |now, path| path.record_relayed_answer(now));
    }

    /// Records that an endpoint did not answer a direct probe.
    pub fn record_failed_probe(&self, endpoint: &Announcement, trouble: Trouble) {
        self.update(endpoint, |now, path| path.record_failed_probe(now, trouble));
    }

    fn update(
        &self,
        endpoint: &Announcement,
        record: impl FnOnce(Moment, &mut Path) -> Option<Change>,
    ) {
        let now = self.dependencies.clock.now();
        let mut services = self.services.lock();
        let path = services.entry(endpoint.service.clone()).or_default();
        let troubled = path.troubled();
        let silence = now - path.answered_at();
        let Some(change) = record(now, path) else {
            return;
        };
        let troubled = troubled.max(path.troubled());
        let cut = services.values().filter(|path| path.is_cut()).count();
        drop(services);
        let Dependencies {
            metrics, logger, ..
        } = &self.dependencies;
        metrics.cut_services.set(cut as i64);
        metrics
            .path_changes
            .with_label_values(&[name(change)])
            .inc();
        let silence_ms = silence.as_millis() as u64;
        match change {
            Change::Doubted | Change::Cut => {
                warn!(logger, "path"; "event" => name(change), "service" => endpoint.service.as_str(),
                    "endpoint" => endpoint.id.as_str(), "troubled" => troubled,
                    "unanswered_ms" => silence_ms);
            }
            Change::Cleared | Change::Recovering | Change::Restored => {
                info!(logger, "path"; "event" => name(change), "service" => endpoint.service.as_str(),
                    "endpoint" => endpoint.id.as_str(), "unanswered_ms" => silence_ms);
            }
        }
        if matches!(change, Change::Cut | Change::Restored) {
            self.failed.lock().push(endpoint.service.clone());
        }
        self.changed.notify_waiters();
    }
}

fn key(endpoint: &Announcement) -> EndpointKey {
    EndpointKey::of(&endpoint.id, endpoint.started)
}

/// Returns the name of a change in logs and metrics.
const fn name(change: Change) -> &'static str {
    match change {
        Change::Doubted => "path_doubted",
        Change::Cut => "path_cut",
        Change::Cleared => "path_cleared",
        Change::Recovering => "path_recovering",
        Change::Restored => "path_restored",
    }
}
