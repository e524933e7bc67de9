//! The persistent state of a replica and the batches that change it.

use serde::{Deserialize, Serialize};

use crate::{ClusterId, Entry, LogIndex, ReplicaId, Snapshot, Term};

/// The state that must be persisted before the replica sends a message that depends on it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The cluster that the replica has joined, if any.
    pub cluster: Option<ClusterId>,
    /// The current term, the highest that the replica has seen.
    pub term: Term,
    /// The candidate voted for in the current term, if any.
    pub vote: Option<ReplicaId>,
}

/// A change of the store, applied atomically and synced before it is acknowledged.
///
/// The fields are applied in the order of their declaration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Returned in `Persisted`; increases by one with each batch.
    pub sequence: u64,
    /// Replaces the hard state.
    pub hard_state: Option<HardState>,
    /// Removes the entries from this index on.
    pub truncate_from: Option<LogIndex>,
    /// Replaces the snapshot and removes the entries up to its index.
    pub snapshot: Option<Snapshot>,
    /// Contiguous entries that are appended to the log.
    pub entries: Vec<Entry>,
}

/// The content of a store, loaded when a replica starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredState {
    /// The latest hard state.
    pub hard_state: HardState,
    /// The latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Contiguous entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl StoredState {
    /// Returns whether the replica has neither voted nor stored an entry.
    ///
    /// ```
    /// use kumquatdrum_consensus::StoredState;
    ///
    /// assert!(StoredState::default().is_fresh());
    /// ```
    pub fn is_fresh(&self) -> bool {
        let snapshot_index = self.snapshot.as_ref().map(|snapshot| snapshot.index);
        self.hard_state.term == Term(0)
            && self.entries.is_empty()
            && snapshot_index.unwrap_or(LogIndex(0)) == LogIndex(0)
    }

    /// Applies a batch; every store must behave like this.
    ///
    /// ```
    /// use kumquatdrum_consensus::{Batch, Content, Entry, LogIndex, StoredState, Term};
    ///
    /// let mut stored = StoredState::default();
    /// let entry = Entry { term: Term(1), index: LogIndex(1), content: Content::Noop };
    /// stored.apply(&Batch { entries: vec![entry], ..Batch::default() });
    /// stored.apply(&Batch { truncate_from: Some(LogIndex(1)), ..Batch::default() });
    /// assert!(stored.entries.is_empty());
    /// ```
    pub fn apply(&mut self, batch: &Batch) {
        if let Some(hard_state) = &batch.hard_state {
            self.hard_state.clone_from(hard_state);
        }
        if let Some(from) = batch.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        if let Some(snapshot) = &batch.snapshot {
            self.entries.retain(|entry| entry.index > snapshot.index);
            self.snapshot = Some(snapshot.clone());
        }
        self.entries.extend(batch.entries.iter().cloned());
    }
}
