//! Requests that crash endpoints: detection after a connection breaks, and refusal.

use kumquatdrum_placement::Failure;
use kumquatdrum_quarantine::{Block, Incarnation};
use slog::info;

use super::Call;
use crate::pool::Pick;
use crate::problem::Problem;
use crate::upstream::{self, Liveness};

impl Call {
    /// Checks whether an endpoint that broke the connection has crashed, which makes the request a
    /// suspect. `had_begun` states whether the first event had arrived.
    pub(super) async fn inspect(&self, pick: &Pick, had_begun: bool) {
        let endpoint = &pick.endpoint;
        let liveness = upstream::check(endpoint.address).await;
        let is_leaving = self.gateway.endpoints.is_leaving(endpoint);
        let has_crashed = liveness == Liveness::Refusing && !is_leaving;
        info!(self.gateway.logger, "endpoint_inspected"; "event" => "endpoint_inspected",
            "request" => &self.attempt_id, "fingerprint" => %self.fingerprint(),
            "endpoint" => endpoint.id.as_str(), "address" => %endpoint.address,
            "incarnation" => endpoint.started, "liveness" => ?liveness, "leaving" => is_leaving,
            "had_begun" => had_begun, "crashed" => has_crashed);
        if has_crashed {
            pick.record_failure(Failure::Down);
            let endpoint = Incarnation(pick.key.0);
            let quarantine = &self.gateway.quarantine;
            quarantine.record_crash(self.fingerprint(), endpoint, had_begun);
        }
    }

    /// Records that the request has run to completion.
    pub(super) fn record_completion(&self) {
        let quarantine = &self.gateway.quarantine;
        quarantine.record_completion(|| self.fingerprint());
    }

    /// Waits until the request is blocked.
    pub(super) async fn wait_for_block(&self) -> Problem {
        let quarantine = &self.gateway.quarantine;
        let block = quarantine.wait_for_block(|| self.fingerprint()).await;
        self.to_problem(&block)
    }

    /// Returns an error if the request is blocked.
    pub(super) fn check_block(&self) -> Result<(), Problem> {
        let block = self.gateway.quarantine.block(|| self.fingerprint());
        block.map_or(Ok(()), |block| Err(self.to_problem(&block)))
    }

    fn to_problem(&self, block: &Block) -> Problem {
        Problem::Blocked {
            fingerprint: self.fingerprint(),
            crashes: block.crashes,
            retry_after: block.remaining,
        }
    }
}
