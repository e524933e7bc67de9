//! Changes of the replicas, asked for or made by the leader itself.

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
    cluster.settled_voters().unwrap().into_iter().collect()
}

#[test]
fn the_voters_can_be_replaced_one_and_all() {
    let mut cluster = Cluster::formed(1, 6, 3);
    assert!(cluster.commit());
    for target in [[0, 1, 3], [3, 4, 5], [0, 1, 2]] {
        let outcome = change(&mut cluster, &target);
        assert!(
            matches!(outcome, ProposalOutcome::Committed { .. }),
            "{outcome:?}"
        );
        let expected = target.map(|number| cluster.hosts[number].member.id.clone());
        assert!(cluster.run_until(20_000, |c| c.leader().is_some() && c.is_whole()));
        assert_eq!(voters(&mut cluster), expected.into());
        assert!(cluster.commit());
    }
}

#[test]
fn a_replica_that_never_comes_is_given_up() {
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
        cluster.run_until(20_000, Cluster::is_whole),
        "a lost disk is repaired after it"
    );
}

/// A learner that is gone for good holds up the repair of no other host.
#[test]
fn a_dead_successor_holds_up_no_other_repair() {
    let mut cluster = Cluster::formed(3, 5, 5);
    assert!(cluster.commit());
    let leader = cluster.leader().unwrap();
    let (first, second) = ((leader + 1) % 5, (leader + 2) % 5);
    cluster.wipe(first);
    cluster.start(first);
    let id = cluster.hosts[first].member.id.clone();
    let listed = |c: &Cluster| {
        let status = c.status(leader).unwrap();
        status
            .replicas
            .learners
            .iter()
            .any(|learner| learner.id == id)
    };
    assert!(cluster.run_until(20_000, listed));
    cluster.crash(first);
    cluster.wipe(second);
    cluster.start(second);
    let id = cluster.hosts[second].member.id.clone();
    let voting = |c: &Cluster| c.status(leader).unwrap().replicas.is_voter(&id);
    assert!(cluster.run_until(20_000, voting));
}

/// A newly elected leader knows nothing as committed; an empty learner has not caught up with it.
#[test]
fn an_empty_learner_becomes_no_voter() {
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
