//! HTTP listeners and their connections.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode, Version};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::Gateway;
use crate::body::Body;
use crate::sockets::{self, Connection};

mod ending;
mod progress;

pub use ending::Cause;
use ending::Guard;
pub use progress::{Phase as RequestPhase, Progress, Snapshot};

/// The delay after a failed accept, in which file descriptors may become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
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
                    let connection = serve_connection(
                        gateway.clone(),
                        stream,
                        phase.clone(),
                        handler.clone(),
                    );
                    connections.spawn(connection);
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
    if let Err(error) = sockets::set_liveness_timeouts(&stream) {
        warn!(gateway.logger, "socket_refused"; "event" => "socket_refused", "reason" => %error);
        return;
    }
    let peer = stream.peer_addr().ok().map(Peer);
    let limits = gateway.limits();
    let ends_response = Arc::new(AtomicBool::new(false));
    let progress = Progress::default();
    let mut guard = Guard::new(gateway.clone(), progress.clone());
    let stream = Connection::new(stream, ends_response.clone(), progress.clone());
    let service = service_fn({
        let gateway = gateway.clone();
        move |mut request: Request<Incoming>| {
            if let Some(peer) = peer {
                request.extensions_mut().insert(peer);
            }
            progress.record_head(request.body().is_end_stream());
            request.extensions_mut().insert(progress.clone());
            let (progress, ends_response) = (progress.clone(), ends_response.clone());
            let is_old = request.version() == Version::HTTP_10;
            let is_head = request.method() == Method::HEAD;
            let answer = handler(gateway.clone(), request);
            async move {
                let response = answer.await?;
                let is_streamed = response.body().size_hint().exact().is_none();
                let has_no_chunks = is_old || response.version() == Version::HTTP_10;
                ends_response.store(is_streamed && has_no_chunks, Ordering::Relaxed);
                let status = response.status();
                let has_body =
                    status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED;
                let response = response.map(|body| progress.track(body, has_body && !is_head));
                Ok::<_, Infallible>(response)
            }
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper includes the idle time before a request in this timeout.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HEADER_BYTES) * 4)
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = wait_for_closing(&mut phase) => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    let is_lost = guard.record_end(ended) == Cause::Caller;
    drop(guard);
    if !is_lost {
        let stream = connection.into_parts().io.into_inner();
        // The caller has closed the connection, if this fails.
        let _ = stream.close().await;
    }
}

/// Waits until the phase is closing or its sender is dropped.
async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}
