//! Why a connection ended, reported if a request ended with it.

use std::error::Error as _;
use std::io;
use std::sync::Arc;

use slog::info;

use super::progress::{Phase, Progress};
use crate::Gateway;

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The host closed it in order.
    Closed,
    /// The caller closed or reset it.
    Caller,
    /// The caller was too slow to send a head.
    Timeout,
    /// The caller did not take what was sent for too long.
    Unacknowledged,
    /// The response ended before it was complete.
    Response,
    /// What the caller sent is not HTTP.
    Invalid,
    /// The host stopped.
    Stopped,
    /// A task of the host panicked.
    Panic,
}

impl Cause {
    /// Returns the name in logs and metrics.
    ///
    /// ```
    /// use kumquatdrum_gateway::listener::Cause;
    ///
    /// assert_eq!(Cause::Stopped.name(), "stopped");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Caller => "caller",
            Self::Timeout => "timeout",
            Self::Unacknowledged => "unacknowledged",
            Self::Response => "response",
            Self::Invalid => "invalid",
            Self::Stopped => "stopped",
            Self::Panic => "panic",
        }
    }

    fn of(error: &hyper::Error) -> Self {
        let source = error.source().and_then(|source| source.downcast_ref());
        match source.map(io::Error::kind) {
            Some(io::ErrorKind::TimedOut) => Self::Unacknowledged,
            Some(_) => Self::Caller,
            None if error.is_user() => Self::Response,
            None if error.is_incomplete_message() => Self::Caller,
            None if error.is_parse() => Self::Invalid,
            None => Self::Closed,
        }
    }
}

/// How a connection ended.
#[derive(Debug)]
pub(super) enum End {
    /// The host closes it, as there is no request.
    Idle,
    /// The host closes it, as a head takes too long.
    SlowHead,
    /// The connection itself ended.
    Connection(hyper::Result<()>),
}

/// Reports a request that ends with its connection, when it is dropped.
pub(super) struct Guard {
    gateway: Arc<Gateway>,
    progress: Progress,
    end: Option<(Cause, String)>,
}

impl Guard {
    pub(super) const fn new(gateway: Arc<Gateway>, progress: Progress) -> Self {
        Self {
            gateway,
            progress,
            end: None,
        }
    }

    /// Records how the connection ended, and returns why.
    pub(super) fn record_end(&mut self, ended: End) -> Cause {
        let (cause, reason) = match ended {
            End::Idle | End::Connection(Ok(())) => (Cause::Closed, String::new()),
            End::SlowHead => (Cause::Timeout, String::new()),
            End::Connection(Err(error)) => {
                let source = error.source().map(|source| format!(": {source}"));
                let reason = format!("{error}{}", source.unwrap_or_default());
                (Cause::of(&error), reason)
            }
        };
        self.end = Some((cause, reason));
        cause
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let snapshot = self.progress.snapshot();
        if snapshot.phase == Phase::Idle {
            return;
        }
        let (cause, reason) = match self.end.take() {
            Some((Cause::Closed, reason)) if snapshot.is_abandoned => (Cause::Caller, reason),
            Some((cause, reason)) => (cause, reason),
            None if std::thread::panicking() => (Cause::Panic, String::new()),
            None => (Cause::Stopped, String::new()),
        };
        let phase = snapshot.phase.name();
        let counter = &self.gateway.metrics.connections_ended;
        counter.with_label_values(&[phase, cause.name()]).inc();
        info!(self.gateway.logger, "connection_ended"; "event" => "connection_ended",
            "request" => snapshot.request, "phase" => phase, "cause" => cause.name(),
            "bytes_read" => snapshot.bytes_read, "bytes_written" => snapshot.bytes_written,
            "reason" => reason);
    }
}
