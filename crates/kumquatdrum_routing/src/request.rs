//! Requests to the router, and the events that follow a dispatch.

use std::time::Duration;

use kumquatdrum_types::{BootId, EndpointId, Moment, RequestId, WorkspaceName};

/// The hash of one block of a prompt, chained over all earlier blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockHash(pub u64);

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A prompt for a model engine.
    Model,
    /// A request to a plain service.
    Plain,
}

/// A priority level and its aging.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Priority {
    /// The level; higher levels are dispatched first.
    pub level: u8,
    /// The waiting time that makes up for one level.
    pub aging: Duration,
}

impl Default for Priority {
    fn default() -> Self {
        Self {
            level: 0,
            aging: Duration::from_secs(2),
        }
    }
}

/// A request to be routed to an endpoint.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifies the request; unique within the router.
    pub id: RequestId,
    /// The workspace of the caller.
    pub workspace: WorkspaceName,
    /// The weight of the workspace in fair queueing; 0 counts as 1.
    pub weight: u32,
    /// The priority of the request.
    pub priority: Priority,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The expected length of the answer, in tokens.
    pub expected_output_tokens: u64,
    /// Hashes of the prompt's blocks in order; may be empty.
    pub prefix: Vec<BlockHash>,
    /// When the complete answer is due.
    pub deadline: Moment,
    /// Endpoints that must not get the request, such as those that have failed it.
    pub excluded: Vec<EndpointId>,
    /// The kind of request.
    pub kind: RequestKind,
}

/// The state of an endpoint according to membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The endpoint responds.
    Alive,
    /// The endpoint missed heartbeats and is used only if no other is left.
    Suspect,
    /// The endpoint finishes its requests and accepts no new ones.
    Leaving,
    /// The endpoint failed or has left; its state is dropped.
    Gone,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// The incarnation of the engine.
    pub boot: BootId,
    /// Increases by one with each event of an incarnation.
    pub sequence: u64,
    /// The change.
    pub change: CacheChange,
}

/// The content of a cache event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks were added.
    Stored(Vec<BlockHash>),
    /// Blocks were removed.
    Evicted(Vec<BlockHash>),
    /// The complete content at this sequence number, sent on a resync.
    Snapshot(Vec<BlockHash>),
}

/// The progress of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The endpoint has accepted the attempt.
    Started,
    /// The first token of the answer has arrived.
    FirstToken,
    /// The answer is complete; token counts are the endpoint's.
    Finished(Usage),
    /// The attempt ended without a complete answer.
    Failed(Failure),
}

/// The token counts of a finished attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Output tokens.
    pub output_tokens: u64,
}

/// The way in which an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The connection failed and nothing was sent.
    Connect,
    /// The endpoint rejected the request because it was busy.
    Busy,
    /// The connection or the endpoint failed after the dispatch.
    Broken,
    /// The caller disconnected or the deadline passed; the endpoint is not at fault.
    Cancelled,
}
