//! The types of the operators' file. Times are in milliseconds, sizes in bytes or tokens.

use kumquatdrum_types::{DataCentre, EndpointId, ModelName, ServiceName, WorkspaceName};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The whole file: everything the operators declare.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Who may call, with limits and weight.
    #[serde(default)]
    pub workspaces: Vec<Workspace>,
    /// What can be called.
    #[serde(default)]
    pub services: Vec<Service>,
    /// The models behind model services.
    #[serde(default)]
    pub models: Vec<Model>,
    /// The priorities that requests and workspaces may name.
    #[serde(default)]
    pub priorities: Vec<Priority>,
    /// The endpoints that are expected, and whether they check fencing numbers.
    #[serde(default)]
    pub endpoints: Vec<Endpoint>,
}

/// One tenant of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name, unique in the file.
    #[schemars(with = "String")]
    pub name: WorkspaceName,
    /// The callers' keys, as digests.
    pub keys: Vec<Key>,
    /// Its share of a contended service relative to the others'.
    #[serde(default = "one")]
    pub weight: u32,
    /// What it may use at most.
    #[serde(default)]
    pub limits: Limits,
    /// The services that it may call; empty means all.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub services: Vec<ServiceName>,
    /// The priority of its requests where they name none.
    #[serde(default)]
    pub priority: Option<String>,
}

/// A caller's key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The SHA-256 digest of the key, in 64 lower-case hexadecimal digits.
    pub sha256: String,
    /// Whose key it is.
    #[serde(default)]
    pub note: String,
}

/// What a workspace may use over all hosts together; an absent limit does not bind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Requests a second.
    #[serde(default)]
    pub requests_per_second: Option<u64>,
    /// Prompt and answer tokens a second.
    #[serde(default)]
    pub tokens_per_second: Option<u64>,
    /// Requests in flight.
    #[serde(default)]
    pub concurrency: Option<u32>,
    /// Bytes of bodies held on one host.
    #[serde(default)]
    pub body_bytes: Option<u64>,
}

/// Something that can be called.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name, unique in the file.
    #[schemars(with = "String")]
    pub name: ServiceName,
    /// A model or a plain service.
    pub kind: ServiceKind,
    /// The deadline of a request that names none.
    pub deadline_ms: u64,
    /// The longest deadline that a request may name.
    pub deadline_cap_ms: u64,
    /// Which calls may be repeated; the first rule that matches decides. Without a matching
    /// rule, a model's calls and plain `GET`, `HEAD` and `OPTIONS` may be repeated, others not.
    #[serde(default)]
    pub rules: Vec<Rule>,
}

/// What stands behind a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceKind {
    /// Engines that serve a model of the file.
    Model {
        /// The model's name.
        #[schemars(with = "String")]
        model: ModelName,
    },
    /// A plain HTTP service.
    Plain {},
}

/// Whether calls of some methods under some path may be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Upper-case HTTP methods; empty means all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// A prefix of the path within the service.
    #[serde(default)]
    pub path_prefix: String,
    /// Whether such a call may be done more than once.
    pub idempotent: bool,
}

/// A model that engines load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Its name, unique in the file.
    #[schemars(with = "String")]
    pub name: ModelName,
    /// The version of the weights.
    pub version: String,
    /// Adapters to load beside the weights.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
    /// KV memory a token takes, in bytes.
    pub memory_bytes_per_token: u64,
    /// How many engines should serve it.
    pub replicas: u32,
    /// The longest prompt, over however many engines it takes.
    pub max_prompt_tokens: u64,
    /// Bytes of text a token stands for on average, in thousandths, until engines' reports say
    /// better.
    #[serde(default = "default_bytes_per_token_milli")]
    pub bytes_per_token_milli: u64,
}

/// An adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Its name, unique in the model.
    pub name: String,
    /// Its version.
    pub version: String,
}

/// A priority that requests may name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Priority {
    /// Its name, unique in the file.
    pub name: String,
    /// Lower goes first.
    pub level: u8,
    /// The wait after which a request counts as one level lower, so that none starves.
    pub aging_ms: u64,
}

/// An endpoint that is expected to announce itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The name that it announces.
    #[schemars(with = "String")]
    pub name: EndpointId,
    /// The service that it serves.
    #[schemars(with = "String")]
    pub service: ServiceName,
    /// Where it stands.
    #[schemars(with = "String")]
    pub data_centre: DataCentre,
    /// Whether it refuses an order that carries an old fencing number.
    pub checks_fencing: bool,
}

const fn one() -> u32 {
    1
}

const fn default_bytes_per_token_milli() -> u64 {
    4_000
}
