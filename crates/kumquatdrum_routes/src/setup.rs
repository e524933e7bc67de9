//! The data model of a setup.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{ServiceName, WorkspaceName};

/// The complete configuration that an operator applies as one revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Setup {
    /// The revision number, assigned by the operator. The highest revision is active.
    pub revision: u64,
    /// Routes from hosts and path prefixes to services.
    pub routes: Vec<Route>,
    /// The services that routes refer to, by name.
    pub services: IndexMap<ServiceName, Service>,
    /// The workspaces whose keys are accepted. `None` disables authentication.
    pub workspaces: Option<Vec<Workspace>>,
    /// Limits on requests.
    pub limits: Limits,
}

/// Routing rules for requests with a given host and path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name, assigned by the operator.
    pub name: String,
    /// The `Host` header that requests must carry.
    pub host: String,
    /// The prefix that request paths must have.
    pub prefix: String,
    /// The delivery guarantee, which decides whether a request may be retried.
    pub delivery: Delivery,
    /// The maximum time until a request is answered.
    pub timeout: Duration,
    /// The response time that requests should meet.
    pub target_latency: Duration,
    /// The scheduling priority; 0 is the highest.
    pub priority: u32,
    /// The services that requests are split between.
    pub shares: Vec<Share>,
    /// The maximum number of endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
}

/// A delivery guarantee for requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// Idempotent: a request may run more than once.
    Safe,
    /// At most once: a request that may have run is not retried.
    Unsafe,
    /// The response is a stream of events.
    Stream {
        /// Whether an interrupted stream may be resumed at another endpoint.
        is_resumable: bool,
        /// The maximum pause between events for which the response counts as on time.
        max_pause: Duration,
    },
}

impl Delivery {
    /// Returns whether a request may run more than once.
    pub const fn is_idempotent(self) -> bool {
        match self {
            Self::Safe => true,
            Self::Unsafe => false,
            Self::Stream { is_resumable, .. } => is_resumable,
        }
    }
}

/// A service's weighted share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// The weight relative to the route's other shares.
    pub weight: u32,
}

/// A service as declared in a setup.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Service {
    /// The maximum number of connections to one endpoint, summed over all hosts.
    pub max_connections: u32,
    /// The path of health checks.
    pub health_path: String,
    /// The cost model of the service's engines. `None` for plain services.
    pub engine: Option<Engine>,
    /// How long an endpoint is cold after its start.
    pub cold_start: Duration,
    /// The requests per second that a cold endpoint takes from all hosts; 0 if it is not limited.
    pub cold_per_second: f64,
}

/// The capacity and cost model of a model engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// The number of requests that the engine runs concurrently.
    pub slots: u32,
    /// The capacity of the KV cache in tokens.
    pub memory_tokens: u64,
    /// The number of decode steps per scheduler pass.
    pub pass_steps: u32,
    /// The base duration of a step in milliseconds.
    pub step_ms: f64,
    /// The time that each decoding request adds to a step, in milliseconds.
    pub decode_request_ms: f64,
    /// The time that every 1,000 context tokens of decoding requests add to a step, in
    /// milliseconds.
    pub context_ms_per_k_tokens: f64,
    /// The number of prompt tokens prefilled per millisecond, without attention.
    pub prefill_tokens_per_ms: f64,
    /// The attention time for a million pairs of a token and an earlier token, in milliseconds.
    pub attention_ms_per_m_pairs: f64,
    /// The maximum number of prompt tokens prefilled in a step.
    pub chunk_tokens: u32,
    /// The time that KV cache held by other engines adds to a step, in milliseconds.
    pub remote_memory_step_ms: f64,
    /// The typical length of a prompt in tokens.
    pub typical_prompt_tokens: f64,
    /// The typical length of an answer in tokens.
    pub typical_answer_tokens: f64,
}

/// A group of callers that share keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// The workspace's name, which is forwarded to endpoints.
    pub name: WorkspaceName,
    /// The keys that authenticate callers of the workspace.
    pub keys: Vec<String>,
    /// The priority of the workspace's requests, which overrides the route's.
    pub priority: Option<u32>,
}

/// Limits on the size and duration of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request head in bytes.
    pub header_bytes: usize,
    /// The maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// The maximum time to receive a request head.
    pub header_timeout: Duration,
    /// The maximum idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns limits that match the defaults of common HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}
