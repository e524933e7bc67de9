//! Elections while writes to the disks take long.

mod common;

use common::Cluster;

/// The longest write to a disk, in microseconds: as long as the longest election timeout.
const SYNC_MICROS: u64 = 2_000_000;
/// The time for an election among two of three replicas.
const ELECTION_MILLIS: u64 = 20_000;

/// Guards against candidates that begin a new term while the votes of the last one are being written.
#[test]
fn a_leader_is_elected_while_writes_outlast_election_timeouts() {
    let late: Vec<u64> = (0..100)
        .filter(|seed| {
            let mut cluster = Cluster::formed(*seed, 3, 3);
            assert!(cluster.commit());
            let leader = cluster.leader().expect("a leader");
            cluster.faults.sync_micros = SYNC_MICROS;
            cluster.crash(leader);
            !cluster.run_until(ELECTION_MILLIS, |c| c.leader().is_some())
        })
        .collect();
    assert_eq!(late, [0; 0], "seeds without a leader in time");
}
