//! Connections to endpoints that end if what arrives is no part of an answer.

use std::error::Error as _;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::socket::Socket;

/// The maximum number of bytes that are buffered, and so of a head.
pub(super) const MAX_BUFFERED_BYTES: usize = 256 << 10;
/// The maximum number of bytes without a head or a part of a body: several times what is buffered.
const MAX_UNPARSED_BYTES: usize = 1 << 20;

/// Counts the bytes that have arrived since the last head or part of a body. Interim responses and the
/// framing of chunks may come without end, and keep the task that reads them busy.
#[derive(Debug, Clone, Default)]
pub(super) struct Unparsed(Arc<AtomicUsize>);

impl Unparsed {
    /// Records a head or a part of a body.
    pub(super) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        let before = self.0.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes <= MAX_UNPARSED_BYTES {
            return Ok(());
        }
        let reason = format!("more than {MAX_UNPARSED_BYTES} bytes without a part of an answer");
        Err(io::Error::new(ErrorKind::InvalidData, reason))
    }
}

/// A connection whose received bytes are counted.
#[derive(Debug)]
pub(super) struct Guarded {
    stream: Socket,
    unparsed: Unparsed,
}

impl Guarded {
    pub(super) const fn new(stream: Socket, unparsed: Unparsed) -> Self {
        Self { stream, unparsed }
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.unparsed.add(buffer.filled().len() - before)?;
        polled
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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

/// Returns the description of an error with its cause.
pub(super) fn describe(error: &hyper::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
