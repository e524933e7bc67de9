//! The listener for peers: checks each frame and hands its bodies to the handler.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use kumquatdrum_types::HostId;
use parking_lot::Mutex;
use prost::Message;
use slog::warn;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;
use tonic::{Request, Response, Status};

use crate::frame::{self, Accepted, FRAME_LIMIT, Purpose, Violation};
use crate::generated::peer_server::{Peer, PeerServer};
use crate::generated::{Ack, Frame};
use crate::{Error, Handler, LocalDaemon};

/// An idle connection is pinged this often.
const PING_INTERVAL: Duration = Duration::from_secs(5);
/// A ping unanswered for this long closes the connection.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
const STREAM_WINDOW: u32 = 1 << 20;
const CONNECTION_WINDOW: u32 = 4 << 20;
/// The longest reason that travels back with a failure.
const REASON_LIMIT: usize = 512;
/// The longest name of a refused host that is logged.
const NAME_LIMIT: usize = 64;
const REFUSAL_INTERVAL: Duration = Duration::from_secs(1);

/// Serves peers on a listener until `shutdown` resolves and all calls under way have ended. A
/// connection that went silent holds it up for at most six seconds.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    local: LocalDaemon,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<(), Error> {
    let service = PeerServer::new(Service {
        handler,
        local,
        refusals: Refusals::default(),
    })
    .max_decoding_message_size(FRAME_LIMIT)
    .max_encoding_message_size(FRAME_LIMIT);
    Server::builder()
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .tcp_nodelay(true)
        .add_service(service)
        .serve_with_incoming_shutdown(TcpListenerStream::new(listener), shutdown)
        .await
        .map_err(|error| Error::Handler(error.to_string()))
}

struct Service {
    handler: Arc<dyn Handler>,
    local: LocalDaemon,
    refusals: Refusals,
}

/// Refusals are logged at most once in [`REFUSAL_INTERVAL`], so that no stranger fills the log.
#[derive(Debug, Default)]
struct Refusals(Mutex<(Option<Instant>, u64)>);

impl Refusals {
    /// Whether to log this one, and how many were not logged since the last.
    fn take_suppressed(&self) -> Option<u64> {
        let mut state = self.0.lock();
        let is_due = state
            .0
            .is_none_or(|last| last.elapsed() >= REFUSAL_INTERVAL);
        if !is_due {
            state.1 += 1;
            return None;
        }
        state.0 = Some(Instant::now());
        Some(std::mem::take(&mut state.1))
    }
}

impl Service {
    fn accept(&self, request: Request<Frame>, purpose: Purpose<'_>) -> Result<Accepted, Status> {
        let address = request.remote_addr();
        let frame = request.into_inner();
        let size = frame.encoded_len();
        let claimed = frame.from.clone();
        let accepted = frame::accept(&self.local, frame, purpose)
            .map_err(|violation| self.refuse(violation, &claimed, address))?;
        self.local
            .counters
            .received(accepted.channel, accepted.bodies.len(), size);
        Ok(accepted)
    }

    fn refuse(
        &self,
        violation: Violation,
        claimed: &str,
        address: Option<std::net::SocketAddr>,
    ) -> Status {
        if let Some(suppressed) = self.refusals.take_suppressed() {
            let address = address.map(|address| address.to_string());
            let claimed: String = claimed.chars().take(NAME_LIMIT).collect();
            warn!(self.local.logger, "peer_refused"; "event" => "peer_refused", "claimed_host" => claimed,
                "address" => address, "reason" => %violation, "untold_before" => suppressed);
        }
        Status::unauthenticated(violation.to_string())
    }
}

#[tonic::async_trait]
impl Peer for Service {
    async fn send(&self, request: Request<Frame>) -> Result<Response<Ack>, Status> {
        let accepted = self.accept(request, Purpose::Send)?;
        for body in accepted.bodies {
            self.handler.deliver(&accepted.from, accepted.channel, body);
        }
        Ok(Response::new(Ack {}))
    }

    async fn ask(&self, request: Request<Frame>) -> Result<Response<Frame>, Status> {
        let code = request.get_ref().code.clone();
        let accepted = self.accept(request, Purpose::Request)?;
        let request_body = accepted.bodies.into_iter().next().unwrap_or_default();
        let body = self
            .handler
            .answer(&accepted.from, accepted.channel, request_body)
            .await
            .map_err(error_status)?;
        let response = self.response_frame(&accepted.from.host, accepted.channel, body, &code);
        Ok(Response::new(response))
    }
}

impl Service {
    fn response_frame(
        &self,
        to: &HostId,
        channel: crate::Channel,
        body: Bytes,
        request_code: &[u8],
    ) -> Frame {
        let purpose = Purpose::Response(request_code);
        let frame = frame::build(&self.local, to, channel, vec![body], purpose);
        self.local.counters.sent(channel, 1, frame.encoded_len());
        frame
    }
}

fn error_status(error: Error) -> Status {
    let reason: String = error.to_string().chars().take(REASON_LIMIT).collect();
    Status::aborted(reason)
}
