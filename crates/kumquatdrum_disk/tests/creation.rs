//! A data folder whose creation is interrupted is created anew, and one that was in use never is.

mod common;

use std::panic::{AssertUnwindSafe, catch_unwind};

use common::{INCARNATION, batches, entry, hard_state, open};
use kumquatdrum_consensus::{Batch, Incarnation, LogIndex};
use kumquatdrum_disk::{Error, Folder, Identity, Origin, Store, fake};
use kumquatdrum_types::hash;

/// Missing directories, so that names are lost on three levels.
const PATH: &str = "/srv/kumquatdrum/data";
/// The units in which a loss of power tears writes.
const UNITS_BYTES: [usize; 3] = [1, 64, 512];
/// The variable with the number of plays for each number of changes after which the first fault comes.
const SEEDS_VARIABLE: &str = "CREATION_SEEDS";
const DEFAULT_SEEDS: u64 = 8;

/// Random numbers by hash, so that a seed repeats its play.
struct Random {
    state: u64,
}

impl Random {
    fn new(seed: u64) -> Self {
        Self {
            state: hash::mix(seed),
        }
    }

    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        hash::mix(self.state)
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    fn chance(&mut self) -> bool {
        self.below(2) == 0
    }
}

/// What a replica promised before its process ended.
#[derive(Debug, Default, PartialEq)]
struct Promise {
    identity: Option<Identity>,
    entries: u64,
}

/// Opens the folder, checks what was promised before, and writes entries until a change fails.
fn run_process(files: &fake::FileSystem, number: u64, promise: &mut Promise) -> Result<(), Error> {
    let folder = Folder::open_in(files, PATH, &"host".into(), Incarnation(number))?;
    match &promise.identity {
        Some(identity) => assert_eq!(folder.identity(), identity, "the identity was lost"),
        None => promise.identity = Some(folder.identity().clone()),
    }
    let stored = folder.load()?.entries.len() as u64;
    assert!(
        stored >= promise.entries,
        "{stored} of {} entries",
        promise.entries
    );
    promise.entries = stored;
    for index in stored + 1..=stored + 2 {
        folder.write(&[Batch {
            hard_state: Some(hard_state(2)),
            entries: vec![entry(index, 700)],
            ..Batch::default()
        }])?;
        promise.entries = index;
    }
    Ok(())
}

/// Kills the process, or takes the power from its host.
fn end_process(files: &fake::FileSystem, random: &mut Random) {
    files.repair();
    if random.below(4) == 0 {
        return;
    }
    let unit_bytes = UNITS_BYTES[random.below(UNITS_BYTES.len() as u64) as usize];
    let keeps_length = random.chance();
    let keeps_nothing = random.below(4) == 0;
    let (mut names, mut units) = (Random::new(random.next()), Random::new(random.next()));
    files.lose_power(
        |_| names.chance(),
        unit_bytes,
        keeps_length,
        |_| !keeps_nothing && units.chance(),
    );
}

/// Ends the first process after `changes` changes, the next two after random ones, and lets the fourth run.
/// Returns whether the first process had ended by itself before.
fn play(changes: u64, seed: u64) -> bool {
    let files = fake::FileSystem::new();
    let mut random = Random::new(hash::mix(changes) ^ seed);
    let mut promise = Promise::default();
    let mut has_ended = false;
    for number in 0..3 {
        let limit = if number == 0 {
            changes
        } else {
            random.below(60)
        };
        files.fail_after_changes(limit);
        let result = run_process(&files, number, &mut promise);
        if number == 0 {
            has_ended = result.is_ok() && !files.is_failing();
        }
        end_process(&files, &mut random);
    }
    let result = run_process(&files, 3, &mut promise);
    assert!(result.is_ok(), "changes {changes} seed {seed}: {result:?}");
    has_ended
}

/// Guards against a host without a replica for good, since its process ended while it created the data file,
/// and against a replica that takes part before its identity is durable.
#[test]
fn a_replica_survives_kills_and_losses_of_power_from_the_first_change_on() {
    let seeds = std::env::var(SEEDS_VARIABLE).map_or(DEFAULT_SEEDS, |count| count.parse().unwrap());
    let mut changes = 0;
    while (0..seeds).filter(|seed| !play(changes, *seed)).count() > 0 {
        changes += 1;
    }
    assert!(changes > 20, "{changes}");
}

/// Guards against a data file that stays unusable after the disk accepts writes again.
#[test]
fn refused_writes_during_the_creation_leave_a_folder_that_can_be_opened() {
    for changes in 0.. {
        let files = fake::FileSystem::new();
        files.fail_after_changes(changes);
        let mut promise = Promise::default();
        let result = run_process(&files, 1, &mut promise);
        let has_failed = files.is_failing();
        files.repair();
        let again = run_process(&files, 2, &mut promise);
        assert!(again.is_ok(), "changes {changes}: {again:?}");
        if result.is_ok() && !has_failed {
            break;
        }
    }
}

/// Guards against a data file that stays unusable after space came back.
#[test]
fn a_disk_that_is_full_during_the_creation_can_be_used_once_it_has_space() {
    let whole = fake::Disk::new();
    drop(open(&whole).unwrap());
    for capacity in (0..=whole.size()).step_by(512) {
        let disk = fake::Disk::new();
        disk.set_capacity(capacity as u64);
        let full = open(&disk);
        assert!(
            matches!(full, Ok(_) | Err(Error::Full { .. })),
            "{capacity}: {full:?}"
        );
        drop(full);
        disk.set_capacity(u64::MAX);
        assert!(open(&disk).is_ok(), "{capacity}");
    }
}

/// Returns the contents that a new data file has after each change, up to the first in which it holds a
/// replica.
fn unfinished_files() -> Vec<Vec<u8>> {
    let mut files = Vec::new();
    for changes in 0.. {
        let disk = fake::Disk::new();
        disk.fail_after_changes(changes);
        let result = open(&disk);
        files.push(disk.bytes());
        if result.is_ok() {
            break;
        }
    }
    files
}

/// Guards against hosts without a replica after an update, as an earlier release left such files.
#[test]
fn files_that_an_earlier_release_left_unfinished_are_created_anew() {
    let files = unfinished_files();
    let without_magic: Vec<&Vec<u8>> = files
        .iter()
        .filter(|bytes| !bytes.is_empty() && !bytes.starts_with(b"redb"))
        .collect();
    assert!(without_magic.len() >= 3, "{}", without_magic.len());
    for bytes in without_magic {
        let zeros = vec![0; bytes.len()];
        for left in [bytes, &zeros] {
            for length in (1..left.len()).step_by(997).chain([left.len()]) {
                let disk = fake::Disk::from_bytes(&left[..length]);
                let folder = open(&disk).unwrap_or_else(|error| panic!("{length}: {error}"));
                assert_eq!(folder.origin(), Origin::Unfinished, "{length}");
            }
        }
    }
}

#[test]
fn the_origin_of_a_folder_is_reported() {
    let disk = fake::Disk::new();
    assert_eq!(open(&disk).unwrap().origin(), Origin::New);
    assert_eq!(open(&disk).unwrap().origin(), Origin::Existing);
}

/// Opens a damaged file, and checks that it is reported and left as it is.
fn assert_reported(bytes: &[u8], damage: &str) {
    let disk = fake::Disk::from_bytes(bytes);
    let opened = catch_unwind(AssertUnwindSafe(|| {
        open(&disk).map(|folder| folder.origin())
    }));
    match opened {
        Ok(Err(Error::Corrupt { .. })) => assert_eq!(disk.bytes(), bytes, "{damage}: changed"),
        other => panic!("{damage}: {other:?}"),
    }
}

/// Guards against a disk that has voted and is thrown away as an unfinished one.
#[test]
fn a_file_that_was_in_use_is_never_created_anew() {
    let disk = fake::Disk::new();
    let folder = open(&disk).unwrap();
    let new = disk.bytes();
    folder.write(&batches()).unwrap();
    let crashed = disk.bytes();
    drop(folder);
    let stopped = disk.bytes();
    for (state, bytes) in [("new", new), ("crashed", crashed), ("stopped", stopped)] {
        for position in 0..9 {
            let mut damaged = bytes.clone();
            damaged[position] = 0;
            if damaged != bytes {
                assert_reported(&damaged, &format!("{state}: magic byte {position} is zero"));
            }
        }
        for zeros in [9, 320, 512, 4096, 8192] {
            let mut damaged = bytes.clone();
            damaged[..zeros].fill(0);
            assert_reported(&damaged, &format!("{state}: {zeros} zeros"));
        }
        for length in 1..9 {
            assert_reported(&bytes[..length], &format!("{state}: cut to {length}"));
        }
    }
}

/// Guards against a file of something else that is overwritten.
#[test]
fn a_file_that_is_no_data_file_is_reported_and_kept() {
    let text = b"notes of an operator\n".repeat(40);
    assert_reported(&text, "a text");
    assert_reported(&vec![0; 8 << 20], "zeros, longer than a new file");
}

/// Guards against a new incarnation in a folder that was never lost.
#[test]
fn a_killed_process_finds_its_identity_again() {
    let files = fake::FileSystem::new();
    let host = "host".into();
    let folder = Folder::open_in(&files, PATH, &host, INCARNATION).unwrap();
    // The process is killed with the folder open.
    files.fail_after_changes(0);
    drop(folder);
    files.repair();
    let folder = Folder::open_in(&files, PATH, &host, Incarnation(8)).unwrap();
    assert_eq!(folder.identity().incarnation, INCARNATION);
    assert_eq!(
        folder.load().unwrap().entries.last().map(|e| e.index),
        None::<LogIndex>
    );
}
