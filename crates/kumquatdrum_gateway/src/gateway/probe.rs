//! Probes of paths that are in doubt.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::ServiceName;
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

use super::Gateway;
use crate::holds::Purpose;
use crate::upstream::Target;

/// The interval between probes of a path.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The longest timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// The interval at which failures are reported to other hosts that do not turn out to be this host's.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);

impl Gateway {
    /// Probes the services that this host may not reach, and reports failures of endpoints once this
    /// host's path is ruled out as their cause.
    pub(super) async fn probe_paths(self: Arc<Self>) {
        let mut turns: IndexMap<ServiceName, usize> = IndexMap::new();
        let mut next_probes = Instant::now();
        loop {
            let changed = self.upstream.paths().wait_for_change();
            let pause = if self.pool.has_unreported_failures() {
                REPORT_INTERVAL
            } else {
                PROBE_INTERVAL
            };
            // A new doubt is probed at once.
            let is_new = timeout(pause, changed).await.is_ok();
            for service in self.upstream.paths().take_failed() {
                self.pool.forget_failures(&service);
            }
            self.pool.report_failures();
            if !is_new && Instant::now() < next_probes {
                continue;
            }
            next_probes = Instant::now() + PROBE_INTERVAL;
            let services = self.upstream.paths().services_in_doubt();
            turns.retain(|service, _| services.contains(service));
            let mut probes = JoinSet::new();
            for service in services {
                let turn = turns.entry(service.clone()).or_default();
                *turn += 1;
                probes.spawn(self.clone().probe(service, *turn));
            }
            while probes.join_next().await.is_some() {}
        }
    }

    /// Probes one of a service's endpoints directly.
    async fn probe(self: Arc<Self>, service: ServiceName, turn: usize) {
        let paths = self.upstream.paths();
        let mut endpoints = self.endpoints.usable(&service);
        let evacuations = self.evacuations.current();
        endpoints.retain(|(endpoint, _)| !evacuations.is_active(&endpoint.data_centre));
        let Some(endpoint) = paths.choose_probe(&service, &endpoints, turn) else {
            return;
        };
        let Some(declared) = self.active_setup.current() else {
            return;
        };
        let Some(declared) = declared.table.setup().services.get(&service) else {
            return;
        };
        let request = self.protocol.build_probe(&endpoint.id, declared);
        let target = Target {
            endpoint,
            prefillers: &[],
            purpose: Purpose::Work,
            request: "",
            patience: None,
            is_repeatable: false,
        };
        let deadline = Instant::now() + paths.patience(&service, PROBE_TIMEOUT);
        let reply = self.upstream.probe(&target, request, deadline).await;
        if let Some(reply) = reply.filter(|reply| !reply.is_misdirected) {
            self.pool.record_cold(endpoint, reply.cold);
        }
    }
}
