//! How far a request on a connection has come, to report requests that end with their connection.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_routes::connection::Standing;
use kumquatdrum_types::Moment;
use parking_lot::Mutex;

use crate::body::{Body, Error};

/// How far the request has come that a connection carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// There is no request.
    Idle,
    /// A part of the head has arrived.
    Head,
    /// The head has arrived, and the body not entirely.
    Body,
    /// The request has arrived, and there is no response yet.
    Waiting,
    /// A part of the response has been passed to the connection.
    Response,
    /// The response is complete, but the request has not been read entirely.
    Unread,
}

impl Phase {
    /// Returns the name in logs and metrics.
    ///
    /// ```
    /// use kumquatdrum_gateway::listener::progress::Phase;
    ///
    /// assert_eq!(Phase::Waiting.name(), "waiting");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Head => "head",
            Self::Body => "body",
            Self::Waiting => "waiting",
            Self::Response => "response",
            Self::Unread => "unread",
        }
    }
}

/// A connection's state when it ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// How far the request has come.
    pub phase: Phase,
    /// The caller's attempt id; empty if the head has not arrived.
    pub request: String,
    /// Whether the caller's connection broke before the request's body had arrived entirely.
    pub is_abandoned: bool,
    /// The bytes received since the end of the previous response.
    pub bytes_read: u64,
    /// The bytes sent since then.
    pub bytes_written: u64,
}

/// The progress of the requests on a connection, shared by all who see a part of it.
#[derive(Debug, Clone)]
pub struct Progress {
    clock: Clock,
    /// The number of the request that this handle stands for.
    number: u64,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// The number of the current request.
    number: u64,
    /// When the connection became idle, and the idle limit in force then.
    idle_since: Moment,
    idle_limit: Duration,
    has_served: bool,
    /// When the first byte of a head arrived.
    head_since: Option<Moment>,
    request: Option<String>,
    has_body: bool,
    is_abandoned: bool,
    has_response: bool,
    is_response_complete: bool,
    is_response_sent: bool,
    bytes_read: u64,
    bytes_written: u64,
    /// The bytes received after the end of the request, which may belong to the next one.
    next_bytes: u64,
}

impl Progress {
    /// Creates the progress of a new connection with the idle limit in force.
    pub fn new(clock: Clock, idle_limit: Duration) -> Self {
        let state = State {
            idle_since: clock.now(),
            idle_limit,
            ..State::default()
        };
        Self {
            clock,
            number: 0,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Records the head of a request and returns the handle for it. `has_body` states whether its body
    /// has arrived, too.
    pub(super) fn record_head(&self, has_body: bool) -> Self {
        let mut state = self.state.lock();
        *state = State {
            number: state.number + 1,
            idle_limit: state.idle_limit,
            request: Some(String::new()),
            has_body,
            bytes_read: state.bytes_read,
            ..State::default()
        };
        Self {
            number: state.number,
            ..self.clone()
        }
    }

    /// Records the caller's id of the request.
    pub(crate) fn record_id(&self, id: &str) {
        self.update(|state| state.request = Some(id.to_owned()));
    }

    /// Records that the request's body has arrived entirely.
    pub(crate) fn record_body(&self) {
        self.update(|state| {
            state.has_body = true;
            state.end_request(self.clock.now());
        });
    }

    /// Records that the caller's connection broke before the request's body had arrived entirely.
    pub(crate) fn record_abandoned(&self) {
        self.update(|state| state.is_abandoned = true);
    }

    /// Changes the state unless another request has begun.
    fn update(&self, change: impl FnOnce(&mut State)) {
        let mut state = self.state.lock();
        if state.number == self.number {
            change(&mut state);
        }
    }

    /// Records received bytes.
    pub(crate) fn record_read(&self, bytes: usize) {
        let mut state = self.state.lock();
        match state.request {
            None if bytes > 0 && state.head_since.is_none() => {
                state.head_since = Some(self.clock.now());
            }
            Some(_) if state.has_body => state.next_bytes += bytes as u64,
            _ => {}
        }
        state.bytes_read += bytes as u64;
    }

    /// Records sent bytes.
    pub(crate) fn record_written(&self, bytes: usize) {
        self.state.lock().bytes_written += bytes as u64;
    }

    /// Records that all bytes passed to the connection have been sent.
    pub(crate) fn record_flush(&self) {
        let mut state = self.state.lock();
        state.is_response_sent = state.is_response_complete;
        state.end_request(self.clock.now());
    }

    /// Returns a body of a response that records its end. `is_sent` states whether the connection
    /// sends the body, and not the head alone. `idle_limit` is the one in force.
    pub(super) fn track(&self, body: Body, is_sent: bool, idle_limit: Duration) -> Tracked {
        self.update(|state| {
            state.has_response = true;
            state.idle_limit = idle_limit;
        });
        Tracked {
            body,
            progress: self.clone(),
            has_ended: !is_sent,
        }
    }

    /// Returns what the connection waits for.
    pub(super) fn standing(&self) -> Standing {
        let state = self.state.lock();
        match (&state.request, state.head_since) {
            (Some(_), _) => Standing::Busy,
            (None, Some(since)) => Standing::Head { since },
            (None, None) => Standing::Idle {
                since: state.idle_since,
                limit: state.idle_limit,
                is_new: !state.has_served,
            },
        }
    }

    /// Returns once a part of a head has arrived. Only looks when it is polled, after the connection.
    pub(super) async fn wait_for_head(&self) {
        poll_fn(|_| match self.standing() {
            Standing::Head { .. } => Poll::Ready(()),
            Standing::Idle { .. } | Standing::Busy => Poll::Pending,
        })
        .await;
    }

    /// Returns the current state.
    pub(super) fn snapshot(&self) -> Snapshot {
        let state = self.state.lock();
        let phase = match (&state.request, state.has_body) {
            (None, _) if state.bytes_read == 0 => Phase::Idle,
            (None, _) => Phase::Head,
            (Some(_), false) if state.is_response_sent => Phase::Unread,
            (Some(_), _) if state.has_response => Phase::Response,
            (Some(_), false) => Phase::Body,
            (Some(_), true) => Phase::Waiting,
        };
        Snapshot {
            phase,
            request: state.request.clone().unwrap_or_default(),
            is_abandoned: state.is_abandoned,
            bytes_read: state.bytes_read,
            bytes_written: state.bytes_written,
        }
    }
}

impl State {
    /// Forgets the request once it has been read and its response sent.
    fn end_request(&mut self, now: Moment) {
        if self.is_response_sent && self.has_body {
            *self = Self {
                number: self.number,
                idle_since: now,
                idle_limit: self.idle_limit,
                has_served: true,
                head_since: (self.next_bytes > 0).then_some(now),
                bytes_read: self.next_bytes,
                ..Self::default()
            };
        }
    }
}

/// The body of a response, whose end is recorded.
#[derive(Debug)]
pub(super) struct Tracked {
    body: Body,
    progress: Progress,
    has_ended: bool,
}

impl HttpBody for Tracked {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if matches!(polled, Poll::Ready(None)) {
            self.has_ended = true;
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        // A body of known length is not polled to its end.
        if self.has_ended || self.body.is_end_stream() {
            let progress = &self.progress;
            progress.update(|state| state.is_response_complete = true);
        }
    }
}
