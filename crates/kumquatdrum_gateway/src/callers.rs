//! Listeners, and the connections that they accept.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
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
use crate::sockets;

/// The pause after a connection could not be accepted: descriptors come free meanwhile.
const PAUSE: Duration = Duration::from_millis(20);
/// The largest head that is read where no setup says otherwise, in bytes.
const SMALLEST_BUFFER: usize = 16 * 1024;

/// How a listener's life goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It accepts.
    Open,
    /// It accepts no more, and connections end with their present request.
    Closing,
}

/// Accepts until the phase turns to closing, then waits for the connections to end.
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
                    let connection = converse(gateway.clone(), stream, phase.clone(), handler.clone());
                    connections.spawn(connection);
                }
                Err(error) => {
                    warn!(gateway.logger, "accept_failed"; "event" => "accept_failed",
                        "reason" => %error);
                    tokio::time::sleep(PAUSE).await;
                }
            },
            Some(_) = connections.join_next(), if !connections.is_empty() => {}
            () = closing_of(&mut closing) => break,
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn converse<H, F>(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    mut phase: watch::Receiver<Phase>,
    handler: H,
) where
    H: Fn(Arc<Gateway>, Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Result<Response<Body>, Infallible>> + Send + 'static,
{
    if let Err(error) = sockets::watch(&stream) {
        warn!(gateway.logger, "socket_refused"; "event" => "socket_refused", "reason" => %error);
        return;
    }
    let limits = gateway.limits();
    let service = service_fn({
        let gateway = gateway.clone();
        move |request| handler(gateway.clone(), request)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper counts the idle time before a head as part of it.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(SMALLEST_BUFFER) * 4)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A connection's end, however it comes, concerns its caller alone.
        _ = connection.as_mut() => return,
        () = closing_of(&mut phase) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Resolves when the phase turns to closing, or nobody can turn it any more.
async fn closing_of(phase: &mut watch::Receiver<Phase>) {
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}
