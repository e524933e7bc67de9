//! Interface between the callers' listener and the daemon.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use kumquatdrum_daemon::body::Allocation;
use kumquatdrum_types::exchange::Head;
use kumquatdrum_types::{FailureClass, Refusal, RequestId, WorkspaceName};
use serde::Serialize;
use tokio::sync::mpsc;

/// A boxed future, which keeps [`Admission`] usable as a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// An authenticated caller with the memory reservation of its body.
#[derive(Debug)]
pub struct Caller {
    /// Id assigned to the request.
    pub request: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Maximum body size in bytes.
    pub body_limit: u64,
    /// Maximum number of body bytes that the workspace may hold on this host.
    pub workspace_limit: Option<u64>,
    /// Bytes reserved for the body. Grows while the body arrives.
    pub allocation: Allocation,
}

/// A request as submitted by the caller.
#[derive(Debug)]
pub struct Submission {
    /// Name of the service.
    pub service: String,
    /// Whether the request came through the model interface.
    pub is_model_request: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query to request from the endpoint.
    pub path: String,
    /// Headers to forward, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
    /// Whether the caller requests a streamed response.
    pub is_streamed: bool,
    /// Byte range of the prompt in the body.
    pub prompt: std::ops::Range<usize>,
    /// Maximum number of output tokens, if given.
    pub max_tokens: Option<u64>,
    /// Number of prompt tokens as counted by the caller, if given.
    pub prompt_tokens: Option<u64>,
    /// Deadline relative to now, if given.
    pub deadline: Option<Duration>,
    /// Name of the priority, if given.
    pub priority: Option<String>,
    /// Whether the request may be retried after dispatch, if given.
    pub is_idempotent: Option<bool>,
    /// Idempotency key, if given.
    pub key: Option<String>,
}

/// An error response, as described in `docs/CALLERS.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Stable error code.
    pub code: String,
    /// Whether the request may have run.
    pub class: FailureClass,
    /// Human-readable description.
    pub message: String,
    /// Time until a retry may succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Request id.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// HTTP status.
    #[serde(skip)]
    pub status: u16,
    /// Error body of the endpoint, relayed in place of the JSON form of this problem.
    #[serde(skip)]
    pub relayed: Option<Bytes>,
}

/// An event of the response to a caller.
#[derive(Debug)]
pub enum Reply {
    /// Status and headers of a plain service's response.
    Head(Head),
    /// The response restarts from its beginning after a retry. The caller has received nothing of
    /// it yet.
    Restart,
    /// Event data of one token.
    Token(Bytes),
    /// Event data that precedes the end, with the finish reason and usage.
    Summary(Bytes),
    /// Part of the body of a plain service's response.
    Chunk(Bytes),
    /// The response is complete.
    Finished,
    /// The response failed or is incomplete.
    Problem(Problem),
}

/// The replies to one request. Dropping it reports to the daemon that the caller disconnected.
#[derive(Debug)]
pub struct Exchange {
    /// Request id.
    pub request: RequestId,
    /// Replies in order. The last one is `Finished` or `Problem`.
    pub replies: mpsc::Receiver<Reply>,
}

/// State of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct KeyState {
    /// Idempotency key.
    pub key: String,
    /// `running`, `finished`, `not_run`, `unknown` or `never_seen`.
    pub state: String,
    /// Host that dispatched the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
}

/// The daemon's interface to the callers' listener.
pub trait Admission: Send + Sync {
    /// Authenticates the caller. Called before the body is read.
    fn authenticate(&self, bearer: Option<&str>) -> Result<Caller, Problem>;

    /// Submits a request and returns its replies.
    fn submit(&self, caller: Caller, submission: Submission) -> Result<Exchange, Problem>;

    /// Returns the problem to report for a refused request with an idempotency key. An earlier
    /// request with the same key may have run.
    fn resolve_refusal<'a>(
        &'a self,
        workspace: &'a WorkspaceName,
        key: &'a str,
        problem: Problem,
    ) -> BoxFuture<'a, Problem>;

    /// Returns whether the caller's connection is still open.
    fn is_connected(&self, caller: SocketAddr) -> bool;

    /// Returns the state of an idempotency key in the caller's workspace.
    fn key_state<'a>(
        &'a self,
        bearer: Option<&'a str>,
        key: &'a str,
    ) -> BoxFuture<'a, Result<KeyState, Problem>>;
}

impl Problem {
    /// Creates a problem for a request that was refused before it ran.
    ///
    /// ```
    /// use kumquatdrum_caller::admission::Problem;
    /// use kumquatdrum_types::Refusal;
    ///
    /// let problem = Problem::refused(Refusal::Overloaded, None, None);
    /// assert_eq!((problem.status, problem.code.as_str()), (503, "overloaded"));
    /// assert_eq!(problem.retry_after_ms, Some(1_000));
    /// ```
    pub fn refused(
        refusal: Refusal,
        retry_after: Option<Duration>,
        request: Option<RequestId>,
    ) -> Self {
        let retry_after = retry_after.or(refusal.default_retry_after());
        let (status, message) = status_and_message(refusal);
        Self {
            code: code(refusal),
            class: FailureClass::NotRun,
            message: message.to_owned(),
            retry_after_ms: retry_after.map(|wait| wait.as_millis() as u64),
            request,
            status,
            relayed: None,
        }
    }

    /// Replaces the message.
    #[must_use]
    pub fn with_message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }
}

/// Returns the stable error code of a refusal.
///
/// ```
/// use kumquatdrum_types::Refusal;
/// assert_eq!(kumquatdrum_caller::admission::code(Refusal::NoEndpoint), "no_endpoint");
/// ```
pub fn code(refusal: Refusal) -> String {
    match serde_json::to_value(refusal) {
        Ok(serde_json::Value::String(code)) => code,
        _ => "refused".to_owned(),
    }
}

const fn status_and_message(refusal: Refusal) -> (u16, &'static str) {
    match refusal {
        Refusal::BadRequest => (400, "the request is malformed"),
        Refusal::Unauthorized => (401, "a valid caller's key is required"),
        Refusal::UnknownService => (404, "no such service for this workspace"),
        Refusal::PromptTooLong => (413, "the prompt exceeds what any set of engines can hold"),
        Refusal::BodyTooLarge => (413, "the body exceeds the limit"),
        Refusal::MemoryFull => (503, "this host holds as many bytes of bodies as it may"),
        Refusal::RateLimited => (429, "the workspace's rate is used up"),
        Refusal::ConcurrencyLimited => (429, "the workspace has too many requests in flight"),
        Refusal::Overloaded => (503, "the service can't meet the deadline now"),
        Refusal::NoEndpoint => (503, "no endpoint of the service can take the request now"),
        Refusal::Blocked => (503, "endpoints crashed while they ran the request"),
        Refusal::DeadlineBeforeDispatch => (504, "the deadline came before an endpoint was free"),
        Refusal::ClaimUnavailable => (
            503,
            "this sending was not run, and of earlier ones with the key nothing can be learnt now",
        ),
        Refusal::Draining => (503, "this host is shutting down"),
        Refusal::NoDeclaration => (503, "no declaration is in force on this host yet"),
    }
}
