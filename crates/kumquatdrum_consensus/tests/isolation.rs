//! Leases and elections under network partitions: an isolated leader serves no reads or proposals.

mod common;

use common::Cluster;
use kumquatdrum_consensus::{Node, ProposalOutcome, Term};

const SEED_COUNT: u64 = 10;

fn term(cluster: &Cluster, number: usize) -> Term {
    cluster.hosts[number].node.as_ref().map(Node::term).unwrap()
}

fn has_lease(cluster: &Cluster, number: usize) -> bool {
    cluster.hosts[number]
        .node
        .as_ref()
        .unwrap()
        .lease_until()
        .is_some()
}

fn isolate_leader(seed: u64, hosts: usize) {
    let mut cluster = Cluster::formed(seed, hosts, hosts);
    assert!(cluster.commit());
    let old = cluster.leader().unwrap();
    cluster.isolate(old);
    let early = cluster.propose(old);
    let early_read = cluster.read(old);
    cluster.run_for(1_500);
    assert!(!has_lease(&cluster, old));
    assert!(!cluster.hosts[old].node.as_ref().unwrap().is_leader());
    assert_eq!(cluster.outcomes[&early], ProposalOutcome::Unknown);
    assert_eq!(cluster.reads[&early_read], Some(false));
    cluster.run_for(60_000);
    let late = cluster.propose(old);
    let late_read = cluster.read(old);
    assert!(matches!(
        cluster.outcomes[&late],
        ProposalOutcome::NotLeader { .. }
    ));
    assert_eq!(cluster.reads[&late_read], Some(false));
    let before = term(&cluster, old);
    assert!(cluster.commit(), "the majority makes no progress");
    let new = cluster.leader().unwrap();
    let elected = term(&cluster, new);
    cluster.heal();
    cluster.run_for(5_000);
    assert_eq!(
        cluster.leader(),
        Some(new),
        "the leader changed after healing"
    );
    assert_eq!(term(&cluster, new), elected);
    assert!(before <= elected);
    assert!(
        cluster.is_fully_replicated(),
        "the old leader does not follow"
    );
}

#[test]
fn an_isolated_leader_accepts_nothing_and_follows_after_healing() {
    for seed in 0..SEED_COUNT {
        isolate_leader(seed, 3);
        isolate_leader(seed, 5);
    }
}

/// A follower that the leader cannot reach must not replace it while the leader reaches a majority.
#[test]
fn a_leader_connected_to_a_majority_stays() {
    for seed in 0..SEED_COUNT {
        let mut cluster = Cluster::formed(seed, 3, 3);
        cluster.run_for(2_000);
        let leader = cluster.leader().unwrap();
        let elected = term(&cluster, leader);
        let disconnected = (leader + 1) % 3;
        cluster.cut_links.insert((leader, disconnected));
        cluster.run_for(20_000);
        assert_eq!(cluster.leader(), Some(leader));
        assert_eq!(term(&cluster, leader), elected);
        assert!(has_lease(&cluster, leader));
    }
}

/// A restarted replica grants no vote within an election timeout, as a lease may depend on its
/// earlier promise.
#[test]
fn a_restarted_replica_does_not_break_a_lease() {
    for seed in 0..SEED_COUNT {
        let mut cluster = Cluster::formed(seed, 3, 3);
        cluster.run_for(2_000);
        let leader = cluster.leader().unwrap();
        let (disconnected, other) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster.cut_links.insert((leader, disconnected));
        cluster.run_for(1_900);
        cluster.crash(other);
        cluster.start(other);
        cluster.cut_links.insert((leader, other));
        cluster.run_for(600);
        assert_eq!(
            cluster.leader(),
            Some(leader),
            "the leader was replaced during its lease"
        );
        cluster.run_for(5_000);
        assert_ne!(cluster.leader(), Some(leader));
    }
}

/// A leadership transfer elects a leader well within an election timeout.
#[test]
fn a_leadership_transfer_elects_a_leader_at_once() {
    for seed in 0..SEED_COUNT {
        let mut cluster = Cluster::formed(seed, 3, 3);
        assert!(cluster.commit());
        cluster.run_for(500);
        let old = cluster.leader().unwrap();
        cluster.transfer_leadership(old);
        assert!(!has_lease(&cluster, old));
        let has_new_leader = |c: &Cluster| c.leader().is_some_and(|new| new != old);
        assert!(cluster.run_until(100, has_new_leader), "seed {seed}");
        assert!(cluster.commit());
    }
}
