//! Requests to endpoints, each on its own connection.
//!
//! Connections are not reused, so that no request is sent on a dead connection or receives the
//! response to an earlier request. This costs one round trip per request.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

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

/// Sends a request and waits for the head of the response.
pub async fn send(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Exchange, Error> {
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().entry(header::HOST).or_insert(host);
    }
    let unsent = |error: &dyn std::fmt::Display| Error::Unsent(error.to_string());
    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connected = timeout_at(limit, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| Error::Unsent("connecting took too long".to_owned()))?
        .map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => Error::Refused(error.to_string()),
            _ => unsent(&error),
        })?;
    sockets::set_liveness_timeouts(&stream).map_err(|error| unsent(&error))?;
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.map_err(|error| unsent(&error))?;
    let driver = Driver(tokio::spawn(async move {
        // The response body reports the connection's errors.
        let _ = connection.await;
    }));
    match timeout_at(deadline, sender.send_request(request)).await {
        Ok(Ok(response)) => Ok(Exchange {
            response,
            _driver: driver,
        }),
        Ok(Err(error)) => Err(Error::Lost(error.to_string())),
        Err(_) => Err(Error::TimedOut),
    }
}
