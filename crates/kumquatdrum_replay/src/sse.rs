//! Parses the `data` lines of server-sent events in completion streams.

/// Data of the last event of a complete answer.
pub const END_MARKER: &str = "[DONE]";

/// An incremental parser of a stream of events.
///
/// ```
/// let mut parser = kumquatdrum_replay::sse::Parser::default();
/// assert!(parser.push(b": hello\n\nid: 0\nda").is_empty());
/// assert_eq!(parser.push(b"ta: {}\n\n"), ["{}"]);
/// ```
#[derive(Debug, Default)]
pub struct Parser {
    line: Vec<u8>,
}

impl Parser {
    /// Adds bytes and returns the data of the lines that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<String> {
        let mut data = Vec::new();
        for chunk in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(chunk);
            if chunk.ends_with(b"\n") {
                data.extend(self.take_line());
            }
        }
        data
    }

    fn take_line(&mut self) -> Option<String> {
        let line = String::from_utf8_lossy(&self.line);
        let line = line.trim_end_matches(['\n', '\r']);
        let value = line.strip_prefix("data:").map(str::trim_start);
        let value = value.map(str::to_owned);
        self.line.clear();
        value
    }
}
