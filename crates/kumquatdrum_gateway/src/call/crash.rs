//! Detection of endpoint crashes after a connection breaks.

use slog::info;

use super::Call;
use crate::pool::Pick;
use crate::upstream::{self, Liveness};

impl Call {
    /// Checks whether an endpoint that broke the connection has crashed. `has_begun` states whether
    /// the first event had arrived.
    pub(super) async fn inspect(&self, pick: &Pick, has_begun: bool) {
        let endpoint = &pick.endpoint;
        let liveness = upstream::check(endpoint.address).await;
        let is_leaving = self.gateway.endpoints.is_leaving(endpoint);
        info!(self.gateway.logger, "endpoint_inspected"; "event" => "endpoint_inspected",
            "request" => &self.attempt_id, "fingerprint" => %self.fingerprint(),
            "endpoint" => endpoint.id.as_str(), "address" => %endpoint.address,
            "incarnation" => endpoint.started, "liveness" => ?liveness, "leaving" => is_leaving,
            "has_begun" => has_begun, "crashed" => liveness == Liveness::Refusing && !is_leaving);
    }
}
