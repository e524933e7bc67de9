//! Forwarding of event streams to callers, with resumption at another endpoint after a failure or during
//! a silence.

use std::collections::VecDeque;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, Response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use kumquatdrum_placement::Failure;
use kumquatdrum_process::drain::Work;
use kumquatdrum_response::Framing;
use kumquatdrum_response::silence::Silence;
use kumquatdrum_types::Moment;

use super::Call;
use super::attempt::end_to_end_headers;
use super::resume;
use super::run::Attempts;
use super::source::{Received, Source};
use crate::body::{self, Body};
use crate::pool::Pick;
use crate::reservation::Reservation;
use crate::upstream::Exchange;

/// A stream whose first event has arrived, or that has ended without one.
pub(super) struct Started {
    forwarder: Forwarder,
    headers: HeaderMap,
}

/// Forwards events to the caller.
struct Forwarder {
    /// The endpoint's response, until it has ended.
    source: Option<Source>,
    /// The framing of the response to the caller.
    framing: Framing,
    /// Bytes to be sent to the caller before more are received.
    waiting: VecDeque<Bytes>,
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

/// The result of trying another endpoint while one is silent.
enum Tried {
    /// The silent endpoint has gone on, or its response has ended.
    Received(Received),
    /// The other endpoint has answered.
    Resumed,
    /// The silent endpoint's response is kept, as no other one has answered.
    Failed,
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
    let framing = exchange.framing;
    let mut source = Source::new(pick, reservations, exchange, call.metadata.last_event_id);
    let received = source.receive_first(call, can_resume(call, attempts)).await;
    let reason = match &received {
        Received::Broken(reason) => Some(reason.clone()),
        Received::Gone => Some("silent".to_owned()),
        Received::TimedOut => Some("no event in time".to_owned()),
        Received::Events(_) | Received::Complete | Received::UnknownEnd => None,
    };
    if let Some(reason) = reason {
        source.pick.record_failure(Failure::Broken);
        return Err((source.pick, reason));
    }
    let mut forwarder = Forwarder {
        source: Some(source),
        framing,
        waiting: VecDeque::new(),
        attempts: std::mem::take(attempts),
        timing: Timing::default(),
    };
    match received {
        Received::Events(bytes) => forwarder.begin(call, bytes),
        received => forwarder.finish(call, &received).await,
    }
    Ok(Started { forwarder, headers })
}

/// Returns whether a stream may be sent to another endpoint.
fn can_resume(call: &Call, attempts: &Attempts) -> bool {
    call.route.delivery.is_idempotent() && attempts.sent < call.route.max_attempts
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
    /// Records the first events.
    fn begin(&mut self, call: &Call, bytes: Bytes) {
        self.waiting.push_back(bytes);
        let now = call.gateway.clock.now();
        call.record_first_event(now);
        self.timing.first_event = now - call.arrived;
        self.timing.last_event_at = now;
        if let Some(source) = &mut self.source {
            source.begun_at = Some(now);
            source.pick.record_first_token();
            source.pick.record_success(None);
            call.log_attempt(&source.pick, "began", "first event");
        }
    }

    /// Returns the next bytes for the caller, or `None` at the end of the stream.
    async fn next(&mut self, call: &Call) -> Option<Result<Bytes, body::Error>> {
        loop {
            if let Some(bytes) = self.waiting.pop_front() {
                return Some(Ok(bytes));
            }
            self.source.as_ref()?;
            let reason = match self.receive(call).await {
                Received::Events(bytes) => {
                    self.record_progress(call);
                    return Some(Ok(bytes));
                }
                Received::UnknownEnd if self.framing != Framing::Close => {
                    "the end of the resumed stream is unknown".to_owned()
                }
                received @ (Received::Complete | Received::UnknownEnd) => {
                    self.finish(call, &received).await;
                    continue;
                }
                Received::TimedOut => "the time is up".to_owned(),
                Received::Gone => "silent".to_owned(),
                Received::Broken(reason) => reason,
            };
            call.log_end("cut", &reason, &self.attempts);
            return Some(Err(reason.into()));
        }
    }

    fn record_progress(&mut self, call: &Call) {
        let now = call.gateway.clock.now();
        let pause = now - self.timing.last_event_at;
        self.timing.longest_pause = self.timing.longest_pause.max(pause);
        self.timing.last_event_at = now;
        if let Some(source) = &mut self.source {
            source.record_progress(call, now);
        }
    }

    /// Records that the caller has got all events.
    async fn finish(&mut self, call: &Call, end: &Received) {
        let is_from_start = !self.attempts.is_resumed && call.metadata.last_event_id.is_none();
        let source = self.source.take();
        if let Some(source) = source.as_ref().filter(|_| is_from_start) {
            source.pick.pending(true).record_completion();
        }
        match (end, source) {
            (Received::UnknownEnd, Some(source)) => {
                let begun_at = source.begun_at;
                call.record_unknown_end(&source.pick, begun_at).await;
            }
            _ => call.record_completion(),
        }
        call.log_streamed(&self.timing, &self.attempts);
    }

    /// Waits for the next events of the endpoint, or of another one if it breaks off or stays silent.
    async fn receive(&mut self, call: &Call) -> Received {
        let mut silence = None;
        loop {
            let Some(source) = &mut self.source else {
                return Received::Broken("there is no response".to_owned());
            };
            let current = silence.get_or_insert_with(|| source.begin_silence(call));
            let can_resume = can_resume(call, &self.attempts);
            let received = match source.watch(call, current, can_resume).await {
                Some(received) => received,
                None => match self.try_elsewhere(call, current).await {
                    Tried::Received(received) => received,
                    Tried::Resumed => {
                        silence = None;
                        continue;
                    }
                    Tried::Failed => {
                        current.record_failed_try(call.gateway.clock.now());
                        continue;
                    }
                },
            };
            let Some(reason) = end(call, self.source.as_mut(), &received).await else {
                return received;
            };
            match self.resume(call, &reason).await {
                Ok(()) => silence = None,
                Err(reason) => return Received::Broken(reason),
            }
        }
    }

    /// Tries another endpoint while this one is silent. Its response is kept until the other one has
    /// answered, and if it goes on before that, the other one's answer is dropped.
    async fn try_elsewhere(&mut self, call: &Call, silence: &mut Silence) -> Tried {
        let Self {
            source, attempts, ..
        } = self;
        let Some(silent) = source else {
            return Tried::Failed;
        };
        if !resume::is_granted(call) {
            call.log_silence("kept", "no retry is granted", silent.last_event_id);
            return Tried::Failed;
        }
        call.log_resume("silent", silent.last_event_id);
        attempts.exclude(silent.pick.key);
        let mut opened = pin!(resume::open(call, attempts, silent.last_event_id));
        let received = tokio::select! {
            biased;
            received = silent.wait(call, silence) => Err(received),
            opened = &mut opened => Ok(opened),
        };
        let opened = match received {
            Ok(opened) => opened,
            Err(received) => {
                let Some(reason) = end(call, source.as_mut(), &received).await else {
                    call.log_silence("went_on", "before another endpoint", None);
                    return Tried::Received(received);
                };
                if let Some(silent) = source.take() {
                    silent.give_up(call, &reason);
                }
                opened.await
            }
        };
        match (opened, source.take()) {
            (Ok(opened), silent) => {
                if let Some(silent) = silent {
                    silent.give_up(call, "silent");
                }
                *source = Some(opened);
                Tried::Resumed
            }
            (Err(reason), Some(silent)) => {
                call.log_silence("kept", &reason, silent.last_event_id);
                *source = Some(silent);
                Tried::Failed
            }
            (Err(reason), None) => Tried::Received(Received::Broken(reason)),
        }
    }

    /// Resumes the stream at another endpoint, after the last complete event.
    async fn resume(&mut self, call: &Call, reason: &str) -> Result<(), String> {
        let Some(source) = self.source.take() else {
            return Err(reason.to_owned());
        };
        self.attempts.exclude(source.pick.key);
        self.attempts.record.record_loss();
        let last_event_id = source.give_up(call, reason);
        if !can_resume(call, &self.attempts) || !resume::is_granted(call) {
            return Err(reason.to_owned());
        }
        call.log_resume(reason, last_event_id);
        let opened = resume::open(call, &mut self.attempts, last_event_id).await?;
        self.source = Some(opened);
        Ok(())
    }
}

/// Records that an endpoint has broken off or is gone, and returns the reason if that is so.
async fn end(call: &Call, source: Option<&mut Source>, received: &Received) -> Option<String> {
    match (received, source) {
        (Received::Broken(reason), Some(source)) => {
            source.record_broken(call).await;
            Some(reason.clone())
        }
        (Received::Gone, Some(_)) => Some("silent".to_owned()),
        _ => None,
    }
}
