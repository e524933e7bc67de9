//! Committed values survive the loss of a minority of disks, repeated losses, and restarts.

mod common;

use common::Cluster;

/// Wipes some hosts at once, and checks that the cluster makes progress and repairs itself.
fn wipe_and_repair(cluster: &mut Cluster, victims: &[usize]) {
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
    let is_repaired =
        cluster.run_until(60_000, |c| c.leader().is_some() && c.is_fully_replicated());
    assert!(is_repaired, "not repaired after {victims:?}");
}

/// Wipes each minority, and then each minority again right after the repair.
fn wipe_twice(hosts: usize, minorities: &[Vec<usize>]) {
    for (number, first) in minorities.iter().enumerate() {
        for second in minorities {
            let mut cluster = Cluster::formed(number as u64, hosts, hosts);
            assert!(cluster.commit());
            wipe_and_repair(&mut cluster, first);
            wipe_and_repair(&mut cluster, second);
            assert!(cluster.commit());
        }
    }
}

#[test]
fn three_hosts_survive_any_two_successive_losses() {
    wipe_twice(3, &[vec![0], vec![1], vec![2]]);
}

#[test]
fn five_hosts_survive_any_two_successive_losses_of_two() {
    let pairs = (0..5).flat_map(|a| (a + 1..5).map(move |b| vec![a, b]));
    wipe_twice(5, &pairs.collect::<Vec<_>>());
}

#[test]
fn a_restart_of_all_hosts_loses_no_committed_value() {
    let mut cluster = Cluster::formed(1, 5, 5);
    assert!(cluster.commit());
    let last_applied = cluster.checker.last_applied();
    (0..5).for_each(|number| cluster.crash(number));
    (0..5).for_each(|number| cluster.start(number));
    assert!(cluster.commit());
    cluster.run_for(2_000);
    assert!(cluster.is_fully_replicated());
    assert!(cluster.hosts.iter().all(|host| host.applied > last_applied));
}

/// The stored log is bounded, so that a start reads a snapshot and few entries.
#[test]
fn a_restart_after_500_proposals_reads_a_snapshot_and_few_entries() {
    let mut cluster = Cluster::formed(2, 3, 3);
    for _ in 0..500 {
        assert!(cluster.commit());
    }
    cluster.run_for(2_000);
    let max_entries = cluster.snapshot_entries * 2;
    for number in 0..3 {
        assert!((cluster.hosts[number].disk.entries.len() as u64) < max_entries);
        cluster.crash(number);
        cluster.start(number);
    }
    assert!(cluster.commit());
    cluster.run_for(2_000);
    for host in &cluster.hosts {
        assert_eq!(host.restores, 1);
        assert!(
            host.applies < max_entries,
            "{} entries applied again",
            host.applies
        );
    }
}

/// A replica that lags beyond the start of the log receives a snapshot, in several chunks over a
/// lossy network.
#[test]
fn a_lagging_replica_receives_a_snapshot() {
    let mut cluster = Cluster::formed(3, 3, 3);
    let lagging = (cluster.leader().unwrap() + 1) % 3;
    cluster.isolate(lagging);
    for _ in 0..200 {
        assert!(cluster.commit());
    }
    cluster.cut_links.clear();
    cluster.faults.loss_percent = 20;
    assert!(cluster.run_until(30_000, Cluster::is_fully_replicated));
    assert_eq!(cluster.hosts[lagging].restores, 1);
}

/// An initial voter that was isolated since formation has no state but may vote; otherwise the
/// loss of another disk would stop the cluster.
#[test]
fn an_initial_voter_without_state_may_vote() {
    let mut cluster = Cluster::new(0, 3, 3, kumquatdrum_consensus::Safeguards::default());
    cluster.cut_links.extend([(0, 2), (1, 2)]);
    assert!(cluster.run_until(20_000, |c| c.leader().is_some()));
    assert!(cluster.commit());
    assert_eq!(
        cluster.hosts[2].disk.snapshot, None,
        "the isolated voter has state"
    );
    cluster.wipe(1);
    cluster.cut_links.clear();
    assert!(cluster.run_until(20_000, |c| c.leader() == Some(0)));
    assert!(cluster.commit());
    cluster.start(1);
    assert!(cluster.run_until(20_000, Cluster::is_fully_replicated));
}
