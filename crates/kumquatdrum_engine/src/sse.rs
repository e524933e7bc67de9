//! Server-sent events, read from a stream of bytes.

use bytes::{Bytes, BytesMut};

/// Longer lines than this are no engine's.
const LONGEST_LINE: usize = 1024 * 1024;

/// One event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The event's id, where it has one.
    pub id: Option<u64>,
    /// Its data.
    pub data: Bytes,
}

/// A line exceeds the bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event's line is longer than {LONGEST_LINE} bytes")]
pub struct TooLong;

/// Collects bytes and yields whole events.
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
    /// Takes in the next bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buffer.len() + bytes.len() > LONGEST_LINE && !bytes.contains(&b'\n') {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    fn line(&mut self) -> Option<Bytes> {
        let end = self.buffer.iter().position(|byte| *byte == b'\n')?;
        let mut line = self.buffer.split_to(end + 1).freeze();
        line.truncate(end);
        if line.last() == Some(&b'\r') {
            line.truncate(end - 1);
        }
        Some(line)
    }

    fn field(&mut self, line: &Bytes) {
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
    type Item = Message;

    fn next(&mut self) -> Option<Message> {
        while let Some(line) = self.line() {
            if !line.is_empty() {
                self.field(&line);
                continue;
            }
            let id = self.id.take();
            if let Some(data) = self.data.take() {
                let data = data.freeze();
                return Some(Message { id, data });
            }
        }
        None
    }
}
