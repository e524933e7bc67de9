//! One exchange with an endpoint: what a daemon sends and what it sees in return.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{AttemptId, BootId, EndpointId, HostId};

/// The endpoint that an attempt goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub endpoint: EndpointId,
    /// The life of it that was chosen.
    pub boot: BootId,
    /// Where it takes calls.
    pub address: SocketAddr,
}

/// One dispatch, ready to be sent.
#[derive(Debug, Clone)]
pub struct Call {
    /// Where it goes.
    pub target: Target,
    /// Its name; the endpoint echoes it.
    pub attempt: AttemptId,
    /// The host that asks.
    pub owner: HostId,
    /// The owner's count of attempts to this endpoint, this one included.
    pub owner_attempt: u64,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers to pass on, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, shared and never copied.
    pub body: Bytes,
    /// Prompt tokens, as the daemon estimates them.
    pub prompt_tokens: u64,
    /// The priority level; lower goes first.
    pub priority: u8,
    /// Time left until the request's deadline.
    pub time_left: Duration,
}

/// Tokens that the engine counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u64,
}

/// What arrives from an endpoint in the course of one exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The answer's head arrived, with the endpoint's status.
    Accepted(Head),
    /// One token of an engine's answer, as the engine wrote it.
    Token {
        /// Its place in the answer, from 0.
        index: u64,
        /// The event's data.
        data: Bytes,
    },
    /// The engine's last event before its end marker, with what it counted.
    Summary {
        /// The event's data.
        data: Bytes,
        /// Tokens counted, where the engine says.
        usage: Option<Usage>,
    },
    /// A piece of a plain service's answer.
    Chunk(Bytes),
    /// The answer is whole.
    Finished,
    /// The exchange ended otherwise.
    Fault(Fault),
}

/// The head of an endpoint's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The content type, where one is given.
    pub content_type: Option<String>,
}

/// Why an exchange ended without a whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// No connection came about, so nothing was sent.
    NotSent,
    /// The endpoint itself confirmed that it never started.
    NotStarted,
    /// The endpoint answered with an error of its own.
    Rejected {
        /// Its HTTP status.
        status: u16,
        /// Its body, cut to a bound.
        body: Bytes,
    },
    /// The connection ended, or the answer did, without the end marker.
    Broken,
    /// The answer carried another attempt's name.
    WrongAttempt,
}

/// What an engine knows of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The engine's life that speaks.
    pub boot: BootId,
    /// How far the attempt has come.
    pub state: Stage,
    /// Tokens generated so far.
    #[serde(default)]
    pub tokens: u64,
    /// Whether any of it ran; where an engine doesn't say, it may have.
    #[serde(default = "assume_started")]
    pub started: bool,
}

const fn assume_started() -> bool {
    true
}

/// How far an attempt has come at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Taken, not yet in the batch.
    Waiting,
    /// In the batch.
    Running,
    /// Answered whole; the answer can be resumed for a while.
    Finished,
    /// Ended by the engine.
    Failed,
    /// Ended by a cancel.
    Cancelled,
    /// Never seen in this life of the engine; after a cancel, it never will be.
    NeverSeen,
}

impl Stage {
    /// Whether the attempt is over.
    ///
    /// ```
    /// use kumquatdrum_types::exchange::Stage;
    /// assert!(Stage::Cancelled.has_ended());
    /// assert!(!Stage::Running.has_ended());
    /// ```
    pub const fn has_ended(self) -> bool {
        matches!(self, Self::Finished | Self::Failed | Self::Cancelled)
    }
}
