//! Requests that crash endpoints: detection after a connection breaks, and refusal.

use std::pin::Pin;

use kumquatdrum_placement::Failure;
use kumquatdrum_process::Inspection;
use kumquatdrum_quarantine::{Block, Subject};
use kumquatdrum_types::Moment;
use slog::info;

use super::Call;
use crate::pool::Pick;
use crate::problem::{Blocked, Problem};

impl Call {
    /// Checks whether an endpoint that broke the connection has crashed, which makes the request a
    /// suspect. `begun_at` is when the first event of this endpoint arrived. Returns whether the
    /// endpoint is known to have crashed.
    pub(super) async fn inspect(&self, pick: &Pick, begun_at: Option<Moment>) -> bool {
        let gateway = self.gateway.clone();
        let endpoint = pick.endpoint.clone();
        let confirm = {
            let (gateway, endpoint) = (gateway.clone(), endpoint.clone());
            move || -> Pin<Box<dyn Future<Output = bool> + Send>> {
                let (gateway, endpoint) = (gateway.clone(), endpoint.clone());
                Box::pin(async move { gateway.is_down_elsewhere(&endpoint).await })
            }
        };
        let now = gateway.clock.now();
        self.log_in_flight(pick);
        let inspection = Inspection {
            request: self.attempt_id.clone(),
            identity: self.identity().clone(),
            endpoint: endpoint.id.clone(),
            address: endpoint.address,
            incarnation: endpoint.started,
            begun: begun_at.map(|begun_at| now - begun_at),
            is_leaving: Box::new(move || gateway.endpoints.is_leaving(&endpoint)),
            confirm: Box::new(confirm),
            quarantine: self.gateway.quarantine.clone(),
            logger: self.gateway.logger.clone(),
        };
        let has_crashed = inspection.run(|task| self.gateway.spawn(task)).await;
        if has_crashed {
            pick.record_failure(Failure::Down);
        }
        has_crashed
    }

    /// Logs the parts of the prompt, so that those in flight at several crashes can be told.
    fn log_in_flight(&self, pick: &Pick) {
        let prompt = self.gateway.protocol.parse_prompt(&self.head.headers);
        let parts: Vec<String> = prompt.parts.iter().map(ToString::to_string).collect();
        info!(self.gateway.logger, "in_flight"; "event" => "in_flight",
            "request" => &self.attempt_id, "endpoint" => pick.endpoint.id.as_str(),
            "parts" => parts.join(","));
    }

    /// Records an answer that ended with its connection: the endpoint may have crashed, which only
    /// matters while there are suspects.
    pub(super) async fn record_unknown_end(&self, pick: &Pick, begun_at: Option<Moment>) {
        let has_suspects = !self.gateway.quarantine.is_empty();
        if has_suspects && !self.inspect(pick, begun_at).await {
            self.record_completion();
        }
    }

    /// Records that the request has run to completion.
    pub(super) fn record_completion(&self) {
        let quarantine = &self.gateway.quarantine;
        quarantine.record_completion(|| self.identity().clone());
    }

    /// Records that an endpoint has survived the parts of the prompt.
    pub(super) fn record_survival(&self) {
        let quarantine = &self.gateway.quarantine;
        quarantine.record_survival(|| self.identity().clone());
    }

    /// Returns whether the request is to be sent although it is blocked.
    pub(super) fn try_probe(&self) -> bool {
        let quarantine = &self.gateway.quarantine;
        quarantine.try_probe(|| self.identity().clone())
    }

    /// Waits until the request is blocked. A probe is not.
    pub(super) async fn wait_for_block(&self) -> Problem {
        if self.is_probe {
            return std::future::pending().await;
        }
        let quarantine = &self.gateway.quarantine;
        let block = quarantine.wait_for_block(|| self.identity().clone()).await;
        self.to_problem(&block)
    }

    /// Returns an error if the request must not be sent for the first time.
    pub(super) fn check_send(&self) -> Result<(), Problem> {
        if self.is_probe {
            return Ok(());
        }
        self.check_block()
    }

    /// Returns an error if the request is blocked.
    pub(super) fn check_block(&self) -> Result<(), Problem> {
        let block = self.gateway.quarantine.block(|| self.identity().clone());
        block.map_or(Ok(()), |block| Err(self.to_problem(&block)))
    }

    fn to_problem(&self, block: &Block) -> Problem {
        let part = match block.subject {
            Subject::Part(fingerprint) => self.find_part(fingerprint),
            Subject::Request(_) => None,
        };
        let fingerprint = block.subject.fingerprint();
        let blocked = part.map_or(Blocked::Request(fingerprint), Blocked::Part);
        Problem::Blocked {
            blocked,
            crashes: block.crashes,
            retry_after: block.remaining,
        }
    }
}
