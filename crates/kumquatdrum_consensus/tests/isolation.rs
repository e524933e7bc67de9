//! A leader that is cut off, for long and silently: it accepts nothing and answers no read.

mod common;

use common::Cluster;
use kumquatdrum_consensus::{Node, ProposalOutcome, Term};

const SEEDS: u64 = 10;

fn term(cluster: &Cluster, number: usize) -> Term {
    cluster.hosts[number].node.as_ref().map(Node::term).unwrap()
}

fn lease(cluster: &Cluster, number: usize) -> bool {
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
    assert!(!lease(&cluster, old));
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
    assert!(cluster.commit(), "the majority goes on");
    let new = cluster.leader().unwrap();
    let elected = term(&cluster, new);
    cluster.heal();
    cluster.run_for(5_000);
    assert_eq!(cluster.leader(), Some(new), "healing unseats nobody");
    assert_eq!(term(&cluster, new), elected);
    assert!(before <= elected);
    assert!(cluster.is_whole(), "the old leader follows");
}

#[test]
fn an_isolated_leader_accepts_nothing_and_follows_on_healing() {
    for seed in 0..SEEDS {
        isolate_leader(seed, 3);
        isolate_leader(seed, 5);
    }
}

/// A follower that hears no leader unseats none that the others hear.
#[test]
fn a_leader_that_a_majority_hears_stays() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::formed(seed, 3, 3);
        cluster.run_for(2_000);
        let leader = cluster.leader().unwrap();
        let elected = term(&cluster, leader);
        let deaf = (leader + 1) % 3;
        cluster.cut.insert((leader, deaf));
        cluster.run_for(20_000);
        assert_eq!(cluster.leader(), Some(leader));
        assert_eq!(term(&cluster, leader), elected);
        assert!(lease(&cluster, leader));
    }
}

/// The promise that a lease rests on outlives a restart: a replica that has just started votes
/// for nobody, as it may have promised so before.
#[test]
fn a_restart_breaks_no_promise() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::formed(seed, 3, 3);
        cluster.run_for(2_000);
        let leader = cluster.leader().unwrap();
        let (deaf, other) = ((leader + 1) % 3, (leader + 2) % 3);
        cluster.cut.insert((leader, deaf));
        cluster.run_for(1_900);
        cluster.crash(other);
        cluster.start(other);
        cluster.cut.insert((leader, other));
        cluster.run_for(600);
        assert_eq!(cluster.leader(), Some(leader), "its lease may still run");
        cluster.run_for(5_000);
        assert_ne!(cluster.leader(), Some(leader));
    }
}

/// A planned stop hands over: another leads long before an election timeout is over, and knows all.
#[test]
fn a_leader_that_resigns_is_followed_at_once() {
    for seed in 0..SEEDS {
        let mut cluster = Cluster::formed(seed, 3, 3);
        assert!(cluster.commit());
        cluster.run_for(500);
        let old = cluster.leader().unwrap();
        cluster.resign(old);
        assert!(!lease(&cluster, old));
        let led = |c: &Cluster| c.leader().is_some_and(|new| new != old);
        assert!(cluster.run_until(100, led), "seed {seed}");
        assert!(cluster.commit());
    }
}
