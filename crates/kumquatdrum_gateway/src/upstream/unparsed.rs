//! The bytes of an endpoint that are no part of an answer, and the end of its connection upon too many.

use std::error::Error as _;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

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

    /// Records received bytes; an error ends the connection.
    pub(super) fn add(&self, bytes: usize) -> io::Result<()> {
        let before = self.0.fetch_add(bytes, Ordering::Relaxed);
        if before + bytes <= MAX_UNPARSED_BYTES {
            return Ok(());
        }
        let reason = format!("more than {MAX_UNPARSED_BYTES} bytes without a part of an answer");
        Err(io::Error::new(ErrorKind::InvalidData, reason))
    }
}

/// Returns the description of an error with its cause.
pub(super) fn describe(error: &hyper::Error) -> String {
    match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
