//! Idempotency keys: claimed in the replicated log before the dispatch, settled after the end.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use kumquatdrum_caller::admission::Problem;
use kumquatdrum_daemon::flight::Ending;
use kumquatdrum_setup::claim::Holder;
use kumquatdrum_setup::{AttemptStatus, Claim, ClaimAnswer, Failure, Settlement};
use kumquatdrum_types::exchange::{Stage, Target};
use kumquatdrum_types::{
    AttemptId, FailureClass, IdempotencyKey, Moment, Refusal, RequestId, ServiceName, WorkspaceName,
};
use tokio::time::{Instant, sleep, timeout};

use crate::shell::Shell;

/// The wait before a claim or settlement whose outcome is unknown is sent again, at first.
const FIRST_WAIT: Duration = Duration::from_millis(100);
const LONGEST_WAIT: Duration = Duration::from_secs(5);
/// How long a settlement may hold up the last word.
const SETTLE_BEFORE_ANSWER: Duration = Duration::from_millis(500);
/// How long a settlement is tried in all.
const SETTLE_FOR: Duration = Duration::from_secs(24 * 3_600);
/// Attempts of one request that an engine may know.
const ATTEMPTS: u32 = 4;

/// One request's key with what its claim needs.
#[derive(Debug, Clone)]
pub struct Key {
    /// The claim as it goes into the log; its attempt is the request's name.
    pub claim: Claim,
    /// The service, to look for the attempt of an earlier request.
    pub service: ServiceName,
    /// Whether engines can be asked about attempts.
    pub resumable: bool,
}

/// What a claim came to.
#[derive(Debug)]
pub enum Claimed {
    /// The request may be dispatched.
    Granted,
    /// It is certain that the claim doesn't stand.
    Refused(Refusal, Option<Duration>),
    /// An earlier request with the key runs or has run there.
    Follow(Target, AttemptId),
    /// The caller is to be told this.
    Told(Problem),
}

impl Key {
    /// Claims the key. Where the log gives no answer nothing is dispatched, and the caller is told
    /// so at once; a claim that may stand all the same is freed on the side.
    pub async fn claim(self, shell: &Arc<Shell>, deadline: Moment) -> Claimed {
        let left = deadline - shell.clock.now();
        let claims = vec![self.claim.clone()];
        match timeout(left, shell.control.claim(claims)).await {
            Ok(Ok(answers)) => self.answered(shell, answers.into_iter().next()).await,
            Ok(Err(Failure::Unavailable | Failure::NotLeader { .. })) => {
                Claimed::Refused(Refusal::ClaimUnavailable, None)
            }
            Ok(Err(_)) | Err(_) => {
                self.free(shell);
                Claimed::Refused(Refusal::ClaimUnavailable, None)
            }
        }
    }

    async fn answered(&self, shell: &Arc<Shell>, answer: Option<ClaimAnswer>) -> Claimed {
        match answer {
            Some(ClaimAnswer::Granted) => Claimed::Granted,
            Some(ClaimAnswer::Held(held)) => self.held(shell, held).await,
            Some(ClaimAnswer::Mismatch) => Claimed::Told(told(
                "key_mismatch",
                422,
                FailureClass::NotRun,
                "the idempotency key belongs to another request",
            )),
            Some(ClaimAnswer::Full) | None => Claimed::Refused(Refusal::ClaimUnavailable, None),
        }
    }

    /// The key's earlier request is looked for at the engines.
    async fn held(&self, shell: &Arc<Shell>, held: Holder) -> Claimed {
        let followed = match held.settled {
            AttemptStatus::NotRun => return Claimed::Refused(Refusal::ClaimUnavailable, None),
            _ if !self.resumable => None,
            _ => self.seek(shell, &held.attempt).await,
        };
        match followed {
            Some((target, attempt)) => Claimed::Follow(target, attempt),
            None => Claimed::Told(standing(self.taken_over(shell, &held))),
        }
    }

    /// Where a claim's host is dead and no engine knows the attempt, nobody will ever learn more.
    fn taken_over(&self, shell: &Arc<Shell>, held: &Holder) -> AttemptStatus {
        let is_orphan = !shell.members.live_hosts().contains(&held.host);
        if held.settled != AttemptStatus::Running || !is_orphan {
            return held.settled;
        }
        let mut orphan = self.clone();
        orphan.claim.attempt = held.attempt.clone();
        let shared = Arc::clone(shell);
        shell.requests.spawn(async move {
            orphan.keep_settling(&shared, AttemptStatus::Unknown).await;
        });
        AttemptStatus::Unknown
    }

    async fn seek(&self, shell: &Shell, request: &AttemptId) -> Option<(Target, AttemptId)> {
        let targets = shell.fleet.targets(&self.service);
        let pairs = targets.iter().flat_map(|target| {
            (0..ATTEMPTS).map(move |number| {
                let attempt = AttemptId::new(format!("{request}.k{number}"));
                (target.clone(), attempt)
            })
        });
        let asked = pairs.map(|(target, attempt)| async move {
            let standing = shell.engine.probe(&target, &attempt).await.ok()?;
            let lives = matches!(
                standing.state,
                Stage::Waiting | Stage::Running | Stage::Finished
            );
            lives.then_some((target, attempt))
        });
        join_all(asked).await.into_iter().flatten().next()
    }

    /// Tells the log how the request ended, before the caller is told where that is quick.
    pub async fn settle(self, shell: &Arc<Shell>, ending: &Ending) {
        let settled = match ending {
            Ending::Finished => AttemptStatus::Finished,
            Ending::NotRun {
                refusal: Refusal::ClaimUnavailable,
                ..
            } => return,
            Ending::NotRun { .. } => AttemptStatus::NotRun,
            Ending::Failed(_) | Ending::Unknown(_) | Ending::CallerGone => AttemptStatus::Unknown,
        };
        let job = shell.requests.spawn({
            let shell = Arc::clone(shell);
            async move { self.keep_settling(&shell, settled).await }
        });
        let _ = timeout(SETTLE_BEFORE_ANSWER, job).await;
    }

    async fn keep_settling(self, shell: &Shell, settled: AttemptStatus) {
        let settlement = Settlement {
            workspace: self.claim.workspace.clone(),
            key: self.claim.key.clone(),
            attempt: self.claim.attempt.clone(),
            by: shell.settings.host.clone(),
            settled,
        };
        let mut patience = Patience::new();
        while patience.lasts(shell).await {
            if shell.control.settle(vec![settlement.clone()]).await.is_ok() {
                return;
            }
        }
        slog::warn!(shell.logger, ""; "event" => "settlement_lost",
            "request" => %self.claim.attempt);
    }

    /// The claim may stand in the log although nothing was or will be dispatched under it: it is
    /// made certain, then settled as not run.
    pub fn free(self, shell: &Arc<Shell>) {
        let shared = Arc::clone(shell);
        shell.requests.spawn(async move {
            let mut patience = Patience::new();
            while patience.lasts(&shared).await {
                if shared.control.claim(vec![self.claim.clone()]).await.is_ok() {
                    return self.keep_settling(&shared, AttemptStatus::NotRun).await;
                }
            }
        });
    }
}

/// How long something is told to the log again and again: through a long partition, and for a few
/// seconds of a shutdown.
struct Patience {
    until: Instant,
    wait: Duration,
    tries_of_shutdown: u32,
}

impl Patience {
    fn new() -> Self {
        Self {
            until: Instant::now() + SETTLE_FOR,
            wait: Duration::ZERO,
            tries_of_shutdown: 3,
        }
    }

    /// Waits until the next try is due; `false` where there should be none.
    async fn lasts(&mut self, shell: &Shell) -> bool {
        if shell.drain.is_draining() {
            self.wait = self.wait.min(FIRST_WAIT);
            self.tries_of_shutdown = self.tries_of_shutdown.saturating_sub(1);
        }
        sleep(self.wait).await;
        self.wait = (self.wait * 2).clamp(FIRST_WAIT, LONGEST_WAIT);
        Instant::now() < self.until && self.tries_of_shutdown > 0
    }
}

/// What a caller is told of a key whose request can't be followed.
fn standing(settled: AttemptStatus) -> Problem {
    match settled {
        AttemptStatus::Finished => told(
            "key_finished",
            409,
            FailureClass::Failed,
            "the key's request ran to its end; its answer is no longer held",
        ),
        AttemptStatus::Running => {
            let mut problem = told(
                "key_running",
                409,
                FailureClass::Unknown,
                "the key's request was dispatched and is not settled yet",
            );
            problem.retry_after_ms = Some(1_000);
            problem
        }
        AttemptStatus::NotRun | AttemptStatus::Unknown => told(
            "key_unknown",
            409,
            FailureClass::Unknown,
            "the key's request was dispatched, and what became of it could not be learnt",
        ),
    }
}

/// What the caller of a keyed request may be told where this sending of it was not run: an
/// earlier sending may have been.
pub async fn checked(
    shell: &Shell,
    workspace: &WorkspaceName,
    key: &IdempotencyKey,
    problem: Problem,
) -> Problem {
    let unclaimed = kumquatdrum_caller::admission::code(Refusal::ClaimUnavailable);
    if problem.class != FailureClass::NotRun || problem.code == unclaimed {
        return problem;
    }
    match shell.control.key(workspace, key).await {
        Ok(None) => problem,
        Ok(Some(held)) if held.settled == AttemptStatus::NotRun => problem,
        Ok(Some(held)) => standing(held.settled),
        Err(_) => Problem::refused(Refusal::ClaimUnavailable, None, problem.request),
    }
}

fn told(code: &str, status: u16, class: FailureClass, message: &str) -> Problem {
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
