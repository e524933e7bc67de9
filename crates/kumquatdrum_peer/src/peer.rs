//! A peer with its queues and connection, and the calls to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use kumquatdrum_types::HostId;
use parking_lot::Mutex;
use prost::Message;
use slog::{info, warn};
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};
use tonic::{Code, Request, Status};

use crate::frame::{self, Purpose};
use crate::generated::{Ack, Frame};
use crate::link::{Connection, Link};
use crate::queue::Queues;
use crate::subscription::Subscriptions;
use crate::{Channel, Error, Exchange, LocalDaemon, Parts};

/// Timeout for the acknowledgement of a frame; the transfer time of its bodies is added.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum throughput assumed for large frames.
const MINIMUM_BYTES_PER_SECOND: usize = 1 << 20;

/// A peer and the messages queued for it.
#[derive(Debug)]
pub(crate) struct Peer {
    local: Arc<LocalDaemon>,
    host: HostId,
    link: Link,
    queues: Mutex<Queues>,
    subscriptions: Subscriptions,
    wake: Notify,
    is_failing: AtomicBool,
}

impl Peer {
    pub(crate) fn new(local: Arc<LocalDaemon>, host: HostId, address: SocketAddr) -> Self {
        Self {
            link: Link::new(host.clone(), address),
            local,
            host,
            queues: Mutex::default(),
            subscriptions: Subscriptions::default(),
            wake: Notify::new(),
            is_failing: AtomicBool::new(false),
        }
    }

    pub(crate) fn link(&self) -> &Link {
        &self.link
    }

    /// Queues a message and returns the number of messages dropped.
    pub(crate) fn push(&self, channel: Channel, body: Bytes) -> usize {
        let dropped = self.queues.lock().push(channel, body);
        self.wake.notify_one();
        dropped
    }

    pub(crate) fn pop_batch(&self, channel: Channel) -> Vec<Bytes> {
        self.queues.lock().pop_batch(channel)
    }

    /// Waits until a message has been queued since the last call.
    pub(crate) async fn wait_for_messages(&self) {
        self.wake.notified().await;
    }

    /// Opens the peer's subscription to a channel and returns its messages.
    pub(crate) fn subscribe(&self, channel: Channel) -> Parts {
        self.subscriptions.open(channel)
    }

    /// Sends one frame and waits for its acknowledgement. Failures are counted and logged. Without a
    /// connection, the messages go to the peer's subscription if there is one.
    pub(crate) async fn send(&self, channel: Channel, mut bodies: Vec<Bytes>) {
        if !self.link.is_open() {
            bodies = self.subscriptions.send(channel, bodies);
        }
        if bodies.is_empty() {
            return;
        }
        let count = bodies.len();
        let limit = send_timeout(&bodies);
        let frame = frame::build(&self.local, &self.host, channel, bodies, Purpose::Send);
        let size = frame.encoded_len();
        let sent = async {
            let mut connection = self.link.connection().await?;
            self.local.counters.record_sent(channel, count, size);
            let call = connection.client.send(Request::new(frame));
            let response = timeout(limit, call).await;
            self.handle_response(&connection, response, limit).await
        };
        let result = sent.await;
        if result.is_err() {
            self.local.counters.record_dropped(channel, count);
        }
        self.log_transition(result);
    }

    /// Logs the first failure after a success and the first success after a failure.
    fn log_transition(&self, result: Result<Ack, Error>) {
        let was_failing = self.is_failing.swap(result.is_err(), Ordering::Relaxed);
        match result {
            Err(error) if !was_failing => {
                warn!(self.local.logger, "peer_lost"; "event" => "peer_lost", "peer" => self.host.as_str(), "error" => %error);
            }
            Ok(_) if was_failing => {
                info!(self.local.logger, "peer_back"; "event" => "peer_back", "peer" => self.host.as_str());
            }
            _ => {}
        }
    }

    /// Sends a request and waits for its response.
    pub(crate) async fn ask(
        &self,
        channel: Channel,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, Error> {
        let start = Instant::now();
        let mut connection = self.connect(limit).await?;
        let request = frame::build(
            &self.local,
            &self.host,
            channel,
            vec![body],
            Purpose::Request,
        );
        let code = request.code.clone();
        self.local
            .counters
            .record_sent(channel, 1, request.encoded_len());
        let rest = limit.saturating_sub(start.elapsed());
        let response = timeout(rest, connection.client.ask(Request::new(request))).await;
        // A timeout doesn't discard the connection because the handler may be slow; pings detect
        // silent connections.
        let response = match response {
            Ok(response) => {
                self.handle_response(&connection, Ok(response), limit)
                    .await?
            }
            Err(_) => return Err(self.timeout_error(limit)),
        };
        self.accept(response, Purpose::Response(&code))
    }

    /// Sends a request whose response arrives in parts.
    pub(crate) async fn exchange(
        self: Arc<Self>,
        channel: Channel,
        body: Bytes,
        limit: Duration,
    ) -> Result<Exchange, Error> {
        let mut connection = self.connect(limit).await?;
        let purpose = Purpose::Exchange;
        let request = frame::build(&self.local, &self.host, channel, vec![body], purpose);
        let code = request.code.clone();
        self.local
            .counters
            .record_sent(channel, 1, request.encoded_len());
        let response = connection.client.exchange(Request::new(request)).await;
        let parts = self
            .handle_response(&connection, Ok(response), limit)
            .await?;
        Ok(Exchange::new(self, connection, parts, code))
    }

    async fn connect(&self, limit: Duration) -> Result<Connection, Error> {
        let connected = timeout(limit, self.link.connection()).await;
        connected.map_err(|_| Error::Unreachable {
            host: self.host.clone(),
            reason: "timed out while connecting".to_owned(),
        })?
    }

    pub(crate) fn accept(&self, response: Frame, purpose: Purpose<'_>) -> Result<Bytes, Error> {
        let size = response.encoded_len();
        let accepted = frame::accept(&self.local, response, purpose);
        match accepted {
            Ok(accepted) if accepted.from.host == self.host => {
                self.local
                    .counters
                    .record_received(accepted.channel, 1, size);
                Ok(accepted.bodies.into_iter().next().unwrap_or_default())
            }
            Ok(accepted) => {
                Err(self.refusal_error(format!("response came from host {}", accepted.from.host)))
            }
            Err(violation) => Err(self.refusal_error(format!("invalid response: {violation}"))),
        }
    }

    async fn handle_response<T>(
        &self,
        connection: &Connection,
        response: Result<Result<tonic::Response<T>, Status>, tokio::time::error::Elapsed>,
        limit: Duration,
    ) -> Result<T, Error> {
        match response {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(self.handle_status(connection, &status).await),
            Err(_) => {
                self.link.discard(connection).await;
                Err(self.timeout_error(limit))
            }
        }
    }

    /// Converts the status of a failed call, and discards the connection if it was lost.
    pub(crate) async fn handle_status(&self, connection: &Connection, status: &Status) -> Error {
        let host = self.host.clone();
        let reason = status.message().to_owned();
        match status.code() {
            Code::Unauthenticated => self.refusal_error(reason),
            Code::Aborted => Error::Failed { host, reason },
            _ => {
                self.link.discard(connection).await;
                Error::Lost { host, reason }
            }
        }
    }

    fn timeout_error(&self, limit: Duration) -> Error {
        Error::Timeout {
            host: self.host.clone(),
            timeout: limit,
        }
    }

    fn refusal_error(&self, reason: String) -> Error {
        Error::Refused {
            host: self.host.clone(),
            reason,
        }
    }
}

fn send_timeout(bodies: &[Bytes]) -> Duration {
    let bytes: usize = bodies.iter().map(Bytes::len).sum();
    SEND_TIMEOUT + Duration::from_secs((bytes / MINIMUM_BYTES_PER_SECOND) as u64)
}
