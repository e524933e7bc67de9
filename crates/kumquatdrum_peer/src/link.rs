//! Connection to one peer, opened on demand and discarded after a failure.

use std::net::SocketAddr;
use std::time::Duration;

use kumquatdrum_types::HostId;
use parking_lot::Mutex;
use tokio::time::Instant;
use tonic::transport::{Channel, Endpoint};

use crate::Error;
use crate::frame::FRAME_LIMIT_BYTES;
use crate::generated::peer_client::PeerClient;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a failed attempt during which calls fail without another attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
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
        match self.open(address).await {
            Ok(channel) => {
                state.opened += 1;
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
            Err(error) => {
                state.failed = Some((Instant::now(), error.clone()));
                Err(error)
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

    async fn open(&self, address: SocketAddr) -> Result<Channel, Error> {
        let unreachable = |reason: String| Error::Unreachable {
            host: self.host.clone(),
            reason,
        };
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| unreachable(error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(PING_INTERVAL)
            .keep_alive_timeout(PING_TIMEOUT)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        match tokio::time::timeout(CONNECT_TIMEOUT, endpoint.connect()).await {
            Ok(Ok(channel)) => Ok(channel),
            Ok(Err(error)) => Err(unreachable(error.to_string())),
            Err(_) => Err(unreachable("timed out while connecting".to_owned())),
        }
    }
}
