//! The data folder on a real file system: locking, identity and contents.

mod common;

use std::path::{Path, PathBuf};
use std::process::Command;

use arbtest::arbitrary::{Result as ArbitraryResult, Unstructured};
use common::{INCARNATION, apply_all, batches, entry, hard_state, open, snapshot};
use kumquatdrum_consensus::{Batch, Incarnation, LogIndex, StoredState};
use kumquatdrum_disk::{Error, Folder, Identity, Memory, Store, fake::Disk};

const CHILD_PATH: &str = "KUMQUATDRUM_TEST_FOLDER";

/// A temporary folder, removed on drop.
struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Self {
        let unique = format!("kumquatdrum-{name}-{}", std::process::id());
        Self(std::env::temp_dir().join(unique))
    }

    fn open(&self, host: &str, incarnation: u64) -> Result<Folder, Error> {
        open_at(&self.0, host, incarnation)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn open_at(path: &Path, host: &str, incarnation: u64) -> Result<Folder, Error> {
    Folder::open(path, &host.into(), Incarnation(incarnation))
}

#[test]
fn contents_and_identity_survive_a_restart() {
    let scratch = Scratch::new("restart");
    let folder = scratch.open("host", 7).unwrap();
    folder.write(&batches()).unwrap();
    drop(folder);
    let folder = scratch.open("host", 8).unwrap();
    assert_eq!(folder.identity().incarnation, INCARNATION);
    assert_eq!(folder.load().unwrap(), apply_all(&batches()));
}

#[test]
fn a_new_folder_is_a_new_replica() {
    let (first, second) = (Scratch::new("first"), Scratch::new("second"));
    let old = first.open("host", 7).unwrap().identity().replica();
    let new = second.open("host", 8).unwrap().identity().replica();
    assert_ne!(old, new);
}

#[test]
fn a_folder_of_another_host_is_rejected() {
    let scratch = Scratch::new("other-host");
    drop(scratch.open("host", 7).unwrap());
    let error = scratch.open("other", 8).unwrap_err();
    assert!(matches!(error, Error::OtherHost { .. }), "{error}");
}

/// Runs in the child process of the test below; does nothing otherwise.
#[test]
fn second_process() {
    if let Some(path) = std::env::var_os(CHILD_PATH) {
        let error = open_at(Path::new(&path), "host", 8).unwrap_err();
        assert!(matches!(error, Error::Locked { .. }), "{error}");
        println!("rejected");
    }
}

#[test]
fn a_second_process_is_rejected() {
    let scratch = Scratch::new("locked");
    let folder = scratch.open("host", 7).unwrap();
    let child = Command::new(std::env::current_exe().unwrap())
        .args(["--exact", "second_process", "--nocapture"])
        .env(CHILD_PATH, &scratch.0)
        .output()
        .unwrap();
    let printed = String::from_utf8_lossy(&child.stdout);
    assert!(
        child.status.success() && printed.contains("rejected"),
        "{printed}"
    );
    folder.write(&batches()).unwrap();
}

/// Returns a batch that a node could write to a store with the given state.
fn arbitrary_batch(u: &mut Unstructured<'_>, stored: &StoredState) -> ArbitraryResult<Batch> {
    let base = stored.snapshot.as_ref().map_or(0, |s| s.index.0);
    let mut last = stored.entries.last().map_or(base, |e| e.index.0);
    let mut batch = Batch::default();
    if u.ratio(1, 3)? {
        batch.hard_state = Some(hard_state(u.int_in_range(2..=9)?));
    }
    if u.ratio(1, 4)? && last > base {
        last = u.int_in_range(base..=last)?;
        batch.truncate_from = Some(LogIndex(last + 1));
    }
    if u.ratio(1, 5)? {
        let index = u.int_in_range(base..=last + 2)?;
        batch.snapshot = Some(snapshot(index, u.int_in_range(0..=9_000)?));
        last = last.max(index);
    }
    for _ in 0..u.int_in_range(0..=4)? {
        last += 1;
        batch.entries.push(entry(last, u.int_in_range(0..=900)?));
    }
    Ok(batch)
}

/// Both stores hold the state that [`StoredState::apply`] defines.
#[test]
fn folder_and_memory_apply_batches_alike() {
    for seed in 0..40_u64 {
        let identity = Identity {
            host: "host".into(),
            incarnation: INCARNATION,
        };
        arbtest::arbtest(|u| {
            let (disk, memory) = (Disk::new(), Memory::new(identity.clone()));
            let mut folder = open(&disk).unwrap();
            let first = Batch {
                hard_state: Some(hard_state(2)),
                ..Batch::default()
            };
            let mut expected = StoredState::default();
            expected.apply(&first);
            folder.write(std::slice::from_ref(&first)).unwrap();
            memory.write(&[first]).unwrap();
            for _ in 0..12 {
                let batch = arbitrary_batch(u, &expected)?;
                expected.apply(&batch);
                folder.write(std::slice::from_ref(&batch)).unwrap();
                memory.write(&[batch]).unwrap();
                if u.ratio(1, 4)? {
                    drop(folder);
                    folder = open(&disk).unwrap();
                }
                assert_eq!(folder.load().unwrap(), expected);
                assert_eq!(memory.load().unwrap(), expected);
            }
            Ok(())
        })
        .seed(4_096 | seed << 32);
    }
}
