//! Forwarding of event streams to callers, with resumption at another endpoint after a failure.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, Response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use kumquatdrum_placement::{Failure, Trouble};
use kumquatdrum_process::drain::Work;
use kumquatdrum_quarantine::SURVIVAL_TIME;
use kumquatdrum_response::event::{Events, Splitter};
use kumquatdrum_response::{Completeness, Framing};
use kumquatdrum_types::Moment;
use slog::info;
use tokio::time::{Instant, sleep_until, timeout_at};

use super::Call;
use super::attempt::{Outcome, end_to_end_headers};
use super::run::Attempts;
use crate::body::{self, Body};
use crate::pool::Pick;
use crate::reservation::Reservation;
use crate::upstream::Exchange;

/// The silence after which a stream is resumed elsewhere, in multiples of the caller's maximum
/// pause. Shorter silences are more likely caused by an engine that is busy with prefill than by a
/// failure, and resuming would only add to the prefill.
const MAX_SILENT_PAUSES: u32 = 8;
/// The maximum number of endpoints that are tried to resume a stream. At most one of them is sent
/// the request.
const MAX_RESUME_ATTEMPTS: usize = 6;
/// The minimum silence after which a stream is resumed elsewhere.
const MIN_SILENCE: Duration = Duration::from_secs(2);

/// The silence after which a stream is resumed elsewhere if the path is cut, in multiples of the
/// caller's maximum pause. Streams on open connections may live on during a cut.
const CUT_SILENCE_PAUSES: u32 = 2;
/// The minimum of that silence.
const MIN_CUT_SILENCE: Duration = Duration::from_millis(250);

/// The share of a lease after which a silent endpoint is checked if memory of other endpoints is
/// reserved for the stream. The rest of the lease is for the check and the release.
const RESERVED_SILENCE_SHARE: f64 = 0.5;

/// A stream whose first event has arrived, or that has ended without one.
pub(super) struct Started {
    forwarder: Forwarder,
    headers: HeaderMap,
}

/// Forwards an endpoint's events to the caller.
struct Forwarder {
    pick: Option<Pick>,
    reservations: Vec<Reservation>,
    exchange: Option<Exchange>,
    /// The framing of the response to the caller.
    framing: Framing,
    splitter: Splitter,
    /// Bytes to be sent to the caller before more are received.
    waiting: VecDeque<Bytes>,
    last_event_id: Option<u64>,
    /// When the first event of the current endpoint arrived.
    begun_at: Option<Moment>,
    /// Whether it is recorded that the current endpoint has survived the prompt.
    has_survived: bool,
    attempts: Attempts,
    timing: Timing,
}

/// The timing of a stream as seen by the caller.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Timing {
    pub(super) first_event: Duration,
    last_event_at: Moment,
    pub(super) longest_pause: Duration,
}

impl std::fmt::Display for Timing {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (first_event, pause) = (self.first_event.as_millis(), self.longest_pause.as_millis());
        write!(f, "first {first_event} ms, longest pause {pause} ms")
    }
}

/// The result of waiting for the next events.
enum Received {
    Events(Bytes),
    Complete,
    /// The body has ended with its connection, between two events.
    UnknownEnd,
    Broken(String),
    TimedOut,
}

/// Waits for the first event of a stream.
pub(super) async fn start(
    call: &Call,
    pick: Pick,
    reservations: Vec<Reservation>,
    exchange: Exchange,
    attempts: &mut Attempts,
) -> Result<Started, (Pick, String)> {
    let headers = end_to_end_headers(exchange.response.headers());
    let mut forwarder = Forwarder {
        pick: Some(pick),
        reservations,
        framing: exchange.framing,
        exchange: Some(exchange),
        splitter: Splitter::new(call.metadata.last_event_id.is_some()),
        waiting: VecDeque::new(),
        last_event_id: call.metadata.last_event_id,
        begun_at: None,
        has_survived: false,
        attempts: std::mem::take(attempts),
        timing: Timing::default(),
    };
    match forwarder.receive_first(call).await {
        Received::Events(bytes) => {
            forwarder.waiting.push_back(bytes);
            let now = call.gateway.clock.now();
            call.record_first_event(now);
            forwarder.timing.first_event = now - call.arrived;
            forwarder.timing.last_event_at = now;
            forwarder.begun_at = Some(now);
            if let Some(pick) = &forwarder.pick {
                pick.record_first_token();
                pick.record_success(None);
                call.log_attempt(pick, "began", "first event");
            }
            Ok(Started { forwarder, headers })
        }
        received @ (Received::Complete | Received::UnknownEnd) => {
            forwarder.finish(call, &received).await;
            Ok(Started { forwarder, headers })
        }
        Received::Broken(reason) => Err(forwarder.fail(attempts, reason)),
        Received::TimedOut => Err(forwarder.fail(attempts, "no event in time".to_owned())),
    }
}

impl Started {
    /// Builds the response, whose body forwards the events.
    pub(super) fn response(self, call: Arc<Call>, work: Work) -> Response<Body> {
        let state = (self.forwarder, call, work);
        let framing = state.0.framing;
        let events = stream::unfold(Some(state), |state| async move {
            let (mut forwarder, call, work) = state?;
            match forwarder.next(&call).await {
                Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some((forwarder, call, work)))),
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        });
        let mut response = Response::new(StreamBody::new(events).boxed_unsync());
        *response.headers_mut() = self.headers;
        body::frame(&mut response, framing);
        response
    }
}

impl Forwarder {
    /// Records the failure of the endpoint, and moves the attempts back into `attempts`.
    fn fail(mut self, attempts: &mut Attempts, reason: String) -> (Pick, String) {
        *attempts = std::mem::take(&mut self.attempts);
        let pick = self.pick.take().expect("the picked endpoint");
        pick.record_failure(Failure::Broken);
        (pick, reason)
    }

    /// Returns the next bytes for the caller, or `None` at the end of the stream.
    async fn next(&mut self, call: &Call) -> Option<Result<Bytes, body::Error>> {
        loop {
            if let Some(bytes) = self.waiting.pop_front() {
                return Some(Ok(bytes));
            }
            self.exchange.as_ref()?;
            let silence = MIN_SILENCE.max(call.max_pause().saturating_mul(MAX_SILENT_PAUSES));
            match self.receive_unless_cut(call, silence).await {
                Received::Events(bytes) => {
                    let now = call.gateway.clock.now();
                    let pause = now - self.timing.last_event_at;
                    self.timing.longest_pause = self.timing.longest_pause.max(pause);
                    self.timing.last_event_at = now;
                    self.record_progress(call, now);
                    return Some(Ok(bytes));
                }
                Received::UnknownEnd if self.framing != Framing::Close => {
                    let reason = "the end of the resumed stream is unknown";
                    call.log_end("cut", reason, &self.attempts);
                    return Some(Err(reason.into()));
                }
                received @ (Received::Complete | Received::UnknownEnd) => {
                    self.finish(call, &received).await;
                }
                Received::TimedOut if Instant::now() >= call.deadline_instant() => {
                    call.log_end("cut", "the time is up", &self.attempts);
                    return Some(Err("the time is up".into()));
                }
                Received::TimedOut => {
                    let silent_for = call.gateway.clock.now() - self.timing.last_event_at;
                    if silent_for < silence && self.is_listening(call).await {
                        continue;
                    }
                    if let Err(error) = self.resume(call, "silent").await {
                        return Some(Err(error));
                    }
                }
                Received::Broken(reason) => {
                    self.record_broken(call);
                    if let Some(pick) = &self.pick {
                        call.inspect(pick, self.begun_at).await;
                    }
                    if let Err(error) = self.resume(call, &reason).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    /// Records that events have arrived, the first of which shows that the endpoint has begun to answer.
    fn record_progress(&mut self, call: &Call, now: Moment) {
        let begun_at = *self.begun_at.get_or_insert(now);
        if !self.has_survived && now - begun_at >= SURVIVAL_TIME {
            self.has_survived = true;
            call.record_survival();
        }
    }

    /// Records that the caller has got all events.
    async fn finish(&mut self, call: &Call, end: &Received) {
        match (end, &self.pick) {
            (Received::UnknownEnd, Some(pick)) => {
                call.record_unknown_end(pick, self.begun_at).await;
            }
            _ => call.record_completion(),
        }
        call.log_streamed(&self.timing, &self.attempts);
        self.exchange = None;
        self.reservations.clear();
        self.pick = None;
    }

    /// Waits for the first events, as long as the endpoint is alive if memory is reserved.
    async fn receive_first(&mut self, call: &Call) -> Received {
        loop {
            let received = self.receive_unless_cut(call, call.time_left()).await;
            let is_checked =
                matches!(received, Received::TimedOut) && Instant::now() < call.deadline_instant();
            match received {
                Received::TimedOut if is_checked && self.is_listening(call).await => {}
                Received::TimedOut if is_checked => return Received::Broken("silent".to_owned()),
                received => return received,
            }
        }
    }

    /// Waits for the next events until the endpoint is to be checked, see [`Self::check_at`]. A silent
    /// stream that may be resumed breaks as soon as the path turns out to be cut.
    async fn receive_unless_cut(&mut self, call: &Call, silence: Duration) -> Received {
        let limit = self.check_at(call, silence);
        let can_resume =
            call.route.delivery.is_idempotent() && self.attempts.sent < call.route.max_attempts;
        let is_direct = self.exchange.as_ref().is_some_and(Exchange::is_direct);
        if !can_resume || !is_direct {
            return self.receive(call, limit).await;
        }
        let pause = MIN_CUT_SILENCE.max(call.max_pause().saturating_mul(CUT_SILENCE_PAUSES));
        let endpoint = self.pick.as_ref().map(|pick| pick.endpoint.clone());
        let waits_from = call.gateway.clock.now();
        let silent_at = Instant::now() + pause;
        let cut = async {
            sleep_until(silent_at).await;
            let paths = call.gateway.upstream.paths();
            if let Some(endpoint) = &endpoint {
                paths.record_trouble(endpoint, Trouble::Late, waits_from);
            }
            paths.wait_for_cut(&call.service).await;
        };
        tokio::select! {
            biased;
            received = self.receive(call, limit) => received,
            () = cut => Received::Broken("endpoints answer other hosts only".to_owned()),
        }
    }

    /// Returns when a silent endpoint is checked, or given up if no memory is reserved. An endpoint
    /// that has crashed without a word must not keep the memory of others reserved.
    fn check_at(&self, call: &Call, silence: Duration) -> Instant {
        let wait = if self.reservations.is_empty() {
            silence
        } else {
            let lease = call.gateway.lease_duration();
            silence.min(lease.mul_f64(RESERVED_SILENCE_SHARE))
        };
        call.deadline_instant().min(Instant::now() + wait)
    }

    /// Returns whether memory is reserved for the stream and its endpoint accepts connections.
    /// The check ends at the caller's deadline.
    async fn is_listening(&mut self, call: &Call) -> bool {
        match &self.pick {
            Some(pick) if !self.reservations.is_empty() => {
                let check = call.gateway.is_listening(&pick.endpoint);
                let is_listening = timeout_at(call.deadline_instant(), check).await;
                is_listening.unwrap_or(false)
            }
            _ => false,
        }
    }

    async fn receive(&mut self, call: &Call, limit: Instant) -> Received {
        loop {
            let Some(exchange) = &mut self.exchange else {
                return Received::Broken("there is no response".to_owned());
            };
            let frame = timeout_at(limit, exchange.response.body_mut().frame()).await;
            match frame {
                Err(_) => return Received::TimedOut,
                Ok(Some(Err(error))) => return Received::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let Events {
                        bytes,
                        last_event_id,
                    } = self.splitter.push(&data);
                    self.last_event_id = last_event_id.or(self.last_event_id);
                    if !bytes.is_empty() {
                        return Received::Events(bytes);
                    }
                }
                Ok(None) => {
                    let framing = exchange.framing;
                    if let Some(pick) = &self.pick {
                        let rest_bytes = self.splitter.rest_bytes();
                        call.log_body_end(pick, framing, rest_bytes, self.last_event_id);
                    }
                    // The path is fine, as the end of the connection has arrived.
                    self.exchange = None;
                    return match self.splitter.completeness(framing) {
                        Completeness::Complete => Received::Complete,
                        Completeness::Unknown => Received::UnknownEnd,
                        Completeness::Broken => {
                            Received::Broken("the stream ended inside an event".to_owned())
                        }
                    };
                }
            }
        }
    }

    /// Records that the response broke off.
    fn record_broken(&self, call: &Call) {
        if let (Some(pick), Some(exchange)) = (&self.pick, &self.exchange) {
            let upstream = &call.gateway.upstream;
            upstream.record_broken(exchange, &pick.endpoint);
        }
    }

    /// Resumes the stream at another endpoint, after the last complete event.
    async fn resume(&mut self, call: &Call, reason: &str) -> Result<(), body::Error> {
        if let Some(pick) = self.pick.take() {
            pick.record_failure(Failure::Broken);
            call.log_attempt(&pick, "broken", reason);
            self.attempts.exclude(pick.key);
        }
        self.exchange = None;
        self.begun_at = None;
        self.has_survived = false;
        self.reservations.clear();
        self.splitter = Splitter::new(self.last_event_id.is_some());
        self.attempts.only_endpoint = None;
        self.attempts.record.record_loss();
        let is_idempotent = call.route.delivery.is_idempotent();
        let is_allowed = self.attempts.record.can_repeat(is_idempotent)
            && self.attempts.sent < call.route.max_attempts
            && call.check_block().is_ok()
            && call.gateway.pool.take_retry(&call.service);
        if !is_allowed {
            call.log_end("cut", reason, &self.attempts);
            return Err(reason.to_owned().into());
        }
        info!(call.gateway.logger, "resume"; "event" => "resume", "request" => &call.attempt_id,
            "after" => self.last_event_id, "reason" => reason);
        let sent = self.attempts.sent;
        self.attempts.sent += 1;
        for _ in 0..MAX_RESUME_ATTEMPTS {
            self.attempts.is_resumed = true;
            let pick = call.pick(&self.attempts).await.map_err(|problem| {
                call.log_end("cut", &problem.to_string(), &self.attempts);
                body::Error::from(problem)
            })?;
            let Some(reservations) = call.reserve(&pick, &mut self.attempts).await else {
                continue;
            };
            if call.check_block().is_err() {
                break;
            }
            match call.attempt(&pick, sent, self.last_event_id).await {
                Outcome::Stream(exchange) => {
                    self.exchange = Some(*exchange);
                    self.pick = Some(pick);
                    self.reservations = reservations;
                    return Ok(());
                }
                Outcome::Unsent => self.attempts.exclude(pick.key),
                Outcome::Held => {}
                Outcome::HelperFailed(_, helper) => {
                    // The attempt is counted for this endpoint, so no other one may get it.
                    let sent = self.attempts.sent;
                    self.attempts.record_helper_failure(helper, pick.key, sent);
                    if !self.attempts.can_replan() || !call.gateway.pool.take_retry(&call.service) {
                        break;
                    }
                }
                _ => break,
            }
        }
        call.log_end("cut", "could not be resumed", &self.attempts);
        Err("the stream could not be resumed".into())
    }
}
