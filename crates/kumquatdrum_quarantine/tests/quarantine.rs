//! When requests are blocked, and what hosts that exchange their evidence agree on.

use std::time::Duration;

use arbtest::arbtest;
use kumquatdrum_quarantine::{Fingerprint, Incarnation, Quarantine, Suspect};
use kumquatdrum_types::Moment;

const START: Moment = Moment::from_millis(10_000_000);
const MINUTE: Duration = Duration::from_secs(60);

fn request(number: u64) -> Fingerprint {
    Fingerprint::of("POST", "/check/", None, &number.to_le_bytes())
}

/// Records crashes of the endpoints `1..=count` before the first event.
fn crash(quarantine: &mut Quarantine, now: Moment, count: u64) {
    for endpoint in 1..=count {
        quarantine.record_crash(now, request(0), Incarnation(endpoint), false);
    }
}

#[test]
fn a_request_is_blocked_by_the_crashes_of_three_endpoints() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, START, 2);
    assert!(quarantine.block(START, request(0)).is_none());
    crash(&mut quarantine, START, 3);
    let block = quarantine.block(START, request(0)).expect("a block");
    assert_eq!(block.crashes, 3);
    assert!(quarantine.block(START, request(1)).is_none());
}

#[test]
fn one_crash_seen_by_several_hosts_counts_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        let endpoint = Incarnation(1);
        quarantine.record_crash(START, request(0), endpoint, false);
    }
    assert!(quarantine.block(START, request(0)).is_none());
}

#[test]
fn a_request_whose_answer_had_begun_needs_six_crashes() {
    let mut quarantine = Quarantine::default();
    for endpoint in 1..=6 {
        assert!(quarantine.block(START, request(0)).is_none());
        quarantine.record_crash(START, request(0), Incarnation(endpoint), true);
    }
    assert!(quarantine.block(START, request(0)).is_some());
}

#[test]
fn a_bystander_that_completes_elsewhere_is_never_blocked() {
    let mut quarantine = Quarantine::default();
    for endpoint in 1..=50 {
        quarantine.record_crash(START, request(0), Incarnation(endpoint), false);
        if endpoint % 2 == 0 {
            quarantine.record_completion(START, request(0));
        }
        assert!(quarantine.block(START, request(0)).is_none());
    }
}

#[test]
fn a_late_report_of_a_cleared_crash_does_not_count() {
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    crash(&mut one, START, 2);
    let (reports, _) = one.changed_since(START, 0, 10);
    one.record_completion(START, request(0));
    let (cleared, _) = one.changed_since(START, 0, 10);
    for suspect in cleared.into_iter().chain(reports) {
        other.merge(START, suspect);
    }
    other.record_crash(START, request(0), Incarnation(3), false);
    assert!(other.block(START, request(0)).is_none());
}

#[test]
fn a_block_expires_and_one_more_crash_renews_it() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, START, 3);
    assert!(quarantine.block(START + 19 * MINUTE, request(0)).is_some());
    let later = START + 21 * MINUTE;
    assert!(quarantine.block(later, request(0)).is_none());
    quarantine.record_crash(later, request(0), Incarnation(4), false);
    assert!(quarantine.block(later, request(0)).is_some());
    quarantine.expire(later + 61 * MINUTE);
    assert!(quarantine.is_empty());
}

#[test]
fn a_flood_of_distinct_requests_keeps_memory_bounded_and_blocks_in_place() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, START, 3);
    for number in 1..10_000 {
        let endpoint = Incarnation(number);
        quarantine.record_crash(START, request(number), endpoint, false);
    }
    assert_eq!(quarantine.len(), 1_024);
    assert!(quarantine.block(START, request(0)).is_some());
}

#[test]
fn a_host_that_restarts_gets_all_evidence_in_bounded_messages() {
    let (mut old, mut new) = (Quarantine::default(), Quarantine::default());
    for number in 0..300 {
        for endpoint in 1..=3 {
            let endpoint = Incarnation(number * 3 + endpoint);
            old.record_crash(START, request(number), endpoint, false);
        }
    }
    let mut version = 0;
    for _ in 0..3 {
        let (suspects, reached) = old.changed_since(START, version, 128);
        assert!(suspects.len() <= 128);
        for suspect in suspects {
            // The clock of a new process starts near zero.
            new.merge(Moment::ZERO, suspect);
        }
        version = reached;
    }
    assert_eq!(new.count_blocked(Moment::ZERO), 300);
    assert!(old.changed_since(START, version, 128).0.is_empty());
}

/// Each host records what it sees; messages are lost, delayed, repeated and reordered; hosts
/// restart. After an exchange between all hosts, they agree.
#[test]
fn hosts_agree_once_all_evidence_has_been_exchanged() {
    arbtest(|u| {
        let mut hosts: Vec<Quarantine> = (0..4).map(|_| Quarantine::default()).collect();
        let mut in_transit: Vec<(usize, Suspect)> = Vec::new();
        for _ in 0..u.int_in_range(0..=60)? {
            let host = u.choose_index(hosts.len())?;
            let number = u.int_in_range(0..=2)?;
            let published = match u.int_in_range(0..=9)? {
                0 => hosts[host].record_completion(START, request(number)),
                1 => {
                    hosts[host] = Quarantine::default();
                    None
                }
                2..=5 => {
                    let endpoint = Incarnation(u.int_in_range(0..=9)?);
                    let had_begun = u.arbitrary()?;
                    hosts[host].record_crash(START, request(number), endpoint, had_begun)
                }
                _ if in_transit.is_empty() => None,
                _ => {
                    let message = u.choose_index(in_transit.len())?;
                    let (to, suspect) = in_transit[message].clone();
                    if u.arbitrary()? {
                        in_transit.swap_remove(message);
                    }
                    hosts[to].merge(START, suspect);
                    None
                }
            };
            if let Some(suspect) = published {
                in_transit.extend((0..hosts.len()).map(|to| (to, suspect.clone())));
            }
        }
        let all: Vec<Suspect> = hosts
            .iter()
            .flat_map(|host| host.changed_since(START, 0, usize::MAX).0)
            .collect();
        for host in &mut hosts {
            for suspect in &all {
                host.merge(START, suspect.clone());
            }
        }
        for number in 0..=2 {
            let blocks = hosts.iter().map(|host| host.block(START, request(number)));
            let blocks: Vec<_> = blocks.collect();
            assert!(blocks.iter().all(|block| *block == blocks[0]), "{blocks:?}");
        }
        Ok(())
    });
}

#[test]
fn a_blocked_bystander_with_no_copy_left_is_probed_and_cleared() {
    let (culprit, bystander) = (request(0), request(1));
    let mut quarantine = Quarantine::default();
    for endpoint in 1..=4 {
        quarantine.record_crash(START, culprit, Incarnation(endpoint), false);
        if endpoint > 1 {
            quarantine.record_crash(START, bystander, Incarnation(endpoint), false);
        }
    }
    assert!(quarantine.block(START, bystander).is_some());
    let later = START + Duration::from_millis(1_100);
    // The crashes of the bystander are those of the culprit, not the other way round.
    assert!(quarantine.try_probe(later, culprit, 1).is_none());
    assert!(quarantine.try_probe(later, bystander, 2).is_some());
    assert!(quarantine.try_probe(later, bystander, 3).is_none());
    quarantine.record_completion(later, bystander);
    assert!(quarantine.block(later, bystander).is_none());
    assert!(quarantine.block(later, culprit).is_some());
}

#[test]
fn a_blocked_request_is_probed_twice_at_most() {
    let mut quarantine = Quarantine::default();
    for number in 0..2 {
        for endpoint in 1..=3 {
            quarantine.record_crash(START, request(number), Incarnation(endpoint), false);
        }
    }
    let probes = (0..1_000).filter(|second| {
        let now = START + Duration::from_secs(*second);
        quarantine.try_probe(now, request(0), *second).is_some()
    });
    assert_eq!(probes.count(), 2);
}
