//! Tracks which changes are persisted, and defers the actions that depend on them.

use kumquatdrum_types::{HostId, Moment};

use crate::log::Log;
use crate::{Batch, HardState, LogIndex, Message, Snapshot, Term};

/// An action that is deferred until the current state is persisted.
#[derive(Debug)]
pub(crate) enum Action {
    /// Send a message.
    Send(HostId, Message),
    /// Count the candidate's vote for itself.
    CountOwnVote(Term),
    /// Pass a received snapshot to the application.
    Restore(Snapshot),
}

/// Tracks the batch in flight; changes made meanwhile go into the next one.
#[derive(Debug)]
pub(crate) struct Durability {
    sequence: u64,
    has_batch_in_flight: bool,
    started_at: Moment,
    /// The last persisted entry of the log.
    persisted: LogIndex,
    /// The last persisted entry once the batch in flight is persisted.
    last_in_flight: LogIndex,
    /// The first entry that is in no batch yet.
    unwritten_from: LogIndex,
    is_hard_state_dirty: bool,
    truncate_from: Option<LogIndex>,
    snapshot: Option<Snapshot>,
    deferred: Vec<Action>,
    deferred_in_flight: Vec<Action>,
}

impl Durability {
    pub(crate) fn new(last: LogIndex) -> Self {
        Self {
            sequence: 0,
            has_batch_in_flight: false,
            started_at: Moment::ZERO,
            persisted: last,
            last_in_flight: last,
            unwritten_from: last.next(),
            is_hard_state_dirty: false,
            truncate_from: None,
            snapshot: None,
            deferred: Vec::new(),
            deferred_in_flight: Vec::new(),
        }
    }

    pub(crate) fn persisted(&self) -> LogIndex {
        self.persisted
    }

    pub(crate) fn mark_hard_state_dirty(&mut self) {
        self.is_hard_state_dirty = true;
    }

    pub(crate) fn record_truncation(&mut self, from: LogIndex) {
        let kept = from.previous();
        if self.unwritten_from > from {
            let earlier = self.truncate_from.unwrap_or(from);
            self.truncate_from = Some(earlier.min(from));
        }
        self.persisted = self.persisted.min(kept);
        self.last_in_flight = self.last_in_flight.min(kept);
        self.unwritten_from = self.unwritten_from.min(from);
    }

    /// Records a local snapshot; the stored entries that it includes can be removed.
    pub(crate) fn record_compaction(&mut self, snapshot: Snapshot) {
        self.snapshot = Some(snapshot);
    }

    /// Records that a received snapshot has replaced the whole log.
    pub(crate) fn record_installation(&mut self, snapshot: Snapshot) {
        self.truncate_from = Some(LogIndex(0));
        self.persisted = LogIndex(0);
        self.last_in_flight = LogIndex(0);
        self.unwritten_from = snapshot.index.next();
        self.snapshot = Some(snapshot);
    }

    /// Defers an action until all changes so far are persisted.
    pub(crate) fn defer(&mut self, action: Action) {
        self.deferred.push(action);
    }

    fn is_clean(&self, log: &Log) -> bool {
        !self.is_hard_state_dirty
            && self.truncate_from.is_none()
            && self.snapshot.is_none()
            && self.unwritten_from > log.last_index()
    }

    /// Returns whether all changes so far are persisted.
    pub(crate) fn is_synced(&self, log: &Log) -> bool {
        !self.has_batch_in_flight && self.is_clean(log)
    }

    /// Returns when the batch in flight was started.
    pub(crate) fn in_flight_since(&self) -> Option<Moment> {
        self.has_batch_in_flight.then_some(self.started_at)
    }

    /// Returns the next batch if none is in flight and there are changes or deferred actions.
    pub(crate) fn start_batch(
        &mut self,
        now: Moment,
        log: &Log,
        hard_state: &HardState,
    ) -> Option<Batch> {
        if self.has_batch_in_flight || (self.is_clean(log) && self.deferred.is_empty()) {
            return None;
        }
        self.sequence += 1;
        self.has_batch_in_flight = true;
        self.started_at = now;
        self.last_in_flight = log.last_index();
        self.deferred_in_flight = std::mem::take(&mut self.deferred);
        let batch = Batch {
            sequence: self.sequence,
            hard_state: self.is_hard_state_dirty.then(|| hard_state.clone()),
            truncate_from: self.truncate_from.take(),
            snapshot: self.snapshot.take(),
            entries: log.tail(self.unwritten_from),
        };
        self.is_hard_state_dirty = false;
        self.unwritten_from = log.last_index().next();
        Some(batch)
    }

    /// Marks the batch in flight as persisted and returns the actions deferred for it; ignores
    /// other sequence numbers.
    pub(crate) fn finish_batch(&mut self, sequence: u64) -> Vec<Action> {
        if !self.has_batch_in_flight || sequence != self.sequence {
            return Vec::new();
        }
        self.has_batch_in_flight = false;
        self.persisted = self.last_in_flight;
        std::mem::take(&mut self.deferred_in_flight)
    }
}
