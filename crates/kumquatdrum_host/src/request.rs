//! Carries out what a flight decides: one task for each request.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use futures::StreamExt;
use kumquatdrum_caller::Reply;
use kumquatdrum_daemon::flight::{Flight, Input, Output, Timing};
use kumquatdrum_engine::engine::Events;
use kumquatdrum_routing::{self as routing, Failure, Progress};
use kumquatdrum_types::exchange::{Call, Event, Fault, Target, Usage};
use kumquatdrum_types::{AttemptId, EndpointId, Moment, Refusal};
use slog::debug;
use tokio::sync::{mpsc, oneshot};

use crate::fleet::{Decision, Placement};
use crate::key::Claimed;
use crate::shell::Shell;

mod ending;
mod order;

pub use order::Order;

/// Names the reservation whose memory an attempt takes over.
const RESERVATION_HEADER: &str = "x-reservation";

type Question = Pin<Box<dyn Future<Output = Told> + Send>>;

/// The answer to a question that the driver asked on the side.
enum Told {
    Input(Input),
    Claimed(Claimed),
}

/// What a driver waits for.
enum Happening {
    CallerGone,
    Told(Told),
    Decided(Option<Decision>),
    Event(Option<Event>),
    PartLost(bool),
    Sent,
    Tick,
}

/// How the claim of this request's own key stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClaimState {
    /// None is in the log.
    None,
    /// It is under way and may be in the log.
    Open,
    /// It stands.
    Granted,
}

/// Carries out one request.
pub struct Driver {
    shell: Arc<Shell>,
    order: Order,
    flight: Flight,
    replies: mpsc::Sender<Reply>,
    pending: Option<Reply>,
    placement: Option<oneshot::Receiver<Decision>>,
    question: Option<Question>,
    events: Option<Events>,
    /// The router's number of the attempt under way.
    attempt: Option<u64>,
    target: Option<Target>,
    /// The attempt for which memory is reserved at several engines.
    gang: Option<AttemptId>,
    part_lost: Option<oneshot::Receiver<()>>,
    priority: u8,
    made: u32,
    received: u64,
    usage: Usage,
    arrived: Moment,
    first_token: bool,
    caller_gone: bool,
    claim: ClaimState,
}

impl Driver {
    /// A driver for a request that was just admitted.
    pub fn new(shell: Arc<Shell>, order: Order, replies: mpsc::Sender<Reply>) -> Self {
        let arrived = shell.clock.now();
        Self {
            flight: Flight::new(order.plan.clone(), Timing::default()),
            shell,
            order,
            replies,
            pending: None,
            placement: None,
            question: None,
            events: None,
            attempt: None,
            target: None,
            gang: None,
            part_lost: None,
            priority: 0,
            made: 0,
            received: 0,
            usage: Usage::default(),
            arrived,
            first_token: false,
            caller_gone: false,
            claim: ClaimState::None,
        }
    }

    /// Carries the request to its end.
    pub async fn run(mut self) {
        self.shell.metrics.admitted.inc();
        self.shell.metrics.in_flight.inc();
        self.shell.fleet.request(&self.order.service);
        let mut outputs = self.flight.start();
        loop {
            for output in outputs {
                if let Output::End(ending) = output {
                    return self.end(ending).await;
                }
                self.carry_out(output);
            }
            let input = self.next().await;
            outputs = self.flight.step(self.shell.clock.now(), input);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Place { excluded } => self.place(excluded),
            Output::Retry { excluded } => self.retry(excluded),
            Output::Withdraw => self.withdraw(),
            Output::Claim => self.claim(),
            Output::Dispatch(target, attempt) => self.dispatch(target, attempt),
            Output::Probe(target, attempt) => {
                let asked = self.shell.engine.probe(&target, &attempt);
                self.ask(async move { asked.await.map_or(Input::Unreachable, Input::Status) });
            }
            Output::Cancel(target, attempt) => {
                self.events = None;
                self.shell.engine.drop_pooled_connections(&target);
                let asked = self.shell.engine.cancel(&target, &attempt);
                self.ask(async move { asked.await.map_or(Input::Unreachable, Input::Cancelled) });
            }
            Output::Resume(target, attempt, from) => {
                self.shell.metrics.resumes.inc();
                self.shell.engine.drop_pooled_connections(&target);
                self.events = Some(self.shell.engine.resume(&target, &attempt, from));
            }
            Output::Abandon(target, attempt) if self.order.plan.resumable => {
                self.shell.canceller.abandon(target, attempt);
            }
            // A plain service can't be told; closing the connection is all there is.
            Output::Abandon(..) | Output::End(_) => self.events = None,
        }
    }

    fn ask(&mut self, question: impl Future<Output = Input> + Send + 'static) {
        self.question = Some(Box::pin(async move { Told::Input(question.await) }));
    }

    fn place(&mut self, excluded: Vec<EndpointId>) {
        self.settle_attempt(Progress::Failed(Failure::Broken));
        self.events = None;
        self.question = None;
        let mut ask = self.order.routing.clone();
        ask.excluded = excluded;
        self.placement = Some(self.shell.fleet.submit(&self.order.service, ask));
    }

    fn retry(&mut self, excluded: Vec<EndpointId>) {
        if self.shell.fleet.retry(&self.order.service) {
            self.shell.metrics.retries.inc();
            return self.place(excluded);
        }
        self.settle_attempt(Progress::Failed(Failure::Broken));
        self.events = None;
        self.question = Some(Box::pin(async { Told::Input(Input::RetryDenied) }));
    }

    fn withdraw(&mut self) {
        self.shell
            .fleet
            .withdraw(&self.order.service, &self.order.request);
        let decided = self
            .placement
            .take()
            .and_then(|mut waiting| waiting.try_recv().ok());
        if let Some(Decision::Placed(placement)) = decided {
            self.attempt = Some(placement.attempt);
        }
        self.settle_attempt(Progress::Failed(Failure::Cancelled));
    }

    fn claim(&mut self) {
        let Some(key) = self.order.key.clone() else {
            return;
        };
        self.claim = ClaimState::Open;
        let shell = Arc::clone(&self.shell);
        let deadline = self.order.plan.deadline;
        self.question = Some(Box::pin(async move {
            Told::Claimed(key.claim(&shell, deadline).await)
        }));
    }

    fn dispatch(&mut self, target: Target, attempt: AttemptId) {
        self.received = 0;
        self.pending = match self.made {
            0 => None,
            _ => Some(Reply::Restart),
        };
        self.made += 1;
        self.shell.metrics.attempts.inc();
        debug!(self.shell.logger, ""; "event" => "dispatched", "request" => %self.order.request,
            "attempt" => %attempt, "endpoint" => %target.endpoint);
        let mut headers = self.order.ask.headers.clone();
        if self.gang.as_ref() == Some(&attempt) {
            headers.push((RESERVATION_HEADER.to_owned(), attempt.to_string()));
            self.shell.gangs.dispatched(&attempt, &target.endpoint);
        }
        let call = Call {
            target,
            attempt,
            owner: self.shell.settings.host.clone(),
            owner_attempt: self.attempt.unwrap_or_default(),
            method: self.order.ask.method.clone(),
            path: self.order.ask.path.clone(),
            headers,
            body: self.order.ask.body.clone(),
            prompt_tokens: self.order.routing.prompt_tokens,
            priority: self.priority,
            time_left: self.order.plan.deadline - self.shell.clock.now(),
        };
        self.events = Some(if self.order.plan.resumable {
            self.shell.engine.dispatch(call)
        } else {
            self.shell.plain.call(call)
        });
    }

    /// Tells the router that the attempt under way needs nothing any more.
    fn settle_attempt(&mut self, progress: Progress) {
        self.part_lost = None;
        if let Some(gang) = self.gang.take() {
            self.shell.gangs.end(&gang);
        }
        if let Some(attempt) = self.attempt.take() {
            self.shell
                .fleet
                .progress(&self.order.service, attempt, progress);
        }
    }

    fn progress(&self, progress: Progress) {
        if let Some(attempt) = self.attempt {
            self.shell
                .fleet
                .progress(&self.order.service, attempt, progress);
        }
    }

    /// Waits for the next thing that the flight must know.
    async fn next(&mut self) -> Input {
        loop {
            let input = match self.happening().await {
                Happening::CallerGone => {
                    self.caller_gone = true;
                    Some(Input::CallerGone)
                }
                Happening::Told(told) => {
                    self.question = None;
                    self.told(told)
                }
                Happening::Decided(decision) => {
                    self.placement = None;
                    self.decided(decision)
                }
                Happening::Event(event) => self.event(event),
                Happening::PartLost(is_lost) => {
                    self.part_lost = None;
                    is_lost.then_some(Input::PartLost)
                }
                Happening::Sent => None,
                Happening::Tick => Some(Input::Tick),
            };
            if let Some(input) = input {
                return input;
            }
        }
    }

    async fn happening(&mut self) -> Happening {
        if self.caller_gone {
            self.pending = None;
        }
        let wake = self.shell.clock.instant(self.flight.wake());
        let (replies, pending) = (&self.replies, &mut self.pending);
        let takes = pending.is_none();
        tokio::select! {
            biased;
            () = replies.closed(), if !self.caller_gone => Happening::CallerGone,
            Some(told) = opt(self.question.as_mut()) => Happening::Told(told),
            Some(decision) = opt(self.placement.as_mut()) => Happening::Decided(decision.ok()),
            Ok(permit) = replies.reserve(), if !takes => {
                if let Some(reply) = pending.take() {
                    permit.send(reply);
                }
                Happening::Sent
            }
            Some(lost) = opt(self.part_lost.as_mut()) => Happening::PartLost(lost.is_ok()),
            event = next_event(&mut self.events), if takes => Happening::Event(event),
            () = tokio::time::sleep_until(wake) => Happening::Tick,
        }
    }

    fn told(&mut self, told: Told) -> Option<Input> {
        match told {
            Told::Input(input) => {
                self.speaks_against(matches!(input, Input::Unreachable));
                Some(input)
            }
            Told::Claimed(claimed) => self.claimed(claimed),
        }
    }

    fn decided(&mut self, decision: Option<Decision>) -> Option<Input> {
        match decision {
            Some(Decision::Placed(placement)) => self.placed(placement),
            Some(Decision::Refused(refusal, wait)) => Some(Input::Refused(refusal, wait)),
            None => Some(Input::Refused(Refusal::Draining, None)),
        }
    }

    fn placed(&mut self, placement: Placement) -> Option<Input> {
        self.attempt = Some(placement.attempt);
        self.priority = placement.priority;
        let Some((target, _)) = placement.targets.first().cloned() else {
            return Some(Input::Fault(Fault::NotSent));
        };
        self.target = Some(target.clone());
        let mark = if self.order.key.is_some() { "k" } else { "" };
        let id = AttemptId::new(format!("{}.{mark}{}", self.order.request, self.made));
        if placement.targets.len() > 1 {
            self.reserve(target, id, placement.targets);
            return None;
        }
        Some(Input::Placed(target, id))
    }

    /// Reserves memory at several engines; the first one gets the attempt.
    fn reserve(&mut self, head: Target, id: AttemptId, targets: Vec<(Target, u64)>) {
        let tokens = self.order.routing.prompt_tokens + self.order.routing.expected_output_tokens;
        let memory: Vec<u64> = targets.iter().map(|(_, memory)| *memory).collect();
        let shares = routing::gang::split(tokens, &memory).unwrap_or(memory);
        let targets = targets.into_iter().map(|(target, _)| target);
        let parts = targets.zip(shares).collect();
        let reserved = self
            .shell
            .gangs
            .reserve(&id, parts, self.order.plan.deadline);
        self.gang = Some(id.clone());
        self.part_lost = Some(reserved.lost);
        self.question = Some(Box::pin(async move {
            Told::Input(match reserved.ready.await {
                Ok(()) => Input::Placed(head, id),
                Err(_) => Input::Refused(Refusal::Overloaded, None),
            })
        }));
    }

    fn claimed(&mut self, claimed: Claimed) -> Option<Input> {
        match claimed {
            Claimed::Granted => {
                self.claim = ClaimState::Granted;
                Some(Input::Claimed)
            }
            Claimed::Refused(refusal, wait) => {
                self.claim = ClaimState::None;
                Some(Input::ClaimRefused(refusal, wait))
            }
            Claimed::Follow(target, attempt) => {
                self.settle_attempt(Progress::Failed(Failure::Cancelled));
                let plan = self.order.plan.clone();
                let flight = Flight::attached(plan, Timing::default(), target, attempt);
                self.flight = flight;
                self.claim = ClaimState::None;
                for output in self.flight.start() {
                    self.carry_out(output);
                }
                None
            }
            Claimed::Told(problem) => {
                self.settle_attempt(Progress::Failed(Failure::Cancelled));
                self.claim = ClaimState::None;
                self.pending = Some(Reply::Problem(problem));
                Some(Input::ClaimRefused(Refusal::ClaimUnavailable, None))
            }
        }
    }

    fn event(&mut self, event: Option<Event>) -> Option<Input> {
        let Some(event) = event else {
            self.events = None;
            return Some(Input::Fault(Fault::Broken));
        };
        match event {
            Event::Accepted(head) => {
                self.progress(Progress::Started);
                if !self.order.plan.resumable {
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
                self.token();
                self.pending = Some(Reply::Token(data));
                Some(Input::Progress(self.received))
            }
            Event::Summary { data, usage } => {
                self.usage = usage.unwrap_or(self.usage);
                self.pending = Some(Reply::Summary(data));
                None
            }
            Event::Chunk(bytes) => {
                self.token();
                self.pending = Some(Reply::Chunk(bytes));
                Some(Input::Progress(self.received))
            }
            Event::Finished => Some(Input::Finished),
            Event::Fault(fault) => {
                self.events = None;
                self.speaks_against(fault == Fault::NotSent);
                Some(Input::Fault(fault))
            }
        }
    }

    /// Several such failures in a short time make membership suspect the endpoint.
    fn speaks_against(&self, does: bool) {
        if let Some(target) = self.target.as_ref().filter(|_| does) {
            self.shell.members.failed(&target.endpoint);
        }
    }

    fn token(&mut self) {
        self.received += 1;
        if !self.first_token {
            self.first_token = true;
            self.progress(Progress::FirstToken);
            let waited = self.shell.clock.now() - self.arrived;
            self.shell.metrics.first_token.observe(waited.as_secs_f64());
        }
    }
}

/// A future that may not be there never resolves.
async fn opt<F: Future + Unpin>(future: Option<&mut F>) -> Option<F::Output> {
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
