//! HTTP listeners and their connections.

use std::convert::Infallible;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use http::{Request, Response};
use hyper::body::Incoming;
use slog::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::Gateway;
use crate::body::Body;
use crate::problem::Problem;

mod connection;
mod ending;
pub mod progress;

use connection::serve_connection;
pub use ending::Cause;
pub use progress::Progress;

/// The delay after a failed accept, in which file descriptors may become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
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
    // Connections that wait to be accepted when the listener is closed are reset.
    for stream in accept_waiting(listener) {
        let connection = serve_connection(gateway.clone(), stream, phase.clone(), handler.clone());
        connections.spawn(connection);
    }
    while connections.join_next().await.is_some() {}
}

/// Closes a listener, and returns the connections that had been established.
fn accept_waiting(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let mut streams = Vec::new();
    loop {
        let accepted = listener.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        });
        match accepted {
            Ok(stream) => streams.push(stream),
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(_) => return streams,
        }
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
