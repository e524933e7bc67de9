//! Engines that could not be reached, as seen by this and other hosts.

use kumquatdrum_fanout::Urgency;
use kumquatdrum_placement::{DataCentreKey, EndpointKey};
use slog::info;

use super::{Policy, Pool, Service, State};
use crate::message::Event;

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
        let endpoint = state.directory.get(&key);
        info!(self.dependencies.logger, "endpoint_suspected"; "event" => "endpoint_suspected",
            "endpoint" => endpoint.map_or("unknown", |endpoint| endpoint.id.as_str()),
            "seen_by" => ?witness);
        if witness == Witness::Local {
            let event = Event::Unreachable(service.name.clone(), key, from);
            self.broadcast(event, Urgency::Urgent);
        }
    }
}
