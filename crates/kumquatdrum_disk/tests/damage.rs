//! Damage is detected and located on opening, and never mistaken for an older state.

mod common;

use std::panic::{AssertUnwindSafe, catch_unwind};

use common::{apply_all, batches, entry, hard_state, open};
use kumquatdrum_consensus::{Batch, StoredState};
use kumquatdrum_disk::{Error, Folder, Store, fake::Disk};

/// The distance between damaged positions. It is prime, so that their offsets within pages and
/// sectors differ.
const STRIDE_BYTES: usize = 331;

/// Counts the outcomes of opening a store with one damaged byte.
#[derive(Debug, Default)]
struct Tally {
    detected: u32,
    harmless: u32,
    /// Positions whose damage was not reported as corruption.
    misreported: Vec<usize>,
}

fn damage_each_position(disk: &Disk, expected: &StoredState) -> Tally {
    let mut tally = Tally::default();
    for position in (0..disk.size()).step_by(STRIDE_BYTES) {
        let copy = disk.copy();
        copy.damage(position, 0x10);
        let load = || open(&copy).and_then(|folder| folder.load());
        match catch_unwind(AssertUnwindSafe(load)) {
            Ok(Ok(stored)) if stored == *expected => tally.harmless += 1,
            Ok(Err(Error::Corrupt { .. })) => tally.detected += 1,
            _ => tally.misreported.push(position),
        }
    }
    tally
}

fn write_batches(disk: &Disk) -> Folder {
    let folder = open(disk).unwrap();
    for batch in batches() {
        folder.write(&[batch]).unwrap();
    }
    folder
}

#[test]
fn damage_after_a_clean_stop_is_detected() {
    let disk = Disk::new();
    drop(write_batches(&disk));
    let tally = damage_each_position(&disk, &apply_all(&batches()));
    assert!(tally.misreported.is_empty(), "{tally:?}");
    assert!(tally.detected > 40, "{tally:?}");
}

/// Guards against a silent roll-back to the state before the last commit, which is what one-phase
/// commits do.
#[test]
fn damage_after_a_crash_is_detected() {
    let disk = Disk::new();
    let folder = write_batches(&disk);
    let crashed = disk.copy();
    crashed.crash(|_| false);
    drop(folder);
    let tally = damage_each_position(&crashed, &apply_all(&batches()));
    assert!(tally.misreported.is_empty(), "{tally:?}");
    assert!(tally.detected > 40, "{tally:?}");
}

fn damaged_place(batch: Batch) -> String {
    let disk = Disk::new();
    open(&disk).unwrap().write(&[batch]).unwrap();
    match open(&disk) {
        Err(Error::Corrupt { place, .. }) => place,
        other => panic!("not reported as corrupt: {other:?}"),
    }
}

#[test]
fn a_gap_in_the_log_is_reported_with_its_place() {
    let gap = Batch {
        hard_state: Some(hard_state(2)),
        entries: vec![entry(1, 10), entry(3, 10)],
        ..Batch::default()
    };
    assert_eq!(damaged_place(gap), "log entry 3");
}

#[test]
fn a_hard_state_older_than_the_log_is_reported_with_its_place() {
    let old_hard_state = Batch {
        hard_state: Some(hard_state(1)),
        entries: vec![entry(1, 10)],
        ..Batch::default()
    };
    assert_eq!(damaged_place(old_hard_state), "hard state");
}
