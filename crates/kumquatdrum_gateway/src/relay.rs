//! Requests that one host sends to endpoints for another host, which does not reach them itself.
//!
//! [`Relays`] is the side of the host that has the request, [`Server`] the side of the relay. The
//! request stays under the control of the first host: its deadline, attempts and budgets are decided
//! there. A relay only sends directly, so that a request takes one hop at most.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use http::{Request, Response, StatusCode};
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt, Full, StreamBody};
use kumquatdrum_peer::{Channel, Client, Exchange as Parts};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_process::random;
use kumquatdrum_registry::Announcement;
use kumquatdrum_types::{HostId, Moment, hash};
use parking_lot::Mutex;
use slog::info;
use tokio::time::{Instant, timeout_at};

use crate::body::{self, Body};
use crate::hosts::{Hosts, RelayCandidate};
use crate::metrics::Metrics;
use crate::upstream::{self, Target};

mod message;
mod numbers;
mod server;

pub use message::{Failure, Incarnation, Part};
pub use numbers::Numbers;
pub use server::{Dependencies as ServerDependencies, Server};

/// The maximum number of relays that are tried for a request.
const MAX_RELAYS: usize = 4;
/// The number of relays that must fail to connect to an endpoint before it counts as unreachable.
const MIN_FAILED_RELAYS: usize = 2;
/// The timeout for a connection to a relay.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// The timeout for a relay's word that it is connected to the endpoint; longer than the relay's own
/// timeout for that. It ends requests that may be repeated.
const CONNECTED_TIMEOUT: Duration = Duration::from_millis(500);
/// The time in which relays usually respond. One that has taken longer is asked after the others.
const USUAL_RESPONSE_TIME: Duration = Duration::from_millis(100);
/// How long a relay that takes no requests is not asked again.
const BUSY_COOLDOWN: Duration = Duration::from_millis(100);
/// How long a relay that reaches no endpoint is not asked again.
const CUT_OFF_COOLDOWN: Duration = Duration::from_millis(300);
/// How long a relay that does not respond is asked after the others.
const LOST_COOLDOWN: Duration = Duration::from_secs(1);

/// The reason why no relay has an answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No other host takes callers.
    #[error("there is no other host")]
    NoHost,
    /// No relay takes the request.
    #[error("no relay takes the request")]
    Unavailable,
    /// Relays tried to send the request.
    #[error(transparent)]
    Failed(upstream::Error),
}

/// The dependencies of [`Relays`].
pub struct Dependencies {
    /// The host's clock.
    pub clock: Clock,
    /// The other hosts.
    pub hosts: Arc<Hosts>,
    /// The client for other hosts.
    pub client: Arc<Client>,
    /// The host's metrics.
    pub metrics: Arc<Metrics>,
    /// The host's logger.
    pub logger: slog::Logger,
}

/// Sends requests to endpoints through other hosts.
pub struct Relays {
    dependencies: Dependencies,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// The number of the last request to each relay.
    numbers: HashMap<HostId, u64>,
    /// The relays that have not yet responded to a request, each with the time of the first such one.
    unanswered: HashMap<HostId, Moment>,
    /// The relays that have failed lately, each with the end of its cooldown.
    cooldowns: HashMap<HostId, (Moment, Cooldown)>,
}

/// Why a relay is in a cooldown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cooldown {
    /// It takes no requests now.
    Busy,
    /// It does not reach the endpoints either.
    CutOff,
    /// It does not respond.
    Lost,
}

/// The outcome of asking one relay.
enum Refusal {
    /// Nothing was sent, and another relay may be asked.
    Unavailable(&'static str, Cooldown),
    /// Nothing was sent: the relay must not send to this endpoint.
    Held,
    /// Nothing was sent: the relay failed to connect to the endpoint.
    Unconnected(upstream::Error),
    /// The request may have been read.
    Failed(upstream::Error),
}

impl Relays {
    /// Creates a sender through the other hosts.
    pub fn new(dependencies: Dependencies) -> Self {
        Self {
            dependencies,
            state: Mutex::default(),
        }
    }

    /// Sends a request to an endpoint through another host, and waits for the head of the response.
    /// Tries several hosts, as long as nothing was sent.
    pub async fn send(
        &self,
        target: &Target<'_>,
        request: &Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<(HostId, Response<Body>), Error> {
        let candidates = self.dependencies.hosts.relay_candidates();
        if candidates.is_empty() {
            return Err(Error::NoHost);
        }
        let mut failures = 0;
        for candidate in self.choose(candidates) {
            let refusal = match self.ask(&candidate, target, request, deadline).await {
                Ok(response) => {
                    self.log(target, &candidate.id, "answered");
                    return Ok((candidate.id, response));
                }
                Err(refusal) => refusal,
            };
            match refusal {
                Refusal::Unavailable(reason, cooldown) => {
                    self.log(target, &candidate.id, reason);
                    self.cool_down(candidate.id, cooldown);
                }
                Refusal::Held => self.log(target, &candidate.id, "held"),
                Refusal::Unconnected(error) => {
                    self.log(target, &candidate.id, "unconnected");
                    failures += 1;
                    if failures == MIN_FAILED_RELAYS {
                        return Err(Error::Failed(error));
                    }
                }
                Refusal::Failed(error) => {
                    self.log(target, &candidate.id, "failed");
                    return Err(Error::Failed(error));
                }
            }
        }
        Err(Error::Unavailable)
    }

    /// Returns the hosts to ask. Those of the local data centre come first, and hosts that do not
    /// respond last. The order differs between requests, so that they spread over all hosts.
    fn choose(&self, mut candidates: Vec<RelayCandidate>) -> Vec<RelayCandidate> {
        let now = self.dependencies.clock.now();
        let mut state = self.state.lock();
        state.cooldowns.retain(|_, (until, _)| now < *until);
        let cooldown = |candidate: &RelayCandidate| {
            let cooldown = state.cooldowns.get(&candidate.id);
            cooldown.map(|(_, cooldown)| *cooldown)
        };
        candidates.retain(|candidate| matches!(cooldown(candidate), None | Some(Cooldown::Lost)));
        let seed = random::number();
        let rank = |candidate: &RelayCandidate| {
            let spread = hash::mix(seed ^ hash::pair("relay", candidate.id.as_str()));
            let asked_at = state.unanswered.get(&candidate.id);
            let is_slow = asked_at.is_some_and(|at| now - *at > USUAL_RESPONSE_TIME);
            let is_last = is_slow || cooldown(candidate).is_some();
            (is_last, candidate.is_remote, spread)
        };
        candidates.sort_by_cached_key(rank);
        drop(state);
        // A second host in the same data centre may have lost the same path.
        if let Some(remote) = candidates.iter().position(|candidate| candidate.is_remote)
            && remote > 1
        {
            candidates[1..=remote].rotate_right(1);
        }
        candidates.truncate(MAX_RELAYS);
        candidates
    }

    fn record_asked(&self, candidate: &RelayCandidate) {
        let now = self.dependencies.clock.now();
        let mut state = self.state.lock();
        state.unanswered.entry(candidate.id.clone()).or_insert(now);
    }

    fn cool_down(&self, host: HostId, cooldown: Cooldown) {
        let duration = match cooldown {
            Cooldown::Busy => BUSY_COOLDOWN,
            Cooldown::CutOff => CUT_OFF_COOLDOWN,
            Cooldown::Lost => LOST_COOLDOWN,
        };
        let until = self.dependencies.clock.now() + duration;
        let mut state = self.state.lock();
        state.unanswered.remove(&host);
        state.cooldowns.insert(host, (until, cooldown));
    }

    /// Asks one host to send a request.
    async fn ask(
        &self,
        candidate: &RelayCandidate,
        target: &Target<'_>,
        request: &Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Response<Body>, Refusal> {
        let relayed = self.encode(candidate, target, request, deadline).await;
        let bytes = postcard::to_stdvec(&relayed)
            .map_err(|_| Refusal::Unavailable("not_encoded", Cooldown::Busy))?;
        let client = &self.dependencies.client;
        let opened = client.exchange(
            &candidate.id,
            Channel::Requests,
            bytes.into(),
            CONNECT_TIMEOUT,
        );
        // A request that may not be repeated gains nothing if a silent relay is given up.
        let limit = if target.is_repeatable {
            deadline.min(Instant::now() + CONNECTED_TIMEOUT)
        } else {
            deadline
        };
        self.record_asked(candidate);
        let mut parts = match timeout_at(limit, opened).await {
            Ok(Ok(parts)) => parts,
            Ok(Err(error)) if error.is_unsent() => {
                return Err(Refusal::Unavailable("unreachable", Cooldown::Lost));
            }
            Ok(Err(error)) => return Err(self.lose(candidate, error.to_string())),
            Err(_) => return Err(self.lose(candidate, "it does not respond".to_owned())),
        };
        let first = timeout_at(limit, receive(&mut parts)).await;
        if first.is_ok() {
            self.state.lock().unanswered.remove(&candidate.id);
        }
        match first {
            Ok(Ok(Part::Connected)) => {}
            Ok(Ok(part)) => return Err(self.refusal(candidate, part)),
            Ok(Err(reason)) => return Err(self.lose(candidate, reason)),
            Err(_) => return Err(self.lose(candidate, "it does not respond".to_owned())),
        }
        match timeout_at(deadline, receive(&mut parts)).await {
            Ok(Ok(Part::Head { status, headers })) => {
                let response = build_response(status, &headers, parts);
                response.ok_or_else(|| self.lose(candidate, "an invalid head".to_owned()))
            }
            Ok(Ok(part)) => Err(self.refusal(candidate, part)),
            Ok(Err(reason)) => Err(self.lose(candidate, reason)),
            Err(_) => Err(Refusal::Failed(upstream::Error::TimedOut)),
        }
    }

    async fn encode(
        &self,
        candidate: &RelayCandidate,
        target: &Target<'_>,
        request: &Request<Full<Bytes>>,
        deadline: Instant,
    ) -> message::Request {
        let number = {
            let mut state = self.state.lock();
            let number = state.numbers.entry(candidate.id.clone()).or_default();
            *number += 1;
            *number
        };
        let incarnation = |endpoint: &Announcement| Incarnation {
            id: endpoint.id.clone(),
            started: endpoint.started,
        };
        let helpers = target.prefillers.iter();
        let helpers = helpers.map(|prefiller| incarnation(&prefiller.endpoint));
        // A complete body has a single frame, and cannot fail.
        let body = match request.body().size_hint().exact() {
            Some(0) | None => Bytes::new(),
            Some(_) => match request.body().clone().collect().await {
                Ok(body) => body.to_bytes(),
                Err(never) => match never {},
            },
        };
        message::Request {
            relay_boot: candidate.boot,
            number,
            endpoint: incarnation(target.endpoint),
            helpers: helpers.collect(),
            purpose: target.purpose,
            attempt_id: target.request.to_owned(),
            left_ms: (deadline - Instant::now()).as_millis() as u64,
            patience_ms: target.patience.map(|patience| patience.as_millis() as u64),
            is_repeatable: target.is_repeatable,
            method: request.method().as_str().to_owned(),
            path: request.uri().to_string(),
            headers: message::encode_headers(request.headers()),
            body,
        }
    }

    /// Returns the refusal for a part that ends the exchange before the head of a response.
    fn refusal(&self, candidate: &RelayCandidate, part: Part) -> Refusal {
        let Part::Failed(failure) = part else {
            return self.lose(candidate, "an unexpected part".to_owned());
        };
        match failure {
            Failure::Busy => Refusal::Unavailable("busy", Cooldown::Busy),
            Failure::Held => Refusal::Held,
            Failure::CutOff => Refusal::Unavailable("cut_off", Cooldown::CutOff),
            Failure::Unsent(reason) => Refusal::Unconnected(upstream::Error::Unsent(reason)),
            Failure::Refused(reason) => Refusal::Unconnected(upstream::Error::Refused(reason)),
            Failure::Lost(reason) => Refusal::Failed(upstream::Error::Lost(reason)),
            Failure::PathLost => self.lose(candidate, failure.to_string()),
            Failure::TimedOut => Refusal::Failed(upstream::Error::TimedOut),
        }
    }

    /// Returns the refusal after a relay was lost that may have sent the request.
    fn lose(&self, candidate: &RelayCandidate, reason: String) -> Refusal {
        self.cool_down(candidate.id.clone(), Cooldown::Lost);
        Refusal::Failed(upstream::Error::PathLost(format!(
            "relay {}: {reason}",
            candidate.id
        )))
    }

    fn log(&self, target: &Target<'_>, relay: &HostId, outcome: &'static str) {
        let Dependencies {
            metrics, logger, ..
        } = &self.dependencies;
        metrics.relayed.with_label_values(&[outcome]).inc();
        info!(logger, "relayed"; "event" => "relayed", "request" => target.request,
            "endpoint" => target.endpoint.id.as_str(), "relay" => relay.as_str(),
            "outcome" => outcome);
    }
}

/// Waits for the next part. Returns the reason if there is none.
async fn receive(parts: &mut Parts) -> Result<Part, String> {
    let bytes = parts.next().await.map_err(|error| error.to_string())?;
    let bytes = bytes.ok_or_else(|| "it stopped".to_owned())?;
    postcard::from_bytes(&bytes).map_err(|error| error.to_string())
}

/// Builds the response whose body arrives in further parts.
fn build_response(
    status: u16,
    headers: &[(String, Bytes)],
    parts: Parts,
) -> Option<Response<Body>> {
    let frames = stream::unfold(Some(parts), |parts| async move {
        let mut parts = parts?;
        match receive(&mut parts).await {
            Ok(Part::Data(bytes)) => Some((Ok(Frame::data(bytes)), Some(parts))),
            Ok(Part::End) => None,
            Ok(Part::Failed(failure)) => Some((Err(failure.to_string().into()), None)),
            Ok(Part::Connected | Part::Head { .. }) => Some((
                Err("an unexpected part of the relay's response".into()),
                None,
            )),
            Err(reason) => Some((Err(body::Error::from(reason)), None)),
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = StatusCode::from_u16(status).ok()?;
    *response.headers_mut() = message::decode_headers(headers)?;
    Some(response)
}
