//! The end of a request: settlement, metrics, log and last reply.

use std::time::Duration;

use kumquatdrum_caller::Reply;
use kumquatdrum_daemon::lifecycle::Ending;
use kumquatdrum_routing::{self as routing, Failure, Progress};
use kumquatdrum_types::IdempotencyKey;
use slog::info;
use tokio::sync::mpsc;

use super::{ClaimState, Driver};
use crate::key;
use crate::problem;

/// The timeout of the last reply to a slow caller.
const LAST_REPLY_TIMEOUT: Duration = Duration::from_secs(2);

impl Driver {
    pub(super) async fn end(mut self, ending: Ending) {
        self.events = None;
        self.operation = None;
        let progress = match ending {
            Ending::Finished => Progress::Finished(routing::Usage {
                prompt_tokens: self.usage.prompt_tokens,
                output_tokens: self.usage.completion_tokens,
            }),
            Ending::CallerGone => Progress::Failed(Failure::Cancelled),
            _ => Progress::Failed(Failure::Broken),
        };
        self.settle_attempt(progress);
        if matches!(ending, Ending::Finished) {
            let quarantine = &self.context.quarantine;
            quarantine.record_completion(|| self.job.identity());
        }
        self.job.permit.set_used(self.count_used_tokens(&ending));
        let key = self.unclaimed_key();
        self.settle_key(&ending).await;
        self.record_ending(&ending);
        match self.pending.take() {
            Some(reply @ Reply::Problem(_)) => send_last_reply(&self.replies, Some(reply)).await,
            pending => {
                send_last_reply(&self.replies, pending).await;
                let reply = problem::last_reply(ending, &self.job.request);
                let reply = self.reconcile(key, reply).await;
                send_last_reply(&self.replies, reply).await;
            }
        }
    }

    /// Returns the key if this request holds no claim of it.
    fn unclaimed_key(&self) -> Option<IdempotencyKey> {
        let key = self.job.key.as_ref()?;
        (self.claim == ClaimState::None).then(|| key.claim.key.clone())
    }

    async fn reconcile(
        &mut self,
        key: Option<IdempotencyKey>,
        reply: Option<Reply>,
    ) -> Option<Reply> {
        match (key, reply) {
            (Some(key), Some(Reply::Problem(problem))) => {
                let workspace = &self.job.workspace;
                let problem = key::reconcile_problem(&self.context, workspace, &key, problem).await;
                Some(Reply::Problem(problem))
            }
            (_, reply) => reply,
        }
    }

    /// Returns the tokens that count against the workspace's limit.
    fn count_used_tokens(&self, ending: &Ending) -> u64 {
        let counted = self.usage.prompt_tokens + self.usage.completion_tokens;
        match ending {
            Ending::NotRun { .. } => 0,
            _ if counted > 0 => counted,
            _ if self.received == 0 => 0,
            _ => self.job.routing.prompt_tokens + self.received,
        }
    }

    async fn settle_key(&mut self, ending: &Ending) {
        match (self.job.key.take(), self.claim) {
            (Some(key), ClaimState::Granted) => key.settle(&self.context, ending).await,
            (Some(key), ClaimState::InFlight) => key.release(&self.context),
            _ => {}
        }
    }

    fn record_ending(&self, ending: &Ending) {
        let metrics = &self.context.metrics;
        let name = problem::ending_name(ending);
        metrics.in_flight.dec();
        metrics.ended.with_label_values(&[name]).inc();
        if let Ending::NotRun { refusal, .. } = ending {
            let code = kumquatdrum_caller::admission::code(*refusal);
            metrics.refused.with_label_values(&[&code]).inc();
        }
        let endpoint = self
            .target
            .as_ref()
            .map_or("", |target| target.endpoint.as_str());
        info!(self.context.logger, ""; "event" => "request_ended", "request" => %self.job.request,
            "workspace" => %self.job.workspace, "service" => %self.job.service,
            "ending" => name, "attempts" => self.dispatches, "endpoint" => endpoint,
            "prompt_tokens" => self.job.routing.prompt_tokens, "tokens" => self.received,
            "millis" => (self.context.clock.now() - self.arrived).as_millis() as u64);
    }
}

/// Sends the last reply. A caller that doesn't take it in time gets a truncated stream.
async fn send_last_reply(replies: &mpsc::Sender<Reply>, reply: Option<Reply>) {
    if let Some(reply) = reply {
        let _ = replies.send_timeout(reply, LAST_REPLY_TIMEOUT).await;
    }
}
