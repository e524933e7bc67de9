//! Answers without a length that are given while the request's body still arrives.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use super::{RESET_DELAY, Record, head, reset_on_close};

/// The longest time in which the rest of a body is read.
const MAX_REST_TIME: Duration = Duration::from_secs(5);

/// How a connection ends after such an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stop {
    /// It is reset.
    Reset,
    /// It is closed with unread bytes, which resets it.
    Unread,
    /// The sending side is closed, and what arrives after it resets the connection.
    Close,
    /// The sending side is closed, and the rest of the body read.
    Linger,
}

/// An answer without a length to a request whose body is not, or not yet, read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Early {
    pub version: &'static str,
    pub body: &'static str,
    /// The number of bytes of the request that are read before the answer, at least.
    pub read_bytes: usize,
    pub stop: Stop,
}

/// Serves a connection. The path of a request ends with the number of its answer.
pub async fn serve(
    mut stream: TcpStream,
    answers: &[Early],
    record: &Record,
) -> std::io::Result<()> {
    let mut bytes = Vec::new();
    let request = loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((request, _)) = text.split_once("\r\n\r\n") {
            break request.to_lowercase();
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Ok(());
        }
    };
    let mut lines = request.lines();
    let attempt = lines.find_map(|line| line.strip_prefix("kumquatdrum-attempt-id: "));
    let Some(attempt) = attempt else {
        let answer = head("200 OK", "", "Content-Length: 0\r\n");
        return stream.write_all(answer.as_bytes()).await;
    };
    let path = request.split(' ').nth(1).unwrap_or_default();
    let number = path.rsplit('/').next().and_then(|text| text.parse().ok());
    let answer: &Early = &answers[number.unwrap_or(0_usize)];
    record.runs.fetch_add(1, Ordering::Relaxed);
    *record
        .attempts
        .lock()
        .entry(attempt.to_owned())
        .or_default() += 1;
    let mut buffer = vec![0; 16 << 10];
    let mut read_bytes = bytes.len();
    while read_bytes < answer.read_bytes {
        match stream.read(&mut buffer).await? {
            0 => break,
            read => read_bytes += read,
        }
    }
    let head = head("200 OK", attempt, "").replace("HTTP/1.1", answer.version);
    let text = head + answer.body;
    stream.write_all(text.as_bytes()).await?;
    match answer.stop {
        Stop::Reset => {
            // What was sent before a reset would be lost with it.
            sleep(RESET_DELAY).await;
            reset_on_close(&stream);
        }
        Stop::Unread => sleep(RESET_DELAY).await,
        Stop::Close => {
            stream.shutdown().await?;
            sleep(RESET_DELAY).await;
        }
        Stop::Linger => {
            stream.shutdown().await?;
            let rest = async { while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {} };
            let _ = timeout(MAX_REST_TIME, rest).await;
        }
    }
    Ok(())
}
