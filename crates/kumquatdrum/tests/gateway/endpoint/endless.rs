//! Answers without end.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::{chunk, head};

/// A part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    StatusLine,
    Headers,
    /// A body without a length.
    Body,
    /// One event of a stream.
    Event,
    /// The events of a stream.
    Events,
}

/// Sends an answer with a part that does not end.
pub async fn send(stream: &mut TcpStream, attempt: &str, part: Part) -> std::io::Result<()> {
    let event = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    let (start, more) = match part {
        Part::StatusLine => ("HTTP/1.1 200 ".to_owned(), "x".to_owned()),
        Part::Headers => {
            let start = head("200 OK", attempt, "");
            (
                start[..start.len() - 2].to_owned(),
                "X-More: x\r\n".to_owned(),
            )
        }
        Part::Body => (head("200 OK", attempt, ""), "x".to_owned()),
        Part::Event => {
            let start = head("200 OK", attempt, event) + &chunk("id: 1\ndata: ");
            (start, chunk(&"x".repeat(4_000)))
        }
        Part::Events => {
            let start = head("200 OK", attempt, event);
            (
                start,
                chunk(&format!("id: 1\ndata: {}\n\n", "x".repeat(4_000))),
            )
        }
    };
    stream.write_all(start.as_bytes()).await?;
    let more = more.repeat((64 << 10) / more.len());
    loop {
        stream.write_all(more.as_bytes()).await?;
    }
}
