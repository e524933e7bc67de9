//! A lost disk's successor is a new replica: it never votes as its predecessor, and no second
//! cluster forms out of such.

mod common;

use std::panic::{AssertUnwindSafe, catch_unwind};

use common::Cluster;
use kumquatdrum_consensus::{ProposalOutcome, RoleName, Rules};

const SEED: u64 = 11;

/// A value is committed by the leader and one follower while the other is cut off. The follower's
/// disk is lost and the leader cut off; the two that are left have a majority of hosts, and
/// neither has the value.
fn lose_the_witness(rules: Rules) {
    let mut cluster = Cluster::new(SEED, 3, 3, rules);
    assert!(cluster.run_until(20_000, |c| c.leader().is_some()));
    cluster.run_for(2_000);
    let leader = cluster.leader().unwrap();
    let (witness, late) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.isolate(late);
    assert!(cluster.commit());
    cluster.wipe(witness);
    cluster.cut.clear();
    cluster.isolate(leader);
    cluster.start(witness);
    cluster.run_for(30_000);
    let token = cluster.propose(late);
    cluster.run_for(5_000);
    assert!(matches!(
        cluster.outcomes[&token],
        ProposalOutcome::NotLeader { .. }
    ));
    cluster.cut.clear();
    assert!(cluster.run_until(30_000, |c| c.leader().is_some() && c.is_whole()));
    assert!(cluster.commit());
}

#[test]
fn a_wiped_replica_never_votes_as_its_predecessor() {
    lose_the_witness(Rules::default());
}

/// The same seed with the rule turned off: the committed value is lost.
#[test]
fn without_the_rule_a_committed_value_is_lost() {
    let rules = Rules {
        own_incarnation: false,
    };
    let failure = catch_unwind(AssertUnwindSafe(|| lose_the_witness(rules))).unwrap_err();
    let message = failure.downcast_ref::<String>().unwrap();
    assert!(message.contains("lacks committed entries"), "{message}");
}

/// The voters have moved to other hosts; then the disks of all initial hosts are lost. They must
/// not take themselves for a new cluster, whether or not they reach the others.
#[test]
fn wiped_initial_hosts_form_no_second_cluster() {
    let mut cluster = Cluster::formed(4, 5, 3);
    assert!(cluster.commit());
    let leader = cluster.leader().unwrap();
    let token = cluster.change(leader, &[2, 3, 4]);
    cluster.run_until(20_000, |c| c.outcomes.contains_key(&token));
    assert!(matches!(
        cluster.outcomes[&token],
        ProposalOutcome::Committed { .. }
    ));
    assert!(
        cluster.run_until(20_000, |c| c.leader().is_some_and(|l| l >= 2)
            && c.is_whole())
    );
    for number in 0..5 {
        cluster.crash(number);
    }
    for number in 0..3 {
        cluster.wipe(number);
        cluster.start(number);
    }
    cluster.run_for(60_000);
    assert_eq!(cluster.leader(), None);
    cluster.start(3);
    cluster.start(4);
    assert!(cluster.run_until(60_000, |c| c.leader().is_some() && c.is_whole()));
    assert!(cluster.commit());
    for number in 0..2 {
        assert_eq!(cluster.status(number).unwrap().role, RoleName::Fresh);
    }
}

/// No cluster forms while an initial host is missing, however long.
#[test]
fn a_cluster_forms_only_when_all_hosts_are_there() {
    let mut cluster = Cluster::new(5, 3, 3, Rules::default());
    cluster.crash(2);
    cluster.run_for(30_000);
    assert_eq!(cluster.leader(), None);
    cluster.start(2);
    assert!(cluster.run_until(30_000, |c| c.leader().is_some()));
}

/// Disks lost while the cluster forms end in one cluster as well.
#[test]
fn disks_lost_while_the_cluster_forms_do_no_harm() {
    for seed in 0..40_u64 {
        let mut cluster = Cluster::new(seed, 3, 3, Rules::default());
        cluster.run_for(seed);
        let victim = (seed % 3) as usize;
        cluster.wipe(victim);
        cluster.start(victim);
        let formed = cluster.run_until(60_000, |c| c.leader().is_some() && c.is_whole());
        assert!(formed, "seed {seed}");
        assert!(cluster.commit());
    }
}
