//! Answers without end.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::{chunk, head};

const CHUNKED: &str = "Transfer-Encoding: chunked\r\n";

/// A part of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Part {
    StatusLine,
    Headers,
    /// One header line.
    HeaderLine,
    /// `100 Continue`, again and again.
    Interim,
    /// The size of the first chunk.
    ChunkSize,
    /// The space behind the size of the first chunk.
    ChunkSpace,
    /// The extension of the first chunk.
    ChunkExtension,
    /// Chunks, each with an extension.
    ChunkExtensions,
    /// One line of the trailers.
    TrailerLine,
    Trailers,
    /// What follows a complete body.
    Excess,
    /// A body where there is none.
    Bodiless,
    /// The body of a server error.
    ErrorBody,
    /// A body without a length.
    Body,
    /// One event of a stream.
    Event,
    /// The events of a stream.
    Events,
}

impl Part {
    /// The parts that a request can name.
    pub const NAMED: [(&'static str, Self); 15] = [
        ("status-line", Self::StatusLine),
        ("headers", Self::Headers),
        ("header-line", Self::HeaderLine),
        ("interim", Self::Interim),
        ("chunk-size", Self::ChunkSize),
        ("chunk-space", Self::ChunkSpace),
        ("chunk-extension", Self::ChunkExtension),
        ("chunk-extensions", Self::ChunkExtensions),
        ("trailer-line", Self::TrailerLine),
        ("trailers", Self::Trailers),
        ("excess", Self::Excess),
        ("bodiless", Self::Bodiless),
        ("error-body", Self::ErrorBody),
        ("body", Self::Body),
        ("events", Self::Events),
    ];

    /// Returns the part that the end of a request's path names.
    pub fn of(request: &str) -> Option<Self> {
        let path = request.split(' ').nth(1).unwrap_or_default();
        let name = path.rsplit('/').next().unwrap_or_default();
        let mut named = Self::NAMED.iter();
        named
            .find(|(other, _)| *other == name)
            .map(|(_, part)| *part)
    }
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
        Part::HeaderLine => {
            let start = head("200 OK", attempt, "");
            (
                start[..start.len() - 2].to_owned() + "X-More: ",
                "x".to_owned(),
            )
        }
        Part::Interim => {
            let interim = "HTTP/1.1 100 Continue\r\n\r\n".to_owned();
            (interim.clone(), interim)
        }
        Part::ChunkSize => (head("200 OK", attempt, CHUNKED), "0".to_owned()),
        Part::ChunkSpace => (head("200 OK", attempt, CHUNKED) + "5", " ".to_owned()),
        Part::ChunkExtension => (head("200 OK", attempt, CHUNKED) + "5;", "x".to_owned()),
        Part::ChunkExtensions => {
            let chunk = "1;extension=x\r\nx\r\n".to_owned();
            (head("200 OK", attempt, CHUNKED), chunk)
        }
        Part::TrailerLine => {
            let start = head("200 OK", attempt, CHUNKED) + &chunk("whole") + "0\r\nX-More: ";
            (start, "x".to_owned())
        }
        Part::Trailers => {
            let start = head("200 OK", attempt, CHUNKED) + &chunk("whole") + "0\r\n";
            (start, "X-More: x\r\n".to_owned())
        }
        Part::Excess => {
            let start = head("200 OK", attempt, "Content-Length: 5\r\n") + "whole";
            (start, "x".to_owned())
        }
        Part::Bodiless => (head("204 No Content", attempt, ""), "x".to_owned()),
        Part::ErrorBody => {
            let start = head("500 Internal Server Error", attempt, "");
            (start, "x".to_owned())
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
