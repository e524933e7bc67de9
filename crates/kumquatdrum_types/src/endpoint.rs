//! Announcements that an endpoint sends to an entry host of its data centre.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{BootId, DataCentre, EndpointId, Load, ModelName, ServiceName};

/// An endpoint's announcement, its periodic renewal, or its leaving notice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the endpoint, stable across restarts.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint; a higher one replaces a lower one and its state.
    pub boot: BootId,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
    /// Service that the endpoint implements.
    pub service: ServiceName,
    /// Address that accepts calls.
    pub address: SocketAddr,
    /// Data centre that the endpoint runs in.
    pub data_centre: DataCentre,
    /// Whether the endpoint is an engine or a plain service.
    pub kind: Kind,
    /// Whether the endpoint is draining: it accepts no new work and completes what it runs.
    #[serde(default)]
    pub leaving: bool,
}

/// Kind of an endpoint, with the fields specific to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Plain,
}

/// Model, capacity and load of a model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Loaded model.
    pub model: ModelName,
    /// KV cache capacity, in tokens.
    pub memory_tokens: u64,
    /// Maximum number of requests in a batch.
    pub batch_limit: u32,
    /// Prefill throughput in prompt tokens per second; 0 if unknown.
    #[serde(default)]
    pub prefill_tokens_per_second: u64,
    /// Latest load report, if there is one.
    #[serde(default)]
    pub load: Option<Load>,
}
