//! Sends requests of other hosts to endpoints.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, BoxStream, StreamExt};
use http::Request;
use http_body_util::{BodyExt, Full};
use kumquatdrum_peer::Identity;
use kumquatdrum_process::Drain;
use kumquatdrum_process::drain::Work;
use kumquatdrum_registry::Announcement;
use parking_lot::Mutex;
use slog::{info, warn};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

use super::message::{self, Failure, Incarnation, Part, encode_headers};
use super::numbers::Numbers;
use crate::endpoints::Endpoints;
use crate::pool::Prefiller;
use crate::upstream::{self, Connection, Exchange, Target, Upstream};

/// The maximum number of requests of other hosts under way.
const MAX_REQUESTS: usize = 64;
/// The maximum size of all their bodies in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The dependencies of a [`Server`].
pub struct Dependencies {
    /// This host's incarnation.
    pub boot: u64,
    /// Sends the requests.
    pub upstream: Upstream,
    /// Announced endpoints.
    pub endpoints: Arc<Endpoints>,
    /// The host's shutdown, which waits for requests under way.
    pub drain: Arc<Drain>,
    /// The host's logger.
    pub logger: slog::Logger,
}

/// Sends requests of other hosts to endpoints.
pub struct Server {
    dependencies: Dependencies,
    requests: Arc<Semaphore>,
    body_bytes: Arc<Semaphore>,
    numbers: Mutex<Numbers>,
}

/// A request that this host has accepted.
struct Accepted {
    endpoint: Announcement,
    helpers: Vec<Prefiller>,
    request: Request<Full<Bytes>>,
    message: message::Request,
    deadline: Instant,
    permit: Permit,
}

/// Counts a request as under way until it is dropped.
struct Permit {
    _work: Work,
    _request: OwnedSemaphorePermit,
    _body: OwnedSemaphorePermit,
}

/// What the next part depends on.
enum State {
    Accepted(Box<Accepted>),
    Connected(Box<Accepted>, Box<Connection>),
    Responding(Box<Exchange>, Instant, Permit),
}

impl Server {
    /// Creates a relay without requests.
    pub fn new(dependencies: Dependencies) -> Self {
        Self {
            dependencies,
            requests: Arc::new(Semaphore::new(MAX_REQUESTS)),
            body_bytes: Arc::new(Semaphore::new(MAX_BODY_BYTES)),
            numbers: Mutex::default(),
        }
    }

    /// Sends a request of another host to its endpoint and returns the encoded parts of the response.
    /// Dropping the stream cancels the request.
    pub fn serve(self: Arc<Self>, from: &Identity, body: &[u8]) -> BoxStream<'static, Bytes> {
        let parts = match self.accept(from, body) {
            Ok(accepted) => {
                let state = Some(State::Accepted(Box::new(accepted)));
                stream::unfold(state, move |state| {
                    let server = self.clone();
                    async move { Some(server.step(state?).await) }
                })
                .boxed()
            }
            Err(failure) => stream::iter([Part::Failed(failure)]).boxed(),
        };
        let encoded = parts.map(|part| postcard::to_stdvec(&part).map(Bytes::from));
        // Parts always encode; an error ends the stream, which the other host takes for a lost relay.
        encoded
            .take_while(|part| std::future::ready(part.is_ok()))
            .filter_map(|part| std::future::ready(part.ok()))
            .boxed()
    }

    fn accept(&self, from: &Identity, body: &[u8]) -> Result<Accepted, Failure> {
        let Dependencies {
            boot,
            upstream,
            endpoints,
            drain,
            logger,
        } = &self.dependencies;
        let message: message::Request = postcard::from_bytes(body).map_err(|error| {
            warn!(logger, "message_unreadable"; "event" => "message_unreadable",
                "from" => from.host.as_str(), "reason" => %error);
            Failure::Busy
        })?;
        let is_new = message.relay_boot == *boot
            && self
                .numbers
                .lock()
                .record(&from.host, from.boot.0, message.number);
        if !is_new || drain.is_draining() {
            return Err(Failure::Busy);
        }
        let find = |named: &Incarnation| endpoints.find(&named.id, named.started);
        let endpoint = find(&message.endpoint).ok_or(Failure::Held)?;
        if upstream.paths().is_in_doubt(&endpoint.service) {
            return Err(Failure::CutOff);
        }
        let body_bytes = u32::try_from(message.body.len()).map_err(|_| Failure::Busy)?;
        let permit = Permit {
            _work: drain.begin_work(),
            _request: self
                .requests
                .clone()
                .try_acquire_owned()
                .map_err(|_| Failure::Busy)?,
            _body: self
                .body_bytes
                .clone()
                .try_acquire_many_owned(body_bytes)
                .map_err(|_| Failure::Busy)?,
        };
        let request = message.to_http().ok_or(Failure::Busy)?;
        let helpers = message.helpers.iter().filter_map(find);
        let helpers = helpers.map(Prefiller::unreserved).collect();
        info!(logger, "relaying"; "event" => "relaying", "request" => &message.attempt_id,
            "for" => from.host.as_str(), "endpoint" => endpoint.id.as_str(),
            "left_ms" => message.left_ms);
        Ok(Accepted {
            endpoint,
            helpers,
            request,
            deadline: Instant::now() + Duration::from_millis(message.left_ms),
            message,
            permit,
        })
    }

    /// Returns the next part, and the state after it unless it is the last one.
    async fn step(&self, state: State) -> (Part, Option<State>) {
        let upstream = &self.dependencies.upstream;
        match state {
            State::Accepted(accepted) => {
                let target = accepted.target();
                match upstream.connect(&target, accepted.deadline).await {
                    Ok(connection) => {
                        let state = State::Connected(accepted, Box::new(connection));
                        (Part::Connected, Some(state))
                    }
                    Err(error) => (Part::Failed(failure(error)), None),
                }
            }
            State::Connected(accepted, connection) => {
                let request = accepted.request.clone();
                let target = accepted.target();
                let sent = upstream.exchange(*connection, &target, request, accepted.deadline);
                match sent.await {
                    Ok(exchange) => {
                        let head = Part::Head {
                            status: exchange.response.status().as_u16(),
                            headers: encode_headers(exchange.response.headers()),
                        };
                        let Accepted {
                            deadline, permit, ..
                        } = *accepted;
                        let state = State::Responding(Box::new(exchange), deadline, permit);
                        (head, Some(state))
                    }
                    Err(error) => (Part::Failed(failure(error)), None),
                }
            }
            State::Responding(mut exchange, deadline, permit) => loop {
                let frame = exchange.response.body_mut().frame();
                match timeout_at(deadline, frame).await {
                    Ok(Some(Ok(frame))) => {
                        if let Ok(data) = frame.into_data() {
                            let state = State::Responding(exchange, deadline, permit);
                            return (Part::Data(data), Some(state));
                        }
                    }
                    Ok(Some(Err(error))) => {
                        return (Part::Failed(Failure::Lost(error.to_string())), None);
                    }
                    Ok(None) => return (Part::End, None),
                    Err(_) => return (Part::Failed(Failure::TimedOut), None),
                }
            },
        }
    }
}

impl Accepted {
    fn target(&self) -> Target<'_> {
        Target {
            endpoint: &self.endpoint,
            prefillers: &self.helpers,
            purpose: self.message.purpose,
            request: &self.message.attempt_id,
            patience: self.message.patience_ms.map(Duration::from_millis),
            is_repeatable: self.message.is_repeatable,
        }
    }
}

/// Returns how an error is reported to the other host.
fn failure(error: upstream::Error) -> Failure {
    match error {
        upstream::Error::Unsent(reason) => Failure::Unsent(reason),
        upstream::Error::Refused(reason) => Failure::Refused(reason),
        upstream::Error::Held { .. } => Failure::Held,
        upstream::Error::CutOff => Failure::CutOff,
        upstream::Error::Lost(reason) => Failure::Lost(reason),
        upstream::Error::PathLost(_) => Failure::PathLost,
        upstream::Error::TimedOut => Failure::TimedOut,
    }
}
