//! A caller that sees how the end of an answer is marked.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::caller::Request;
use crate::cluster::Cluster;

/// The timeout for a complete answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The protocol version of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Version {
    Http10,
    Http11,
}

/// What an answer says about its own end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Ending {
    /// Its length was met, or its last chunk arrived.
    Complete,
    /// It has neither a length nor chunks, and the connection was closed.
    Unknown,
    /// Its length was not met, its last chunk did not arrive, or the connection was reset.
    Broken,
}

/// An answer as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub ending: Ending,
}

/// Sends a request on a connection of its own, and reads until the host closes it.
pub async fn call(
    cluster: &Cluster,
    host: usize,
    version: Version,
    request: &str,
    attempt: &str,
) -> Answer {
    let answer = try_call(cluster.callers(host), version, request, attempt).await;
    answer.expect("an answer")
}

/// As [`call`], but returns `None` if the host cannot be reached or closes without the head of an
/// answer.
pub async fn try_call(
    address: SocketAddr,
    version: Version,
    request: &str,
    attempt: &str,
) -> Option<Answer> {
    let text = encode(version, request, attempt, "close");
    let (bytes, is_reset) = exchange(address, text.as_bytes()).await?;
    parse(&bytes, is_reset, request.starts_with("HEAD"))
}

/// Sends a request, which asks for its connection to be closed, with all of its body.
pub async fn send(address: SocketAddr, request: &Request<'_>) -> Option<Answer> {
    let mut bytes = request.head().into_bytes();
    bytes.extend(request.parts().concat());
    let (bytes, is_reset) = exchange(address, &bytes).await?;
    parse(&bytes, is_reset, false)
}

/// Sends several requests on one connection, which the caller keeps open, and returns the number of
/// answers that arrive until the host closes it.
pub async fn count_answers(cluster: &Cluster, host: usize, requests: &[&str]) -> usize {
    let texts = requests.iter().enumerate().map(|(number, request)| {
        let attempt = format!("at-{number}");
        encode(Version::Http11, request, &attempt, "keep-alive")
    });
    let text = texts.collect::<Vec<_>>().concat();
    let exchange = exchange(cluster.callers(host), text.as_bytes()).await;
    let (bytes, _) = exchange.expect("an answer");
    String::from_utf8_lossy(&bytes).matches("HTTP/1.").count()
}

fn encode(version: Version, request: &str, attempt: &str, connection: &str) -> String {
    let version = match version {
        Version::Http10 => "1.0",
        Version::Http11 => "1.1",
    };
    format!(
        "{request} HTTP/{version}\r\nHost: a.example\r\nKumquatdrum-Attempt-Id: {attempt}\r\n\
         Kumquatdrum-Deadline-Ms: 8000\r\nKumquatdrum-Key: key-1\r\nConnection: {connection}\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

/// Sends bytes on a new connection and returns what arrives, and whether the connection ended other
/// than by a close. Returns `None` if the host cannot be reached.
async fn exchange(address: SocketAddr, request: &[u8]) -> Option<(Vec<u8>, bool)> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request).await.ok()?;
    let mut bytes = Vec::new();
    let read = timeout(TIMEOUT, stream.read_to_end(&mut bytes)).await;
    Some((bytes, !matches!(read, Ok(Ok(_)))))
}

fn parse(bytes: &[u8], is_reset: bool, has_no_body: bool) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status: u16 = status.expect("a status");
    let head = head.to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length: Option<usize> = length.and_then(|length| length.parse().ok());
    let is_chunked = head.contains("transfer-encoding: chunked");
    let (body, is_complete) = match length {
        _ if has_no_body || status == 204 || status == 304 => (body.to_owned(), body.is_empty()),
        _ if is_chunked => join_chunks(body),
        Some(length) => (body.to_owned(), body.len() == length),
        None => (body.to_owned(), false),
    };
    let is_framed = is_chunked || length.is_some();
    let ending = match is_complete {
        true => Ending::Complete,
        false if is_framed || is_reset => Ending::Broken,
        false => Ending::Unknown,
    };
    Some(Answer {
        status,
        body,
        ending,
    })
}

/// Returns the text of all complete chunks, and whether the last one is there.
fn join_chunks(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a size");
        let Some(chunk) = after.get(..size) else {
            return (body, false);
        };
        if size == 0 {
            return (body, after == "\r\n");
        }
        body += chunk;
        let Some(next) = after[size..].strip_prefix("\r\n") else {
            return (body, false);
        };
        rest = next;
    }
    (body, false)
}
