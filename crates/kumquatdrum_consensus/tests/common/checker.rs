//! Checks safety at every step: one leader per term, log matching, one value per index, no loss of
//! committed entries, and no stale reads.

use std::collections::BTreeMap;

use bytes::Bytes;
use kumquatdrum_consensus::{
    Batch, Content, LogIndex, ProposalOutcome, ReplicaId, Snapshot, Status, StoredState, Term,
    Token,
};

/// Padding that splits a snapshot into several chunks.
const SNAPSHOT_PADDING_BYTES: usize = 40;

/// The history of a cluster that each step is checked against.
#[derive(Debug, Default)]
pub struct Checker {
    leaders: BTreeMap<Term, ReplicaId>,
    /// The content and the previous entry's term by index and term.
    entries: BTreeMap<(LogIndex, Term), (Content, Option<Term>)>,
    /// The term, the payload and the hash of all payloads so far by applied index.
    applied: BTreeMap<LogIndex, (Term, Bytes, u64)>,
    /// The highest index reported as committed.
    reported: LogIndex,
    /// The highest index reported as committed before each read.
    reads: BTreeMap<Token, LogIndex>,
    pub elections: u64,
}

/// Returns the hash of all payloads, given the hash of the earlier ones and the next payload.
pub fn extend_hash(hash: u64, payload: &Bytes) -> u64 {
    payload.iter().fold(hash ^ 0x9e37_79b9, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Encodes a snapshot of the application, whose state is a hash.
pub fn encode_snapshot(hash: u64) -> Bytes {
    let mut data = hash.to_le_bytes().to_vec();
    data.resize(data.len() + SNAPSHOT_PADDING_BYTES, 0xab);
    data.into()
}

impl Checker {
    /// Checks that a term has at most one leader, and that the leader of the latest term has all
    /// committed entries. The leader of an earlier term may lack entries committed in later terms.
    pub fn check_leader(&mut self, term: Term, status: &Status) {
        self.elections += 1;
        let is_latest = self.leaders.range(term.next()..).next().is_none();
        let known = self
            .leaders
            .entry(term)
            .or_insert_with(|| status.id.clone());
        assert_eq!(*known, status.id, "two leaders in term {term}");
        let last_applied = self.last_applied();
        assert!(
            !is_latest || status.last_index > last_applied,
            "leader of term {term} lacks committed entries"
        );
    }

    /// Checks that entries with the same index and term are equal and follow equal entries.
    pub fn check_batch(&mut self, disk: &StoredState, batch: &Batch) {
        for entry in &batch.entries {
            let before = entry.index.previous();
            let snapshot = disk.snapshot.as_ref().filter(|s| s.index == before);
            let stored = disk.entries.iter().rfind(|e| e.index == before);
            let previous = stored.map(|e| e.term).or(snapshot.map(|s| s.term));
            let position = (entry.index, entry.term);
            let known = self.entries.entry(position);
            let (content, term) = known.or_insert_with(|| (entry.content.clone(), previous));
            assert_eq!(*content, entry.content, "two entries at {position:?}");
            if previous.is_some() && term.is_some() {
                assert_eq!(*term, previous, "logs differ before {position:?}");
            }
        }
    }

    /// Checks that each index is applied with the same value on every host.
    pub fn check_apply(&mut self, index: LogIndex, term: Term, payload: &Bytes, hash: u64) {
        let value = (term, payload.clone(), hash);
        let known = self.applied.entry(index).or_insert_with(|| value.clone());
        assert_eq!(*known, value, "two values committed at {index}");
    }

    /// Returns the hash in a snapshot, which must be the hash of all entries applied before it.
    pub fn check_restore(&self, snapshot: &Snapshot) -> u64 {
        let (bytes, padding) = snapshot.data.split_at(8);
        assert_eq!(
            padding.len(),
            SNAPSHOT_PADDING_BYTES,
            "snapshot has the wrong size"
        );
        let hash = u64::from_le_bytes(bytes.try_into().expect("eight bytes"));
        let before = self.applied.range(..=snapshot.index).next_back();
        let expected = before.map_or(0, |(_, (_, _, hash))| *hash);
        assert_eq!(hash, expected, "snapshot differs from the applied entries");
        hash
    }

    /// Checks that a committed outcome belongs to the proposed value.
    pub fn check_outcome(&mut self, token: Token, outcome: &ProposalOutcome) {
        if let ProposalOutcome::Committed { index } = outcome {
            self.reported = self.reported.max(*index);
            if let Some((_, payload, _)) = self.applied.get(index) {
                let expected = token.0.to_le_bytes();
                assert_eq!(payload[..], expected, "outcome reported for another value");
            }
        }
    }

    pub fn record_read(&mut self, token: Token) {
        self.reads.insert(token, self.reported);
    }

    /// Checks that a read sees all entries reported as committed before it.
    pub fn check_read(&mut self, token: Token, applied: LogIndex) {
        let reported = self.reads[&token];
        assert!(applied >= reported, "stale read");
    }

    pub fn last_applied(&self) -> LogIndex {
        self.applied.keys().next_back().copied().unwrap_or_default()
    }
}
