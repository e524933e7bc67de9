//! Requests to endpoints, each on its own connection.
//!
//! [`Upstream`] is the only way to send a request: it checks right before that the endpoint may get
//! it, and records what the response says about further ones.
//!
//! Connections are not reused, so that no request is sent on a dead connection or receives the
//! response to an earlier request. This costs one round trip per request.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use kumquatdrum_registry::Announcement;
use kumquatdrum_types::EndpointId;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

use crate::Protocol;
use crate::holds::{Hold, Holds, Purpose};
use crate::pool::Prefiller;
use crate::protocol::Reply;
use crate::sockets;

/// The timeout for opening a connection. It is shorter than the retransmission timeout of a lost
/// SYN packet, so that another endpoint is tried instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

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
    /// The connection failed after the request may have been read.
    #[error("lost: {0}")]
    Lost(String),
    /// The endpoint did not respond in time; the request may have been read.
    #[error("no answer in time")]
    TimedOut,
}

/// A response in progress. Dropping it closes the connection, which cancels the endpoint's work.
#[derive(Debug)]
pub struct Exchange {
    /// The response, whose body is still arriving.
    pub response: Response<Incoming>,
    /// What the head of the response says.
    pub reply: Reply,
    _driver: Driver,
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
}

impl<'a> Target<'a> {
    /// Returns the target of an order to an endpoint.
    pub const fn order(endpoint: &'a Announcement, purpose: Purpose) -> Self {
        Self {
            endpoint,
            prefillers: &[],
            purpose,
            request: "",
        }
    }
}

/// Sends requests to endpoints.
#[derive(Clone)]
pub struct Upstream {
    protocol: Arc<dyn Protocol>,
    holds: Arc<Holds>,
}

impl Upstream {
    /// Creates a sender that respects the holds of a host.
    pub fn new(protocol: Arc<dyn Protocol>, holds: Arc<Holds>) -> Self {
        Self { protocol, holds }
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &self,
        target: Target<'_>,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Exchange, Error> {
        self.check(&target)?;
        let stream = connect(target.endpoint.address, deadline).await?;
        // The endpoint may have asked for a back-off while the connection was opened.
        self.check(&target)?;
        let (response, driver) = exchange(stream, target.endpoint, request, deadline).await?;
        let reply = self
            .protocol
            .parse_response(response.status(), response.headers());
        self.holds.record(target.endpoint, target.request, &reply);
        Ok(Exchange {
            response,
            reply,
            _driver: driver,
        })
    }

    fn check(&self, target: &Target<'_>) -> Result<(), Error> {
        let helpers = target.prefillers.iter();
        let helpers = helpers.map(|prefiller| &prefiller.endpoint);
        for endpoint in std::iter::once(target.endpoint).chain(helpers) {
            let checked = self.holds.check(endpoint, target.purpose);
            checked.map_err(|hold| {
                if target.purpose != Purpose::Upkeep {
                    self.holds.log_held(target.request, &endpoint.id, hold);
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

async fn connect(address: SocketAddr, deadline: Instant) -> Result<TcpStream, Error> {
    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connected = timeout_at(limit, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| Error::Unsent("connecting took too long".to_owned()))?
        .map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => Error::Refused(error.to_string()),
            _ => Error::Unsent(error.to_string()),
        })?;
    sockets::set_liveness_timeouts(&stream).map_err(|error| Error::Unsent(error.to_string()))?;
    Ok(stream)
}

async fn exchange(
    stream: TcpStream,
    endpoint: &Announcement,
    mut request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<(Response<Incoming>, Driver), Error> {
    if let Ok(host) = HeaderValue::from_str(&endpoint.address.to_string()) {
        request.headers_mut().entry(header::HOST).or_insert(host);
    }
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake
        .await
        .map_err(|error| Error::Unsent(error.to_string()))?;
    let driver = Driver(tokio::spawn(async move {
        // The response body reports the connection's errors.
        let _ = connection.await;
    }));
    match timeout_at(deadline, sender.send_request(request)).await {
        Ok(Ok(response)) => Ok((response, driver)),
        Ok(Err(error)) => Err(Error::Lost(error.to_string())),
        Err(_) => Err(Error::TimedOut),
    }
}
