//! The types of the declaration file. Times are in milliseconds, sizes in bytes or tokens.

use kumquatdrum_types::{DataCentre, EndpointId, ModelName, ServiceName, WorkspaceName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The declaration: what operators want the fleet to serve, for whom and on which endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// The workspaces that can call, with their limits and weights.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// The services that can be called.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The models behind model services.
    #[serde(default)]
    pub models: Vec<Model>,
    /// The priorities that requests and workspaces can name.
    #[serde(default)]
    pub priorities: Vec<Priority>,
    /// The expected endpoints, and whether they check fencing tokens.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

/// A tenant of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The workspace's name, unique in the file.
    #[schemars(with = "String")]
    pub name: WorkspaceName,
    /// The digests of the callers' keys.
    pub keys: Vec<Key>,
    /// The workspace's share of a contended service, relative to other workspaces.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The workspace's limits.
    #[serde(default)]
    pub limits: Limits,
    /// The services that the workspace can call; empty means all.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub services: Vec<ServiceName>,
    /// The priority of requests that name none.
    #[serde(default)]
    pub priority: Option<String>,
}

/// A caller's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The SHA-256 digest of the key, in 64 lower-case hexadecimal digits.
    pub sha256: String,
    /// A note on the holder of the key.
    #[serde(default)]
    pub note: String,
}

/// A workspace's limits over all hosts. An absent limit is unbounded.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests per second.
    #[serde(default)]
    pub requests_per_second: Option<u64>,
    /// Prompt and output tokens per second.
    #[serde(default)]
    pub tokens_per_second: Option<u64>,
    /// Requests in flight.
    #[serde(default)]
    pub concurrency: Option<u32>,
    /// Bytes of request bodies held on one host.
    #[serde(default)]
    pub body_bytes: Option<u64>,
}

/// A service that workspaces can call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The service's name, unique in the file.
    #[schemars(with = "String")]
    pub name: ServiceName,
    /// Whether the service serves a model or is a plain HTTP service.
    pub kind: ServiceKind,
    /// The deadline of a request that sets none.
    pub deadline_ms: u64,
    /// The longest deadline that a request can set.
    pub deadline_cap_ms: u64,
    /// Which calls are idempotent; the first matching rule decides. Without a matching rule, calls
    /// of a model and plain `GET`, `HEAD` and `OPTIONS` calls are idempotent.
    #[serde(default)]
    pub rules: Vec<Rule>,
}

/// The kind of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceKind {
    /// A model of the file, served by engines.
    Model {
        /// The model's name.
        #[schemars(with = "String")]
        model: ModelName,
    },
    /// A plain HTTP service.
    Plain {},
}

/// A rule on the idempotency of calls by method and path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Upper-case HTTP methods; empty means all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// A prefix of the path within the service.
    #[serde(default)]
    pub path_prefix: String,
    /// Whether matching calls are idempotent.
    pub idempotent: bool,
}

/// A model that engines load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The model's name, unique in the file.
    #[schemars(with = "String")]
    pub name: ModelName,
    /// The version of the weights.
    pub version: String,
    /// The adapters to load with the weights.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// KV cache memory per token, in bytes.
    pub memory_bytes_per_token: u64,
    /// The number of engines that should serve the model.
    pub replicas: u32,
    /// The longest prompt in tokens, also if it spans several engines.
    pub max_prompt_tokens: u64,
    /// Average bytes of text per token, in thousandths; used until engines report their own
    /// average.
    #[serde(default = "default_bytes_per_token_milli")]
    pub bytes_per_token_milli: u64,
}

/// An adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The adapter's name, unique in the model.
    pub name: String,
    /// The adapter's version.
    pub version: String,
}

/// A priority that requests can name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// The priority's name, unique in the file.
    pub name: String,
    /// The level; lower levels go first.
    pub level: u8,
    /// The waiting time after which a request moves one level lower, to prevent starvation.
    pub aging_ms: u64,
}

/// An endpoint that is expected to announce itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The name that the endpoint announces.
    #[schemars(with = "String")]
    pub name: EndpointId,
    /// The service that the endpoint serves.
    #[schemars(with = "String")]
    pub service: ServiceName,
    /// The data centre of the endpoint.
    #[schemars(with = "String")]
    pub data_centre: DataCentre,
    /// Whether the endpoint refuses orders that carry an old fencing token.
    pub checks_fencing: bool,
}

const fn default_weight() -> u32 {
    1
}

const fn default_bytes_per_token_milli() -> u64 {
    4_000
}
