//! Replica changes, requested or made by the leader itself.

mod common;

use std::collections::BTreeSet;

use common::Cluster;
use kumquatdrum_consensus::{ProposalOutcome, ReplicaId};

fn change(cluster: &mut Cluster, voters: &[usize]) -> ProposalOutcome {
    let leader = cluster.leader().unwrap();
    let token = cluster.change(leader, voters);
    assert!(
        cluster.run_until(70_000, |c| c.outcomes.contains_key(&token)),
        "no answer"
    );
    cluster.outcomes[&token].clone()
}

fn voters(cluster: &mut Cluster) -> BTreeSet<ReplicaId> {
    cluster.committed_voters().unwrap().into_iter().collect()
}

#[test]
fn some_or_all_voters_can_be_replaced() {
    let mut cluster = Cluster::formed(1, 6, 3);
    assert!(cluster.commit());
    for target in [[0, 1, 3], [3, 4, 5], [0, 1, 2]] {
        let outcome = change(&mut cluster, &target);
        assert!(
            matches!(outcome, ProposalOutcome::Committed { .. }),
            "{outcome:?}"
        );
        let expected = target.map(|number| cluster.hosts[number].member.id.clone());
        assert!(cluster.run_until(20_000, |c| c.leader().is_some() && c.is_fully_replicated()));
        assert_eq!(voters(&mut cluster), expected.into());
        assert!(cluster.commit());
    }
}

#[test]
fn a_change_to_a_replica_that_never_joins_is_aborted() {
    let mut cluster = Cluster::formed(2, 4, 3);
    let before = voters(&mut cluster);
    cluster.crash(3);
    assert_eq!(change(&mut cluster, &[0, 1, 3]), ProposalOutcome::Unknown);
    assert!(cluster.commit());
    assert_eq!(voters(&mut cluster), before);
    let leader = cluster.leader().unwrap();
    let victim = (leader + 1) % 3;
    cluster.wipe(victim);
    cluster.start(victim);
    assert!(
        cluster.run_until(20_000, Cluster::is_fully_replicated),
        "a lost disk is not repaired after the aborted change"
    );
}

/// A learner that never catches up must not block the repair of another host.
#[test]
fn a_failed_learner_does_not_block_other_repairs() {
    let mut cluster = Cluster::formed(3, 5, 5);
    assert!(cluster.commit());
    let leader = cluster.leader().unwrap();
    let (first, second) = ((leader + 1) % 5, (leader + 2) % 5);
    cluster.wipe(first);
    cluster.start(first);
    let id = cluster.hosts[first].member.id.clone();
    let is_learner = |c: &Cluster| {
        let status = c.status(leader).unwrap();
        status
            .replicas
            .learners
            .iter()
            .any(|learner| learner.id == id)
    };
    assert!(cluster.run_until(20_000, is_learner));
    cluster.crash(first);
    cluster.wipe(second);
    cluster.start(second);
    let id = cluster.hosts[second].member.id.clone();
    let is_voter = |c: &Cluster| c.status(leader).unwrap().replicas.is_voter(&id);
    assert!(cluster.run_until(20_000, is_voter));
}

/// A newly elected leader does not know the commit index; an empty learner must not count as
/// caught up with it.
#[test]
fn an_empty_learner_does_not_become_a_voter() {
    for seed in 0..20 {
        let mut cluster = Cluster::formed(seed, 4, 3);
        let leader = cluster.leader().unwrap();
        cluster.isolate(3);
        cluster.change(leader, &[1, 2, 3]);
        cluster.run_for(500);
        (0..3).for_each(|number| cluster.crash(number));
        (0..3).for_each(|number| cluster.start(number));
        cluster.run_for(20_000);
        let leader = cluster.leader().unwrap();
        let token = cluster.change(leader, &[1, 2, 3]);
        cluster.run_for(10_000);
        assert_eq!(cluster.outcomes.get(&token), None);
        let id = &cluster.hosts[3].member.id;
        assert!(!cluster.status(leader).unwrap().replicas.is_voter(id));
    }
}

/// Guards against a change of the voters that waits for a lost voter which it keeps.
#[test]
fn one_of_two_lost_voters_can_be_replaced() {
    let mut cluster = Cluster::formed(4, 6, 5);
    assert!(cluster.commit());
    let leader = cluster.leader().unwrap();
    let (first, second) = ((leader + 1) % 5, (leader + 2) % 5);
    cluster.crash(first);
    cluster.crash(second);
    let target: Vec<usize> = (0..6).filter(|number| *number != first).collect();
    let outcome = change(&mut cluster, &target);
    assert!(
        matches!(outcome, ProposalOutcome::Committed { .. }),
        "{outcome:?}"
    );
    assert!(cluster.commit());
}
