//! Requests that crash endpoints: detection after a connection breaks, and refusal.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_placement::Failure;
use kumquatdrum_process::liveness::{self, Liveness};
use kumquatdrum_quarantine::{Block, Fingerprint, Incarnation};
use kumquatdrum_registry::Announcement;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::Call;
use crate::Gateway;
use crate::pool::Pick;
use crate::problem::Problem;

/// How long a retry waits for the check of the endpoint that failed.
const INSPECTION_WAIT: Duration = Duration::from_millis(100);
/// The pause before an endpoint that still listens is checked again: a process that ends may close
/// its connections before its listener.
const RECHECK_PAUSE: Duration = Duration::from_millis(50);

impl Call {
    /// Checks whether an endpoint that broke the connection has crashed, which makes the request a
    /// suspect. `had_begun` states whether the first event had arrived. A slow check continues in
    /// the background, so that it does not delay a retry for long.
    pub(super) async fn inspect(&self, pick: &Pick, had_begun: bool) {
        let inspection = Inspection {
            gateway: self.gateway.clone(),
            request: self.attempt_id.clone(),
            fingerprint: self.fingerprint(),
            endpoint: pick.endpoint.clone(),
            incarnation: Incarnation(pick.key.0),
            had_begun,
        };
        let (sender, has_crashed) = oneshot::channel();
        self.gateway.spawn(async move {
            let has_crashed = inspection.check().await;
            // The receiver is gone if the check was slow.
            let _ = sender.send(has_crashed);
            if !has_crashed {
                sleep(RECHECK_PAUSE).await;
                inspection.check().await;
            }
        });
        if let Ok(Ok(true)) = timeout(INSPECTION_WAIT, has_crashed).await {
            pick.record_failure(Failure::Down);
        }
    }

    /// Records that the request has run to completion.
    pub(super) fn record_completion(&self) {
        let quarantine = &self.gateway.quarantine;
        quarantine.record_completion(|| self.fingerprint());
    }

    /// Returns whether the request is to be sent although it is blocked.
    pub(super) fn try_probe(&self) -> bool {
        self.gateway.quarantine.try_probe(|| self.fingerprint())
    }

    /// Waits until the request is blocked. A probe is not.
    pub(super) async fn wait_for_block(&self) -> Problem {
        if self.is_probe {
            return std::future::pending().await;
        }
        let quarantine = &self.gateway.quarantine;
        let block = quarantine.wait_for_block(|| self.fingerprint()).await;
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

/// A check of an endpoint that broke a connection.
struct Inspection {
    gateway: Arc<Gateway>,
    request: String,
    fingerprint: Fingerprint,
    endpoint: Announcement,
    incarnation: Incarnation,
    had_begun: bool,
}

impl Inspection {
    /// Returns whether the endpoint has crashed, and records that in the quarantine.
    async fn check(&self) -> bool {
        let endpoint = &self.endpoint;
        let liveness = liveness::check(endpoint.address).await;
        let is_leaving = self.gateway.endpoints.is_leaving(endpoint);
        let has_crashed = liveness == Liveness::Refusing && !is_leaving;
        info!(self.gateway.logger, "endpoint_inspected"; "event" => "endpoint_inspected",
            "request" => &self.request, "fingerprint" => %self.fingerprint,
            "endpoint" => endpoint.id.as_str(), "address" => %endpoint.address,
            "incarnation" => endpoint.started, "liveness" => ?liveness, "leaving" => is_leaving,
            "had_begun" => self.had_begun, "crashed" => has_crashed);
        if has_crashed {
            let quarantine = &self.gateway.quarantine;
            quarantine.record_crash(self.fingerprint, self.incarnation, self.had_begun);
        }
        has_crashed
    }
}
