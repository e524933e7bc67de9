//! Parses server-sent events from a stream of bytes.

use bytes::{Bytes, BytesMut};

/// Maximum length of an incomplete event before more bytes are appended.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Event id, if it has a numeric one.
    pub id: Option<u64>,
    /// Event data.
    pub data: Bytes,
}

/// Error for an event that exceeds the maximum length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event of the stream is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Incremental parser that collects bytes and yields complete events.
///
/// ```
/// let mut reader = kumquatdrum_engine::sse::Reader::default();
/// reader.push(b"id: 0\ndata: {}\n").unwrap();
/// assert!(reader.next().is_none(), "the blank line is missing");
/// reader.push(b"\n").unwrap();
/// assert_eq!(reader.next().unwrap().id, Some(0));
/// ```
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
    id: Option<u64>,
    data: Option<BytesMut>,
}

impl Reader {
    /// Appends received bytes, once all complete events have been taken.
    ///
    /// ```
    /// let mut reader = kumquatdrum_engine::sse::Reader::default();
    /// assert!(reader.push(&[b'x'; 2 << 20]).is_ok());
    /// assert!(reader.push(b"x").is_err());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        let data_bytes = self.data.as_ref().map_or(0, BytesMut::len);
        if self.buffer.len() + data_bytes > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    fn next_line(&mut self) -> Option<Bytes> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let mut line = self.buffer.split_to(end + 1).freeze();
        line.truncate(end);
        if line.last() == Some(&b'\r') {
            line.truncate(end - 1);
        }
        Some(line)
    }

    fn parse_field(&mut self, line: &Bytes) {
        if let Some(rest) = line.strip_prefix(b"data:") {
            let value = rest.strip_prefix(b" ").unwrap_or(rest);
            match &mut self.data {
                Some(data) => {
                    data.extend_from_slice(b"\n");
                    data.extend_from_slice(value);
                }
                None => self.data = Some(BytesMut::from(value)),
            }
        } else if let Some(rest) = line.strip_prefix(b"id:") {
            self.id = std::str::from_utf8(rest)
                .ok()
                .and_then(|text| text.trim().parse().ok());
        }
    }
}

impl Iterator for Reader {
    type Item = Event;

    fn next(&mut self) -> Option<Event> {
        while let Some(line) = self.next_line() {
            if !line.is_empty() {
                self.parse_field(&line);
                continue;
            }
            let id = self.id.take();
            if let Some(data) = self.data.take() {
                let data = data.freeze();
                return Some(Event { id, data });
            }
        }
        None
    }
}
