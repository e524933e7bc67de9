//! The state machine of one request's life cycle.

use std::time::Duration;

use bytes::Bytes;
use kumquatdrum_types::exchange::{Fault, Stage, Status, Target};
use kumquatdrum_types::{AttemptId, EndpointId, Moment, Refusal};

use super::{Cause, Ending, Input, Output, Policy, Timing};

/// The lowest HTTP status that reports a failure of the endpoint.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Placing,
    Claiming,
    Exchanging,
    Probing,
    Cancelling,
    Ended,
}

#[derive(Debug, Clone)]
struct Attempt {
    target: Target,
    id: AttemptId,
    is_accepted: bool,
    /// Whether the exchange that carried the response has ended.
    is_broken: bool,
    tokens: u64,
}

/// The life cycle of one request.
///
/// ```
/// use kumquatdrum_daemon::lifecycle::{Ending, Lifecycle, Input, Output, Policy, Timing};
/// use kumquatdrum_types::{Moment, Refusal};
///
/// let policy = Policy {
///     deadline: Moment::from_millis(100),
///     is_idempotent: true,
///     has_key: false,
///     is_resumable: true,
///     is_streamed: true,
///     max_attempts: 3,
/// };
/// let mut lifecycle = Lifecycle::new(policy, Timing::default());
/// assert_eq!(lifecycle.start(), vec![Output::Place { excluded: vec![] }]);
/// let late = lifecycle.step(Moment::from_millis(100), Input::Tick);
/// let ending = Ending::NotRun { refusal: Refusal::DeadlineBeforeDispatch, retry_after: None };
/// assert_eq!(late, vec![Output::Withdraw, Output::End(ending)]);
/// ```
#[derive(Debug)]
pub struct Lifecycle {
    policy: Policy,
    timing: Timing,
    phase: Phase,
    attempt: Option<Attempt>,
    dispatches: u32,
    is_claimed: bool,
    /// Whether the attempt belongs to an earlier request with the same key.
    is_attached: bool,
    excluded: Vec<EndpointId>,
    /// Whether part of the response has reached the caller.
    has_delivered: bool,
    /// Whether an attempt is known to have started.
    has_run: bool,
    /// Whether an attempt may have run.
    may_have_run: bool,
    /// The reason why the last endpoint failed the request.
    last_cause: Cause,
    next_probe_at: Moment,
}

impl Lifecycle {
    /// Creates the life cycle of a request that was just admitted.
    pub fn new(policy: Policy, timing: Timing) -> Self {
        Self {
            policy,
            timing,
            phase: Phase::Placing,
            attempt: None,
            dispatches: 0,
            is_claimed: false,
            is_attached: false,
            excluded: Vec::new(),
            has_delivered: false,
            has_run: false,
            may_have_run: false,
            last_cause: Cause::EndpointLost,
            next_probe_at: Moment::NEVER,
        }
    }

    /// Creates the life cycle of a request that follows an attempt of an earlier request with the
    /// same idempotency key. It neither dispatches nor cancels.
    pub fn attach(policy: Policy, timing: Timing, target: Target, id: AttemptId) -> Self {
        let mut lifecycle = Self::new(policy, timing);
        lifecycle.phase = Phase::Probing;
        lifecycle.is_attached = true;
        lifecycle.is_claimed = true;
        lifecycle.may_have_run = true;
        lifecycle.attempt = Some(Attempt {
            target,
            id,
            is_accepted: false,
            is_broken: true,
            tokens: 0,
        });
        lifecycle
    }

    /// Returns the first output.
    pub fn start(&self) -> Vec<Output> {
        match &self.attempt {
            Some(attempt) => vec![Output::Probe(attempt.target.clone(), attempt.id.clone())],
            None => vec![Output::Place {
                excluded: Vec::new(),
            }],
        }
    }

    /// Returns whether the request has ended.
    pub fn has_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns the time by which the next tick must come.
    pub fn next_tick(&self) -> Moment {
        let probe = match self.phase {
            Phase::Exchanging | Phase::Probing if self.policy.is_resumable => self.next_probe_at,
            _ => Moment::NEVER,
        };
        probe.min(self.policy.deadline)
    }

    /// Handles an input and returns the work that follows from it.
    pub fn step(&mut self, now: Moment, input: Input) -> Vec<Output> {
        if self.has_ended() {
            return Vec::new();
        }
        match input {
            Input::CallerGone => self.handle_disconnect(),
            Input::Finished if self.phase != Phase::Placing => self.end(Ending::Finished),
            _ if now >= self.policy.deadline => self.handle_deadline(),
            Input::Placed(target, id) => self.handle_placed(now, target, id),
            Input::Refused(refusal, retry_after) | Input::ClaimRefused(refusal, retry_after) => {
                self.handle_refusal(refusal, retry_after)
            }
            Input::Claimed => {
                self.is_claimed = true;
                self.dispatch(now)
            }
            Input::Accepted => self.record_progress(now, |attempt| attempt.is_accepted = true),
            Input::Progress(tokens) => self.handle_progress(now, tokens),
            Input::Fault(fault) => self.handle_fault(now, fault),
            Input::Probed(status) => self.handle_probed(now, &status),
            Input::Cancelled(status) => self.handle_cancelled(&status),
            Input::Unreachable => self.handle_unreachable(now),
            Input::ReservationLost => self.handle_reservation_loss(),
            Input::RetryDenied => self.give_up(self.last_cause.clone()),
            Input::Finished => Vec::new(),
            Input::Tick => self.tick(now),
        }
    }

    fn handle_placed(&mut self, now: Moment, target: Target, id: AttemptId) -> Vec<Output> {
        self.attempt = Some(Attempt {
            target,
            id,
            is_accepted: false,
            is_broken: false,
            tokens: 0,
        });
        if self.policy.has_key && !self.is_claimed {
            self.phase = Phase::Claiming;
            return vec![Output::Claim];
        }
        self.dispatch(now)
    }

    fn dispatch(&mut self, now: Moment) -> Vec<Output> {
        let Some(attempt) = &self.attempt else {
            return Vec::new();
        };
        let output = Output::Dispatch(attempt.target.clone(), attempt.id.clone());
        self.phase = Phase::Exchanging;
        self.dispatches += 1;
        self.reset_idle_timeout(now);
        vec![output]
    }

    fn handle_refusal(&mut self, refusal: Refusal, retry_after: Option<Duration>) -> Vec<Output> {
        if self.may_have_run || self.has_run {
            return self.give_up(self.last_cause.clone());
        }
        self.end(Ending::NotRun {
            refusal,
            retry_after,
        })
    }

    fn record_progress(&mut self, now: Moment, change: impl FnOnce(&mut Attempt)) -> Vec<Output> {
        if let Some(attempt) = &mut self.attempt {
            change(attempt);
        }
        self.phase = Phase::Exchanging;
        self.reset_idle_timeout(now);
        Vec::new()
    }

    fn handle_progress(&mut self, now: Moment, tokens: u64) -> Vec<Output> {
        self.has_delivered |= self.policy.is_streamed;
        self.record_progress(now, |attempt| {
            attempt.is_accepted = true;
            attempt.tokens = attempt.tokens.max(tokens);
        })
    }

    fn reset_idle_timeout(&mut self, now: Moment) {
        self.next_probe_at = now + self.timing.idle_timeout;
    }

    fn handle_fault(&mut self, now: Moment, fault: Fault) -> Vec<Output> {
        match fault {
            Fault::NotSent => {
                self.exclude_endpoint();
                self.place_again()
            }
            Fault::NotStarted => self.retry_elsewhere(),
            Fault::Rejected { status, body } => self.handle_rejection(status, body),
            Fault::Broken | Fault::WrongAttempt if self.policy.is_resumable => {
                if let Some(attempt) = &mut self.attempt {
                    attempt.is_broken = true;
                }
                self.probe(now)
            }
            Fault::Broken | Fault::WrongAttempt => {
                self.may_have_run = true;
                self.retry_if_idempotent()
            }
        }
    }

    fn handle_rejection(&mut self, status: u16, body: Bytes) -> Vec<Output> {
        self.has_run = true;
        self.last_cause = Cause::Rejected { status, body };
        if status >= MIN_SERVER_ERROR_STATUS {
            return self.retry_if_idempotent();
        }
        self.give_up(self.last_cause.clone())
    }

    /// Resumes the response if its connection has ended or lags behind the attempt's status.
    fn resume_if_stalled(&mut self, attempt: &Attempt, status: &Status) -> Vec<Output> {
        let is_connected = attempt.is_accepted && !attempt.is_broken;
        let is_finished = status.state == Stage::Finished;
        if is_connected && !is_finished && status.tokens <= attempt.tokens {
            return Vec::new();
        }
        if let Some(attempt) = &mut self.attempt {
            attempt.is_broken = false;
        }
        vec![Output::Resume(
            attempt.target.clone(),
            attempt.id.clone(),
            attempt.tokens,
        )]
    }

    fn probe(&mut self, now: Moment) -> Vec<Output> {
        let Some(attempt) = &self.attempt else {
            return Vec::new();
        };
        let output = Output::Probe(attempt.target.clone(), attempt.id.clone());
        self.phase = Phase::Probing;
        self.next_probe_at = now + self.timing.alive_interval;
        vec![output]
    }

    fn handle_probed(&mut self, now: Moment, status: &Status) -> Vec<Output> {
        let Some(attempt) = self.attempt.clone() else {
            return Vec::new();
        };
        if self.phase != Phase::Probing {
            // The old exchange made progress while the probe was in flight.
            return Vec::new();
        }
        if status.boot != attempt.target.boot {
            self.may_have_run = true;
            return self.retry_if_idempotent();
        }
        match status.state {
            Stage::NeverSeen if self.is_attached => self.give_up(Cause::EndpointLost),
            Stage::NeverSeen => {
                // The dispatch may still arrive; the cancel prevents it from starting.
                self.phase = Phase::Cancelling;
                vec![Output::Cancel(attempt.target, attempt.id)]
            }
            Stage::Waiting | Stage::Running | Stage::Finished => {
                self.phase = Phase::Exchanging;
                self.next_probe_at = now + self.timing.alive_interval;
                self.resume_if_stalled(&attempt, status)
            }
            Stage::Failed | Stage::Cancelled => {
                self.may_have_run = true;
                self.retry_if_idempotent()
            }
        }
    }

    fn handle_cancelled(&mut self, status: &Status) -> Vec<Output> {
        let is_same_boot = self
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.target.boot == status.boot);
        match status.state {
            _ if self.phase != Phase::Cancelling => Vec::new(),
            // Only the connection failed, so the engine isn't excluded.
            Stage::NeverSeen | Stage::Cancelled if is_same_boot && !status.started => {
                self.attempt = None;
                self.place_again()
            }
            _ => {
                self.may_have_run = true;
                self.retry_if_idempotent()
            }
        }
    }

    fn handle_reservation_loss(&mut self) -> Vec<Output> {
        let Some(attempt) = self.attempt.clone() else {
            return Vec::new();
        };
        self.may_have_run = true;
        let mut outputs = vec![Output::Abandon(attempt.target, attempt.id)];
        outputs.extend(self.retry_if_idempotent());
        outputs
    }

    fn handle_unreachable(&mut self, now: Moment) -> Vec<Output> {
        if self.phase != Phase::Probing && self.phase != Phase::Cancelling {
            return Vec::new();
        }
        let can_move = self.policy.is_idempotent && !self.has_delivered && !self.is_attached;
        let Some(attempt) = self.attempt.clone() else {
            return Vec::new();
        };
        if can_move && self.dispatches < self.policy.max_attempts {
            self.may_have_run = true;
            let mut outputs = vec![Output::Abandon(attempt.target, attempt.id)];
            outputs.extend(self.retry_elsewhere());
            return outputs;
        }
        self.phase = Phase::Probing;
        self.next_probe_at = now + self.timing.unreachable_interval;
        Vec::new()
    }

    fn exclude_endpoint(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.has_run |= attempt.is_accepted;
            self.excluded.push(attempt.target.endpoint);
        }
    }

    /// Places the request again without using the retry budget, because the last attempt never
    /// started.
    fn place_again(&mut self) -> Vec<Output> {
        if self.dispatches >= self.policy.max_attempts {
            return self.give_up(self.last_cause.clone());
        }
        self.phase = Phase::Placing;
        vec![Output::Place {
            excluded: self.excluded.clone(),
        }]
    }

    /// Retries at another endpoint. The last attempt must not have run, or the request must be
    /// idempotent.
    fn retry_elsewhere(&mut self) -> Vec<Output> {
        self.exclude_endpoint();
        if self.dispatches >= self.policy.max_attempts {
            return self.give_up(self.last_cause.clone());
        }
        self.phase = Phase::Placing;
        vec![Output::Retry {
            excluded: self.excluded.clone(),
        }]
    }

    fn retry_if_idempotent(&mut self) -> Vec<Output> {
        if self.policy.is_idempotent && !self.has_delivered && !self.is_attached {
            return self.retry_elsewhere();
        }
        self.give_up(self.last_cause.clone())
    }

    fn give_up(&mut self, cause: Cause) -> Vec<Output> {
        let is_accepted = self.attempt.as_ref().is_some_and(|a| a.is_accepted);
        let is_sent = self.may_have_run || self.attempt.is_some();
        let ending = match cause {
            cause if self.has_run || self.has_delivered || is_accepted => Ending::Failed(cause),
            cause if is_sent => Ending::Unknown(cause),
            _ => Ending::NotRun {
                refusal: Refusal::NoEndpoint,
                retry_after: Refusal::NoEndpoint.default_retry_after(),
            },
        };
        self.end(ending)
    }

    fn handle_deadline(&mut self) -> Vec<Output> {
        match (self.phase, self.attempt.clone()) {
            (Phase::Placing | Phase::Claiming, _) if !self.may_have_run && !self.has_run => {
                let mut outputs = vec![Output::Withdraw];
                outputs.extend(self.end(Ending::NotRun {
                    refusal: Refusal::DeadlineBeforeDispatch,
                    retry_after: None,
                }));
                outputs
            }
            (Phase::Placing | Phase::Claiming, _) | (_, None) => {
                self.attempt = None;
                let mut outputs = vec![Output::Withdraw];
                outputs.extend(self.give_up(Cause::Deadline));
                outputs
            }
            (_, Some(_)) if self.is_attached => self.give_up(Cause::Deadline),
            (_, Some(attempt)) => {
                let mut outputs = vec![Output::Abandon(attempt.target, attempt.id)];
                outputs.extend(self.give_up(Cause::Deadline));
                outputs
            }
        }
    }

    fn handle_disconnect(&mut self) -> Vec<Output> {
        let mut outputs = match (self.phase, self.attempt.clone()) {
            (Phase::Placing | Phase::Claiming, _) | (_, None) => vec![Output::Withdraw],
            _ if self.is_attached => Vec::new(),
            // A request with an idempotency key continues, so that a retry receives its response.
            _ if self.policy.has_key => return Vec::new(),
            (_, Some(attempt)) => vec![Output::Abandon(attempt.target, attempt.id)],
        };
        outputs.extend(self.end(Ending::CallerGone));
        outputs
    }

    fn tick(&mut self, now: Moment) -> Vec<Output> {
        match self.phase {
            Phase::Exchanging | Phase::Probing
                if self.policy.is_resumable && now >= self.next_probe_at =>
            {
                self.probe(now)
            }
            _ => Vec::new(),
        }
    }

    fn end(&mut self, ending: Ending) -> Vec<Output> {
        self.phase = Phase::Ended;
        vec![Output::End(ending)]
    }
}
