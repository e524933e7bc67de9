//! Detection of endpoint crashes after a connection breaks.

use kumquatdrum_daemon::lifecycle::Input;
use kumquatdrum_process::Inspection;
use kumquatdrum_quarantine::{Fingerprint, Identity};
use kumquatdrum_types::AttemptId;
use kumquatdrum_types::exchange::Target;

use super::{Driver, Job};

impl Job {
    /// Returns the request's identity across attempts and hosts. Prompts name no parts here.
    pub(super) fn identity(&self) -> Identity {
        let submission = &self.submission;
        let workspace = Some(&self.workspace);
        let request = Fingerprint::of(
            &submission.method,
            &submission.path,
            workspace,
            &submission.body,
        );
        Identity::new(request, workspace, Vec::new())
    }
}

impl Driver {
    /// Returns whether the request is to be sent although it is blocked.
    pub(super) fn try_probe(&self) -> bool {
        let quarantine = &self.context.quarantine;
        quarantine.try_probe(|| self.job.identity())
    }

    /// Requests the attempt's status. An engine that can't be reached is checked for a crash.
    pub(super) fn probe(&mut self, target: &Target, attempt: &AttemptId) {
        let probe = self.context.engine.probe(target, attempt);
        let inspection = self.inspect(target);
        self.start_operation(async move {
            if let Ok(status) = probe.await {
                return Input::Probed(status);
            }
            inspection.await;
            Input::Unreachable
        });
    }

    /// Returns the check of an endpoint, which begins when it is awaited.
    fn inspect(&self, target: &Target) -> impl Future<Output = ()> + use<> {
        let members = self.context.members.clone();
        let requests = self.context.requests.clone();
        let Target { endpoint, boot, .. } = target.clone();
        let begun_at = self.first_token_at.filter(|_| self.received > 0);
        let inspection = Inspection {
            request: self.job.request.to_string(),
            identity: self.job.identity(),
            endpoint: endpoint.clone(),
            address: target.address,
            incarnation: boot.0,
            begun: begun_at.map(|begun_at| self.context.clock.now() - begun_at),
            is_leaving: Box::new(move || !members.is_staying(&endpoint, boot)),
            confirm: Box::new(|| Box::pin(std::future::ready(true))),
            quarantine: self.context.quarantine.clone(),
            logger: self.context.logger.clone(),
        };
        async move {
            inspection.run(|task| drop(requests.spawn(task))).await;
        }
    }

    /// Checks the endpoint of the current attempt before the life cycle gets `input`.
    pub(super) fn inspect_before(&mut self, input: Input) {
        let inspection = self.target.as_ref().map(|target| self.inspect(target));
        self.start_operation(async move {
            if let Some(inspection) = inspection {
                inspection.await;
            }
            input
        });
    }
}
