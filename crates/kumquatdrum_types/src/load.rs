//! Load reports of engines and hosts.

use serde::{Deserialize, Serialize};

/// Load of an engine at the time of the report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Increases by one with each report of one incarnation; older reports are discarded.
    pub sequence: u64,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests admitted by the engine but not yet in the batch.
    pub waiting: u32,
    /// Prompt tokens that remain to be prefilled over all running and waiting requests.
    pub prefill_tokens: u64,
    /// KV cache in use, in tokens.
    pub memory_used_tokens: u64,
    /// Highest attempt counter that this report includes for each owner, as `(owner, counter)`. An
    /// owner adds its later attempts to the reported load.
    pub seen: Vec<(String, u64)>,
}

/// Demand on a workspace's limits at one host, over the last full second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Workspace that the limits belong to.
    pub workspace: crate::WorkspaceName,
    /// Number of requests offered by callers, admitted or not.
    pub requests: u64,
    /// Prompt and expected response tokens of these requests.
    pub tokens: u64,
    /// Number of requests currently in flight.
    pub in_flight: u32,
}
