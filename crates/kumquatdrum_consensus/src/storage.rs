//! What a replica keeps on disk, and the changes to it.

use serde::{Deserialize, Serialize};

use crate::{ClusterId, Entry, LogIndex, ReplicaId, Snapshot, Term};

/// The small state that must be on disk before the replica speaks for it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The cluster that the replica belongs to, once it belongs to one.
    pub cluster: Option<ClusterId>,
    /// The highest term it has taken part in.
    pub term: Term,
    /// Whom it voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// One change of the store: applied as a whole or not at all, synced before it is acknowledged.
///
/// The parts are applied in the order of the fields.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// Returned in `Persisted`; grows by one each time.
    pub sequence: u64,
    /// Replaces the hard state.
    pub hard_state: Option<HardState>,
    /// Entries at this index and above are removed.
    pub truncate_from: Option<LogIndex>,
    /// Replaces the snapshot; entries at its index and below are removed.
    pub snapshot: Option<Snapshot>,
    /// Added to the end of the log, contiguous.
    pub entries: Vec<Entry>,
}

/// What a store holds when a replica starts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredState {
    /// The small state.
    pub hard_state: HardState,
    /// The latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, contiguous.
    pub entries: Vec<Entry>,
}

impl StoredState {
    /// Applies a batch, as every store must.
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
