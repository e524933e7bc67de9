//! Acknowledged writes survive a crash; other writes are applied whole or not at all.

mod common;

use common::{apply_all, batches, entry, open};
use kumquatdrum_consensus::Batch;
use kumquatdrum_disk::{Error, Store, fake::Disk};

const SEEDS: u64 = 8;

/// Decides by a hash whether an unsynced sector survives the crash.
fn survives(seed: u64, sector: usize) -> bool {
    let mixed = (seed << 32 | sector as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed >> 63 == 1
}

/// Writes until syncs fail after the first `syncs`, crashes, and checks the stored state.
fn check_crash_after(syncs: u64, seed: u64) {
    let disk = Disk::new();
    let folder = open(&disk).unwrap();
    disk.fail_after_syncs(syncs);
    let batches = batches();
    let write = |batch: &Batch| folder.write(std::slice::from_ref(batch));
    let acknowledged = batches
        .iter()
        .take_while(|batch| write(batch).is_ok())
        .count();
    drop(folder);
    disk.crash(|sector| survives(seed, sector));
    let stored = open(&disk).unwrap().load().unwrap();
    let before = apply_all(&batches[..acknowledged]);
    let after = apply_all(&batches[..batches.len().min(acknowledged + 1)]);
    assert!(
        stored == before || stored == after,
        "syncs {syncs} seed {seed}"
    );
}

#[test]
fn acknowledged_writes_survive_a_crash_at_any_sync() {
    for syncs in 0..20 {
        for seed in 0..SEEDS {
            check_crash_after(syncs, seed);
        }
    }
}

#[test]
fn a_failed_sync_is_reported_and_later_writes_are_rejected() {
    let disk = Disk::new();
    let folder = open(&disk).unwrap();
    let batch = |index| Batch {
        hard_state: Some(common::hard_state(2)),
        entries: vec![entry(index, 10)],
        ..Batch::default()
    };
    folder.write(&[batch(1)]).unwrap();
    disk.fail_after_syncs(0);
    assert!(matches!(folder.write(&[batch(2)]), Err(Error::Io { .. })));
    disk.crash(|_| false);
    assert!(matches!(
        folder.write(&[batch(2)]),
        Err(Error::Closed { .. })
    ));
    drop(folder);
    assert_eq!(open(&disk).unwrap().load().unwrap().entries, [entry(1, 10)]);
}

#[test]
fn a_full_disk_is_reported_and_keeps_acknowledged_writes() {
    let disk = Disk::new();
    let folder = open(&disk).unwrap();
    disk.set_capacity(disk.size() as u64 + 64 * 1024);
    let mut acknowledged = Vec::new();
    let error = loop {
        let index = acknowledged.len() as u64 + 1;
        let batch = Batch {
            hard_state: Some(common::hard_state(2)),
            entries: vec![entry(index, 5_000)],
            ..Batch::default()
        };
        match folder.write(&[batch]) {
            Ok(()) => acknowledged.push(entry(index, 5_000)),
            Err(error) => break error,
        }
    };
    assert!(matches!(error, Error::Full { .. }), "{error}");
    assert!(!acknowledged.is_empty());
    drop(folder);
    disk.crash(|_| true);
    disk.set_capacity(u64::MAX);
    assert_eq!(open(&disk).unwrap().load().unwrap().entries, acknowledged);
}

#[test]
fn batches_of_one_write_share_one_commit() {
    let disk = Disk::new();
    let folder = open(&disk).unwrap();
    let count_syncs = |batches: &[Batch]| {
        let before = disk.sync_count();
        folder.write(batches).unwrap();
        disk.sync_count() - before
    };
    let batches = batches();
    let syncs_of_one_batch = count_syncs(&batches[..1]);
    assert_eq!(count_syncs(&batches[1..]), syncs_of_one_batch);
    assert_eq!(folder.load().unwrap(), apply_all(&batches));
}
