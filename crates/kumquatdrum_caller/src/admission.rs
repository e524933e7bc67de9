//! What the callers' listener needs of the daemon.

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

/// A boxed future, so that the trait can stand behind a pointer.
pub type Answer<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// A caller that proved who it is, with room for its body.
#[derive(Debug)]
pub struct Caller {
    /// The request's name from now on.
    pub request: RequestId,
    /// The caller's workspace.
    pub workspace: WorkspaceName,
    /// The most bytes that the body may have.
    pub body_limit: u64,
    /// The most bytes of bodies that the workspace may have here.
    pub workspace_limit: Option<u64>,
    /// The bytes set aside; grows as the body arrives.
    pub hold: Allocation,
}

/// What the caller asks for, as its headers and body say it.
#[derive(Debug)]
pub struct Ask {
    /// The service's name.
    pub service: String,
    /// Whether it came over the model interface.
    pub model: bool,
    /// The HTTP method.
    pub method: String,
    /// The path and query to call at the endpoint.
    pub path: String,
    /// Headers to caller on, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Where the prompt stands in the body.
    pub prompt: std::ops::Range<usize>,
    /// The most tokens of the answer, where the caller says.
    pub max_tokens: Option<u64>,
    /// The caller's own count of prompt tokens.
    pub prompt_tokens: Option<u64>,
    /// The deadline that the caller names.
    pub deadline: Option<Duration>,
    /// The priority that the caller names.
    pub priority: Option<String>,
    /// Whether it may be repeated, where the caller says.
    pub idempotent: Option<bool>,
    /// The idempotency key.
    pub key: Option<String>,
}

/// Why something was not served, in the terms of `docs/CALLERS.md`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// A fixed code.
    pub code: String,
    /// What the caller may conclude.
    pub class: FailureClass,
    /// The same in plain English.
    pub message: String,
    /// When to come back, in milliseconds, where that is worth it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// The request's name, for the logs.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// The HTTP status.
    #[serde(skip)]
    pub status: u16,
    /// The endpoint's own answer, passed on in place of this one's body.
    #[serde(skip)]
    pub relayed: Option<Bytes>,
}

/// What arrives for the caller.
#[derive(Debug)]
pub enum Reply {
    /// The head of a plain service's answer.
    Head(Head),
    /// The answer begins anew; nothing of it has been passed on.
    Restart,
    /// One token's event data.
    Token(Bytes),
    /// The last event's data before the end.
    Summary(Bytes),
    /// A piece of a plain service's answer.
    Piece(Bytes),
    /// The answer is whole.
    Finished,
    /// The answer won't come, or won't be whole.
    Problem(Problem),
}

/// Replies of one request. Dropping it tells the daemon that the caller has left.
#[derive(Debug)]
pub struct Exchange {
    /// The request's name.
    pub request: RequestId,
    /// The replies, in order; the last is `Finished` or `Problem`.
    pub replies: mpsc::Receiver<Reply>,
}

/// What is known of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct KeyState {
    /// The key.
    pub key: String,
    /// `running`, `finished`, `not_run`, `unknown` or `never_seen`.
    pub state: String,
    /// The host that dispatched it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
}

/// The daemon, as the callers' listener sees it.
pub trait Admission: Send + Sync {
    /// Checks the caller's key, before anything of the body is read.
    fn open(&self, bearer: Option<&str>) -> Result<Caller, Problem>;

    /// Takes in a request.
    fn enter(&self, caller: Caller, ask: Ask) -> Result<Exchange, Problem>;

    /// What the caller of a keyed request may be told where this sending of it was refused: an
    /// earlier sending may have run.
    fn refused<'a>(
        &'a self,
        workspace: &'a WorkspaceName,
        key: &'a str,
        problem: Problem,
    ) -> Answer<'a, Problem>;

    /// Whether the connection that a caller came by still stands.
    fn is_here(&self, caller: SocketAddr) -> bool;

    /// Tells what is known of a key of the caller's workspace.
    fn key_state<'a>(
        &'a self,
        bearer: Option<&'a str>,
        key: &'a str,
    ) -> Answer<'a, Result<KeyState, Problem>>;
}

impl Problem {
    /// A refusal: nothing of the request ran.
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
        let (status, message) = words(refusal);
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

    /// The same with a message of its own.
    #[must_use]
    pub fn with_message(mut self, message: impl Into<String>) -> Self {
        self.message = message.into();
        self
    }
}

/// The fixed code of a refusal.
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

const fn words(refusal: Refusal) -> (u16, &'static str) {
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
        Refusal::DeadlineBeforeDispatch => (504, "the deadline came before an endpoint was free"),
        Refusal::ClaimUnavailable => (
            503,
            "this sending was not run, and of earlier ones with the key nothing can be learnt now",
        ),
        Refusal::Draining => (503, "this host is shutting down"),
        Refusal::NoDeclaration => (503, "no declaration is in force on this host yet"),
    }
}
