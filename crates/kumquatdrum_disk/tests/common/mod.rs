//! Fixtures shared by the store's tests. No test file uses all of them.
#![allow(dead_code)]

use bytes::Bytes;
use kumquatdrum_consensus::{
    Batch, ClusterId, Content, Entry, HardState, Incarnation, LogIndex, Member, Replicas, Snapshot,
    StoredState, Term,
};
use kumquatdrum_disk::{Error, Folder, fake::Disk};

pub const INCARNATION: Incarnation = Incarnation(7);

pub fn open(disk: &Disk) -> Result<Folder, Error> {
    Folder::open_backend(disk.clone(), &"host".into(), INCARNATION)
}

pub fn entry(index: u64, size: usize) -> Entry {
    Entry {
        term: Term(2),
        index: LogIndex(index),
        content: Content::Payload(Bytes::from(vec![index as u8; size])),
    }
}

pub fn hard_state(term: u64) -> HardState {
    HardState {
        cluster: Some(ClusterId(3)),
        term: Term(term),
        vote: None,
    }
}

pub fn snapshot(index: u64, size: usize) -> Snapshot {
    Snapshot {
        cluster: ClusterId(3),
        index: LogIndex(index),
        term: Term(2),
        replicas: Replicas::from_voters(vec![Member::new("host", 7, "ikeja")]),
        data: Bytes::from(vec![index as u8; size]),
    }
}

/// Returns ten batches with entries and hard states, one snapshot and one truncation.
pub fn batches() -> Vec<Batch> {
    let batch = |number: u64| Batch {
        sequence: number,
        hard_state: Some(hard_state(2 + number)),
        snapshot: (number == 5).then(|| snapshot(4, 6_000)),
        truncate_from: (number == 8).then_some(LogIndex(7)),
        entries: vec![entry(if number < 8 { number } else { number - 2 } + 1, 700)],
    };
    (0..10).map(batch).collect()
}

pub fn apply_all(batches: &[Batch]) -> StoredState {
    let mut stored = StoredState::default();
    for batch in batches {
        stored.apply(batch);
    }
    stored
}
