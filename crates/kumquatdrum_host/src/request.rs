//! Drives the life cycle of one request, in a task of its own.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use futures::StreamExt;
use kumquatdrum_caller::Reply;
use kumquatdrum_daemon::lifecycle::{Input, Lifecycle, Output, Timing};
use kumquatdrum_engine::engine::Events;
use kumquatdrum_quarantine::Block;
use kumquatdrum_routing::{self as routing, Failure, Progress};
use kumquatdrum_types::exchange::{Call, Event, Fault, Target, Usage};
use kumquatdrum_types::{AttemptId, EndpointId, Moment, Refusal};
use slog::debug;
use tokio::sync::{mpsc, oneshot};

use crate::context::Context;
use crate::key;
use crate::routers::{Decision, Placement};

mod claim;
mod crash;
mod ending;
mod job;

pub use job::Job;

/// The header with the id of the reservation whose memory an attempt takes over.
const RESERVATION_HEADER: &str = "x-reservation";

/// A claim, probe, cancel, reservation or retry decision in flight.
type Operation = Pin<Box<dyn Future<Output = Completion> + Send>>;

/// The result of an [`Operation`].
enum Completion {
    Input(Input),
    Claim(key::Outcome),
}

/// An event that a driver waits for.
enum Signal {
    Blocked(Block),
    CallerGone,
    Completed(Completion),
    Decided(Option<Decision>),
    Event(Option<Event>),
    ReservationLost(bool),
    ReplySent,
    Tick,
}

/// The state of this request's claim of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimState {
    /// The log holds no claim.
    None,
    /// The claim is in flight and may be in the log.
    InFlight,
    /// The log holds the claim.
    Granted,
}

/// Drives one request to its end.
pub struct Driver {
    context: Arc<Context>,
    job: Job,
    lifecycle: Lifecycle,
    replies: mpsc::Sender<Reply>,
    pending: Option<Reply>,
    placement: Option<oneshot::Receiver<Decision>>,
    operation: Option<Operation>,
    events: Option<Events>,
    /// The router's number for the current attempt.
    attempt: Option<u64>,
    target: Option<Target>,
    /// The attempt that holds a reservation at several engines.
    reserved_attempt: Option<AttemptId>,
    reservation_lost: Option<oneshot::Receiver<()>>,
    priority: u8,
    dispatches: u32,
    /// The number of tokens or body chunks received from the current attempt.
    received: u64,
    usage: Usage,
    arrived: Moment,
    first_token_at: Option<Moment>,
    is_caller_gone: bool,
    /// Whether the request is sent although it is blocked.
    is_probe: bool,
    claim: ClaimState,
}

impl Driver {
    /// Creates the driver of a request that was just admitted.
    pub fn new(context: Arc<Context>, job: Job, replies: mpsc::Sender<Reply>) -> Self {
        let arrived = context.clock.now();
        Self {
            lifecycle: Lifecycle::new(job.policy.clone(), Timing::default()),
            context,
            job,
            replies,
            pending: None,
            placement: None,
            operation: None,
            events: None,
            attempt: None,
            target: None,
            reserved_attempt: None,
            reservation_lost: None,
            priority: 0,
            dispatches: 0,
            received: 0,
            usage: Usage::default(),
            arrived,
            first_token_at: None,
            is_caller_gone: false,
            is_probe: false,
            claim: ClaimState::None,
        }
    }

    /// Runs the request to its end.
    pub async fn run(mut self) {
        self.context.metrics.admitted.inc();
        self.context.metrics.in_flight.inc();
        self.context.routers.record_request(&self.job.service);
        let mut outputs = self.lifecycle.start();
        loop {
            for output in outputs {
                if let Output::End(ending) = output {
                    return self.end(ending).await;
                }
                self.execute(output);
            }
            let input = self.next_input().await;
            outputs = self.lifecycle.step(self.context.clock.now(), input);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Place { excluded } => self.place(excluded),
            Output::Retry { excluded } => self.retry(excluded),
            Output::Withdraw => self.withdraw(),
            Output::Claim => self.claim(),
            Output::Dispatch(target, attempt) => self.dispatch(target, attempt),
            Output::Probe(target, attempt) => self.probe(&target, &attempt),
            Output::Cancel(target, attempt) => {
                self.events = None;
                self.context.engine.drop_pooled_connections(&target);
                let cancel = self.context.engine.cancel(&target, &attempt);
                self.start_operation(async move {
                    cancel.await.map_or(Input::Unreachable, Input::Cancelled)
                });
            }
            Output::Resume(target, attempt, from) => {
                self.context.metrics.resumes.inc();
                self.context.engine.drop_pooled_connections(&target);
                self.events = Some(self.context.engine.resume(&target, &attempt, from));
            }
            Output::Abandon(target, attempt) if self.job.policy.is_resumable => {
                self.context.canceller.enqueue(target, attempt);
            }
            // Plain services support no cancel, so only the connection is closed.
            Output::Abandon(..) | Output::End(_) => self.events = None,
        }
    }

    fn start_operation(&mut self, operation: impl Future<Output = Input> + Send + 'static) {
        self.operation = Some(Box::pin(async move { Completion::Input(operation.await) }));
    }

    fn place(&mut self, excluded: Vec<EndpointId>) {
        self.settle_attempt(Progress::Failed(Failure::Broken));
        self.events = None;
        self.operation = None;
        self.is_probe = self.dispatches == 0 && self.try_probe();
        let block = self.context.quarantine.block(|| self.job.identity());
        if let Some(block) = block.filter(|_| !self.is_probe) {
            let refused = Input::Refused(Refusal::Blocked, Some(block.remaining));
            return self.start_operation(async move { refused });
        }
        let mut request = self.job.routing.clone();
        request.excluded = excluded;
        self.placement = Some(self.context.routers.submit(&self.job.service, request));
    }

    fn retry(&mut self, excluded: Vec<EndpointId>) {
        if self.context.routers.take_retry(&self.job.service) {
            self.context.metrics.retries.inc();
            return self.place(excluded);
        }
        self.settle_attempt(Progress::Failed(Failure::Broken));
        self.events = None;
        self.operation = Some(Box::pin(async { Completion::Input(Input::RetryDenied) }));
    }

    fn withdraw(&mut self) {
        self.context
            .routers
            .withdraw(&self.job.service, &self.job.request);
        let decision = self
            .placement
            .take()
            .and_then(|mut receiver| receiver.try_recv().ok());
        if let Some(Decision::Placed(placement)) = decision {
            self.attempt = Some(placement.attempt);
        }
        self.settle_attempt(Progress::Failed(Failure::Cancelled));
    }

    fn dispatch(&mut self, target: Target, attempt: AttemptId) {
        self.received = 0;
        self.pending = match self.dispatches {
            0 => None,
            _ => Some(Reply::Restart),
        };
        self.dispatches += 1;
        self.context.metrics.attempts.inc();
        debug!(self.context.logger, ""; "event" => "dispatched", "request" => %self.job.request,
            "attempt" => %attempt, "endpoint" => %target.endpoint);
        let mut headers = self.job.submission.headers.clone();
        if self.reserved_attempt.as_ref() == Some(&attempt) {
            headers.push((RESERVATION_HEADER.to_owned(), attempt.to_string()));
            self.context
                .reservations
                .set_head(&attempt, &target.endpoint);
        }
        let call = Call {
            target,
            attempt,
            owner: self.context.settings.host.clone(),
            owner_attempt: self.attempt.unwrap_or_default(),
            method: self.job.submission.method.clone(),
            path: self.job.submission.path.clone(),
            headers,
            body: self.job.submission.body.clone(),
            prompt_tokens: self.job.routing.prompt_tokens,
            priority: self.priority,
            time_left: self.job.policy.deadline - self.context.clock.now(),
        };
        self.events = Some(if self.job.policy.is_resumable {
            self.context.engine.dispatch(call)
        } else {
            self.context.plain.call(call)
        });
    }

    /// Reports the final progress of the current attempt and releases its reservation.
    fn settle_attempt(&mut self, progress: Progress) {
        self.reservation_lost = None;
        if let Some(attempt) = self.reserved_attempt.take() {
            self.context.reservations.release(&attempt);
        }
        if let Some(attempt) = self.attempt.take() {
            self.context
                .routers
                .record_progress(&self.job.service, attempt, progress);
        }
    }

    fn report_progress(&self, progress: Progress) {
        if let Some(attempt) = self.attempt {
            self.context
                .routers
                .record_progress(&self.job.service, attempt, progress);
        }
    }

    /// Waits for the next input of the life cycle.
    async fn next_input(&mut self) -> Input {
        loop {
            let input = match self.next_signal().await {
                Signal::Blocked(block) => {
                    self.withdraw();
                    Some(Input::Refused(Refusal::Blocked, Some(block.remaining)))
                }
                Signal::CallerGone => {
                    self.is_caller_gone = true;
                    Some(Input::CallerGone)
                }
                Signal::Completed(completion) => {
                    self.operation = None;
                    self.handle_completion(completion)
                }
                Signal::Decided(decision) => {
                    self.placement = None;
                    self.handle_decision(decision)
                }
                Signal::Event(event) => self.handle_event(event),
                Signal::ReservationLost(is_lost) => {
                    self.reservation_lost = None;
                    is_lost.then_some(Input::ReservationLost)
                }
                Signal::ReplySent => None,
                Signal::Tick => Some(Input::Tick),
            };
            if let Some(input) = input {
                return input;
            }
        }
    }

    async fn next_signal(&mut self) -> Signal {
        if self.is_caller_gone {
            self.pending = None;
        }
        let next_tick = self.context.clock.instant(self.lifecycle.next_tick());
        let (replies, pending) = (&self.replies, &mut self.pending);
        let can_receive = pending.is_none();
        let is_waiting = self.placement.is_some() && !self.is_probe;
        let (quarantine, job) = (&self.context.quarantine, &self.job);
        tokio::select! {
            biased;
            () = replies.closed(), if !self.is_caller_gone => Signal::CallerGone,
            Some(completion) = or_pending(self.operation.as_mut()) => Signal::Completed(completion),
            block = quarantine.wait_for_block(|| job.identity()), if is_waiting => {
                Signal::Blocked(block)
            }
            Some(decision) = or_pending(self.placement.as_mut()) => Signal::Decided(decision.ok()),
            Ok(permit) = replies.reserve(), if !can_receive => {
                if let Some(reply) = pending.take() {
                    permit.send(reply);
                }
                Signal::ReplySent
            }
            Some(lost) = or_pending(self.reservation_lost.as_mut()) => {
                Signal::ReservationLost(lost.is_ok())
            },
            event = next_event(&mut self.events), if can_receive => Signal::Event(event),
            () = tokio::time::sleep_until(next_tick) => Signal::Tick,
        }
    }

    fn handle_completion(&mut self, completion: Completion) -> Option<Input> {
        match completion {
            Completion::Input(input) => {
                self.report_failure_if(matches!(input, Input::Unreachable));
                Some(input)
            }
            Completion::Claim(outcome) => self.handle_claim(outcome),
        }
    }

    fn handle_decision(&mut self, decision: Option<Decision>) -> Option<Input> {
        match decision {
            Some(Decision::Placed(placement)) => self.handle_placement(placement),
            Some(Decision::Refused(refusal, wait)) => Some(Input::Refused(refusal, wait)),
            None => Some(Input::Refused(Refusal::Draining, None)),
        }
    }

    fn handle_placement(&mut self, placement: Placement) -> Option<Input> {
        self.attempt = Some(placement.attempt);
        self.priority = placement.priority;
        let Some((target, _)) = placement.targets.first().cloned() else {
            return Some(Input::Fault(Fault::NotSent));
        };
        self.target = Some(target.clone());
        let prefix = if self.job.key.is_some() { "k" } else { "" };
        let id = AttemptId::new(format!("{}.{prefix}{}", self.job.request, self.dispatches));
        if placement.targets.len() > 1 {
            self.reserve(target, id, placement.targets);
            return None;
        }
        Some(Input::Placed(target, id))
    }

    /// Reserves memory at several engines. The first one runs the attempt.
    fn reserve(&mut self, head: Target, id: AttemptId, targets: Vec<(Target, u64)>) {
        let tokens = self.job.routing.prompt_tokens + self.job.routing.expected_output_tokens;
        let memory: Vec<u64> = targets.iter().map(|(_, memory)| *memory).collect();
        let shares = routing::gang::split(tokens, &memory).unwrap_or(memory);
        let targets = targets.into_iter().map(|(target, _)| target);
        let parts = targets.zip(shares).collect();
        let reservation = self
            .context
            .reservations
            .reserve(&id, parts, self.job.policy.deadline);
        self.reserved_attempt = Some(id.clone());
        self.reservation_lost = Some(reservation.lost);
        self.operation = Some(Box::pin(async move {
            Completion::Input(match reservation.ready.await {
                Ok(()) => Input::Placed(head, id),
                Err(_) => Input::Refused(Refusal::Overloaded, None),
            })
        }));
    }

    fn handle_event(&mut self, event: Option<Event>) -> Option<Input> {
        let event = event.unwrap_or(Event::Fault(Fault::Broken));
        match event {
            Event::Accepted(head) => {
                self.report_progress(Progress::Started);
                if !self.job.policy.is_resumable {
                    self.pending = Some(Reply::Head(head));
                }
                Some(Input::Accepted)
            }
            Event::Token { index, .. } if index < self.received => None,
            Event::Token { index, .. } if index > self.received => {
                self.events = None;
                Some(Input::Fault(Fault::Broken))
            }
            Event::Token { data, .. } => {
                self.record_token();
                self.pending = Some(Reply::Token(data));
                Some(Input::Progress(self.received))
            }
            Event::Summary { data, usage } => {
                self.usage = usage.unwrap_or(self.usage);
                self.pending = Some(Reply::Summary(data));
                None
            }
            Event::Chunk(bytes) => {
                self.record_token();
                self.pending = Some(Reply::Chunk(bytes));
                Some(Input::Progress(self.received))
            }
            Event::Finished => Some(Input::Finished),
            Event::Fault(Fault::Broken) if !self.job.policy.is_resumable => {
                self.events = None;
                self.inspect_before(Input::Fault(Fault::Broken));
                None
            }
            Event::Fault(fault) => {
                self.events = None;
                self.report_failure_if(fault == Fault::NotSent);
                Some(Input::Fault(fault))
            }
        }
    }

    /// Reports a failed call to the endpoint, so that the membership can mark it as suspect.
    fn report_failure_if(&self, has_failed: bool) {
        if let Some(target) = self.target.as_ref().filter(|_| has_failed) {
            self.context.members.report_failure(&target.endpoint);
        }
    }

    fn record_token(&mut self) {
        self.received += 1;
        if self.first_token_at.is_none() {
            self.first_token_at = Some(self.context.clock.now());
            self.report_progress(Progress::FirstToken);
            let latency = self.context.clock.now() - self.arrived;
            self.context
                .metrics
                .first_token
                .observe(latency.as_secs_f64());
        }
    }
}

/// Resolves with the future's output, or never if there is no future.
async fn or_pending<F: Future + Unpin>(future: Option<&mut F>) -> Option<F::Output> {
    match future {
        Some(future) => Some(future.await),
        None => std::future::pending().await,
    }
}

async fn next_event(events: &mut Option<Events>) -> Option<Event> {
    match events {
        Some(events) => events.next().await,
        None => std::future::pending().await,
    }
}
