//! The end of a request: what is settled, counted, logged and told.

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

/// How long the last word to a slow caller may take.
const LAST_WORD: Duration = Duration::from_secs(2);

impl Driver {
    pub(super) async fn end(mut self, ending: Ending) {
        self.events = None;
        self.question = None;
        let progress = match ending {
            Ending::Finished => Progress::Finished(routing::Usage {
                prompt_tokens: self.usage.prompt_tokens,
                output_tokens: self.usage.completion_tokens,
            }),
            Ending::CallerGone => Progress::Failed(Failure::Cancelled),
            _ => Progress::Failed(Failure::Broken),
        };
        self.settle_attempt(progress);
        self.order.permit.used(self.tokens_used(&ending));
        let key = self.unclaimed_key();
        self.settle_key(&ending).await;
        self.record(&ending);
        match self.pending.take() {
            Some(reply @ Reply::Problem(_)) => last_word(&self.replies, Some(reply)).await,
            pending => {
                last_word(&self.replies, pending).await;
                let reply = problem::last_reply(ending, &self.order.request);
                let reply = self.checked(key, reply).await;
                last_word(&self.replies, reply).await;
            }
        }
    }

    /// The key of a request that made no claim of its own.
    fn unclaimed_key(&self) -> Option<IdempotencyKey> {
        let key = self.order.key.as_ref()?;
        (self.claim == ClaimState::None).then(|| key.claim.key.clone())
    }

    async fn checked(
        &mut self,
        key: Option<IdempotencyKey>,
        reply: Option<Reply>,
    ) -> Option<Reply> {
        match (key, reply) {
            (Some(key), Some(Reply::Problem(problem))) => {
                let workspace = &self.order.workspace;
                let checked = key::checked(&self.shell, workspace, &key, problem).await;
                Some(Reply::Problem(checked))
            }
            (_, reply) => reply,
        }
    }

    /// Tokens that count against the workspace's limit.
    fn tokens_used(&self, ending: &Ending) -> u64 {
        let counted = self.usage.prompt_tokens + self.usage.completion_tokens;
        match ending {
            Ending::NotRun { .. } => 0,
            _ if counted > 0 => counted,
            _ if self.received == 0 => 0,
            _ => self.order.routing.prompt_tokens + self.received,
        }
    }

    async fn settle_key(&mut self, ending: &Ending) {
        match (self.order.key.take(), self.claim) {
            (Some(key), ClaimState::Granted) => key.settle(&self.shell, ending).await,
            (Some(key), ClaimState::Open) => key.free(&self.shell),
            _ => {}
        }
    }

    fn record(&self, ending: &Ending) {
        let metrics = &self.shell.metrics;
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
        info!(self.shell.logger, ""; "event" => "request_ended", "request" => %self.order.request,
            "workspace" => %self.order.workspace, "service" => %self.order.service,
            "ending" => name, "attempts" => self.made, "endpoint" => endpoint,
            "prompt_tokens" => self.order.routing.prompt_tokens, "tokens" => self.received,
            "millis" => (self.shell.clock.now() - self.arrived).as_millis() as u64);
    }
}

/// A slow caller gets its last word within a bound, or a cut stream.
async fn last_word(replies: &mpsc::Sender<Reply>, reply: Option<Reply>) {
    if let Some(reply) = reply {
        let _ = replies.send_timeout(reply, LAST_WORD).await;
    }
}
