//! TCP sockets that detect unresponsive peers.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::listener::Progress;

/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The maximum time that sent data may stay unacknowledged. It allows for several retransmissions.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// As [`UNACKNOWLEDGED_TIMEOUT`], once a caller has been sent a response, which it may read late: the
/// operating system does not tell a peer whose receive buffer is full from one that does not respond.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);
/// The idle time before the first keepalive probe, and the interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which a connection is closed.
const MAX_PROBES: u32 = 3;
/// The number of unsent bytes above which a connection to an endpoint takes no more: bytes that the
/// operating system holds count as written.
const MAX_UNSENT_BYTES: u32 = 64 << 10;
/// The maximum number of bytes that are read from a connection after it has been shut down.
const MAX_LINGER_BYTES: usize = 4 << 20;
/// The maximum time for which they are read.
const MAX_LINGER_TIME: Duration = Duration::from_secs(5);
/// The maximum time without any of them.
const MAX_LINGER_SILENCE: Duration = Duration::from_secs(1);

/// Sets the timeouts that close a connection to an unresponsive peer.
pub fn set_liveness_timeouts(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    set_unacknowledged_timeout(stream, UNACKNOWLEDGED_TIMEOUT)
}

/// Limits what the operating system holds of a request, so that the progress of writing shows how far
/// the endpoint reads.
pub fn limit_unsent_bytes(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
}

fn set_unacknowledged_timeout(stream: &TcpStream, limit: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(limit))
}

/// A caller's connection. It is reset unless it is shut down in order, if only its end marks the end
/// of the response.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    ends_response: Arc<AtomicBool>,
    is_reset_on_close: bool,
    has_written: bool,
    progress: Progress,
}

impl Connection {
    /// Wraps a connection. `ends_response` is set before a response whose end only the end of the
    /// connection marks.
    pub const fn new(
        stream: TcpStream,
        ends_response: Arc<AtomicBool>,
        progress: Progress,
    ) -> Self {
        Self {
            stream,
            ends_response,
            is_reset_on_close: false,
            has_written: false,
            progress,
        }
    }

    /// Sets whether the operating system resets the connection when the socket is closed, which also
    /// covers the end of this process.
    fn reset_on_close(&mut self, is_reset: bool) -> io::Result<()> {
        if self.is_reset_on_close != is_reset {
            let linger = is_reset.then_some(Duration::ZERO);
            SockRef::from(&self.stream).set_linger(linger)?;
            self.is_reset_on_close = is_reset;
        }
        Ok(())
    }

    /// Closes the connection in stages (RFC 9112, 9.6): bytes that arrive at a closed connection reset it
    /// before the caller has read the response. A connection that is set to be reset is reset.
    /// `last_bytes` are sent before.
    pub async fn close(mut self, last_bytes: &[u8]) -> io::Result<()> {
        if self.is_reset_on_close {
            return Ok(());
        }
        let closed = timeout(MAX_LINGER_TIME, async {
            self.stream.write_all(last_bytes).await?;
            self.stream.shutdown().await?;
            self.read_to_end().await;
            Ok(())
        });
        closed.await.unwrap_or(Ok(()))
    }

    /// Drops received bytes until the caller closes, but not more than [`MAX_LINGER_BYTES`].
    async fn read_to_end(&mut self) {
        let mut buffer = vec![0; 8 << 10];
        let mut bytes = 0;
        while bytes < MAX_LINGER_BYTES {
            match timeout(MAX_LINGER_SILENCE, self.stream.read(&mut buffer)).await {
                Ok(Ok(count)) if count > 0 => bytes += count,
                _ => return,
            }
        }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.progress.record_written(*bytes);
        }
    }

    fn prepare_write(&mut self) -> io::Result<()> {
        if !self.has_written {
            self.has_written = true;
            set_unacknowledged_timeout(&self.stream, UNREAD_TIMEOUT)?;
        }
        self.reset_on_close(self.ends_response.load(Ordering::Relaxed))
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.progress.record_read(buffer.filled().len() - before);
        polled
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once its own buffer is empty.
        self.progress.record_flush();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.reset_on_close(false)?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Opens a listening socket.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
