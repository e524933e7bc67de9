//! A caller that sends requests in pieces on one connection, and tells what becomes of each.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The time that a caller waits for the next bytes of an answer.
const TIMEOUT: Duration = Duration::from_secs(12);

/// How a request's body is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
}

/// A request, and the way in which it is sent.
#[derive(Debug, Clone)]
pub struct Request<'a> {
    pub path: &'a str,
    pub attempt: &'a str,
    pub key: &'a str,
    pub deadline_ms: u64,
    pub framing: Framing,
    /// The number of bytes of the body.
    pub body_bytes: usize,
    /// The number of parts in which the body is sent after the head; if 0, it is sent with the head.
    pub pieces: usize,
    /// The pause before each part.
    pub pause: Duration,
    /// Further header lines.
    pub headers: &'a str,
}

impl<'a> Request<'a> {
    /// Returns a request with a short body that is sent at once.
    pub const fn new(path: &'a str, attempt: &'a str) -> Self {
        Self {
            path,
            attempt,
            key: "key-1",
            deadline_ms: 8_000,
            framing: Framing::Length,
            body_bytes: 20,
            pieces: 0,
            pause: Duration::ZERO,
            headers: "",
        }
    }

    /// Returns the head.
    pub fn head(&self) -> String {
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}", self.body_bytes),
            Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
        };
        format!(
            "POST {} HTTP/1.1\r\nHost: a.example\r\nKumquatdrum-Attempt-Id: {}\r\n\
             Kumquatdrum-Deadline-Ms: {}\r\nKumquatdrum-Key: {}\r\n{}{framing}\r\n\r\n",
            self.path, self.attempt, self.deadline_ms, self.key, self.headers
        )
    }

    /// Returns the parts of the body.
    pub fn parts(&self) -> Vec<Vec<u8>> {
        let size = self.body_bytes.div_ceil(self.pieces.max(1)).max(1);
        let body = vec![b'x'; self.body_bytes];
        let mut parts: Vec<Vec<u8>> = body.chunks(size).map(|part| self.frame(part)).collect();
        if self.framing == Framing::Chunked {
            let end = b"0\r\n\r\n".to_vec();
            match parts.last_mut() {
                Some(last) => last.extend(end),
                None => parts.push(end),
            }
        }
        parts
    }

    fn frame(&self, part: &[u8]) -> Vec<u8> {
        match self.framing {
            Framing::Length => part.to_vec(),
            Framing::Chunked => {
                let size = format!("{:x}\r\n", part.len());
                [size.as_bytes(), part, b"\r\n"].concat()
            }
        }
    }
}

/// What became of a request that was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// A complete answer.
    Answered(Answer),
    /// The head of an answer with this status, and not all of its body.
    Broken(u16),
    /// The connection ended without the head of an answer.
    Lost(String),
}

impl End {
    /// Returns the status of a complete answer, or 0.
    pub const fn status(&self) -> u16 {
        match self {
            Self::Answered(answer) => answer.status,
            Self::Broken(_) | Self::Lost(_) => 0,
        }
    }
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    /// The head in lower case.
    pub head: String,
    pub body: Vec<u8>,
}

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Caller {
    pub async fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            received: Vec::new(),
        })
    }

    /// Connects with a receive buffer of a size, so that little is received before it is read.
    pub async fn connect_with_buffer(address: SocketAddr, bytes: u32) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(bytes)?;
        let stream = socket.connect(address).await?;
        Ok(Self {
            stream,
            received: Vec::new(),
        })
    }

    /// Sends a request and then waits for its answer.
    pub async fn call(&mut self, request: &Request<'_>) -> End {
        match self.send(request).await {
            Ok(()) => self.receive().await,
            Err(error) => End::Lost(format!("not sent: {error}")),
        }
    }

    /// Sends a request.
    pub async fn send(&mut self, request: &Request<'_>) -> std::io::Result<()> {
        let head = request.head().into_bytes();
        let parts = request.parts();
        if request.pieces == 0 {
            return self.write(&[head, parts.concat()].concat()).await;
        }
        self.write(&head).await?;
        for part in parts {
            sleep(request.pause).await;
            self.write(&part).await?;
        }
        Ok(())
    }

    /// Sends a request whose head comes in two parts.
    pub async fn send_split(&mut self, request: &Request<'_>, at: usize) -> std::io::Result<()> {
        let head = request.head();
        self.write(&head.as_bytes()[..at]).await?;
        sleep(request.pause).await;
        self.write(&head.as_bytes()[at..]).await?;
        for part in request.parts() {
            sleep(request.pause).await;
            self.write(&part).await?;
        }
        Ok(())
    }

    pub async fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Waits for the next answer, other than `100 Continue`.
    pub async fn receive(&mut self) -> End {
        loop {
            let head = match self.read_until(b"\r\n\r\n").await {
                Ok(head) => String::from_utf8_lossy(&head).to_lowercase(),
                Err(reason) => return End::Lost(reason),
            };
            let status = head.split(' ').nth(1).and_then(|code| code.parse().ok());
            let status = status.expect("a status");
            if status == 100 {
                continue;
            }
            return match self.read_body(&head).await {
                Ok(body) => End::Answered(Answer { status, head, body }),
                Err(_) => End::Broken(status),
            };
        }
    }

    /// Returns whether the connection ends within a span, with no bytes before.
    pub async fn ends_within(&self, span: Duration) -> bool {
        let peeked = timeout(span, self.stream.peek(&mut [0])).await;
        self.received.is_empty() && matches!(peeked, Ok(Ok(0) | Err(_)))
    }

    /// Reads and discards until the connection ends. Returns the number of bytes, or `None` if it
    /// has not ended after a span.
    pub async fn discard(&mut self, span: Duration) -> Option<usize> {
        let until = Instant::now() + span;
        let mut bytes = self.received.len();
        loop {
            self.received.clear();
            let read = self.stream.read_buf(&mut self.received);
            match timeout_at(until, read).await {
                Ok(Ok(0) | Err(_)) => return Some(bytes),
                Ok(Ok(read)) => bytes += read,
                Err(_) => return None,
            }
        }
    }

    /// Returns whether the host closes the connection in order within the timeout.
    pub async fn is_closed(&mut self) -> bool {
        while let Ok(bytes) = self.read_more().await {
            if bytes == 0 {
                return true;
            }
        }
        false
    }

    async fn read_body(&mut self, head: &str) -> Result<Vec<u8>, String> {
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        match length.and_then(|length| length.parse().ok()) {
            Some(length) => self.read_exactly(length).await,
            None if head.contains("transfer-encoding: chunked") => self.read_chunks().await,
            None => Err("no framing".to_owned()),
        }
    }

    async fn read_chunks(&mut self) -> Result<Vec<u8>, String> {
        let mut body = Vec::new();
        loop {
            let line = self.read_until(b"\r\n").await?;
            let size = String::from_utf8_lossy(&line).trim().to_owned();
            let size = usize::from_str_radix(&size, 16).map_err(|error| error.to_string())?;
            let chunk = self.read_exactly(size + 2).await?;
            if size == 0 {
                return Ok(body);
            }
            body.extend(&chunk[..size]);
        }
    }

    async fn read_until(&mut self, end: &[u8]) -> Result<Vec<u8>, String> {
        loop {
            let found = self
                .received
                .windows(end.len())
                .position(|part| part == end);
            if let Some(at) = found {
                return self.read_exactly(at + end.len()).await;
            }
            self.read_some().await?;
        }
    }

    async fn read_exactly(&mut self, count: usize) -> Result<Vec<u8>, String> {
        while self.received.len() < count {
            self.read_some().await?;
        }
        Ok(self.received.drain(..count).collect())
    }

    async fn read_some(&mut self) -> Result<(), String> {
        match self.read_more().await {
            Ok(0) => Err("closed".to_owned()),
            Ok(_) => Ok(()),
            Err(error) => Err(error),
        }
    }

    async fn read_more(&mut self) -> Result<usize, String> {
        let read = self.stream.read_buf(&mut self.received);
        let read = timeout(TIMEOUT, read).await;
        let read = read.map_err(|_| "nothing received in time".to_owned())?;
        read.map_err(|error| error.to_string())
    }
}

/// Sends a request on a connection of its own and waits for its answer.
pub async fn call(address: SocketAddr, request: &Request<'_>) -> End {
    match Caller::connect(address).await {
        Ok(mut caller) => caller.call(request).await,
        Err(error) => End::Lost(format!("not connected: {error}")),
    }
}
