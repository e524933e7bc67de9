//! One connection of a listener, from its first request to its close.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{HeaderValue, Method, Request, Response, StatusCode, Version, header};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use kumquatdrum_routes::connection::{Action, Standing, decide};
use slog::{error, warn};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep_until;

use super::ending::{Cause, End, Guard};
use super::progress::{Progress, Tracked};
use super::{Peer, Phase, catch_panic, wait_for_closing};
use crate::Gateway;
use crate::body::Body;
use crate::sockets::{self, Connection};

/// The interval at which a stopping host checks whether a connection is idle.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The response to a request whose head takes too long.
const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// The minimum limit on the size of a request head in bytes.
const MIN_HEADER_BYTES: usize = 16 * 1024;

/// Answers the requests of a connection until the caller or this host ends it.
pub(super) async fn serve_connection<H, F>(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    mut phase: watch::Receiver<Phase>,
    handler: H,
) where
    H: Fn(Arc<Gateway>, Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
{
    if let Err(error) = sockets::set_liveness_timeouts(&stream) {
        warn!(gateway.logger, "socket_refused"; "event" => "socket_refused", "reason" => %error);
        return;
    }
    let limits = gateway.limits();
    let progress = Progress::new(gateway.clock, limits.idle_timeout);
    let mut guard = Guard::new(gateway.clone(), progress.clone());
    let responder = Responder {
        gateway: gateway.clone(),
        handler,
        peer: stream.peer_addr().ok(),
        phase: phase.clone(),
        progress: progress.clone(),
        ends_response: Arc::default(),
    };
    let stream = Connection::new(stream, responder.ends_response.clone(), progress.clone());
    let service = service_fn(move |request| responder.respond(request));
    let mut connection = http1::Builder::new()
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES) * 4)
        .serve_connection(TokioIo::new(stream), service);
    let mut is_stopping = false;
    let ended = loop {
        let (now, standing) = (gateway.clock.now(), progress.standing());
        let is_head = matches!(standing, Standing::Head { .. });
        let until = match decide(now, standing, &gateway.limits(), is_stopping) {
            Action::WaitUntil(until) if is_stopping => until.min(now + STOP_CHECK_INTERVAL),
            Action::WaitUntil(until) => until,
            Action::Close => break End::Idle,
            Action::Refuse => break End::SlowHead,
        };
        tokio::select! {
            // What has arrived is read before the time is looked at.
            biased;
            ended = &mut connection => break End::Connection(ended),
            () = wait_for_closing(&mut phase), if !is_stopping => is_stopping = true,
            () = progress.wait_for_head(), if !is_head => {}
            () = sleep_until(gateway.clock.instant(until)) => {}
        }
    };
    let last_bytes = match ended {
        End::SlowHead => REQUEST_TIMEOUT,
        End::Idle | End::Connection(_) => b"",
    };
    let cause = guard.record_end(ended);
    drop(guard);
    if cause != Cause::Caller {
        let stream = connection.into_parts().io.into_inner();
        // The caller has closed the connection, if this fails.
        let _ = stream.close(last_bytes).await;
    }
}

/// Answers the requests of a connection by a handler.
struct Responder<H> {
    gateway: Arc<Gateway>,
    handler: H,
    peer: Option<SocketAddr>,
    phase: watch::Receiver<Phase>,
    progress: Progress,
    /// Whether only the end of the connection marks the end of the response.
    ends_response: Arc<AtomicBool>,
}

impl<H> Responder<H> {
    fn respond<F>(
        &self,
        mut request: Request<Incoming>,
    ) -> impl Future<Output = Result<Response<Tracked>, Infallible>> + use<H, F>
    where
        H: Fn(Arc<Gateway>, Request<Incoming>) -> F,
        F: Future<Output = Result<Response<Body>, Infallible>>,
    {
        if let Some(peer) = self.peer {
            request.extensions_mut().insert(Peer(peer));
        }
        let progress = self.progress.record_head(request.body().is_end_stream());
        request.extensions_mut().insert(progress.clone());
        let gateway = self.gateway.clone();
        let ends_response = self.ends_response.clone();
        let phase = self.phase.clone();
        let (version, method) = (request.version(), request.method().clone());
        let answer = (self.handler)(gateway.clone(), request);
        async move {
            let response = catch_panic(answer, || {
                error!(gateway.logger, "request_panicked"; "event" => "request_panicked",
                    "request" => progress.snapshot().request);
                gateway.metrics.ended.with_label_values(&["panicked"]).inc();
            });
            let mut response = response.await?;
            if *phase.borrow() == Phase::Closing {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            let is_streamed = response.body().size_hint().exact().is_none();
            let has_no_chunks =
                version == Version::HTTP_10 || response.version() == Version::HTTP_10;
            let is_bodiless = method == Method::HEAD
                || matches!(
                    response.status(),
                    StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
                );
            let ends_with_connection = is_streamed && has_no_chunks && !is_bodiless;
            ends_response.store(ends_with_connection, Ordering::Relaxed);
            let idle_limit = gateway.limits().idle_timeout;
            Ok(response.map(|body| progress.track(body, !is_bodiless, idle_limit)))
        }
    }
}
