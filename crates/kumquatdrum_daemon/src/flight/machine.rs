//! The state machine of one request.

use std::time::Duration;

use bytes::Bytes;
use kumquatdrum_types::exchange::{Fault, Stage, Status, Target};
use kumquatdrum_types::{AttemptId, EndpointId, Moment, Refusal};

use super::{Cause, Ending, Input, Output, Plan, Timing};

/// HTTP statuses from here on are the endpoint's own failures.
const SERVER_ERROR: u16 = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Placing,
    Claiming,
    Exchanging,
    Probing,
    Cancelling,
    Over,
}

#[derive(Debug, Clone)]
struct Attempt {
    target: Target,
    id: AttemptId,
    accepted: bool,
    /// The exchange that carried the answer has ended.
    broken: bool,
    tokens: u64,
}

/// One request's state.
///
/// ```
/// use kumquatdrum_daemon::flight::{Ending, Flight, Input, Output, Plan, Timing};
/// use kumquatdrum_types::{Moment, Refusal};
///
/// let plan = Plan {
///     deadline: Moment::from_millis(100),
///     idempotent: true,
///     keyed: false,
///     resumable: true,
///     streamed: true,
///     attempts: 3,
/// };
/// let mut flight = Flight::new(plan, Timing::default());
/// assert_eq!(flight.start(), vec![Output::Place { excluded: vec![] }]);
/// let late = flight.step(Moment::from_millis(100), Input::Tick);
/// let ending = Ending::NotRun { refusal: Refusal::DeadlineBeforeDispatch, retry_after: None };
/// assert_eq!(late, vec![Output::Withdraw, Output::End(ending)]);
/// ```
#[derive(Debug)]
pub struct Flight {
    plan: Plan,
    timing: Timing,
    phase: Phase,
    attempt: Option<Attempt>,
    made: u32,
    claimed: bool,
    /// The attempt belongs to an earlier request.
    follows: bool,
    excluded: Vec<EndpointId>,
    /// Part of the answer has reached the caller.
    delivered: bool,
    /// Some attempt certainly started.
    ran: bool,
    /// Some attempt may have run without a confirmation that it did not.
    may_have_run: bool,
    /// What the last endpoint said when it failed the request.
    last_cause: Cause,
    next_probe: Moment,
}

impl Flight {
    /// A request that was just admitted.
    pub fn new(plan: Plan, timing: Timing) -> Self {
        Self {
            plan,
            timing,
            phase: Phase::Placing,
            attempt: None,
            made: 0,
            claimed: false,
            follows: false,
            excluded: Vec::new(),
            delivered: false,
            ran: false,
            may_have_run: false,
            last_cause: Cause::EndpointLost,
            next_probe: Moment::NEVER,
        }
    }

    /// Follows an attempt that another request with the same idempotency key started. Nothing is
    /// ever dispatched, and the attempt is never cancelled from here.
    pub fn attached(plan: Plan, timing: Timing, target: Target, id: AttemptId) -> Self {
        let mut flight = Self::new(plan, timing);
        flight.phase = Phase::Probing;
        flight.follows = true;
        flight.claimed = true;
        flight.may_have_run = true;
        flight.attempt = Some(Attempt {
            target,
            id,
            accepted: false,
            broken: true,
            tokens: 0,
        });
        flight
    }

    /// The first thing to do.
    pub fn start(&self) -> Vec<Output> {
        match &self.attempt {
            Some(attempt) => vec![Output::Probe(attempt.target.clone(), attempt.id.clone())],
            None => vec![Output::Place {
                excluded: Vec::new(),
            }],
        }
    }

    /// Whether the request is over.
    pub fn is_over(&self) -> bool {
        self.phase == Phase::Over
    }

    /// When the flight wants its next tick at the latest.
    pub fn wake(&self) -> Moment {
        let probe = match self.phase {
            Phase::Exchanging | Phase::Probing if self.plan.resumable => self.next_probe,
            _ => Moment::NEVER,
        };
        probe.min(self.plan.deadline)
    }

    /// Takes in what happened and says what to do next.
    pub fn step(&mut self, now: Moment, input: Input) -> Vec<Output> {
        if self.is_over() {
            return Vec::new();
        }
        match input {
            Input::CallerGone => self.caller_gone(),
            Input::Finished if self.phase != Phase::Placing => self.end(Ending::Finished),
            _ if now >= self.plan.deadline => self.deadline(),
            Input::Placed(target, id) => self.placed(now, target, id),
            Input::Refused(refusal, retry_after) | Input::ClaimRefused(refusal, retry_after) => {
                self.refused(refusal, retry_after)
            }
            Input::Claimed => {
                self.claimed = true;
                self.dispatch(now)
            }
            Input::Accepted => self.progressed(now, |attempt| attempt.accepted = true),
            Input::Progress(tokens) => self.delivered_up_to(now, tokens),
            Input::Fault(fault) => self.fault(now, fault),
            Input::Status(standing) => self.standing(now, &standing),
            Input::Cancelled(standing) => self.cancelled(&standing),
            Input::Unreachable => self.unreachable(now),
            Input::PartLost => self.part_lost(),
            Input::RetryDenied => self.give_up(self.last_cause.clone()),
            Input::Finished => Vec::new(),
            Input::Tick => self.tick(now),
        }
    }

    fn placed(&mut self, now: Moment, target: Target, id: AttemptId) -> Vec<Output> {
        self.attempt = Some(Attempt {
            target,
            id,
            accepted: false,
            broken: false,
            tokens: 0,
        });
        if self.plan.keyed && !self.claimed {
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
        self.made += 1;
        self.touch(now);
        vec![output]
    }

    fn refused(&mut self, refusal: Refusal, retry_after: Option<Duration>) -> Vec<Output> {
        if self.may_have_run || self.ran {
            return self.give_up(self.last_cause.clone());
        }
        self.end(Ending::NotRun {
            refusal,
            retry_after,
        })
    }

    fn progressed(&mut self, now: Moment, change: impl FnOnce(&mut Attempt)) -> Vec<Output> {
        if let Some(attempt) = &mut self.attempt {
            change(attempt);
        }
        self.phase = Phase::Exchanging;
        self.touch(now);
        Vec::new()
    }

    fn delivered_up_to(&mut self, now: Moment, tokens: u64) -> Vec<Output> {
        self.delivered |= self.plan.streamed;
        self.progressed(now, |attempt| {
            attempt.accepted = true;
            attempt.tokens = attempt.tokens.max(tokens);
        })
    }

    fn touch(&mut self, now: Moment) {
        self.next_probe = now + self.timing.quiet;
    }

    fn fault(&mut self, now: Moment, fault: Fault) -> Vec<Output> {
        match fault {
            Fault::NotSent => {
                self.exclude();
                self.place_again()
            }
            Fault::NotStarted => self.elsewhere(),
            Fault::Rejected { status, body } => self.rejected(status, body),
            Fault::Broken | Fault::WrongAttempt if self.plan.resumable => {
                if let Some(attempt) = &mut self.attempt {
                    attempt.broken = true;
                }
                self.probe(now)
            }
            Fault::Broken | Fault::WrongAttempt => {
                self.may_have_run = true;
                self.elsewhere_if_repeatable()
            }
        }
    }

    fn rejected(&mut self, status: u16, body: Bytes) -> Vec<Output> {
        self.ran = true;
        self.last_cause = Cause::Rejected { status, body };
        if status >= SERVER_ERROR {
            return self.elsewhere_if_repeatable();
        }
        self.give_up(self.last_cause.clone())
    }

    /// An engine that is merely slow keeps its connection; one whose connection no longer brings
    /// what it generated gets a new one.
    fn resume_where_cut(&mut self, attempt: &Attempt, standing: &Status) -> Vec<Output> {
        let carries = attempt.accepted && !attempt.broken;
        let ended = standing.state == Stage::Finished;
        if carries && !ended && standing.tokens <= attempt.tokens {
            return Vec::new();
        }
        if let Some(attempt) = &mut self.attempt {
            attempt.broken = false;
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
        self.next_probe = now + self.timing.patience;
        vec![output]
    }

    fn standing(&mut self, now: Moment, standing: &Status) -> Vec<Output> {
        let Some(attempt) = self.attempt.clone() else {
            return Vec::new();
        };
        if self.phase != Phase::Probing {
            // The old exchange moved on while the question was under way.
            return Vec::new();
        }
        if standing.boot != attempt.target.boot {
            self.may_have_run = true;
            return self.elsewhere_if_repeatable();
        }
        match standing.state {
            Stage::NeverSeen if self.follows => self.give_up(Cause::EndpointLost),
            Stage::NeverSeen => {
                // The first copy may still be on its way: the cancel bars it.
                self.phase = Phase::Cancelling;
                vec![Output::Cancel(attempt.target, attempt.id)]
            }
            Stage::Waiting | Stage::Running | Stage::Finished => {
                self.phase = Phase::Exchanging;
                self.next_probe = now + self.timing.patience;
                self.resume_where_cut(&attempt, standing)
            }
            Stage::Failed | Stage::Cancelled => {
                self.may_have_run = true;
                self.elsewhere_if_repeatable()
            }
        }
    }

    fn cancelled(&mut self, standing: &Status) -> Vec<Output> {
        let same_boot = self
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.target.boot == standing.boot);
        match standing.state {
            _ if self.phase != Phase::Cancelling => Vec::new(),
            // The connection was at fault, and the engine is as good as any.
            Stage::NeverSeen | Stage::Cancelled if same_boot && !standing.started => {
                self.attempt = None;
                self.place_again()
            }
            _ => {
                self.may_have_run = true;
                self.elsewhere_if_repeatable()
            }
        }
    }

    fn part_lost(&mut self) -> Vec<Output> {
        let Some(attempt) = self.attempt.clone() else {
            return Vec::new();
        };
        self.may_have_run = true;
        let mut outputs = vec![Output::Abandon(attempt.target, attempt.id)];
        outputs.extend(self.elsewhere_if_repeatable());
        outputs
    }

    fn unreachable(&mut self, now: Moment) -> Vec<Output> {
        if self.phase != Phase::Probing && self.phase != Phase::Cancelling {
            return Vec::new();
        }
        let movable = self.plan.idempotent && !self.delivered && !self.follows;
        let Some(attempt) = self.attempt.clone() else {
            return Vec::new();
        };
        if movable && self.made < self.plan.attempts {
            self.may_have_run = true;
            let mut outputs = vec![Output::Abandon(attempt.target, attempt.id)];
            outputs.extend(self.elsewhere());
            return outputs;
        }
        self.phase = Phase::Probing;
        self.next_probe = now + self.timing.probe_again;
        Vec::new()
    }

    fn exclude(&mut self) {
        if let Some(attempt) = self.attempt.take() {
            self.ran |= attempt.accepted;
            self.excluded.push(attempt.target.endpoint);
        }
    }

    /// No endpoint had any work with the last attempt, so that another one is no retry.
    fn place_again(&mut self) -> Vec<Output> {
        if self.made >= self.plan.attempts {
            return self.give_up(self.last_cause.clone());
        }
        self.phase = Phase::Placing;
        vec![Output::Place {
            excluded: self.excluded.clone(),
        }]
    }

    /// The last attempt certainly did not run, or may be repeated.
    fn elsewhere(&mut self) -> Vec<Output> {
        self.exclude();
        if self.made >= self.plan.attempts {
            return self.give_up(self.last_cause.clone());
        }
        self.phase = Phase::Placing;
        vec![Output::Retry {
            excluded: self.excluded.clone(),
        }]
    }

    fn elsewhere_if_repeatable(&mut self) -> Vec<Output> {
        if self.plan.idempotent && !self.delivered && !self.follows {
            return self.elsewhere();
        }
        self.give_up(self.last_cause.clone())
    }

    fn give_up(&mut self, cause: Cause) -> Vec<Output> {
        let accepted = self.attempt.as_ref().is_some_and(|a| a.accepted);
        let sent = self.may_have_run || self.attempt.is_some();
        let ending = match cause {
            cause if self.ran || self.delivered || accepted => Ending::Failed(cause),
            cause if sent => Ending::Unknown(cause),
            _ => Ending::NotRun {
                refusal: Refusal::NoEndpoint,
                retry_after: Refusal::NoEndpoint.default_retry_after(),
            },
        };
        self.end(ending)
    }

    fn deadline(&mut self) -> Vec<Output> {
        match (self.phase, self.attempt.clone()) {
            (Phase::Placing | Phase::Claiming, _) if !self.may_have_run && !self.ran => {
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
            (_, Some(_)) if self.follows => self.give_up(Cause::Deadline),
            (_, Some(attempt)) => {
                let mut outputs = vec![Output::Abandon(attempt.target, attempt.id)];
                outputs.extend(self.give_up(Cause::Deadline));
                outputs
            }
        }
    }

    fn caller_gone(&mut self) -> Vec<Output> {
        let mut outputs = match (self.phase, self.attempt.clone()) {
            (Phase::Placing | Phase::Claiming, _) | (_, None) => vec![Output::Withdraw],
            _ if self.follows => Vec::new(),
            // The answer to a keyed request is there for the caller's resend.
            _ if self.plan.keyed => return Vec::new(),
            (_, Some(attempt)) => vec![Output::Abandon(attempt.target, attempt.id)],
        };
        outputs.extend(self.end(Ending::CallerGone));
        outputs
    }

    fn tick(&mut self, now: Moment) -> Vec<Output> {
        match self.phase {
            Phase::Exchanging | Phase::Probing if self.plan.resumable && now >= self.next_probe => {
                self.probe(now)
            }
            _ => Vec::new(),
        }
    }

    fn end(&mut self, ending: Ending) -> Vec<Output> {
        self.phase = Phase::Over;
        vec![Output::End(ending)]
    }
}
