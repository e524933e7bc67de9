//! What is on disk, what is on its way there, and what waits for it.

use kumquatdrum_types::{HostId, Moment};

use crate::log::Log;
use crate::{Batch, HardState, LogIndex, Message, Snapshot, Term};

/// Something that may happen only once the current state is on disk.
#[derive(Debug)]
pub(crate) enum Held {
    /// Send a message.
    Send(HostId, Message),
    /// Count the candidate's vote for itself.
    OwnVote(Term),
    /// Hand a received snapshot to the application.
    Restore(Snapshot),
}

/// Tracks one outstanding batch; whatever changes meanwhile goes into the next one.
#[derive(Debug)]
pub(crate) struct Durability {
    sequence: u64,
    in_flight: bool,
    begun_at: Moment,
    /// The log is on disk through here.
    persisted: LogIndex,
    /// The log will be on disk through here when the outstanding batch is.
    in_flight_last: LogIndex,
    /// The first entry that no batch has carried.
    unsaved_from: LogIndex,
    hard_state: bool,
    truncate_from: Option<LogIndex>,
    snapshot: Option<Snapshot>,
    held: Vec<Held>,
    held_in_flight: Vec<Held>,
}

impl Durability {
    pub(crate) fn new(last: LogIndex) -> Self {
        Self {
            sequence: 0,
            in_flight: false,
            begun_at: Moment::ZERO,
            persisted: last,
            in_flight_last: last,
            unsaved_from: last.next(),
            hard_state: false,
            truncate_from: None,
            snapshot: None,
            held: Vec::new(),
            held_in_flight: Vec::new(),
        }
    }

    pub(crate) fn persisted(&self) -> LogIndex {
        self.persisted
    }

    pub(crate) fn hard_state_changed(&mut self) {
        self.hard_state = true;
    }

    pub(crate) fn truncated(&mut self, from: LogIndex) {
        let kept = from.previous();
        if self.unsaved_from > from {
            let earlier = self.truncate_from.unwrap_or(from);
            self.truncate_from = Some(earlier.min(from));
        }
        self.persisted = self.persisted.min(kept);
        self.in_flight_last = self.in_flight_last.min(kept);
        self.unsaved_from = self.unsaved_from.min(from);
    }

    /// The log up to the snapshot can go from the disk.
    pub(crate) fn compacted(&mut self, snapshot: Snapshot) {
        self.snapshot = Some(snapshot);
    }

    /// The whole log was replaced by a snapshot.
    pub(crate) fn installed(&mut self, snapshot: Snapshot) {
        self.truncate_from = Some(LogIndex(0));
        self.persisted = LogIndex(0);
        self.in_flight_last = LogIndex(0);
        self.unsaved_from = snapshot.index.next();
        self.snapshot = Some(snapshot);
    }

    /// Keeps something back until all that has changed so far is on disk.
    pub(crate) fn hold(&mut self, held: Held) {
        self.held.push(held);
    }

    fn is_clean(&self, log: &Log) -> bool {
        !self.hard_state
            && self.truncate_from.is_none()
            && self.snapshot.is_none()
            && self.unsaved_from > log.last_index()
    }

    /// Whether all that has changed so far is on disk.
    pub(crate) fn is_synced(&self, log: &Log) -> bool {
        !self.in_flight && self.is_clean(log)
    }

    /// Since when the disk has owed an answer.
    pub(crate) fn waiting_since(&self) -> Option<Moment> {
        self.in_flight.then_some(self.begun_at)
    }

    /// The next batch, where one is due. Something held with nothing to write is due as well.
    pub(crate) fn begin(
        &mut self,
        now: Moment,
        log: &Log,
        hard_state: &HardState,
    ) -> Option<Batch> {
        if self.in_flight || (self.is_clean(log) && self.held.is_empty()) {
            return None;
        }
        self.sequence += 1;
        self.in_flight = true;
        self.begun_at = now;
        self.in_flight_last = log.last_index();
        self.held_in_flight = std::mem::take(&mut self.held);
        let batch = Batch {
            sequence: self.sequence,
            hard_state: self.hard_state.then(|| hard_state.clone()),
            truncate_from: self.truncate_from.take(),
            snapshot: self.snapshot.take(),
            entries: log.tail(self.unsaved_from),
        };
        self.hard_state = false;
        self.unsaved_from = log.last_index().next();
        Some(batch)
    }

    /// The outstanding batch is on disk: what waited for it, or nothing for another batch.
    pub(crate) fn finish(&mut self, sequence: u64) -> Vec<Held> {
        if !self.in_flight || sequence != self.sequence {
            return Vec::new();
        }
        self.in_flight = false;
        self.persisted = self.in_flight_last;
        std::mem::take(&mut self.held_in_flight)
    }
}
