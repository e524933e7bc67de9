//! Connections to endpoints.

use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use super::Error;
use super::unparsed::Unparsed;
use crate::sockets;

/// The timeout for opening a connection. It is shorter than the retransmission timeout of a lost
/// SYN packet, so that a relay or another endpoint is tried instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection to an endpoint. While a part of the request waits to be written, the end of the
/// connection is not reported: it is an orderly end only if the endpoint reads on. Otherwise the
/// rest of the request resets the connection, and writing fails. Too many bytes that are no part of an
/// answer end it with an error.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    unparsed: Unparsed,
    /// Whether the last write has left bytes.
    is_writing: bool,
    /// Woken once the request has been written, if the connection has ended before.
    reader: Option<Waker>,
}

impl Socket {
    pub(super) const fn new(stream: TcpStream, unparsed: Unparsed) -> Self {
        Self {
            stream,
            unparsed,
            is_writing: false,
            reader: None,
        }
    }

    /// Records the result of writing `offered` bytes.
    fn record_write(&mut self, written: &Poll<io::Result<usize>>, offered: usize) {
        self.is_writing = match written {
            Poll::Ready(Ok(count)) => *count < offered,
            Poll::Ready(Err(_)) => false,
            Poll::Pending => true,
        };
        match self.reader.take() {
            Some(reader) if !self.is_writing => reader.wake(),
            reader => self.reader = reader,
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let received = buffer.filled().len() - before;
        self.unparsed.add(received)?;
        if received == 0 && self.is_writing {
            self.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written, bytes.len());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        let offered = slices.iter().map(|slice| slice.len()).sum();
        self.record_write(&written, offered);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Opens a connection to an endpoint.
pub(super) async fn connect(address: SocketAddr, deadline: Instant) -> Result<TcpStream, Error> {
    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connected = timeout_at(limit, TcpStream::connect(address)).await;
    let stream = connected
        .map_err(|_| Error::Unsent("connecting took too long".to_owned()))?
        .map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => Error::Refused(error.to_string()),
            _ => Error::Unsent(error.to_string()),
        })?;
    sockets::set_liveness_timeouts(&stream)
        .and_then(|()| sockets::limit_unsent_bytes(&stream))
        .map_err(|error| Error::Unsent(error.to_string()))?;
    Ok(stream)
}
