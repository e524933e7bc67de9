//! The types of a setup.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{ServiceName, WorkspaceName};

/// Everything that operators put in force at once.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Setup {
    /// The operator's number; the highest one is in force.
    pub revision: u64,
    /// Where requests go.
    pub routes: Vec<Route>,
    /// The services behind the routes.
    pub services: IndexMap<ServiceName, Service>,
    /// Who may call; none where callers need no key.
    pub workspaces: Option<Vec<Workspace>>,
    /// What callers may send.
    pub limits: Limits,
}

/// Requests of one host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The operator's name for it.
    pub name: String,
    /// The `Host` of its requests.
    pub host: String,
    /// How their paths begin.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest that a caller is kept waiting.
    pub timeout: Duration,
    /// An answer within this time earns its full worth to the caller.
    pub target: Duration,
    /// 0 goes first.
    pub priority: u32,
    /// The services that share its requests.
    pub shares: Vec<Share>,
    /// The most endpoints that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Needs no key.
    pub public: bool,
}

/// What may be done again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answered by a stream of events.
    Stream {
        /// May go on at another endpoint after its last event, and so may run again.
        resumable: bool,
        /// The longest pause between events for which the answer is still on time.
        pause: Duration,
    },
}

impl Kind {
    /// Whether a request may run more than once.
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::Safe => true,
            Self::Unsafe => false,
            Self::Stream { resumable, .. } => resumable,
        }
    }
}

/// A service's part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the route's shares.
    pub weight: u32,
}

/// A service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// The most connections that one of its endpoints takes from all hosts together.
    pub max_connections: u32,
    /// How its model engines work; none for plain services.
    pub engine: Option<Engine>,
}

/// The figures that a model engine publishes of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that it works on at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Steps of a pass in which it writes.
    pub pass_steps: u32,
    /// A step's base cost in milliseconds.
    pub step_ms: f64,
    /// What each request that writes adds to a step, in milliseconds.
    pub decode_request_ms: f64,
    /// What 1,000 tokens of context of those that write add to a step, in milliseconds.
    pub context_ms_per_k_tokens: f64,
    /// Prompt tokens read in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Milliseconds for a million pairs of a token and an earlier one.
    pub attention_ms_per_m_pairs: f64,
    /// The most prompt tokens read in a step.
    pub chunk_tokens: u32,
    /// What holding memory elsewhere adds to a step, in milliseconds.
    pub remote_memory_step_ms: f64,
    /// The usual length of a prompt, in tokens.
    pub typical_prompt_tokens: f64,
    /// The usual length of an answer, in tokens.
    pub typical_answer_tokens: f64,
}

/// Callers that share keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name, which endpoints are told.
    pub name: WorkspaceName,
    /// The keys of its callers.
    pub keys: Vec<String>,
    /// Takes precedence over a route's.
    pub priority: Option<u32>,
}

/// What callers may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request, in bytes.
    pub header_bytes: usize,
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest that a head may take.
    pub header_timeout: Duration,
    /// The longest that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Where an operator names no limits: the defaults of common HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}
