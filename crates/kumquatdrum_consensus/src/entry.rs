//! Log entries and snapshots.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{ClusterId, LogIndex, Replicas, Term};

/// Bytes that an entry counts towards size limits beyond its payload.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The index of the entry.
    pub index: LogIndex,
    /// The payload, the replicas or nothing.
    pub content: Content,
}

impl Entry {
    /// Returns the bytes that the entry counts towards size limits.
    pub fn size(&self) -> usize {
        match &self.content {
            Content::Payload(payload) => payload.len() + ENTRY_OVERHEAD_BYTES,
            Content::Replicas(_) | Content::Noop => ENTRY_OVERHEAD_BYTES,
        }
    }
}

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Nothing; appended by a new leader, as entries of earlier terms commit only with one of its
    /// own term.
    Noop,
    /// The application's bytes, opaque to the log.
    Payload(Bytes),
    /// The replicas from this entry on, in force as soon as the entry is in the log.
    Replicas(Replicas),
}

/// The application's state after all entries up to and including an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The cluster that the snapshot belongs to.
    pub cluster: ClusterId,
    /// The last included entry; 0 is the empty state of a newly formed cluster.
    pub index: LogIndex,
    /// The term of the last included entry.
    pub term: Term,
    /// The replicas as of the last included entry.
    pub replicas: Replicas,
    /// The application's bytes, opaque to the log.
    pub data: Bytes,
}
