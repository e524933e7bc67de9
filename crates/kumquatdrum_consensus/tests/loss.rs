//! An accepted value outlives any minority of hosts and disks, in any order, twice, and restarts.

mod common;

use common::Cluster;

/// Loses the disks of some hosts at once, and says whether all is repaired without help.
fn lose(cluster: &mut Cluster, victims: &[usize]) {
    for victim in victims {
        cluster.wipe(*victim);
    }
    assert!(
        cluster.run_until(20_000, |c| c.leader().is_some()),
        "no leader without {victims:?}"
    );
    assert!(cluster.commit(), "no progress without {victims:?}");
    for victim in victims {
        cluster.start(*victim);
    }
    let repaired = cluster.run_until(60_000, |c| c.leader().is_some() && c.is_whole());
    assert!(repaired, "not repaired after {victims:?}");
}

/// All ways to lose one minority and then another, right after the repair of the first.
fn lose_twice(hosts: usize, minorities: &[Vec<usize>]) {
    for (number, first) in minorities.iter().enumerate() {
        for second in minorities {
            let mut cluster = Cluster::formed(number as u64, hosts, hosts);
            assert!(cluster.commit());
            lose(&mut cluster, first);
            lose(&mut cluster, second);
            assert!(cluster.commit());
        }
    }
}

#[test]
fn three_hosts_survive_any_two_losses_one_after_the_other() {
    lose_twice(3, &[vec![0], vec![1], vec![2]]);
}

#[test]
fn five_hosts_survive_any_two_losses_of_two() {
    let pairs = (0..5).flat_map(|a| (a + 1..5).map(move |b| vec![a, b]));
    lose_twice(5, &pairs.collect::<Vec<_>>());
}

#[test]
fn all_hosts_restarted_at_once_know_all() {
    let mut cluster = Cluster::formed(1, 5, 5);
    assert!(cluster.commit());
    let known = cluster.checker.last_applied();
    (0..5).for_each(|number| cluster.crash(number));
    (0..5).for_each(|number| cluster.start(number));
    assert!(cluster.commit());
    cluster.run_for(2_000);
    assert!(cluster.is_whole());
    assert!(cluster.hosts.iter().all(|host| host.applied > known));
}

/// The log is bounded, and a start reads a snapshot and a short tail.
#[test]
fn a_restart_after_500_changes_reads_a_snapshot_and_a_short_tail() {
    let mut cluster = Cluster::formed(2, 3, 3);
    for _ in 0..500 {
        assert!(cluster.commit());
    }
    cluster.run_for(2_000);
    let bound = cluster.snapshot_entries * 2;
    for number in 0..3 {
        assert!((cluster.hosts[number].disk.entries.len() as u64) < bound);
        cluster.crash(number);
        cluster.start(number);
    }
    assert!(cluster.commit());
    cluster.run_for(2_000);
    for host in &cluster.hosts {
        assert_eq!(host.restores, 1);
        assert!(
            host.applies < bound,
            "{} changes applied anew",
            host.applies
        );
    }
}

/// A replica that missed more than the log holds gets a snapshot, in several chunks, over a
/// network that loses some of them.
#[test]
fn a_late_replica_is_sent_a_snapshot() {
    let mut cluster = Cluster::formed(3, 3, 3);
    let late = (cluster.leader().unwrap() + 1) % 3;
    cluster.isolate(late);
    for _ in 0..200 {
        assert!(cluster.commit());
    }
    cluster.cut.clear();
    cluster.faults.loss_percent = 20;
    assert!(cluster.run_until(30_000, Cluster::is_whole));
    assert_eq!(cluster.hosts[late].restores, 1);
}

/// A voter of the first hour that was cut off ever since has no state. It may vote nonetheless:
/// without it the loss of another disk would stop the cluster for good.
#[test]
fn a_voter_that_missed_everything_helps_after_a_loss() {
    let mut cluster = Cluster::new(0, 3, 3, kumquatdrum_consensus::Rules::default());
    cluster.cut.extend([(0, 2), (1, 2)]);
    assert!(cluster.run_until(20_000, |c| c.leader().is_some()));
    assert!(cluster.commit());
    assert_eq!(
        cluster.hosts[2].disk.snapshot, None,
        "it does not know the cluster"
    );
    cluster.wipe(1);
    cluster.cut.clear();
    assert!(cluster.run_until(20_000, |c| c.leader() == Some(0)));
    assert!(cluster.commit());
    cluster.start(1);
    assert!(cluster.run_until(20_000, Cluster::is_whole));
}
