//! Damaged contents are found and told with their place, and never taken for older ones.

mod common;

use std::panic::{AssertUnwindSafe, catch_unwind};

use common::{apply_all, batches, entry, hard_state, open};
use kumquatdrum_consensus::{Batch, StoredState};
use kumquatdrum_disk::{Error, Folder, Store, fake::Disk};

/// A prime, so that all places within a page and a sector come up.
const STRIDE: usize = 331;

/// What became of a store after one byte of its disk was damaged.
#[derive(Debug, Default)]
struct Tally {
    told: u32,
    harmless: u32,
    wrong: Vec<usize>,
}

fn tally(disk: &Disk, expected: &StoredState) -> Tally {
    let mut tally = Tally::default();
    for position in (0..disk.size()).step_by(STRIDE) {
        let copy = disk.copy();
        copy.damage(position, 0x10);
        let load = || open(&copy).and_then(|folder| folder.load());
        match catch_unwind(AssertUnwindSafe(load)) {
            Ok(Ok(stored)) if stored == *expected => tally.harmless += 1,
            Ok(Err(Error::Corrupt { .. })) => tally.told += 1,
            _ => tally.wrong.push(position),
        }
    }
    tally
}

fn written(disk: &Disk) -> Folder {
    let folder = open(disk).unwrap();
    for batch in batches() {
        folder.write(&[batch]).unwrap();
    }
    folder
}

#[test]
fn damage_after_a_clean_stop_is_told() {
    let disk = Disk::new();
    drop(written(&disk));
    let tally = tally(&disk, &apply_all(&batches()));
    assert!(tally.wrong.is_empty(), "{tally:?}");
    assert!(tally.told > 40, "{tally:?}");
}

/// Without two-phase commits the store came back with the contents before the last write, as a
/// damaged last commit can't be told from one that a crash has torn.
#[test]
fn damage_after_a_crash_is_told() {
    let disk = Disk::new();
    let folder = written(&disk);
    let crashed = disk.copy();
    crashed.crash(|_| false);
    drop(folder);
    let tally = tally(&crashed, &apply_all(&batches()));
    assert!(tally.wrong.is_empty(), "{tally:?}");
    assert!(tally.told > 40, "{tally:?}");
}

fn place_of(batch: Batch) -> String {
    let disk = Disk::new();
    open(&disk).unwrap().write(&[batch]).unwrap();
    match open(&disk) {
        Err(Error::Corrupt { place, .. }) => place,
        other => panic!("taken as whole: {other:?}"),
    }
}

#[test]
fn a_gap_in_the_log_is_told_with_its_place() {
    let gap = Batch {
        hard_state: Some(hard_state(2)),
        entries: vec![entry(1, 10), entry(3, 10)],
        ..Batch::default()
    };
    assert_eq!(place_of(gap), "log entry 3");
}

#[test]
fn a_term_that_went_back_is_told_with_its_place() {
    let old_term = Batch {
        hard_state: Some(hard_state(1)),
        entries: vec![entry(1, 10)],
        ..Batch::default()
    };
    assert_eq!(place_of(old_term), "hard state");
}
