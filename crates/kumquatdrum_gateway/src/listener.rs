//! HTTP listeners and their connections.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::FutureExt;
use http::{Method, Request, Response, StatusCode, Version};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use kumquatdrum_routes::connection::{Action, Standing, decide};
use slog::{error, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use crate::Gateway;
use crate::body::Body;
use crate::problem::Problem;
use crate::sockets::{self, Connection};

mod ending;
mod progress;

pub use ending::Cause;
use ending::{End, Guard};
pub use progress::{Phase as RequestPhase, Progress, Snapshot};

/// The delay after a failed accept, in which file descriptors may become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The interval at which a stopping host checks whether a connection is idle.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The response to a request whose head takes too long.
const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// The minimum limit on the size of a request head in bytes.
const MIN_HEADER_BYTES: usize = 16 * 1024;

/// The address of the other end of a request's connection, as an extension of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer(pub SocketAddr);

/// The phase of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Connections are accepted.
    Open,
    /// No connections are accepted, and existing ones end after their current request.
    Closing,
}

/// Accepts connections until the phase changes to closing, then waits for them to end.
pub async fn serve<H, F>(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    phase: watch::Receiver<Phase>,
    handler: H,
) where
    H: Fn(Arc<Gateway>, Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let mut closing = phase.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve_connection(
                        gateway.clone(),
                        stream,
                        phase.clone(),
                        handler.clone(),
                    ));
                }
                Err(error) => {
                    warn!(gateway.logger, "accept_failed"; "event" => "accept_failed",
                        "reason" => %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            () = wait_for_closing(&mut closing) => break,
        }
    }
    // A connection that waits to be accepted when the listener is closed is reset.
    while let Some(Ok((stream, _))) = listener.accept().now_or_never() {
        let connection = serve_connection(gateway.clone(), stream, phase.clone(), handler.clone());
        connections.spawn(connection);
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<H, F>(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    mut phase: watch::Receiver<Phase>,
    handler: H,
) where
    H: Fn(Arc<Gateway>, Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
{
    if let Err(error) = sockets::set_liveness_timeouts(&stream, sockets::UNREAD_TIMEOUT) {
        warn!(gateway.logger, "socket_refused"; "event" => "socket_refused", "reason" => %error);
        return;
    }
    let peer = stream.peer_addr().ok().map(Peer);
    let limits = gateway.limits();
    let ends_response = Arc::new(AtomicBool::new(false));
    let progress = Progress::new(gateway.clock, limits.idle_timeout);
    let mut guard = Guard::new(gateway.clone(), progress.clone());
    let stream = Connection::new(stream, ends_response.clone(), progress.clone());
    let service = service_fn({
        let (gateway, progress) = (gateway.clone(), progress.clone());
        move |mut request: Request<Incoming>| {
            if let Some(peer) = peer {
                request.extensions_mut().insert(peer);
            }
            progress.record_head(request.body().is_end_stream());
            request.extensions_mut().insert(progress.clone());
            let (gateway, progress) = (gateway.clone(), progress.clone());
            let ends_response = ends_response.clone();
            let is_old = request.version() == Version::HTTP_10;
            let is_head = request.method() == Method::HEAD;
            let answer = handler(gateway.clone(), request);
            async move {
                let logger = &gateway.logger;
                let response = catch_panic(answer, || {
                    error!(logger, "request_panicked"; "event" => "request_panicked",
                        "request" => progress.snapshot().request);
                    gateway.metrics.ended.with_label_values(&["panicked"]).inc();
                });
                let response = response.await?;
                let is_streamed = response.body().size_hint().exact().is_none();
                let has_no_chunks = is_old || response.version() == Version::HTTP_10;
                ends_response.store(is_streamed && has_no_chunks, Ordering::Relaxed);
                let status = response.status();
                let has_body =
                    status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED;
                let idle_limit = gateway.limits().idle_timeout;
                let response =
                    response.map(|body| progress.track(body, has_body && !is_head, idle_limit));
                Ok::<_, Infallible>(response)
            }
        }
    });
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
            () = wait_for_closing(&mut phase), if !is_stopping => {
                is_stopping = true;
                if progress.standing() == Standing::Busy {
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
            }
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

/// Awaits the response of a handler. If it panics, calls `on_panic` and responds that the host failed.
pub async fn catch_panic<E>(
    answer: impl Future<Output = Result<Response<Body>, E>>,
    on_panic: impl FnOnce(),
) -> Result<Response<Body>, E> {
    let caught = AssertUnwindSafe(answer).catch_unwind().await;
    caught.unwrap_or_else(|_| {
        on_panic();
        Ok(Problem::Internal.response())
    })
}

/// Waits until the phase is closing or its sender is dropped.
async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}
