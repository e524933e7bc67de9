//! One exchange with an endpoint: the call that a daemon sends and the events that it receives.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{AttemptId, BootId, EndpointId, HostId};

/// Endpoint that an attempt is dispatched to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Incarnation that was selected.
    pub boot: BootId,
    /// Address that accepts calls.
    pub address: SocketAddr,
}

/// A dispatch that is ready to be sent.
#[derive(Debug, Clone)]
pub struct Call {
    /// Endpoint that receives the call.
    pub target: Target,
    /// Identifier of the attempt, echoed by the endpoint.
    pub attempt: AttemptId,
    /// Host that dispatches the attempt.
    pub owner: HostId,
    /// Number of attempts that the owner has dispatched to this endpoint, including this one.
    pub owner_attempt: u64,
    /// HTTP method.
    pub method: String,
    /// Request path and query.
    pub path: String,
    /// Headers to forward, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
    /// Estimated number of prompt tokens.
    pub prompt_tokens: u64,
    /// Priority level; lower values are scheduled first.
    pub priority: u8,
    /// Time remaining until the request's deadline.
    pub time_left: Duration,
}

/// Token counts reported by the engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    #[serde(default)]
    pub completion_tokens: u64,
}

/// Event received from an endpoint during an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The response head arrived.
    Accepted(Head),
    /// One token of an engine's response, as the engine encoded it.
    Token {
        /// Position in the response, starting at 0.
        index: u64,
        /// Data of the event.
        data: Bytes,
    },
    /// Last event before the end marker, which may carry token counts.
    Summary {
        /// Data of the event.
        data: Bytes,
        /// Token counts, if the engine reports them.
        usage: Option<Usage>,
    },
    /// A chunk of a plain service's response body.
    Chunk(Bytes),
    /// The response is complete.
    Finished,
    /// The exchange ended without a complete response.
    Fault(Fault),
}

/// Head of an endpoint's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Content type, if given.
    pub content_type: Option<String>,
}

/// Reason that an exchange ended without a complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// No connection was established, so nothing was sent.
    NotSent,
    /// The endpoint confirmed that it did not start the attempt.
    NotStarted,
    /// The endpoint responded with an error.
    Rejected {
        /// HTTP status of the error.
        status: u16,
        /// Body of the error, truncated.
        body: Bytes,
    },
    /// The connection or the response ended without the end marker.
    Broken,
    /// The response belongs to another attempt.
    WrongAttempt,
}

/// Status of an attempt, as reported by its engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Incarnation of the engine that reports the status.
    pub boot: BootId,
    /// Stage of the attempt.
    pub state: Stage,
    /// Number of tokens generated so far.
    #[serde(default)]
    pub tokens: u64,
    /// Whether the engine began processing the attempt; assumed if the engine doesn't report it.
    #[serde(default = "assume_started")]
    pub started: bool,
}

const fn assume_started() -> bool {
    true
}

/// Stage of an attempt at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Accepted but not yet in the batch.
    Waiting,
    /// In the running batch.
    Running,
    /// Completed; the response can still be resumed for a limited time.
    Finished,
    /// Aborted by the engine.
    Failed,
    /// Cancelled on request.
    Cancelled,
    /// Unknown to this incarnation of the engine; after a cancel, the engine also rejects a
    /// late dispatch of it.
    NeverSeen,
}

impl Stage {
    /// Returns whether the stage is final.
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
