//! Server for peers, which verifies each frame and passes its bodies to the handler.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{BoxStream, StreamExt};
use kumquatdrum_types::HostId;
use parking_lot::Mutex;
use prost::Message;
use slog::warn;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use crate::frame::{self, Accepted, FRAME_LIMIT_BYTES, Purpose, Violation};
use crate::generated::peer_server::{Peer, PeerServer};
use crate::generated::{Ack, Frame};
use crate::{Error, Handler, LocalDaemon};

/// Interval at which idle connections are pinged.
const PING_INTERVAL: Duration = Duration::from_secs(5);
/// Time without a response to a ping after which the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;
/// Maximum length of the reason in an error response, in characters.
const REASON_LIMIT_CHARACTERS: usize = 512;
/// Maximum length of a refused host's name in the log, in characters.
const NAME_LIMIT_CHARACTERS: usize = 64;
/// Minimum interval between two log lines about refusals.
const REFUSAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Serves peers on a listener until `shutdown` resolves and all calls in flight have ended. A
/// silent connection delays the return by at most six seconds.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    local: LocalDaemon,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<(), Error> {
    let service = PeerServer::new(Service {
        handler,
        local,
        log_limiter: LogLimiter::default(),
    })
    .max_decoding_message_size(FRAME_LIMIT_BYTES)
    .max_encoding_message_size(FRAME_LIMIT_BYTES);
    // Without it, the parts of a response wait for the acknowledgement of earlier ones.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Server::builder()
        .http2_keepalive_interval(Some(PING_INTERVAL))
        .http2_keepalive_timeout(Some(PING_TIMEOUT))
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, shutdown)
        .await
        .map_err(|error| Error::Handler(error.to_string()))
}

struct Service {
    handler: Arc<dyn Handler>,
    local: LocalDaemon,
    log_limiter: LogLimiter,
}

/// Limits the log of refusals to one line per [`REFUSAL_LOG_INTERVAL`]; holds the time of the last
/// line and the number of refusals suppressed since.
#[derive(Debug, Default)]
struct LogLimiter(Mutex<(Option<Instant>, u64)>);

impl LogLimiter {
    /// Returns the number of refusals suppressed since the last one logged, or `None` if this one
    /// is suppressed.
    fn take_suppressed(&self) -> Option<u64> {
        let mut state = self.0.lock();
        let is_due = state
            .0
            .is_none_or(|last| last.elapsed() >= REFUSAL_LOG_INTERVAL);
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
            .record_received(accepted.channel, accepted.bodies.len(), size);
        Ok(accepted)
    }

    fn refuse(
        &self,
        violation: Violation,
        claimed: &str,
        address: Option<std::net::SocketAddr>,
    ) -> Status {
        if let Some(suppressed) = self.log_limiter.take_suppressed() {
            let address = address.map(|address| address.to_string());
            let claimed: String = claimed.chars().take(NAME_LIMIT_CHARACTERS).collect();
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

    type ExchangeStream = BoxStream<'static, Result<Frame, Status>>;

    async fn exchange(
        &self,
        request: Request<Frame>,
    ) -> Result<Response<Self::ExchangeStream>, Status> {
        let mut code = request.get_ref().code.clone();
        let Accepted {
            from,
            channel,
            bodies,
        } = self.accept(request, Purpose::Exchange)?;
        let request_body = bodies.into_iter().next().unwrap_or_default();
        let parts = self.handler.exchange(&from, channel, request_body);
        let local = self.local.clone();
        let frames = parts.map(move |body| {
            let frame = frame::build(
                &local,
                &from.host,
                channel,
                vec![body],
                Purpose::Part(&code),
            );
            code = frame.code.clone();
            local.counters.record_sent(channel, 1, frame.encoded_len());
            Ok(frame)
        });
        Ok(Response::new(frames.boxed()))
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
        self.local
            .counters
            .record_sent(channel, 1, frame.encoded_len());
        frame
    }
}

fn error_status(error: Error) -> Status {
    let reason: String = error
        .to_string()
        .chars()
        .take(REASON_LIMIT_CHARACTERS)
        .collect();
    Status::aborted(reason)
}
