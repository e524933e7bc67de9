//! What a request asks of the router, and what becomes of its attempts.

use std::time::Duration;

use kumquatdrum_types::{BootId, EndpointId, Moment, RequestId, WorkspaceName};

/// The hash of one block of a prompt, chained over all blocks before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockHash(pub u64);

/// The kind of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A prompt for a model engine.
    Model,
    /// A call of a plain service.
    Plain,
}

/// A priority level with its aging.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Priority {
    /// Higher goes first.
    pub level: u8,
    /// Waiting this long makes up for one level.
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

/// One request that waits for an endpoint.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its name, unique among the requests that the router holds.
    pub id: RequestId,
    /// Whose it is.
    pub workspace: WorkspaceName,
    /// The workspace's weight against the others; at least 1.
    pub weight: u32,
    /// Its priority.
    pub priority: Priority,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Expected length of the answer, in tokens.
    pub expected_output_tokens: u64,
    /// Hashes of the prompt's blocks, from the start on; may be empty.
    pub prefix: Vec<BlockHash>,
    /// When the whole answer is due.
    pub deadline: Moment,
    /// Endpoints that must not get it, such as those where it failed before.
    pub excluded: Vec<EndpointId>,
    /// The kind of work.
    pub kind: RequestKind,
}

/// What membership holds of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// It answers.
    Alive,
    /// It missed heartbeats; it gets work only where nothing else is left.
    Suspect,
    /// It finishes what it runs and gets nothing new.
    Leaving,
    /// It is dead or has left; its state is dropped.
    Gone,
}

/// A change of an engine's prefix cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// The life of the engine that speaks.
    pub boot: BootId,
    /// Grows by one with each event of one boot.
    pub sequence: u64,
    /// What changed.
    pub change: CacheChange,
}

/// The content of a cache event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheChange {
    /// Blocks came in.
    Stored(Vec<BlockHash>),
    /// Blocks went out.
    Evicted(Vec<BlockHash>),
    /// The whole content as of this sequence, the answer to a resync.
    Snapshot(Vec<BlockHash>),
}

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The endpoint has taken it.
    Started,
    /// The first token of the answer came.
    FirstToken,
    /// The answer is whole; the lengths are the endpoint's own count.
    Finished(Usage),
    /// It ended without a whole answer.
    Failed(Failure),
}

/// Token counts of a finished attempt.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Answer tokens.
    pub output_tokens: u64,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection, nothing was sent.
    Connect,
    /// The endpoint refused it as too busy.
    Busy,
    /// The connection or the endpoint broke after the dispatch.
    Broken,
    /// The caller left or the deadline came; not the endpoint's fault.
    Cancelled,
}
