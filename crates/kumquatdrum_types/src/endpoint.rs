//! What an endpoint announces of itself to an entry host of its data centre.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{BootId, DataCentre, EndpointId, Load, ModelName, ServiceName};

/// An announcement or its renewal, or a leaving notice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint's name, stable over restarts.
    pub endpoint: EndpointId,
    /// The life that speaks; a higher one replaces a lower one and its state.
    pub boot: BootId,
    /// Grows with each announcement of one boot.
    pub sequence: u64,
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// What kind of endpoint it is.
    pub kind: Kind,
    /// It takes no new work from now on and finishes what it runs.
    #[serde(default)]
    pub leaving: bool,
}

/// The kind of an endpoint, with what only that kind says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Plain,
}

/// What a model engine says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// The loaded model.
    pub model: ModelName,
    /// KV memory, in tokens.
    pub memory_tokens: u64,
    /// The most requests of one batch.
    pub batch_limit: u32,
    /// Prompt tokens computed a second, where the engine knows; 0 where it doesn't.
    #[serde(default)]
    pub prefill_tokens_per_second: u64,
    /// The load at some recent moment, where it has one to report.
    #[serde(default)]
    pub load: Option<Load>,
}
