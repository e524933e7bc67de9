//! Splits the bytes of an event stream into complete events.

use bytes::{Bytes, BytesMut};

use crate::{Completeness, Framing};

/// The ends of an event: its last line and an empty line, for each kind of line end.
const EVENT_ENDS: [&[u8]; 3] = [b"\n\n", b"\n\r\n", b"\r\r"];
/// The length of the longest of [`EVENT_ENDS`].
const MAX_END_BYTES: usize = 3;
const ID_FIELD: &[u8] = b"id:";

/// The maximum number of bytes of an incomplete event, which is held in memory.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event is longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct OversizedEvent;

/// The complete events in a part of a stream, possibly none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Events {
    /// The encoded events.
    pub bytes: Bytes,
    /// The id of the last event that has one.
    pub last_event_id: Option<u64>,
}

/// Splits a byte stream into complete events.
#[derive(Debug)]
pub struct Splitter {
    rest: BytesMut,
    has_begun: bool,
}

impl Splitter {
    /// Creates the splitter of a stream. `has_begun` states whether it resumes one after an event.
    pub fn new(has_begun: bool) -> Self {
        Self {
            rest: BytesMut::new(),
            has_begun,
        }
    }

    /// Appends bytes and returns all events that are complete.
    ///
    /// ```
    /// use kumquatdrum_response::event::{OversizedEvent, Splitter};
    ///
    /// # fn main() -> Result<(), OversizedEvent> {
    /// let mut splitter = Splitter::new(false);
    /// assert!(splitter.push(b"id: 3\ndata: a")?.bytes.is_empty());
    /// assert_eq!(splitter.push(b"\n\nid: 4")?.last_event_id, Some(3));
    /// # Ok(())
    /// # }
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Events, OversizedEvent> {
        // The bytes before hold no end but one that these bytes complete.
        let searched = self.rest.len().saturating_sub(MAX_END_BYTES - 1);
        self.rest.extend_from_slice(bytes);
        let end = match last_end(&self.rest[searched..]) {
            Some(end) => searched + end,
            None if self.rest.len() > MAX_EVENT_BYTES => return Err(OversizedEvent),
            None => return Ok(Events::default()),
        };
        self.has_begun = true;
        let bytes = self.rest.split_to(end).freeze();
        let last_event_id = last_id(&bytes);
        Ok(Events {
            bytes,
            last_event_id,
        })
    }

    /// Returns the number of bytes after the last complete event.
    pub fn rest_bytes(&self) -> usize {
        self.rest.len()
    }

    /// Returns what is known about the stream if its body ended now, without an error of its
    /// connection.
    ///
    /// ```
    /// use kumquatdrum_response::{Completeness, Framing, event::Splitter};
    ///
    /// let mut splitter = Splitter::new(false);
    /// splitter.push(b"data: a\n\n").expect("a short event");
    /// assert_eq!(splitter.completeness(Framing::Chunked), Completeness::Complete);
    /// assert_eq!(splitter.completeness(Framing::Close), Completeness::Unknown);
    /// splitter.push(b"da").expect("a short event");
    /// assert_eq!(splitter.completeness(Framing::Chunked), Completeness::Broken);
    /// ```
    pub fn completeness(&self, framing: Framing) -> Completeness {
        let is_inside_event = !self.rest.iter().all(|byte| is_line_end(*byte));
        match framing.completeness() {
            _ if is_inside_event => Completeness::Broken,
            Completeness::Unknown if !self.has_begun => Completeness::Broken,
            completeness => completeness,
        }
    }
}

const fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\n' | b'\r')
}

fn last_end(bytes: &[u8]) -> Option<usize> {
    let ends = EVENT_ENDS.iter().filter_map(|end| {
        let position = bytes
            .windows(end.len())
            .rposition(|window| window == *end)?;
        Some(position + end.len())
    });
    ends.max()
}

fn last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.rsplit(|byte| is_line_end(*byte));
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID_FIELD));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
