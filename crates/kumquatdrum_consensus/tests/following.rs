//! Reports of voters that stop and begin to follow the leader.

mod fixtures;

use std::time::Duration;

use fixtures::{NOW, host, member, status, successor};
use kumquatdrum_consensus::Replicas;
use kumquatdrum_consensus::following::{Change, Monitor};
use kumquatdrum_consensus::replacement::Host;

const SILENT_AFTER: Duration = Duration::from_secs(1);

/// Host 2, which is live and has no replica.
fn host_without_replica() -> Host {
    Host {
        replica: None,
        ..host(member(2), 10_300)
    }
}

/// Guards against a voter without a disk whose host is live, and of which the leader says nothing.
#[test]
fn a_silent_voter_on_a_live_host_is_reported_once() {
    let mut monitor = Monitor::new(SILENT_AFTER);
    let hosts = [host_without_replica()];
    let status = status(&[2]);
    assert_eq!(monitor.check(NOW, &status, &hosts), []);
    let later = NOW + SILENT_AFTER;
    let silent = Change::Silent {
        voter: member(2).id,
        silence: later - status.peers[1].added_at,
        is_host_live: true,
        announced: None,
    };
    assert_eq!(monitor.check(later, &status, &hosts), [silent]);
    assert_eq!(monitor.check(later + SILENT_AFTER, &status, &hosts), []);
    assert_eq!(monitor.silent().len(), 1);
}

#[test]
fn a_voter_that_answers_again_is_reported() {
    let mut monitor = Monitor::new(SILENT_AFTER);
    monitor.check(NOW + SILENT_AFTER, &status(&[2]), &[]);
    let follows = Change::Follows {
        voter: member(2).id,
    };
    assert_eq!(
        monitor.check(NOW + SILENT_AFTER, &status(&[]), &[]),
        [follows]
    );
    assert!(monitor.silent().is_empty());
}

#[test]
fn the_new_replica_of_a_silent_voters_host_is_named() {
    let mut monitor = Monitor::new(SILENT_AFTER);
    let hosts = [host(successor(2), 10_300)];
    let changes = monitor.check(NOW + SILENT_AFTER, &status(&[2]), &hosts);
    let [Change::Silent { announced, .. }] = &changes[..] else {
        panic!("{changes:?}");
    };
    assert_eq!(*announced, Some(successor(2).id));
}

#[test]
fn a_replaced_voter_is_forgotten() {
    let mut monitor = Monitor::new(SILENT_AFTER);
    let mut status = status(&[2]);
    monitor.check(NOW + SILENT_AFTER, &status, &[]);
    status.replicas = Replicas::from_voters([0, 1, 3].map(member).to_vec());
    assert_eq!(monitor.check(NOW + SILENT_AFTER, &status, &[]), []);
    assert!(monitor.silent().is_empty());
}
