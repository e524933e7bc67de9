//! Idempotency keys: claimed in the replicated log before dispatch and settled after the end.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use kumquatdrum_caller::admission::Problem;
use kumquatdrum_daemon::lifecycle::Ending;
use kumquatdrum_setup::claim::Holder;
use kumquatdrum_setup::{AttemptStatus, Claim, ClaimAnswer, Failure, Settlement};
use kumquatdrum_types::exchange::{Stage, Target};
use kumquatdrum_types::{
    AttemptId, FailureClass, IdempotencyKey, Moment, Refusal, RequestId, ServiceName, WorkspaceName,
};
use tokio::time::{Instant, sleep, timeout};

use crate::context::Context;

/// The initial backoff of a claim or settlement whose outcome is unknown.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// How long a settlement can delay the last reply to the caller.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a claim or settlement is retried.
const RETRY_PERIOD: Duration = Duration::from_secs(24 * 3_600);
/// The maximum number of attempts per request that are searched for at engines.
const MAX_PROBED_ATTEMPTS: u32 = 4;

/// The idempotency key of one request with its claim.
#[derive(Debug, Clone)]
pub struct Key {
    /// The claim for the log; its attempt is the id of the request.
    pub claim: Claim,
    /// The service, used to find the attempt of an earlier request.
    pub service: ServiceName,
    /// Whether the service's endpoints support probes.
    pub is_resumable: bool,
}

/// The outcome of a claim.
#[derive(Debug)]
pub enum Outcome {
    /// The key is claimed, so the request can be dispatched.
    Granted,
    /// The claim failed or is being released.
    Refused(Refusal, Option<Duration>),
    /// The request follows this attempt of an earlier request with the same key.
    Follow(Target, AttemptId),
    /// The request ends with this problem.
    Problem(Problem),
}

impl Key {
    /// Claims the key. If the outcome in the log is unknown, the request is refused and the claim
    /// is released in the background.
    pub async fn claim(self, context: &Arc<Context>, deadline: Moment) -> Outcome {
        let time_left = deadline - context.clock.now();
        let claims = vec![self.claim.clone()];
        match timeout(time_left, context.control.claim(claims)).await {
            Ok(Ok(answers)) => {
                self.handle_answer(context, answers.into_iter().next())
                    .await
            }
            Ok(Err(Failure::Unavailable | Failure::NotLeader { .. })) => {
                Outcome::Refused(Refusal::ClaimUnavailable, None)
            }
            Ok(Err(_)) | Err(_) => {
                self.release(context);
                Outcome::Refused(Refusal::ClaimUnavailable, None)
            }
        }
    }

    async fn handle_answer(&self, context: &Arc<Context>, answer: Option<ClaimAnswer>) -> Outcome {
        match answer {
            Some(ClaimAnswer::Granted) => Outcome::Granted,
            Some(ClaimAnswer::Held(holder)) => self.handle_held(context, holder).await,
            Some(ClaimAnswer::Mismatch) => Outcome::Problem(build_problem(
                "key_mismatch",
                422,
                FailureClass::NotRun,
                "the idempotency key belongs to another request",
            )),
            Some(ClaimAnswer::Full) | None => Outcome::Refused(Refusal::ClaimUnavailable, None),
        }
    }

    /// Follows the earlier request's attempt if an engine still holds it.
    async fn handle_held(&self, context: &Arc<Context>, holder: Holder) -> Outcome {
        let followed = match holder.settled {
            AttemptStatus::NotRun => return Outcome::Refused(Refusal::ClaimUnavailable, None),
            _ if !self.is_resumable => None,
            _ => self.find_attempt(context, &holder.attempt).await,
        };
        match followed {
            Some((target, attempt)) => Outcome::Follow(target, attempt),
            None => Outcome::Problem(build_key_problem(self.settle_if_orphaned(context, &holder))),
        }
    }

    /// Settles a running claim as unknown if its host is dead: no engine holds the attempt, so its
    /// outcome can't be determined. Returns the resulting status.
    fn settle_if_orphaned(&self, context: &Arc<Context>, holder: &Holder) -> AttemptStatus {
        let is_orphan = !context.members.live_hosts().contains(&holder.host);
        if holder.settled != AttemptStatus::Running || !is_orphan {
            return holder.settled;
        }
        let mut orphan = self.clone();
        orphan.claim.attempt = holder.attempt.clone();
        let shared = Arc::clone(context);
        context.requests.spawn(async move {
            orphan
                .settle_with_retries(&shared, AttemptStatus::Unknown)
                .await;
        });
        AttemptStatus::Unknown
    }

    async fn find_attempt(
        &self,
        context: &Context,
        request: &AttemptId,
    ) -> Option<(Target, AttemptId)> {
        let targets = context.routers.targets(&self.service);
        let pairs = targets.iter().flat_map(|target| {
            (0..MAX_PROBED_ATTEMPTS).map(move |number| {
                let attempt = AttemptId::new(format!("{request}.k{number}"));
                (target.clone(), attempt)
            })
        });
        let probes = pairs.map(|(target, attempt)| async move {
            let status = context.engine.probe(&target, &attempt).await.ok()?;
            let is_held = matches!(
                status.state,
                Stage::Waiting | Stage::Running | Stage::Finished
            );
            is_held.then_some((target, attempt))
        });
        join_all(probes).await.into_iter().flatten().next()
    }

    /// Settles the key in the log. Waits for a short time, then continues in the background.
    pub async fn settle(self, context: &Arc<Context>, ending: &Ending) {
        let settled = match ending {
            Ending::Finished => AttemptStatus::Finished,
            Ending::NotRun {
                refusal: Refusal::ClaimUnavailable,
                ..
            } => return,
            Ending::NotRun { .. } => AttemptStatus::NotRun,
            Ending::Failed(_) | Ending::Unknown(_) | Ending::CallerGone => AttemptStatus::Unknown,
        };
        let task = context.requests.spawn({
            let context = Arc::clone(context);
            async move { self.settle_with_retries(&context, settled).await }
        });
        let _ = timeout(SETTLE_TIMEOUT, task).await;
    }

    async fn settle_with_retries(self, context: &Context, settled: AttemptStatus) {
        let settlement = Settlement {
            workspace: self.claim.workspace.clone(),
            key: self.claim.key.clone(),
            attempt: self.claim.attempt.clone(),
            by: context.settings.host.clone(),
            settled,
        };
        let mut backoff = Backoff::new();
        while backoff.wait(context).await {
            if context
                .control
                .settle(vec![settlement.clone()])
                .await
                .is_ok()
            {
                return;
            }
        }
        slog::warn!(context.logger, ""; "event" => "settlement_lost",
            "request" => %self.claim.attempt);
    }

    /// Releases a claim that may be in the log although nothing was dispatched: repeats the claim
    /// until it is confirmed, then settles it as not run.
    pub fn release(self, context: &Arc<Context>) {
        let shared = Arc::clone(context);
        context.requests.spawn(async move {
            let mut backoff = Backoff::new();
            while backoff.wait(&shared).await {
                if shared.control.claim(vec![self.claim.clone()]).await.is_ok() {
                    return self
                        .settle_with_retries(&shared, AttemptStatus::NotRun)
                        .await;
                }
            }
        });
    }
}

/// Backoff of claims and settlements: retries through a long partition, but only a few times during
/// a shutdown.
struct Backoff {
    until: Instant,
    delay: Duration,
    shutdown_retries: u32,
}

impl Backoff {
    fn new() -> Self {
        Self {
            until: Instant::now() + RETRY_PERIOD,
            delay: Duration::ZERO,
            shutdown_retries: 3,
        }
    }

    /// Waits until the next retry is due. Returns `false` if retries are exhausted.
    async fn wait(&mut self, context: &Context) -> bool {
        if context.drain.is_draining() {
            self.delay = self.delay.min(INITIAL_BACKOFF);
            self.shutdown_retries = self.shutdown_retries.saturating_sub(1);
        }
        sleep(self.delay).await;
        self.delay = (self.delay * 2).clamp(INITIAL_BACKOFF, MAX_BACKOFF);
        Instant::now() < self.until && self.shutdown_retries > 0
    }
}

/// Returns the problem for a key whose earlier request can't be followed.
fn build_key_problem(settled: AttemptStatus) -> Problem {
    match settled {
        AttemptStatus::Finished => build_problem(
            "key_finished",
            409,
            FailureClass::Failed,
            "the key's request ran to its end; its answer is no longer held",
        ),
        AttemptStatus::Running => {
            let mut problem = build_problem(
                "key_running",
                409,
                FailureClass::Unknown,
                "the key's request was dispatched and is not settled yet",
            );
            problem.retry_after_ms = Some(1_000);
            problem
        }
        AttemptStatus::NotRun | AttemptStatus::Unknown => build_problem(
            "key_unknown",
            409,
            FailureClass::Unknown,
            "the key's request was dispatched, and what became of it could not be learnt",
        ),
    }
}

/// Replaces a "not run" problem if an earlier request with the same key may have run.
pub async fn reconcile_problem(
    context: &Context,
    workspace: &WorkspaceName,
    key: &IdempotencyKey,
    problem: Problem,
) -> Problem {
    let unclaimed = kumquatdrum_caller::admission::code(Refusal::ClaimUnavailable);
    if problem.class != FailureClass::NotRun || problem.code == unclaimed {
        return problem;
    }
    match context.control.key(workspace, key).await {
        Ok(None) => problem,
        Ok(Some(holder)) if holder.settled == AttemptStatus::NotRun => problem,
        Ok(Some(holder)) => build_key_problem(holder.settled),
        Err(_) => Problem::refused(Refusal::ClaimUnavailable, None, problem.request),
    }
}

fn build_problem(code: &str, status: u16, class: FailureClass, message: &str) -> Problem {
    Problem {
        code: code.to_owned(),
        class,
        message: message.to_owned(),
        retry_after_ms: None,
        request: None::<RequestId>,
        status,
        relayed: None,
    }
}
