//! Connection to one peer, opened on demand and discarded after a failure.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kumquatdrum_types::HostId;
use parking_lot::Mutex;
use tokio::time::{Instant, interval, timeout};
use tonic::transport::{Channel, Endpoint};

use crate::Error;
use crate::frame::FRAME_LIMIT_BYTES;
use crate::generated::peer_client::PeerClient;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between connection attempts while none is answered. A host that was not up doesn't answer
/// earlier ones, and the kernel repeats them only after a second. They stay open, since the answer may
/// be late.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(100);
/// The same for a host that has not answered for [`MAX_QUICK_OPENS`] times [`CONNECT_TIMEOUT`].
const SLOW_ATTEMPT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of failed openings after which attempts become slower. Covers a power loss of all hosts that
/// start one after another.
const MAX_QUICK_OPENS: u32 = 5;
/// Time after a failed attempt during which calls fail without another attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(90);
/// Time without received data after which a waiting call sends an HTTP/2 ping.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a response to a ping after which the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

/// Connection to one peer.
#[derive(Debug)]
pub(crate) struct Link {
    host: HostId,
    address: Mutex<SocketAddr>,
    // Locked while a connection is being opened, so that calls share one attempt.
    state: tokio::sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    open: Option<Connection>,
    opened: u64,
    /// The number of openings that have timed out since the last connection.
    timed_out: u32,
    failed: Option<(Instant, Error)>,
}

/// Open connection, numbered so that a late failure doesn't close its successor.
#[derive(Debug, Clone)]
pub(crate) struct Connection {
    address: SocketAddr,
    number: u64,
    pub(crate) client: PeerClient<Channel>,
}

impl Link {
    pub(crate) fn new(host: HostId, address: SocketAddr) -> Self {
        Self {
            host,
            address: Mutex::new(address),
            state: tokio::sync::Mutex::default(),
        }
    }

    /// Changes the address for the next call.
    pub(crate) fn set_address(&self, address: SocketAddr) {
        *self.address.lock() = address;
    }

    /// Returns the open connection, or opens a new one.
    pub(crate) async fn connection(&self) -> Result<Connection, Error> {
        let mut state = self.state.lock().await;
        let address = *self.address.lock();
        match (&state.open, &state.failed) {
            (Some(open), _) if open.address == address => return Ok(open.clone()),
            (None, Some((at, error))) if at.elapsed() < RECONNECT_DELAY => {
                return Err(error.clone());
            }
            _ => {}
        }
        state.open = None;
        let pace = if state.timed_out < MAX_QUICK_OPENS {
            ATTEMPT_INTERVAL
        } else {
            SLOW_ATTEMPT_INTERVAL
        };
        match self.open(address, pace).await {
            Ok(channel) => {
                state.opened += 1;
                state.timed_out = 0;
                let connection = Connection {
                    address,
                    number: state.opened,
                    client: PeerClient::new(channel)
                        .max_decoding_message_size(FRAME_LIMIT_BYTES)
                        .max_encoding_message_size(FRAME_LIMIT_BYTES),
                };
                state.failed = None;
                state.open = Some(connection.clone());
                Ok(connection)
            }
            Err(failure) => {
                state.timed_out += u32::from(failure.is_timeout);
                state.failed = Some((Instant::now(), failure.error.clone()));
                Err(failure.error)
            }
        }
    }

    /// Discards a failed connection, so that the next call opens a new one.
    pub(crate) async fn discard(&self, failed: &Connection) {
        let mut state = self.state.lock().await;
        if state
            .open
            .as_ref()
            .is_some_and(|open| open.number == failed.number)
        {
            state.open = None;
        }
    }

    /// Opens a connection by attempts at an interval of `pace`, the first that succeeds. A refused
    /// attempt ends the opening, as the machine is up and its process isn't.
    async fn open(&self, address: SocketAddr, pace: Duration) -> Result<Channel, Failure> {
        let failure = |reason: String, is_timeout: bool| Failure {
            error: Error::Unreachable {
                host: self.host.clone(),
                reason,
            },
            is_timeout,
        };
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| failure(error.to_string(), false))?
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        let connecting = async {
            let mut attempts = FuturesUnordered::new();
            let mut rounds = interval(pace);
            loop {
                tokio::select! {
                    Some(connected) = attempts.next(), if !attempts.is_empty() => return connected,
                    _ = rounds.tick() => attempts.push(endpoint.connect()),
                }
            }
        };
        match timeout(CONNECT_TIMEOUT, connecting).await {
            Ok(Ok(channel)) => Ok(channel),
            Ok(Err(error)) => Err(failure(error.to_string(), false)),
            Err(_) => Err(failure("timed out while connecting".to_owned(), true)),
        }
    }
}

/// A failed opening.
struct Failure {
    error: Error,
    is_timeout: bool,
}
