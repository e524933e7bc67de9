//! Measures commit latency by entries per batch, and restart time by log length.
//!
//! Usage: `cargo bench -p kumquatdrum_disk --bench log -- FOLDER`, with a folder on the disk to
//! measure.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use bytes::Bytes;
use kumquatdrum_consensus::{
    Batch, ClusterId, Content, Entry, HardState, Incarnation, LogIndex, Member, Node, Replicas,
    Settings, Snapshot, Term,
};
use kumquatdrum_disk::{Folder, Store};
use kumquatdrum_types::Moment;

const PAYLOAD_BYTES: usize = 200;
const SNAPSHOT_BYTES: usize = 100_000;
const COMMITS: u64 = 200;
const RESTARTS: usize = 5;
/// The number of entries kept in the log after a snapshot.
const SNAPSHOT_TAIL_ENTRIES: u64 = 200;

fn entry(index: u64) -> Entry {
    Entry {
        term: Term(1),
        index: LogIndex(index),
        content: Content::Payload(Bytes::from(vec![index as u8; PAYLOAD_BYTES])),
    }
}

fn batch(first: u64, count: u64) -> Batch {
    Batch {
        hard_state: Some(HardState {
            cluster: Some(ClusterId(1)),
            term: Term(1),
            vote: None,
        }),
        entries: (first..first + count).map(entry).collect(),
        ..Batch::default()
    }
}

fn snapshot(index: u64) -> Batch {
    Batch {
        snapshot: Some(Snapshot {
            cluster: ClusterId(1),
            index: LogIndex(index),
            term: Term(1),
            replicas: Replicas::from_voters(vec![Member::new("host", 1, "ikeja")]),
            data: Bytes::from(vec![1; SNAPSHOT_BYTES]),
        }),
        ..Batch::default()
    }
}

fn open(path: &Path) -> Folder {
    Folder::open(path, &"host".into(), Incarnation(1)).expect("the folder opens")
}

fn write(folder: &Folder, batch: Batch) {
    folder.write(&[batch]).expect("the batch is written");
}

fn median(mut times: Vec<Duration>) -> Duration {
    times.sort_unstable();
    times[times.len() / 2]
}

fn measure_commits(path: &Path) {
    for entries in [1, 10, 100, 1_000] {
        let _ = std::fs::remove_dir_all(path);
        let folder = open(path);
        let mut times = Vec::new();
        for commit in 0..COMMITS {
            let batch = batch(1 + commit * entries, entries);
            let started = Instant::now();
            write(&folder, batch);
            times.push(started.elapsed());
        }
        let median = median(times);
        let per_entry = median / entries as u32;
        println!("commit entries={entries} median={median:?} per_entry={per_entry:?}");
    }
}

/// Returns the time from opening the folder until its node is created.
fn restart(path: &Path) -> Duration {
    let started = Instant::now();
    let folder = open(path);
    let stored = folder.load().expect("the stored state loads");
    let settings = Settings::new(Member::new("host", 1, "ikeja"));
    let node = Node::new(settings, stored, Moment::ZERO, 1);
    let elapsed = started.elapsed();
    drop((node, folder));
    elapsed
}

fn measure_restarts(path: &Path, with_snapshots: bool) {
    for length in [500, 5_000, 50_000] {
        let _ = std::fs::remove_dir_all(path);
        let folder = open(path);
        for first in (1..=length).step_by(500) {
            write(&folder, batch(first, 500));
            if with_snapshots {
                write(&folder, snapshot(first + 499 - SNAPSHOT_TAIL_ENTRIES));
            }
        }
        drop(folder);
        let median = median((0..RESTARTS).map(|_| restart(path)).collect());
        println!("restart changes={length} snapshots={with_snapshots} median={median:?}");
    }
}

fn main() {
    let argument = std::env::args().skip(1).find(|arg| !arg.starts_with('-'));
    let parent = argument.map_or_else(std::env::temp_dir, PathBuf::from);
    let path = parent.join(format!("kumquatdrum-bench-{}", std::process::id()));
    measure_commits(&path);
    measure_restarts(&path, false);
    measure_restarts(&path, true);
    let _ = std::fs::remove_dir_all(&path);
}
