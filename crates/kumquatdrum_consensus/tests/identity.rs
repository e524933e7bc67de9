//! A host with a replaced disk is a new replica: it never votes as its predecessor, and never forms
//! a second cluster.

mod common;

use std::panic::{AssertUnwindSafe, catch_unwind};

use common::Cluster;
use kumquatdrum_consensus::{ProposalOutcome, RoleName, Safeguards};

const SEED: u64 = 11;

/// Commits a value on the leader and one follower, then wipes that follower and isolates the
/// leader. The two connected hosts are a majority, but neither has the value.
fn wipe_committing_follower(safeguards: Safeguards) {
    let mut cluster = Cluster::new(SEED, 3, 3, safeguards);
    assert!(cluster.run_until(20_000, |c| c.leader().is_some()));
    cluster.run_for(2_000);
    let leader = cluster.leader().unwrap();
    let (wiped, lagging) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.isolate(lagging);
    assert!(cluster.commit());
    cluster.wipe(wiped);
    cluster.cut_links.clear();
    cluster.isolate(leader);
    cluster.start(wiped);
    cluster.run_for(30_000);
    let token = cluster.propose(lagging);
    cluster.run_for(5_000);
    assert!(matches!(
        cluster.outcomes[&token],
        ProposalOutcome::NotLeader { .. }
    ));
    cluster.cut_links.clear();
    assert!(cluster.run_until(30_000, |c| c.leader().is_some() && c.is_fully_replicated()));
    assert!(cluster.commit());
}

#[test]
fn a_wiped_replica_never_votes_as_its_predecessor() {
    wipe_committing_follower(Safeguards::default());
}

/// Shows that the previous test detects a missing incarnation check.
#[test]
fn without_the_incarnation_check_a_committed_value_is_lost() {
    let safeguards = Safeguards {
        is_incarnation_checked: false,
    };
    let failure =
        catch_unwind(AssertUnwindSafe(|| wipe_committing_follower(safeguards))).unwrap_err();
    let message = failure.downcast_ref::<String>().unwrap();
    assert!(message.contains("lacks committed entries"), "{message}");
}

/// Initial hosts whose disks are lost after the voters moved to other hosts must not form a second
/// cluster, whether or not they reach the voters.
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
            && c.is_fully_replicated())
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
    assert!(cluster.run_until(60_000, |c| c.leader().is_some() && c.is_fully_replicated()));
    assert!(cluster.commit());
    for number in 0..2 {
        assert_eq!(cluster.status(number).unwrap().role, RoleName::Fresh);
    }
}

#[test]
fn a_cluster_forms_only_when_all_hosts_are_up() {
    let mut cluster = Cluster::new(5, 3, 3, Safeguards::default());
    cluster.crash(2);
    cluster.run_for(30_000);
    assert_eq!(cluster.leader(), None);
    cluster.start(2);
    assert!(cluster.run_until(30_000, |c| c.leader().is_some()));
}

#[test]
fn a_disk_lost_during_formation_does_not_prevent_it() {
    for seed in 0..40_u64 {
        let mut cluster = Cluster::new(seed, 3, 3, Safeguards::default());
        cluster.run_for(seed);
        let victim = (seed % 3) as usize;
        cluster.wipe(victim);
        cluster.start(victim);
        let has_formed =
            cluster.run_until(60_000, |c| c.leader().is_some() && c.is_fully_replicated());
        assert!(has_formed, "seed {seed}");
        assert!(cluster.commit());
    }
}
