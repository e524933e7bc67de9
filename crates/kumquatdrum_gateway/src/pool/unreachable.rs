//! Engines that could not be reached, as seen by this and other hosts.

use std::time::Duration;

use kumquatdrum_fanout::Urgency;
use kumquatdrum_placement::{DataCentreKey, EndpointKey};
use kumquatdrum_types::{Moment, ServiceName};
use slog::info;

use super::{Policy, Pool, Service, State};
use crate::message::Event;

/// How long a failure is kept back, as it may turn out that this host's path was at fault.
const DOUBT_DELAY: Duration = Duration::from_millis(150);

/// A failure that other hosts have not been told yet.
#[derive(Debug)]
pub(super) struct Unreported {
    service: ServiceName,
    key: EndpointKey,
    from: DataCentreKey,
    seen_at: Moment,
}

/// The host that saw a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Witness {
    /// This host, which tells the others.
    Local,
    /// Another host.
    Remote,
}

impl Pool {
    /// Records that an engine could not be reached from a data centre. A new suspicion is logged, and
    /// told to other hosts if this host saw the failure.
    pub(super) fn record_unreachable(
        &self,
        service: &Service,
        state: &mut State,
        key: EndpointKey,
        from: DataCentreKey,
        witness: Witness,
    ) {
        let now = self.dependencies.clock.now();
        let Policy::Engines(planner) = &mut state.policy else {
            return;
        };
        if !planner.record_unreachable(now, key, from) {
            return;
        }
        self.record_cold_failure(state, key);
        let endpoint = state.directory.get(&key);
        info!(self.dependencies.logger, "endpoint_suspected"; "event" => "endpoint_suspected",
            "endpoint" => endpoint.map_or("unknown", |endpoint| endpoint.id.as_str()),
            "seen_by" => ?witness);
        if witness == Witness::Local {
            let failure = Unreported {
                service: service.name.clone(),
                key,
                from,
                seen_at: now,
            };
            self.unreported.lock().push(failure);
        }
    }

    /// Returns whether failures may still have to be reported to other hosts.
    pub fn has_unreported_failures(&self) -> bool {
        !self.unreported.lock().is_empty()
    }

    /// Tells other hosts of the engines that could not be reached, unless this host's path to the
    /// service has come into doubt since.
    pub fn report_failures(&self) {
        let now = self.dependencies.clock.now();
        let paths = &self.dependencies.paths;
        let mut unreported = self.unreported.lock();
        unreported.retain(|failure| !paths.is_in_doubt(&failure.service));
        let is_due = |failure: &mut Unreported| now - failure.seen_at >= DOUBT_DELAY;
        let due: Vec<Unreported> = unreported.extract_if(.., is_due).collect();
        drop(unreported);
        for failure in due {
            let event = Event::Unreachable(failure.service, failure.key, failure.from);
            self.broadcast(event, Urgency::Urgent);
        }
    }

    /// Forgets the failures of a service's endpoints, which this host's path to them explains.
    pub fn forget_failures(&self, name: &ServiceName) {
        let Some(service) = self.find_service(name) else {
            return;
        };
        let mut state = service.state.lock();
        match &mut state.policy {
            Policy::Engines(planner) => planner.forget_failures(),
            Policy::Plain(balancer) => balancer.forget_failures(),
        }
        self.forget_cold_failures(&mut state);
        drop(state);
        service.changed.notify_waiters();
    }
}
