//! Events of a stream: cut out of the bytes as they arrive, and passed on whole.

use bytes::{Bytes, BytesMut};

const END: &[u8] = b"\n\n";
const ID: &[u8] = b"id:";

/// Whole events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Events {
    /// Their bytes.
    pub bytes: Bytes,
    /// The id of the last one that has one.
    pub last: Option<u64>,
}

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
}

impl Splitter {
    /// Takes bytes and gives all events that are whole now.
    ///
    /// ```
    /// use kumquatdrum_gateway::event::Splitter;
    ///
    /// let mut splitter = Splitter::default();
    /// assert!(splitter.push(b"id: 3\ndata: a").bytes.is_empty());
    /// assert_eq!(splitter.push(b"\n\nid: 4").last, Some(3));
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Events {
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_end(&self.rest) else {
            return Events::default();
        };
        let bytes = self.rest.split_to(end).freeze();
        let last = last_id(&bytes);
        Events { bytes, last }
    }

    /// What is left after the last whole event.
    pub fn finish(&mut self) -> Bytes {
        self.rest.split().freeze()
    }
}

fn last_end(bytes: &[u8]) -> Option<usize> {
    let place = bytes.windows(END.len()).rposition(|window| window == END)?;
    Some(place + END.len())
}

fn last_id(bytes: &[u8]) -> Option<u64> {
    let lines = bytes.split(|byte| *byte == b'\n').rev();
    let mut ids = lines.filter_map(|line| line.strip_prefix(ID));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
