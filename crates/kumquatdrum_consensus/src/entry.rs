//! Log entries and snapshots.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{ClusterId, LogIndex, Replicas, Term};

/// Bytes that an entry takes beyond its payload, for limits of size.
const ENTRY_OVERHEAD: usize = 32;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that wrote it.
    pub term: Term,
    /// Its place.
    pub index: LogIndex,
    /// What it says.
    pub content: Content,
}

impl Entry {
    /// The size that limits count, in bytes.
    pub fn size(&self) -> usize {
        match &self.content {
            Content::Payload(payload) => payload.len() + ENTRY_OVERHEAD,
            Content::Replicas(_) | Content::Noop => ENTRY_OVERHEAD,
        }
    }
}

/// What an entry says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// Nothing; a new leader commits one to learn what is committed.
    Noop,
    /// The application's bytes, opaque here.
    Payload(Bytes),
    /// The replicas from this entry on, in force as soon as it is in the log.
    Replicas(Replicas),
}

/// The application's state after all entries through an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The cluster that it belongs to.
    pub cluster: ClusterId,
    /// The last entry that it includes; 0 is the empty state in which a cluster forms.
    pub index: LogIndex,
    /// The term of that entry.
    pub term: Term,
    /// The replicas as of that entry.
    pub replicas: Replicas,
    /// The application's bytes, opaque here.
    pub data: Bytes,
}
