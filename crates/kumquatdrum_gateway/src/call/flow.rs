//! A stream of events from an endpoint to a caller, resumed at another endpoint where it breaks.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{HeaderMap, Response};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use kumquatdrum_placement::Failure;
use kumquatdrum_process::drain::Work;
use kumquatdrum_types::Moment;
use slog::info;
use tokio::time::{Instant, timeout_at};

use super::Call;
use super::attempt::{Outcome, answer_headers};
use super::run::Tries;
use crate::body::{self, Body};
use crate::event::{Events, Splitter};
use crate::fleet::Pick;
use crate::reservation::Reservation;
use crate::upstream::Exchange;

/// How many of the caller's longest pauses an endpoint may be silent for, within a stream. Before
/// that, an engine that reads a lot is likelier than one that is gone, and a repetition would only
/// add to what it reads.
const SILENT_PAUSES: u32 = 8;
/// The most endpoints that are tried to resume a stream; at most one of them is sent anything.
const RESUMPTIONS: usize = 6;
/// The shortest silence that counts.
const SHORTEST_SILENCE: Duration = Duration::from_secs(2);

/// A stream whose first event has come.
pub(super) struct Begun {
    flow: Flow,
    headers: HeaderMap,
}

struct Flow {
    pick: Option<Pick>,
    reservations: Vec<Reservation>,
    exchange: Option<Exchange>,
    splitter: Splitter,
    waiting: VecDeque<Bytes>,
    last: Option<u64>,
    tries: Tries,
    passed: Passed,
}

/// What the caller has seen of a stream.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Passed {
    pub(super) first: Duration,
    at: Moment,
    pub(super) longest_pause: Duration,
}

impl std::fmt::Display for Passed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (first, pause) = (self.first.as_millis(), self.longest_pause.as_millis());
        write!(f, "first {first} ms, longest pause {pause} ms")
    }
}

/// What came next.
enum Next {
    Events(Bytes),
    End,
    Broken(String),
    TimedOut,
}

/// Waits for the first event.
pub(super) async fn begin(
    call: &Call,
    pick: Pick,
    reservations: Vec<Reservation>,
    exchange: Exchange,
    tries: &mut Tries,
) -> Result<Begun, (Pick, String)> {
    let headers = answer_headers(exchange.response.headers());
    let mut flow = Flow {
        pick: Some(pick),
        reservations,
        exchange: Some(exchange),
        splitter: Splitter::default(),
        waiting: VecDeque::new(),
        last: call.ask.after_event,
        tries: std::mem::take(tries),
        passed: Passed::default(),
    };
    let next = flow.receive(call.until()).await;
    match next {
        Next::Events(bytes) => {
            flow.waiting.push_back(bytes);
            let now = call.gateway.clock.now();
            call.log_first(now);
            flow.passed.first = now - call.arrived;
            flow.passed.at = now;
            if let Some(pick) = &flow.pick {
                pick.began();
                pick.succeeded(None);
                call.log_attempt(pick, "began", "first event");
            }
            Ok(Begun { flow, headers })
        }
        Next::End => Ok(Begun { flow, headers }),
        Next::Broken(reason) => Err(flow.fail(tries, reason)),
        Next::TimedOut => Err(flow.fail(tries, "no event in time".to_owned())),
    }
}

impl Begun {
    /// The answer, whose body passes the events on.
    pub(super) fn response(self, call: Arc<Call>, work: Work) -> Response<Body> {
        let state = (self.flow, call, work);
        let events = stream::unfold(Some(state), |state| async move {
            let (mut flow, call, work) = state?;
            match flow.next(&call).await {
                Some(Ok(bytes)) => Some((Ok(Frame::data(bytes)), Some((flow, call, work)))),
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        });
        let mut response = Response::new(StreamBody::new(events).boxed_unsync());
        *response.headers_mut() = self.headers;
        response
    }
}

impl Flow {
    fn fail(mut self, tries: &mut Tries, reason: String) -> (Pick, String) {
        *tries = std::mem::take(&mut self.tries);
        let pick = self.pick.take().expect("a flow begins with a pick");
        pick.failed(Failure::Broken);
        (pick, reason)
    }

    /// The next bytes for the caller; nothing after the end.
    async fn next(&mut self, call: &Call) -> Option<Result<Bytes, body::Error>> {
        loop {
            if let Some(bytes) = self.waiting.pop_front() {
                return Some(Ok(bytes));
            }
            self.exchange.as_ref()?;
            let silence = SHORTEST_SILENCE.max(call.pause().saturating_mul(SILENT_PAUSES));
            let limit = call.until().min(Instant::now() + silence);
            match self.receive(limit).await {
                Next::Events(bytes) => {
                    let now = call.gateway.clock.now();
                    let pause = now - self.passed.at;
                    self.passed.longest_pause = self.passed.longest_pause.max(pause);
                    self.passed.at = now;
                    return Some(Ok(bytes));
                }
                Next::End => {
                    call.log_streamed(&self.passed, &self.tries);
                    self.exchange = None;
                    self.reservations.clear();
                    self.pick = None;
                }
                Next::TimedOut if Instant::now() >= call.until() => {
                    call.log_end("cut", "the time is up", &self.tries);
                    return Some(Err("the time is up".into()));
                }
                Next::TimedOut => {
                    if let Err(error) = self.resume(call, "silent").await {
                        return Some(Err(error));
                    }
                }
                Next::Broken(reason) => {
                    if let Err(error) = self.resume(call, &reason).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    async fn receive(&mut self, limit: Instant) -> Next {
        loop {
            let Some(exchange) = &mut self.exchange else {
                return Next::End;
            };
            let frame = timeout_at(limit, exchange.response.body_mut().frame()).await;
            match frame {
                Err(_) => return Next::TimedOut,
                Ok(Some(Err(error))) => return Next::Broken(error.to_string()),
                Ok(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    let Events { bytes, last } = self.splitter.push(&data);
                    self.last = last.or(self.last);
                    if !bytes.is_empty() {
                        return Next::Events(bytes);
                    }
                }
                Ok(None) => {
                    let rest = self.splitter.finish();
                    self.exchange = None;
                    if !rest.is_empty() {
                        self.waiting.push_back(rest);
                    }
                    return Next::End;
                }
            }
        }
    }

    /// Goes on at another endpoint, after the last whole event.
    async fn resume(&mut self, call: &Call, reason: &str) -> Result<(), body::Error> {
        if let Some(pick) = self.pick.take() {
            pick.failed(Failure::Broken);
            call.log_attempt(&pick, "broken", reason);
            self.tries.spare(pick.key);
        }
        self.exchange = None;
        self.reservations.clear();
        self.splitter = Splitter::default();
        let is_allowed = call.route.delivery.is_idempotent()
            && self.tries.sent < call.route.max_attempts
            && call.gateway.fleet.take_retry(&call.service);
        if !is_allowed {
            call.log_end("cut", reason, &self.tries);
            return Err(reason.to_owned().into());
        }
        info!(call.gateway.logger, "resume"; "event" => "resume", "request" => &call.name,
            "after" => self.last, "reason" => reason);
        self.tries.sent += 1;
        for _ in 0..RESUMPTIONS {
            let pick = call.pick(&self.tries).await.map_err(|problem| {
                call.log_end("cut", &problem.to_string(), &self.tries);
                body::Error::from(problem)
            })?;
            let Some(reservations) = call.reserve(&pick, &mut self.tries).await else {
                continue;
            };
            match call.attempt(&pick, self.last).await {
                Outcome::Stream(exchange) => {
                    self.exchange = Some(*exchange);
                    self.pick = Some(pick);
                    self.reservations = reservations;
                    return Ok(());
                }
                Outcome::Unsent(_) => self.tries.spare(pick.key),
                _ => break,
            }
        }
        call.log_end("cut", "could not be resumed", &self.tries);
        Err("the stream could not be resumed".into())
    }
}
