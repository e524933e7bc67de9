//! A stand-in for an endpoint, which answers byte by byte as it is told.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// How it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// With a body in one piece.
    Whole,
    /// With six events where the path asks for a stream, else in one piece.
    ByPath,
    /// With an answer to another attempt.
    Crossed,
    /// Not at all: it reads the request and closes.
    Lost,
    /// With its first answer and a second one nobody asked for.
    Twice,
    /// With the events from the one asked for up to the given one, and a whole end.
    Stream { events: u64, pause: Duration },
    /// With events up to the given one, and half of the next.
    Broken { after: u64 },
    /// With a head that has no length, and half a body, reset.
    Unframed,
}

/// A stream that lasts long enough for faults to meet it.
pub const SIX_EVENTS: Manner = Manner::Stream {
    events: 6,
    pause: Duration::from_millis(40),
};

/// What it has seen.
#[derive(Debug, Default)]
pub struct Seen {
    pub runs: AtomicUsize,
    /// Connections that callers have closed before the answer was whole.
    pub left: AtomicUsize,
    pub requests: Mutex<Vec<String>>,
    /// Runs of each attempt.
    pub attempts: Mutex<HashMap<String, usize>>,
}

pub struct Endpoint {
    pub id: String,
    pub address: SocketAddr,
    pub seen: Arc<Seen>,
    task: JoinHandle<()>,
}

impl Endpoint {
    pub async fn start(id: &str, manner: Manner) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let seen = Arc::new(Seen::default());
        let (name, ledger) = (id.to_owned(), seen.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (name, ledger) = (name.clone(), ledger.clone());
                tokio::spawn(async move { serve(stream, &name, manner, &ledger).await });
            }
        });
        Self {
            id: id.to_owned(),
            address,
            seen,
            task,
        }
    }

    pub fn runs(&self) -> usize {
        self.seen.runs.load(Ordering::Relaxed)
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut stream: TcpStream, name: &str, manner: Manner, seen: &Seen) {
    let Some(request) = read(&mut stream).await else {
        return;
    };
    let header = |name: &str| {
        let mut lines = request.lines().map(|line| line.split_once(": "));
        let found = lines.find_map(|line| {
            let (key, value) = line?;
            key.eq_ignore_ascii_case(name)
                .then(|| value.trim().to_owned())
        });
        found.unwrap_or_default()
    };
    let attempt = header("Kumquatdrum-Attempt-Id");
    if header("Kumquatdrum-Expect-Instance") != name {
        let answer = head("421 Misdirected Request", &attempt, "Content-Length: 0\r\n");
        let _ = stream.write_all(answer.as_bytes()).await;
        return;
    }
    seen.runs.fetch_add(1, Ordering::Relaxed);
    let after: u64 = header("Last-Event-Id").parse().unwrap_or(0);
    *seen.attempts.lock().entry(attempt.clone()).or_default() += 1;
    let manner = match manner {
        Manner::ByPath if request.contains(" /stream/") => SIX_EVENTS,
        Manner::ByPath => Manner::Whole,
        manner => manner,
    };
    seen.requests.lock().push(request.clone());
    if answer(&mut stream, &attempt, manner, after).await.is_err() {
        seen.left.fetch_add(1, Ordering::Relaxed);
    }
}

async fn answer(
    stream: &mut TcpStream,
    attempt: &str,
    manner: Manner,
    after: u64,
) -> std::io::Result<()> {
    let whole = |attempt: &str| head("200 OK", attempt, "Content-Length: 5\r\n") + "whole";
    let events = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    match manner {
        Manner::Whole | Manner::ByPath => stream.write_all(whole(attempt).as_bytes()).await,
        Manner::Crossed => stream.write_all(whole("another").as_bytes()).await,
        Manner::Twice => {
            let twice = whole(attempt) + &whole("another");
            stream.write_all(twice.as_bytes()).await
        }
        Manner::Lost => Ok(()),
        Manner::Unframed => {
            let half = head("200 OK", attempt, "Connection: close\r\n") + "ha";
            stream.write_all(half.as_bytes()).await?;
            // Bytes that were not read make the close a reset.
            socket_reset(stream);
            Ok(())
        }
        Manner::Broken { after: last } => {
            let mut text = head("200 OK", attempt, events);
            for event in after + 1..=last {
                text += &chunk(&format!("id: {event}\ndata: piece {event}\n\n"));
            }
            text += &chunk(&format!("id: {}\nda", last + 1));
            stream.write_all(text.as_bytes()).await
        }
        Manner::Stream {
            events: last,
            pause,
        } => {
            let start = head("200 OK", attempt, events);
            stream.write_all(start.as_bytes()).await?;
            for event in after + 1..=last {
                let text = chunk(&format!("id: {event}\ndata: piece {event}\n\n"));
                tokio::select! {
                    () = sleep(pause) => stream.write_all(text.as_bytes()).await?,
                    closed = closed(stream) => return closed,
                }
            }
            stream.write_all(b"0\r\n\r\n").await
        }
    }
}

async fn closed(stream: &TcpStream) -> std::io::Result<()> {
    loop {
        stream.readable().await?;
        if stream.try_read(&mut [0; 64])? == 0 {
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
    }
}

fn socket_reset(stream: &TcpStream) {
    let linger = Some(Duration::ZERO);
    socket2::SockRef::from(stream)
        .set_linger(linger)
        .expect("linger");
}

fn head(status: &str, attempt: &str, more: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nKumquatdrum-Attempt-Id: {attempt}\r\n\
         Kumquatdrum-Response-Stamp: stamp-{attempt}\r\n{more}\r\n"
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn read(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (key, value) = line.split_once(": ")?;
                let is_length = key.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().ok())?
            });
            if body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
        }
    }
}
