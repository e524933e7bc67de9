//! What an engine says of its own load, always somewhat old.

use serde::{Deserialize, Serialize};

/// An engine's load report. Counts are of the moment at which the engine took them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Grows by one with each report of one boot; an older report never replaces a newer one.
    pub sequence: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests admitted by the engine but not yet in the batch.
    pub waiting: u32,
    /// Prompt tokens that still have to be computed, over running and waiting requests.
    pub prefill_tokens: u64,
    /// KV memory in use, in tokens.
    pub memory_used_tokens: u64,
    /// The highest attempt counter of each owner that this report already includes, as
    /// `(owner, counter)`; what an owner sent later must be added by the reader.
    pub seen: Vec<(String, u64)>,
}

/// What one host asks of a workspace's limits, over its last full second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Whose limits.
    pub workspace: crate::WorkspaceName,
    /// Requests that callers offered, admitted or not.
    pub requests: u64,
    /// Prompt and answer tokens of those.
    pub tokens: u64,
    /// Requests in flight now.
    pub in_flight: u32,
}
