//! The response of one endpoint to a caller's stream.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use kumquatdrum_placement::{Failure, Trouble};
use kumquatdrum_quarantine::SURVIVAL_TIME;
use kumquatdrum_response::Completeness;
use kumquatdrum_response::event::{Events, Splitter};
use kumquatdrum_response::silence::{Limits, Silence, Step};
use kumquatdrum_types::Moment;
use tokio::time::{Instant, sleep_until};

use super::Call;
use crate::pool::Pick;
use crate::reservation::Reservation;
use crate::upstream::Exchange;

/// The time after the deadline for which events that have arrived are still forwarded.
const MAX_LATENESS: Duration = Duration::from_millis(250);

/// The silence after which a stream is tried elsewhere, in multiples of the caller's maximum
/// pause. Shorter silences are more likely caused by an engine that is busy with prefill than by a
/// failure, and resuming would only add to the prefill.
const MAX_SILENT_PAUSES: u32 = 8;
/// The minimum silence after which a stream is tried elsewhere.
const MIN_SILENCE: Duration = Duration::from_secs(2);

/// The silence after which a stream is tried elsewhere if the path is cut, in multiples of the
/// caller's maximum pause. Streams on open connections may live on during a cut.
const CUT_SILENCE_PAUSES: u32 = 2;
/// The minimum of that silence.
const MIN_CUT_SILENCE: Duration = Duration::from_millis(250);

/// The response of one endpoint. Dropping it closes the connection and releases reserved memory.
pub(super) struct Source {
    pub(super) pick: Pick,
    reservations: Vec<Reservation>,
    exchange: Option<Exchange>,
    splitter: Splitter,
    pub(super) last_event_id: Option<u64>,
    /// When the first event of the endpoint arrived.
    pub(super) begun_at: Option<Moment>,
    /// Whether it is recorded that the endpoint has survived the prompt.
    has_survived: bool,
}

/// The result of waiting for the next events.
pub(super) enum Received {
    Events(Bytes),
    Complete,
    /// The body has ended with its connection, between two events.
    UnknownEnd,
    Broken(String),
    /// The endpoint is silent and accepts no connections.
    Gone,
    TimedOut,
}

impl Source {
    /// Creates the source of the events after `last_event_id`.
    pub(super) fn new(
        pick: Pick,
        reservations: Vec<Reservation>,
        exchange: Exchange,
        last_event_id: Option<u64>,
    ) -> Self {
        Self {
            pick,
            reservations,
            exchange: Some(exchange),
            splitter: Splitter::new(last_event_id.is_some()),
            last_event_id,
            begun_at: None,
            has_survived: false,
        }
    }

    /// Returns the silence that begins now.
    pub(super) fn begin_silence(&self, call: &Call) -> Silence {
        let pauses = call.max_pause().saturating_mul(MAX_SILENT_PAUSES);
        let resume = MIN_SILENCE.max(pauses);
        let check = self.check_limit(call).unwrap_or(resume).min(resume);
        Silence::new(call.gateway.clock.now(), Limits { resume, check })
    }

    /// Returns the silence after which the endpoint is checked if memory is reserved.
    fn check_limit(&self, call: &Call) -> Option<Duration> {
        let is_reserved = !self.reservations.is_empty();
        is_reserved.then(|| call.gateway.reserved_silence())
    }

    /// Waits for the first events. Until then another endpoint is tried only in place of this one.
    pub(super) async fn receive_first(&mut self, call: &Call, can_resume: bool) -> Received {
        let limits = Limits {
            resume: Duration::MAX,
            check: self.check_limit(call).unwrap_or(Duration::MAX),
        };
        let mut silence = Silence::new(call.gateway.clock.now(), limits);
        match self.watch(call, &mut silence, can_resume).await {
            Some(Received::Gone) => Received::Broken("silent".to_owned()),
            Some(received) => received,
            None => Received::Broken("endpoints answer other hosts only".to_owned()),
        }
    }

    /// Waits for the next events, and checks the endpoint meanwhile. Returns `None` when another
    /// endpoint is to be tried, if one may be.
    pub(super) async fn watch(
        &mut self,
        call: &Call,
        silence: &mut Silence,
        can_resume: bool,
    ) -> Option<Received> {
        let clock = &call.gateway.clock;
        let deadline = call.deadline_instant();
        let mut cut = std::pin::pin!(self.wait_for_cut(call, can_resume));
        loop {
            // While bytes arrive without pause, they exhaust the task's budget, and timers don't fire.
            if clock.now() >= call.deadline + MAX_LATENESS {
                return Some(Received::TimedOut);
            }
            let step = silence.step(clock.now(), can_resume);
            let until = match step {
                Step::Try => return None,
                Step::Check => deadline,
                Step::Wait(until) => deadline.min(clock.instant(until)),
            };
            let check = self.is_gone(call);
            tokio::select! {
                biased;
                received = self.receive(call) => {
                    if received.is_some() {
                        return received;
                    }
                }
                () = &mut cut, if !silence.is_cut() => silence.record_cut(clock.now()),
                is_gone = check, if step == Step::Check => {
                    if is_gone {
                        return Some(Received::Gone);
                    }
                    silence.record_check(clock.now());
                }
                () = sleep_until(until) => {
                    if Instant::now() >= deadline {
                        return Some(Received::TimedOut);
                    }
                }
            }
        }
    }

    /// Waits for the next events as [`Self::watch`] does, while another endpoint is being tried.
    pub(super) async fn wait(&mut self, call: &Call, silence: &mut Silence) -> Received {
        loop {
            if let Some(received) = self.watch(call, silence, false).await {
                return received;
            }
        }
    }

    /// Returns whether the endpoint is known to be gone, or accepts no connections while memory of
    /// others is reserved.
    fn is_gone(&self, call: &Call) -> impl Future<Output = bool> + use<> {
        let (gateway, endpoint) = (call.gateway.clone(), self.pick.endpoint.clone());
        let is_reserved = !self.reservations.is_empty();
        async move {
            if is_reserved {
                !gateway.is_listening(&endpoint).await
            } else {
                gateway.is_gone(&endpoint).await
            }
        }
    }

    /// Waits until the path turns out to be cut while the endpoint is silent. That matters to a stream on
    /// this host's own connection that may be resumed.
    fn wait_for_cut(&self, call: &Call, can_resume: bool) -> impl Future<Output = ()> + use<> {
        let is_direct = self.exchange.as_ref().is_some_and(Exchange::is_direct);
        let pause = MIN_CUT_SILENCE.max(call.max_pause().saturating_mul(CUT_SILENCE_PAUSES));
        let (gateway, endpoint) = (call.gateway.clone(), self.pick.endpoint.clone());
        let waits_from = gateway.clock.now();
        let silent_at = Instant::now() + pause;
        async move {
            if !can_resume || !is_direct {
                return std::future::pending().await;
            }
            sleep_until(silent_at).await;
            let paths = gateway.upstream.paths();
            paths.record_trouble(&endpoint, Trouble::Late, waits_from);
            paths.wait_for_cut(&endpoint.service).await;
        }
    }

    /// Receives the next part of the body. Returns `None` if it completes no event.
    async fn receive(&mut self, call: &Call) -> Option<Received> {
        let Some(exchange) = &mut self.exchange else {
            return Some(Received::Broken("there is no response".to_owned()));
        };
        match exchange.response.body_mut().frame().await {
            Some(Err(error)) => Some(Received::Broken(error.to_string())),
            Some(Ok(frame)) => {
                let data = frame.into_data().ok()?;
                match self.splitter.push(&data) {
                    Ok(Events {
                        bytes,
                        last_event_id,
                    }) => {
                        self.last_event_id = last_event_id.or(self.last_event_id);
                        (!bytes.is_empty()).then_some(Received::Events(bytes))
                    }
                    Err(error) => Some(Received::Broken(error.to_string())),
                }
            }
            None => {
                let framing = exchange.framing;
                let rest_bytes = self.splitter.rest_bytes();
                call.log_body_end(&self.pick, framing, rest_bytes, self.last_event_id);
                // The path is fine, as the end of the connection has arrived.
                self.exchange = None;
                Some(match self.splitter.completeness(framing) {
                    Completeness::Complete => Received::Complete,
                    Completeness::Unknown => Received::UnknownEnd,
                    Completeness::Broken => {
                        Received::Broken("the stream ended inside an event".to_owned())
                    }
                })
            }
        }
    }

    /// Records that events have arrived, the first of which shows that the endpoint has begun to answer.
    pub(super) fn record_progress(&mut self, call: &Call, now: Moment) {
        let begun_at = *self.begun_at.get_or_insert(now);
        if !self.has_survived && now - begun_at >= SURVIVAL_TIME {
            self.has_survived = true;
            call.record_survival();
        }
    }

    /// Records that the response broke off, and checks whether the endpoint has crashed.
    pub(super) async fn record_broken(&mut self, call: &Call) {
        if let Some(exchange) = &self.exchange {
            let upstream = &call.gateway.upstream;
            upstream.record_broken(exchange, &self.pick.endpoint);
        }
        call.inspect(&self.pick, self.begun_at).await;
    }

    /// Gives the response up, and returns the id of its last event.
    pub(super) fn give_up(self, call: &Call, reason: &str) -> Option<u64> {
        self.pick.record_failure(Failure::Broken);
        call.log_attempt(&self.pick, "broken", reason);
        self.last_event_id
    }
}
