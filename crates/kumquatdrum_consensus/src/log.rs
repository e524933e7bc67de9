//! The in-memory log: the entries after a base entry, and the replicas that they contain.

use std::collections::VecDeque;

use crate::{Content, Entry, LogIndex, ReplicaId, Replicas, Snapshot, StoredState, Term};

/// The in-memory log, whose tail may not be persisted yet.
#[derive(Debug)]
pub(crate) struct Log {
    snapshot: Option<Snapshot>,
    /// The entry before the first of `entries`.
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// Replicas by the entry that contains them; the first item is in force at the snapshot.
    replicas: Vec<(LogIndex, Replicas)>,
    /// Size of the entries after the snapshot.
    bytes: usize,
}

impl Log {
    pub(crate) fn new(stored: StoredState) -> Self {
        let mut log = Self {
            snapshot: None,
            base_index: LogIndex(0),
            base_term: Term(0),
            entries: VecDeque::new(),
            replicas: vec![(LogIndex(0), Replicas::default())],
            bytes: 0,
        };
        if let Some(snapshot) = stored.snapshot {
            log.reset(snapshot);
        }
        for entry in stored.entries {
            log.push(entry);
        }
        log
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex(0), |s| s.index)
    }

    pub(crate) fn base_index(&self) -> LogIndex {
        self.base_index
    }

    pub(crate) fn last_index(&self) -> LogIndex {
        LogIndex(self.base_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the size of the entries after the snapshot in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    pub(crate) fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let position = index.0.checked_sub(self.base_index.0 + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Returns the term of an entry or of the base entry, if the log has it.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns entries from `from` on, limited to `max_bytes` but at least one if there is any.
    pub(crate) fn slice(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let mut size = 0;
        let mut slice = Vec::new();
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            size += entry.size();
            if size > max_bytes && !slice.is_empty() {
                break;
            }
            slice.push(entry.clone());
            index = index.next();
        }
        slice
    }

    /// Returns all entries from `from` on.
    pub(crate) fn tail(&self, from: LogIndex) -> Vec<Entry> {
        self.slice(from, usize::MAX)
    }

    /// Returns the latest replicas.
    pub(crate) fn replicas(&self) -> &Replicas {
        &self.replicas[self.replicas.len() - 1].1
    }

    /// Returns the index of the entry that contains the latest replicas.
    pub(crate) fn replicas_index(&self) -> LogIndex {
        self.replicas[self.replicas.len() - 1].0
    }

    /// Returns whether a replica votes in the committed replicas or in any later ones.
    pub(crate) fn can_vote_since(&self, commit: LogIndex, id: &ReplicaId) -> bool {
        let committed = self.replicas.iter().rposition(|(at, _)| *at <= commit);
        let since = &self.replicas[committed.unwrap_or(0)..];
        since.iter().any(|(_, replicas)| replicas.is_voter(id))
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index().next());
        if let Content::Replicas(replicas) = &entry.content {
            self.replicas.push((entry.index, replicas.clone()));
        }
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Removes the entries from `from` on.
    pub(crate) fn truncate(&mut self, from: LogIndex) {
        while self.last_index() >= from {
            let Some(entry) = self.entries.pop_back() else {
                break;
            };
            self.bytes = self.bytes.saturating_sub(entry.size());
        }
        self.replicas.retain(|(index, _)| *index < from);
    }

    /// Replaces the snapshot by one within the log, and drops all but `retained_entries` entries
    /// up to it.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, retained_entries: u64) {
        let index = snapshot.index;
        let current = self.replicas.iter().rposition(|(at, _)| *at <= index);
        self.replicas.drain(..current.unwrap_or(0));
        let base = index
            .0
            .saturating_sub(retained_entries)
            .max(self.base_index.0);
        while self.base_index.0 < base {
            let Some(entry) = self.entries.pop_front() else {
                break;
            };
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        let after = self.entries.iter().filter(|entry| entry.index > index);
        self.bytes = after.map(Entry::size).sum();
        self.snapshot = Some(snapshot);
    }

    /// Replaces the whole log by a snapshot.
    pub(crate) fn reset(&mut self, snapshot: Snapshot) {
        self.entries.clear();
        self.bytes = 0;
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.replicas = vec![(snapshot.index, snapshot.replicas.clone())];
        self.snapshot = Some(snapshot);
    }

    /// Returns the replicas in force at an entry.
    pub(crate) fn replicas_at(&self, index: LogIndex) -> &Replicas {
        let found = self.replicas.iter().rev().find(|(at, _)| *at <= index);
        found.map_or(&self.replicas[0].1, |(_, replicas)| replicas)
    }

    /// Returns the last entry up to `index` whose term is at most `term`; no later one can match a
    /// log that has an entry of `term` after `index`.
    pub(crate) fn find_conflict_hint(&self, index: LogIndex, term: Term) -> LogIndex {
        let mut candidate = index.min(self.last_index());
        while candidate > self.base_index && self.term_at(candidate).is_some_and(|t| t > term) {
            candidate = candidate.previous();
        }
        candidate
    }
}
