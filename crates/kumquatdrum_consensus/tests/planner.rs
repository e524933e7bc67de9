//! The choice of lost voters and of their replacements.

mod fixtures;

use std::time::Duration;

use fixtures::{CENTRES, ELECTED_AT, NOW, host, member, peer, status, successor};
use kumquatdrum_consensus::replacement::{Evidence, Host, Plan, Planner, Settings};
use kumquatdrum_consensus::{Member, Replicas, placement};
use kumquatdrum_types::{HostId, Moment};

const LOST_AFTER: Duration = Duration::from_secs(1);
/// Returns hosts 1 to 7, of which 5 to 7 have no voter, heard from lately, except for the given ones.
fn hosts(others: &[Host]) -> Vec<Host> {
    let known = (1..8).map(|number| host(member(number), 10_300));
    let is_other = |host: &Host| others.iter().any(|other| other.id == host.id);
    let known = known.filter(|host| !is_other(host));
    known.chain(others.iter().cloned()).collect()
}

fn planner() -> Planner {
    let settings = Settings {
        voters: 5,
        lost_after: LOST_AFTER,
    };
    Planner::new(settings, Moment::ZERO)
}

fn names(members: &[Member]) -> Vec<&str> {
    let mut names: Vec<&str> = members.iter().map(|m| m.id.host.as_str()).collect();
    names.sort_unstable();
    names
}

fn lost_hosts(plan: &Plan) -> Vec<&HostId> {
    plan.lost.iter().map(|loss| &loss.voter.host).collect()
}

#[test]
fn a_new_leader_does_not_count_a_silence_anew() {
    let hosts = hosts(&[host(member(3), 9_300)]);
    let plan = planner().plan(NOW, &status(&[3]), &hosts).expect("a plan");
    let silence = Duration::from_millis(1_100);
    assert_eq!(plan.lost[0].evidence, Evidence::Silent(silence));
    assert_eq!(plan.voters.len(), 5);
    assert!(!names(&plan.voters).contains(&"host-3"));
}

#[test]
fn a_voter_that_was_heard_before_the_election_is_waited_for() {
    let hosts = hosts(&[host(member(3), 9_500)]);
    assert_eq!(planner().plan(NOW, &status(&[3]), &hosts), None);
}

#[test]
fn a_new_leader_waits_for_first_answers() {
    let hosts = hosts(&[host(member(3), 8_000)]);
    let now = ELECTED_AT + Duration::from_millis(100);
    assert_eq!(planner().plan(now, &status(&[3]), &hosts), None);
}

#[test]
fn a_voter_without_a_disk_is_replaced_without_a_silence() {
    let hosts = hosts(&[host(successor(3), 10_300)]);
    let plan = planner().plan(NOW, &status(&[3]), &hosts).expect("a plan");
    assert_eq!(plan.lost[0].evidence, Evidence::Superseded);
    assert!(plan.voters.contains(&successor(3)), "{plan:?}");
}

/// Guards against a host's earlier announcement that removes the voter which took its place.
#[test]
fn an_announcement_of_a_retired_replica_is_no_evidence() {
    let mut status = status(&[3]);
    status.replicas.retired = vec![successor(3).id];
    let hosts = hosts(&[host(successor(3), 10_300)]);
    assert_eq!(planner().plan(NOW, &status, &hosts), None);
}

#[test]
fn all_lost_voters_are_replaced_in_one_change() {
    let hosts = hosts(&[host(member(3), 9_000), host(member(4), 9_000)]);
    let plan = planner()
        .plan(NOW, &status(&[3, 4]), &hosts)
        .expect("a plan");
    assert_eq!(lost_hosts(&plan).len(), 2);
    assert_eq!(plan.voters.len(), 5);
    let remaining = names(&plan.voters);
    assert!(!remaining.contains(&"host-3") && !remaining.contains(&"host-4"));
    let centres = CENTRES.map(kumquatdrum_types::DataCentre::from);
    assert!(placement::is_balanced(&plan.voters, &centres), "{plan:?}");
}

#[test]
fn nothing_is_planned_without_a_majority_that_answers() {
    let silent = [2, 3, 4];
    let others: Vec<Host> = silent.map(|n| host(member(n), 9_000)).into();
    let planned = planner().plan(NOW, &status(&silent), &hosts(&others));
    assert_eq!(planned, None);
}

#[test]
fn a_change_under_way_is_not_requested_again() {
    let hosts = hosts(&[host(member(3), 9_000)]);
    let mut planner = planner();
    assert!(planner.plan(NOW, &status(&[3]), &hosts).is_some());
    assert_eq!(planner.plan(NOW, &status(&[3]), &hosts), None);
}

/// Guards against a change that waits for a joining replica which is lost itself.
#[test]
fn a_change_is_requested_anew_without_a_joining_replica_that_is_lost() {
    let lost = host(member(3), 9_000);
    let mut planner = planner();
    let first = planner
        .plan(NOW, &status(&[3]), &hosts(std::slice::from_ref(&lost)))
        .expect("a plan");
    let joining = first
        .voters
        .iter()
        .find(|m| !status(&[]).replicas.voters.contains(m));
    let joining = joining.expect("a joining replica").clone();
    let mut status = status(&[3]);
    status.replicas = status.replicas.with_learner(joining.clone());
    status.peers.push(peer(&joining, None, false));
    assert_eq!(
        planner.plan(NOW, &status, &hosts(std::slice::from_ref(&lost))),
        None
    );
    let later = ELECTED_AT + LOST_AFTER;
    let second = planner
        .plan(later, &status, &hosts(&[lost]))
        .expect("a plan");
    assert!(!second.voters.contains(&joining), "{second:?}");
    assert!(!names(&second.voters).contains(&"host-3"));
}

#[test]
fn after_a_failed_change_another_spare_comes_first() {
    let hosts = hosts(&[host(member(3), 9_000), host(member(4), 9_000)]);
    let status = status(&[3]);
    let mut planner = planner();
    let first = planner.plan(NOW, &status, &hosts).expect("a plan");
    planner.record_end(&status.replicas.voters, false);
    let second = planner.plan(NOW, &status, &hosts).expect("a plan");
    assert_ne!(names(&first.voters), names(&second.voters));
}

#[test]
fn a_lost_voter_without_a_spare_is_kept() {
    let lost = Host {
        is_live: false,
        ..host(member(3), 9_000)
    };
    let voters: Vec<Host> = hosts(&[lost])
        .into_iter()
        .filter(|host| {
            let spares = [5, 6, 7].map(|n| member(n).id.host);
            !spares.contains(&host.id)
        })
        .collect();
    assert_eq!(planner().plan(NOW, &status(&[3]), &voters), None);
}

/// Guards against a change that waits for a voter which was replaced a moment ago: its host was heard from within
/// the time for which a host counts as live, and nothing tells that its replica has just been lost.
#[test]
fn a_voter_that_was_just_replaced_is_no_spare_for_the_next_one() {
    let lost = [host(member(3), 9_000), host(member(4), 9_300)];
    let only_voters = |hosts: Vec<Host>| -> Vec<Host> {
        let spares = [6, 7].map(|number| member(number).id.host);
        let hosts = hosts.into_iter();
        hosts.filter(|host| !spares.contains(&host.id)).collect()
    };
    let hosts = only_voters(hosts(&lost));
    let mut status = status(&[3, 4]);
    let mut planner = planner();
    let plan = planner.plan(NOW, &status, &hosts).expect("a plan");
    assert!(plan.voters.contains(&member(5)), "{plan:?}");
    planner.record_end(&plan.voters, true);
    let mut voters = status.replicas.voters.iter();
    let replaced = voters.find(|voter| !plan.voters.contains(voter));
    let replaced = replaced.expect("a replaced voter").clone();
    status.replicas.voters = plan.voters;
    status.replicas.retired = vec![replaced.id.clone()];
    status.peers.retain(|peer| peer.id != replaced.id);
    status.peers.push(peer(&member(5), Some(NOW), true));
    let next = planner.plan(NOW, &status, &hosts);
    assert_eq!(next, None, "a replica that is known to be lost is to join");
}

/// Guards against losses of data centres, one after another, that add up: a centre that is back has no voter, and
/// another one has two.
#[test]
fn a_data_centre_that_is_back_gets_a_voter_again() {
    let settings = Settings {
        voters: 3,
        lost_after: LOST_AFTER,
    };
    let mut planner = Planner::new(settings, Moment::ZERO);
    let mut status = status(&[]);
    // Host 2 of the third centre was lost, and host 3 of the first took its place.
    let voters = [0, 1, 3].map(member);
    status
        .peers
        .retain(|peer| [1, 3].contains(&peer.id.host.as_str()[5..].parse().unwrap()));
    status.replicas = Replicas::from_voters(voters.to_vec());
    status.replicas.retired = vec![member(2).id];
    let plan = planner.plan(NOW, &status, &hosts(&[]));
    let centres = CENTRES.map(kumquatdrum_types::DataCentre::from);
    let voters = plan.map_or(voters.to_vec(), |plan| plan.voters);
    assert!(placement::is_balanced(&voters, &centres), "{voters:?}");
}
