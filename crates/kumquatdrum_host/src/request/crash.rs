//! Detection of endpoint crashes after a connection breaks.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_daemon::lifecycle::Input;
use kumquatdrum_process::liveness::{self, Liveness};
use kumquatdrum_quarantine::{Fingerprint, Incarnation};
use kumquatdrum_types::exchange::Target;
use kumquatdrum_types::{AttemptId, RequestId, hash};
use slog::info;
use tokio::time::timeout;

use super::{Driver, Job};
use crate::context::Context;

/// How long a retry waits for the check of the endpoint that failed.
const INSPECTION_WAIT: Duration = Duration::from_millis(100);

/// A check of an endpoint that broke a connection.
pub(super) struct Inspection {
    context: Arc<Context>,
    request: RequestId,
    fingerprint: Fingerprint,
    target: Target,
    had_begun: bool,
}

impl Job {
    /// Returns the request's identity across attempts and hosts.
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let submission = &self.submission;
        let workspace = Some(&self.workspace);
        Fingerprint::of(
            &submission.method,
            &submission.path,
            workspace,
            &submission.body,
        )
    }
}

impl Driver {
    /// Returns whether the request is to be sent although it is blocked.
    pub(super) fn try_probe(&self) -> bool {
        let quarantine = &self.context.quarantine;
        quarantine.try_probe(|| self.job.fingerprint())
    }

    /// Requests the attempt's status. An engine that can't be reached is checked for a crash.
    pub(super) fn probe(&mut self, target: &Target, attempt: &AttemptId) {
        let probe = self.context.engine.probe(target, attempt);
        let inspection = self.inspection(target);
        self.start_operation(async move {
            if let Ok(status) = probe.await {
                return Input::Probed(status);
            }
            inspection.run().await;
            Input::Unreachable
        });
    }

    fn inspection(&self, target: &Target) -> Inspection {
        Inspection {
            context: self.context.clone(),
            request: self.job.request.clone(),
            fingerprint: self.job.fingerprint(),
            target: target.clone(),
            had_begun: self.received > 0,
        }
    }

    /// Checks the endpoint of the current attempt before the life cycle gets `input`.
    pub(super) fn inspect_before(&mut self, input: Input) {
        let inspection = self.target.as_ref().map(|target| self.inspection(target));
        self.start_operation(async move {
            if let Some(inspection) = inspection {
                inspection.run().await;
            }
            input
        });
    }
}

impl Inspection {
    /// Makes the request a suspect if the endpoint has crashed.
    pub(super) async fn run(self) {
        let checked = timeout(INSPECTION_WAIT, liveness::check(self.target.address)).await;
        let liveness = checked.unwrap_or(Liveness::Unknown);
        let Target { endpoint, boot, .. } = &self.target;
        let is_staying = self.context.members.is_staying(endpoint, *boot);
        let has_crashed = liveness == Liveness::Refusing && is_staying;
        info!(self.context.logger, ""; "event" => "endpoint_inspected",
            "request" => %self.request, "fingerprint" => %self.fingerprint,
            "endpoint" => endpoint.as_str(), "boot" => boot.0, "liveness" => ?liveness,
            "leaving" => !is_staying, "had_begun" => self.had_begun, "crashed" => has_crashed);
        if has_crashed {
            let bytes = endpoint.as_str().bytes().chain(boot.0.to_le_bytes());
            let incarnation = Incarnation(hash::extend(hash::OFFSET_BASIS, bytes));
            let quarantine = &self.context.quarantine;
            quarantine.record_crash(self.fingerprint, incarnation, self.had_begun);
        }
    }
}
