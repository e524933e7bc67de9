//! Entries wait until the voters bear the losses that the cluster is to tolerate.

mod fixtures;

use std::time::Duration;

use fixtures::{ELECTED_AT, host, member, status};
use kumquatdrum_consensus::replacement::Host;
use kumquatdrum_consensus::tolerance::Gate;
use kumquatdrum_consensus::{Replicas, Status};
use kumquatdrum_types::Moment;

const DISCOVERY_TIME: Duration = Duration::from_secs(2);
const DISCOVERED_AT: Moment = Moment::from_millis(12_000);
/// The losses to tolerate, which need five voters.
const LOSSES: usize = 2;

fn gate() -> Gate {
    Gate::new(LOSSES, DISCOVERY_TIME)
}

/// Returns the status of a leader with the first `count` of five hosts as voters, of which `silent` do not
/// answer.
fn voters(count: usize, silent: &[usize]) -> Status {
    let mut status = status(silent);
    status.replicas = Replicas::from_voters((0..count).map(member).collect());
    status
}

/// Returns live hosts with a replica.
fn live(numbers: impl IntoIterator<Item = usize>) -> Vec<Host> {
    let hosts = numbers
        .into_iter()
        .map(|number| host(member(number), 10_300));
    hosts.collect()
}

/// Guards against setups that are acknowledged by the first three voters, and lost with two of their disks.
#[test]
fn three_voters_of_five_live_hosts_do_not_bear_two_losses() {
    for now in [ELECTED_AT, DISCOVERED_AT] {
        assert!(!gate().check(now, &voters(3, &[]), &live(1..5)));
    }
}

#[test]
fn hosts_that_are_not_known_yet_may_be_live() {
    let shortly_before = ELECTED_AT + DISCOVERY_TIME / 2;
    assert!(!gate().check(shortly_before, &voters(3, &[]), &live(1..3)));
}

#[test]
fn five_voters_bear_two_losses_at_once() {
    let mut gate = gate();
    assert!(gate.check(ELECTED_AT, &voters(5, &[]), &live(1..5)));
    assert!(gate.is_open());
}

/// Guards against changes of five voters by five that refuse operators' calls.
#[test]
fn a_later_change_of_the_voters_refuses_nothing() {
    let mut gate = gate();
    assert!(gate.check(ELECTED_AT, &voters(5, &[]), &live(1..5)));
    let mut changing = voters(5, &[]);
    changing.replicas.outgoing = changing.replicas.voters.clone();
    changing.replicas_committed = false;
    assert!(gate.check(ELECTED_AT, &changing, &live(1..5)));
    gate.reset();
    assert!(!gate.check(ELECTED_AT, &changing, &live(1..5)));
}

/// Guards against a joint change to five voters, of whose three old ones two are lost.
#[test]
fn the_change_to_enough_voters_has_to_be_committed() {
    let mut joint = voters(5, &[]);
    joint.replicas.outgoing = (0..3).map(member).collect();
    assert!(!gate().check(DISCOVERED_AT, &joint, &live(1..5)));
    let mut uncommitted = voters(5, &[]);
    uncommitted.replicas_committed = false;
    assert!(!gate().check(DISCOVERED_AT, &uncommitted, &live(1..5)));
}

/// Guards against a cluster that accepts nothing while as many hosts are lost as it is to bear.
#[test]
fn fewer_voters_suffice_while_other_hosts_are_lost() {
    let cases = [
        (3, vec![], vec![1, 2], true),
        (3, vec![], vec![1, 2, 3], true),
        (3, vec![], vec![1, 2, 3, 4], false),
        (3, vec![2], vec![1, 3, 4], false),
        (3, vec![2], vec![1, 3], true),
    ];
    for (count, silent, hosts, expected) in cases {
        let status = voters(count, &silent);
        let is_accepted = gate().check(DISCOVERED_AT, &status, &live(hosts.clone()));
        assert_eq!(is_accepted, expected, "{count} {silent:?} {hosts:?}");
    }
}

#[test]
fn a_single_tolerated_loss_needs_three_voters() {
    let mut gate = Gate::new(1, DISCOVERY_TIME);
    assert!(gate.check(ELECTED_AT, &voters(3, &[]), &[]));
}
