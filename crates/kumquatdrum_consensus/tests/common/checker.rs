//! Safety, checked at every step: one leader a term, log matching, one value an index, nothing
//! committed lost, reads that see all that was answered before them.

use std::collections::BTreeMap;

use bytes::Bytes;
use kumquatdrum_consensus::{
    Batch, Content, LogIndex, ProposalOutcome, ReplicaId, Snapshot, Status, StoredState, Term,
    Token,
};

/// Padding that makes a snapshot take several chunks.
const SNAPSHOT_PADDING: usize = 40;

/// All that was ever seen.
#[derive(Debug, Default)]
pub struct Checker {
    leaders: BTreeMap<Term, ReplicaId>,
    /// What stands at an index in a term, and the term before it.
    entries: BTreeMap<(LogIndex, Term), (Content, Option<Term>)>,
    /// What was applied, and the hash of all through there.
    applied: BTreeMap<LogIndex, (Term, Bytes, u64)>,
    /// The highest index that was answered as committed.
    answered: LogIndex,
    reads: BTreeMap<Token, LogIndex>,
    pub elections: u64,
}

/// Adds a payload to the hash of all before it.
pub fn chain(hash: u64, payload: &Bytes) -> u64 {
    payload.iter().fold(hash ^ 0x9e37_79b9, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

pub fn snapshot_data(hash: u64) -> Bytes {
    let mut data = hash.to_le_bytes().to_vec();
    data.resize(data.len() + SNAPSHOT_PADDING, 0xab);
    data.into()
}

impl Checker {
    /// A leader has all that leaders of earlier terms have committed. One that learns of its
    /// election only after a later term has begun needs nothing of that term.
    pub fn became_leader(&mut self, term: Term, status: &Status) {
        self.elections += 1;
        let latest = self.leaders.range(term.next()..).next().is_none();
        let known = self
            .leaders
            .entry(term)
            .or_insert_with(|| status.id.clone());
        assert_eq!(*known, status.id, "two leaders in term {term}");
        let reached = self.last_applied();
        assert!(
            !latest || status.last > reached,
            "leader of term {term} lacks committed entries"
        );
    }

    /// Entries with the same index and term are the same, and so are all before them.
    pub fn synced(&mut self, disk: &StoredState, batch: &Batch) {
        for entry in &batch.entries {
            let before = entry.index.previous();
            let snapshot = disk.snapshot.as_ref().filter(|s| s.index == before);
            let stored = disk.entries.iter().rfind(|e| e.index == before);
            let previous = stored.map(|e| e.term).or(snapshot.map(|s| s.term));
            let place = (entry.index, entry.term);
            let known = self.entries.entry(place);
            let (content, term) = known.or_insert_with(|| (entry.content.clone(), previous));
            assert_eq!(*content, entry.content, "two entries at {place:?}");
            if previous.is_some() && term.is_some() {
                assert_eq!(*term, previous, "logs differ before {place:?}");
            }
        }
    }

    pub fn applied(&mut self, index: LogIndex, term: Term, payload: &Bytes, hash: u64) {
        let value = (term, payload.clone(), hash);
        let known = self.applied.entry(index).or_insert_with(|| value.clone());
        assert_eq!(*known, value, "two values committed at {index}");
    }

    /// The hash that a snapshot holds, which must be that of all applied before it.
    pub fn restored(&self, snapshot: &Snapshot) -> u64 {
        let (bytes, padding) = snapshot.data.split_at(8);
        assert_eq!(
            padding.len(),
            SNAPSHOT_PADDING,
            "a snapshot of the wrong size"
        );
        let hash = u64::from_le_bytes(bytes.try_into().expect("eight bytes"));
        let before = self.applied.range(..=snapshot.index).next_back();
        let expected = before.map_or(0, |(_, (_, _, hash))| *hash);
        assert_eq!(hash, expected, "a snapshot of another history");
        hash
    }

    pub fn proposed(&mut self, token: Token, outcome: &ProposalOutcome) {
        if let ProposalOutcome::Committed { index } = outcome {
            self.answered = self.answered.max(*index);
            if let Some((_, payload, _)) = self.applied.get(index) {
                let expected = token.0.to_le_bytes();
                assert_eq!(payload[..], expected, "an answer for another value");
            }
        }
    }

    pub fn read_asked(&mut self, token: Token) {
        self.reads.insert(token, self.answered);
    }

    pub fn read_confirmed(&mut self, token: Token, applied: LogIndex) {
        let answered = self.reads[&token];
        assert!(applied >= answered, "a stale read");
    }

    pub fn last_applied(&self) -> LogIndex {
        self.applied.keys().next_back().copied().unwrap_or_default()
    }
}
