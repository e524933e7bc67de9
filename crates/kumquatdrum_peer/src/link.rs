//! Connection to one peer, opened on demand and discarded after a failure.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kumquatdrum_types::HostId;
use parking_lot::Mutex;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};
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

/// When further connection attempts are made while the first one is not answered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Pace {
    /// There is one attempt at a time.
    #[default]
    Single,
    /// An attempt follows each 100 ms, and each 500 ms once the host has not answered for 5 s.
    Slowing,
    /// An attempt follows each 100 ms.
    Quick,
}

/// Connection to one peer.
#[derive(Debug)]
pub(crate) struct Link {
    host: HostId,
    address: Mutex<SocketAddr>,
    pace: Mutex<Pace>,
    is_open: AtomicBool,
    /// Whether the last opening has failed.
    has_failed: AtomicBool,
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
            pace: Mutex::default(),
            is_open: AtomicBool::new(false),
            has_failed: AtomicBool::new(false),
            state: tokio::sync::Mutex::default(),
        }
    }

    /// Changes the address for the next call.
    pub(crate) fn set_address(&self, address: SocketAddr) {
        *self.address.lock() = address;
    }

    /// Changes the pace of attempts from the next opening on.
    pub(crate) fn set_pace(&self, pace: Pace) {
        *self.pace.lock() = pace;
    }

    /// Returns whether a connection is open, as far as is known.
    pub(crate) fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    /// Returns whether the last opening has failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.has_failed.load(Ordering::Relaxed)
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
        self.is_open.store(false, Ordering::Relaxed);
        let pace = *self.pace.lock();
        let interval = match pace {
            Pace::Single => None,
            Pace::Slowing if state.timed_out >= MAX_QUICK_OPENS => Some(SLOW_ATTEMPT_INTERVAL),
            Pace::Slowing | Pace::Quick => Some(ATTEMPT_INTERVAL),
        };
        let opened = self.open(address, interval).await;
        self.is_open.store(opened.is_ok(), Ordering::Relaxed);
        self.has_failed.store(opened.is_err(), Ordering::Relaxed);
        match opened {
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
            self.is_open.store(false, Ordering::Relaxed);
        }
    }

    /// Opens a connection by one attempt, or by attempts at an interval, the first that succeeds. A
    /// refused attempt ends the opening, as the machine is up and its process isn't. After other
    /// failures, e.g. of a route that is not up yet, attempts continue.
    async fn open(&self, address: SocketAddr, pace: Option<Duration>) -> Result<Channel, Failure> {
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
            let Some(pace) = pace else {
                return endpoint.connect().await;
            };
            let mut rounds = interval(pace);
            rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                tokio::select! {
                    Some(connected) = attempts.next(), if !attempts.is_empty() => match connected {
                        Err(error) if !is_refusal(&error) => {}
                        connected => return connected,
                    },
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

/// Returns whether a connection was refused.
fn is_refusal(error: &(dyn std::error::Error + 'static)) -> bool {
    let mut causes = std::iter::successors(Some(error), |error| error.source());
    causes.any(|cause| {
        let cause = cause.downcast_ref::<io::Error>();
        cause.is_some_and(|cause| cause.kind() == io::ErrorKind::ConnectionRefused)
    })
}

/// A failed opening.
struct Failure {
    error: Error,
    is_timeout: bool,
}
