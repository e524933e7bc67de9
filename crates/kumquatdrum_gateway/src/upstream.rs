//! Requests to endpoints, each on its own connection.
//!
//! [`Upstream`] is the only way to send a request: it checks right before that the endpoint may get
//! it, and records what the response says about further ones. A request takes this host's own
//! connection, or that of a relay if this host does not reach the endpoint.
//!
//! Connections are not reused, so that no request is sent on a dead connection or receives the
//! response to an earlier request. This costs one round trip per request.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use kumquatdrum_placement::{Route, Trouble};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_registry::Announcement;
use kumquatdrum_response::Framing;
use kumquatdrum_types::{EndpointId, HostId, Moment};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::Protocol;
use crate::body::Body;
use crate::evacuations::{self, Running};
use crate::holds::{Hold, Holds, Purpose};
use crate::paths::Paths;
use crate::pool::Prefiller;
use crate::protocol::Reply;
use crate::relay::{self, Relays};

mod socket;
mod unparsed;

use socket::{Socket, connect};
use unparsed::{MAX_BUFFERED_BYTES, Unparsed, describe};

/// The reason why there is no response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No part of the request was sent.
    #[error("not connected: {0}")]
    Unsent(String),
    /// No part of the request was sent, as no process listens at the address.
    #[error("refused: {0}")]
    Refused(String),
    /// No part of the request was sent, as an endpoint must not get it now.
    #[error("held back from {endpoint}: {hold}")]
    Held {
        /// The endpoint.
        endpoint: EndpointId,
        /// The reason.
        hold: Hold,
    },
    /// No part of the request was sent, as neither this host nor a relay reaches the service.
    #[error("no host reaches the endpoint")]
    CutOff,
    /// The connection failed after the request may have been read.
    #[error("lost: {0}")]
    Lost(String),
    /// The path to the endpoint failed after the request may have been read. The endpoint is not at
    /// fault.
    #[error("the path is lost: {0}")]
    PathLost(String),
    /// The endpoint did not respond in time; the request may have been read.
    #[error("no answer in time")]
    TimedOut,
}

/// A response in progress. Dropping it closes the connection, which cancels the endpoint's work.
#[derive(Debug)]
pub struct Exchange {
    /// The response, whose body is still arriving.
    pub response: Response<Body>,
    /// What the head of the response says.
    pub reply: Reply,
    /// How the end of the endpoint's body is marked.
    pub framing: Framing,
    /// The host whose connection the response arrives on, if it is not this one.
    pub relay: Option<HostId>,
    _driver: Option<Driver>,
    _running: Option<Running>,
}

impl Exchange {
    /// Returns whether the response arrives on this host's own connection.
    pub const fn is_direct(&self) -> bool {
        self.relay.is_none()
    }
}

/// A connection to an endpoint on which nothing has been sent yet.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    opened_at: Moment,
}

/// The task that drives a connection. Dropping it aborts the task and closes the connection.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Where a request goes.
#[derive(Debug, Clone, Copy)]
pub struct Target<'a> {
    /// The endpoint that gets the request.
    pub endpoint: &'a Announcement,
    /// The engines that prefill parts of the prompt.
    pub prefillers: &'a [Prefiller],
    /// What the request is for.
    pub purpose: Purpose,
    /// The caller's attempt id, for logs.
    pub request: &'a str,
    /// The longest time after which the answer is late, if that is known.
    pub patience: Option<Duration>,
    /// Whether the request may be repeated although it may have been read.
    pub is_repeatable: bool,
}

impl<'a> Target<'a> {
    /// Returns the target of an order to an endpoint. Orders name what they are about, so they may be
    /// repeated.
    pub const fn order(endpoint: &'a Announcement, purpose: Purpose, patience: Duration) -> Self {
        Self {
            endpoint,
            prefillers: &[],
            purpose,
            request: "",
            patience: Some(patience),
            is_repeatable: true,
        }
    }
}

/// The dependencies of [`Upstream`].
pub struct Dependencies {
    /// The host's clock.
    pub clock: Clock,
    /// Parses responses.
    pub protocol: Arc<dyn Protocol>,
    /// The evacuated data centres.
    pub evacuations: Arc<evacuations::Store>,
    /// What the endpoints may be sent.
    pub holds: Arc<Holds>,
    /// What this host reaches directly.
    pub paths: Arc<Paths>,
    /// Sends requests through other hosts.
    pub relays: Relays,
}

/// Sends requests to endpoints.
#[derive(Clone)]
pub struct Upstream(Arc<Dependencies>);

impl Upstream {
    /// Creates a sender that respects the holds of a host.
    pub fn new(dependencies: Dependencies) -> Self {
        Self(Arc::new(dependencies))
    }

    /// Returns what this host reaches directly.
    pub fn paths(&self) -> &Paths {
        &self.0.paths
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &self,
        target: Target<'_>,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Exchange, Error> {
        self.check_informed(&target).await?;
        let paths = &self.0.paths;
        let route = paths.route(target.endpoint);
        if route != Route::Direct {
            let sent_at = self.0.clock.now();
            match self.send_by_relay(&target, &request, deadline).await {
                Err(relay::Error::NoHost) => {}
                Err(relay::Error::Unavailable) if route == Route::RelayFirst => {}
                Err(relay::Error::Unavailable) => {
                    let error = Error::Unsent("no relay reaches the endpoint".to_owned());
                    return Err(self.or_cut_off(&target, error));
                }
                Err(relay::Error::Failed(error)) => return Err(error),
                Ok(exchange) => {
                    self.record_relayed(&target, sent_at);
                    return Ok(exchange);
                }
            }
        }
        let error = match self.connect(&target, deadline).await {
            Ok(connection) => return self.exchange(connection, &target, request, deadline).await,
            Err(error @ Error::Held { .. }) => return Err(error),
            Err(error) if route != Route::Direct => return Err(self.or_cut_off(&target, error)),
            Err(error) => error,
        };
        // Nothing was sent, so another host can try: if it connects, this host's path is at fault.
        match self.send_by_relay(&target, &request, deadline).await {
            Ok(exchange) => {
                paths.record_second_opinion(target.endpoint);
                Ok(exchange)
            }
            Err(relay::Error::Failed(error)) => Err(error),
            Err(relay::Error::NoHost | relay::Error::Unavailable) => {
                Err(self.or_cut_off(&target, error))
            }
        }
    }

    /// Records an answer through a relay, unless it took as long as answers that count as late.
    fn record_relayed(&self, target: &Target<'_>, sent_at: Moment) {
        let paths = &self.0.paths;
        let patience = target
            .patience
            .map(|patience| paths.patience(&target.endpoint.service, patience));
        let took = self.0.clock.now() - sent_at;
        if patience.is_none_or(|patience| took < patience) {
            paths.record_relayed_answer(target.endpoint);
        }
    }

    /// Finds out whether an endpoint answers directly and, if not, whether it answers a relay. Returns
    /// what a direct answer says.
    pub async fn probe(
        &self,
        target: &Target<'_>,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Option<Reply> {
        let timeout = deadline - Instant::now();
        let connected = self.connect(target, deadline).await;
        let answered = match connected {
            Ok(connection) => {
                let request = request.clone();
                self.exchange(connection, target, request, deadline).await
            }
            Err(error) => Err(error),
        };
        let paths = &self.0.paths;
        match answered {
            // The answer is recorded when it arrives. A hold says nothing about the path.
            Ok(exchange) => return Some(exchange.reply),
            Err(Error::Held { .. }) => return None,
            Err(error) => paths.record_failed_probe(target.endpoint, trouble(&error)),
        }
        let is_known = paths.is_cut(&target.endpoint.service);
        let deadline = Instant::now() + timeout;
        if !is_known && self.send_by_relay(target, &request, deadline).await.is_ok() {
            paths.record_relayed_answer(target.endpoint);
        }
        None
    }

    /// Returns the error of a request that neither this host nor a relay could send.
    fn or_cut_off(&self, target: &Target<'_>, error: Error) -> Error {
        if self.0.paths.is_isolated(&target.endpoint.service) {
            Error::CutOff
        } else {
            error
        }
    }

    async fn send_by_relay(
        &self,
        target: &Target<'_>,
        request: &Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Exchange, relay::Error> {
        let checked = self.check_informed(target).await;
        checked.map_err(relay::Error::Failed)?;
        let mut request = request.clone();
        add_host(&mut request, target.endpoint);
        let sent = self.0.relays.send(target, &request, deadline);
        let (relay, response) = sent.await?;
        let framing = framing(request.method(), &response).map_err(relay::Error::Failed)?;
        let reply = self.record(target, response.status(), response.headers());
        Ok(Exchange {
            response,
            reply,
            framing,
            relay: Some(relay),
            _driver: None,
            _running: None,
        })
    }

    /// Opens a connection to an endpoint that may be sent to.
    pub async fn connect(
        &self,
        target: &Target<'_>,
        deadline: Instant,
    ) -> Result<Connection, Error> {
        self.check_informed(target).await?;
        let opened_at = self.0.clock.now();
        let connected = connect(target.endpoint.address, deadline).await;
        let stream = connected.inspect_err(|error| {
            // A refusal shows the state of the path now, a timeout since the start.
            let from = match error {
                Error::Refused(_) => self.0.clock.now(),
                _ => opened_at,
            };
            let paths = &self.0.paths;
            paths.record_trouble(target.endpoint, Trouble::Unconnected, from);
        })?;
        // The endpoint may have asked for a back-off while the connection was opened.
        self.check_informed(target).await?;
        Ok(Connection { stream, opened_at })
    }

    /// Sends a request on a connection and waits for the head of the response.
    pub async fn exchange(
        &self,
        connection: Connection,
        target: &Target<'_>,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Exchange, Error> {
        let Connection { stream, opened_at } = connection;
        let data_centre = &target.endpoint.data_centre;
        let running = self.0.evacuations.begin(data_centre);
        // For another host, this one may have waited since it was connected.
        self.check_informed(target).await?;
        add_host(&mut request, target.endpoint);
        let unparsed = Unparsed::default();
        let stream = TokioIo::new(Socket::new(stream, unparsed.clone()));
        let mut builder = http1::Builder::new();
        let handshake = builder.max_buf_size(MAX_BUFFERED_BYTES).handshake(stream);
        let (mut sender, connection) = handshake
            .await
            .map_err(|error| Error::Unsent(error.to_string()))?;
        let driver = Driver(tokio::spawn(async move {
            // The response body reports the connection's errors.
            let _ = connection.await;
        }));
        let paths = &self.0.paths;
        let method = request.method().clone();
        let answer = sender.send_request(request);
        let answer = self.await_answer(answer, target, opened_at, deadline).await;
        let framed = answer.and_then(|response| Ok((framing(&method, &response)?, response)));
        let (framing, response) = match framed {
            Ok(framed) => framed,
            Err(error) => {
                if matches!(error, Error::Lost(_)) {
                    let now = self.0.clock.now();
                    paths.record_trouble(target.endpoint, Trouble::Broken, now);
                }
                return Err(error);
            }
        };
        unparsed.reset();
        paths.record_answer(target.endpoint, opened_at);
        let reply = self.record(target, response.status(), response.headers());
        Ok(Exchange {
            response: response.map(|body| {
                let body = body.map_frame(move |frame| {
                    unparsed.reset();
                    frame
                });
                body.map_err(|error| describe(&error).into()).boxed_unsync()
            }),
            reply,
            framing,
            relay: None,
            _driver: Some(driver),
            _running: Some(running),
        })
    }

    /// Waits for the head of a response. Gives up a late answer if the path turns out to be cut and the
    /// request may be repeated.
    async fn await_answer(
        &self,
        answer: impl Future<Output = hyper::Result<Response<Incoming>>>,
        target: &Target<'_>,
        opened_at: Moment,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Error> {
        let mut answer = pin!(answer);
        let service = &target.endpoint.service;
        let paths = &self.0.paths;
        let patience = target
            .patience
            .map(|patience| paths.patience(service, patience));
        let late_at = patience.map(|patience| Instant::now() + patience);
        let late_at = late_at.filter(|late_at| *late_at < deadline);
        let first_limit = late_at.unwrap_or(deadline);
        match timeout_at(first_limit, &mut answer).await {
            Ok(answer) => return answer.map_err(|error| Error::Lost(describe(&error))),
            Err(_) if late_at.is_none() => return Err(Error::TimedOut),
            Err(_) => {}
        }
        paths.record_trouble(target.endpoint, Trouble::Late, opened_at);
        tokio::select! {
            biased;
            answer = answer => answer.map_err(|error| Error::Lost(describe(&error))),
            () = paths.wait_for_cut(service), if target.is_repeatable => {
                Err(Error::PathLost("endpoints answer other hosts only".to_owned()))
            }
            () = sleep_until(deadline) => Err(Error::TimedOut),
        }
    }

    /// Records that a response that arrived directly broke off.
    pub fn record_broken(&self, exchange: &Exchange, endpoint: &Announcement) {
        if exchange.is_direct() {
            let now = self.0.clock.now();
            self.0.paths.record_trouble(endpoint, Trouble::Broken, now);
        }
    }

    fn record(
        &self,
        target: &Target<'_>,
        status: http::StatusCode,
        headers: &http::HeaderMap,
    ) -> Reply {
        let reply = self.0.protocol.parse_response(status, headers);
        self.0.holds.record(target.endpoint, target.request, &reply);
        reply
    }

    /// Checks a request as [`Self::check`] does, on a host that was suspended after it has had news.
    async fn check_informed(&self, target: &Target<'_>) -> Result<(), Error> {
        if target.purpose != Purpose::Upkeep {
            self.0.evacuations.suspension().wait_for_news().await;
        }
        self.check(target)
    }

    fn check(&self, target: &Target<'_>) -> Result<(), Error> {
        let holds = &self.0.holds;
        let helpers = target.prefillers.iter();
        let helpers = helpers.map(|prefiller| &prefiller.endpoint);
        for endpoint in std::iter::once(target.endpoint).chain(helpers) {
            let checked = holds.check(endpoint, target.purpose);
            checked.map_err(|hold| {
                if target.purpose != Purpose::Upkeep {
                    holds.log_held(target.request, &endpoint.id, hold);
                }
                Error::Held {
                    endpoint: endpoint.id.clone(),
                    hold,
                }
            })?;
        }
        Ok(())
    }
}

/// Returns the framing of a response, unless its head is none.
fn framing<B>(method: &Method, response: &Response<B>) -> Result<Framing, Error> {
    let framing = Framing::of(method, response.status(), response.headers());
    framing.map_err(|error| Error::Lost(error.to_string()))
}

/// Returns the trouble that a failed probe shows.
const fn trouble(error: &Error) -> Trouble {
    match error {
        Error::TimedOut => Trouble::Late,
        Error::Lost(_) | Error::PathLost(_) => Trouble::Broken,
        Error::Unsent(_) | Error::Refused(_) | Error::Held { .. } | Error::CutOff => {
            Trouble::Unconnected
        }
    }
}

fn add_host(request: &mut Request<Full<Bytes>>, endpoint: &Announcement) {
    if let Ok(host) = HeaderValue::from_str(&endpoint.address.to_string()) {
        request.headers_mut().entry(header::HOST).or_insert(host);
    }
}
