//! Leaving, failure detection, restarts and loads of endpoints, and sizes of pushes.

use std::time::Duration;

use kumquatdrum_membership::{Change, Input, Liveness, Message, Output, Refusal, Snapshot};
use kumquatdrum_types::{BootId, EndpointId, HostId, Load, endpoint};

use crate::cluster::{Cluster, announcement, seconds};
use crate::network::{Faults, LOSSY, RELIABLE};

const LEAVING_TIMEOUT: Duration = Duration::from_secs(2);

fn steady_cluster(seed: u64, faults: Faults, hosts: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, faults, &["ikeja"], hosts);
    let receiver = cluster.host(0);
    cluster.add_endpoint(announcement("engine", "ikeja"), &receiver);
    cluster.run(seconds(6));
    for host in cluster.hosts_of("ikeja") {
        assert!(cluster.accepts_work(&host, "engine"), "seed {seed}");
    }
    cluster
}

/// Sends a leaving notice to one host and kills the host as soon as it acknowledges.
fn leave_through(cluster: &mut Cluster, receiver: &HostId, context: &str) {
    let endpoint = &mut cluster.endpoints["engine"];
    endpoint.is_up = false;
    endpoint.announcement.sequence += 1;
    endpoint.announcement.leaving = true;
    let notice = endpoint.announcement.clone();
    let sequence = notice.sequence;
    let start = cluster.network.now;
    cluster.announce(receiver, notice);
    assert!(
        !cluster.has_acked(receiver, sequence),
        "{context}: acknowledged without confirmations"
    );
    let acked = cluster.run_until(LEAVING_TIMEOUT, |cluster| {
        cluster.has_acked(receiver, sequence)
    });
    assert!(acked, "{context}: no acknowledgement");
    cluster.kill(receiver);
    let passed = cluster.network.now - start;
    cluster.run(LEAVING_TIMEOUT.saturating_sub(passed));
    for host in cluster.hosts_of("ikeja") {
        let is_informed = host == *receiver || !cluster.accepts_work(&host, "engine");
        assert!(is_informed, "{context}: {host} still dispatches work");
    }
}

#[test]
fn a_leaving_notice_reaches_nine_hosts_within_two_seconds_even_if_its_receiver_dies() {
    for receiver in 0..9 {
        let mut cluster = steady_cluster(receiver as u64, RELIABLE, 9);
        let receiver = cluster.host(receiver);
        leave_through(&mut cluster, &receiver, receiver.as_str());
    }
}

#[test]
fn a_leaving_notice_reaches_a_small_data_centre_if_its_receiver_dies() {
    for receiver in 0..3 {
        let mut cluster = steady_cluster(receiver as u64, RELIABLE, 3);
        let receiver = cluster.host(receiver);
        leave_through(&mut cluster, &receiver, receiver.as_str());
    }
}

#[test]
fn a_leaving_notice_reaches_all_hosts_via_the_two_that_its_receiver_reached() {
    for receiver in 0..9 {
        let mut cluster = steady_cluster(receiver as u64, RELIABLE, 9);
        let hosts = cluster.hosts_of("ikeja");
        let unreached = (3..9).map(|step| &hosts[(receiver + step) % 9]);
        for host in unreached {
            cluster.network.cut(&hosts[receiver], host);
        }
        leave_through(&mut cluster, &hosts[receiver], hosts[receiver].as_str());
    }
}

#[test]
fn a_leaving_notice_is_applied_after_a_later_renewal() {
    let mut cluster = steady_cluster(1, RELIABLE, 2);
    let (receiver, other) = (cluster.host(0), cluster.host(1));
    cluster.endpoints["engine"].is_up = false;
    let mut notice = cluster.endpoints["engine"].announcement.clone();
    let mut renewal = notice.clone();
    notice.sequence += 1;
    notice.leaving = true;
    renewal.sequence += 2;
    cluster.announce(&other, renewal);
    cluster.input(
        &other,
        Input::Peer {
            from: receiver,
            boot: BootId(1),
            message: Message::Leaving(Snapshot {
                announcement: notice,
                age_ms: 0,
            }),
        },
    );
    assert!(!cluster.accepts_work(&other, "engine"));
}

#[test]
fn a_leaving_notice_is_resent_to_another_host_if_its_receiver_dies_before_acknowledging() {
    let mut cluster = steady_cluster(3, RELIABLE, 9);
    let (first, second) = (cluster.host(4), cluster.host(5));
    let mut notice = cluster.endpoints["engine"].announcement.clone();
    notice.leaving = true;
    notice.sequence += 1;
    cluster.announce(&first, notice);
    cluster.kill(&first);
    // Without an acknowledgement the endpoint sends the notice to another host.
    leave_through(&mut cluster, &second, "second receiver");
}

#[test]
fn a_leaving_notice_reaches_all_hosts_over_a_lossy_network() {
    for seed in 0..50 {
        let mut cluster = steady_cluster(seed, LOSSY, 9);
        let receiver = cluster.host(seed as usize % 9);
        let endpoint = &mut cluster.endpoints["engine"];
        endpoint.announcement.leaving = true;
        endpoint.receiver = receiver.clone();
        let is_informed = |cluster: &Cluster| {
            let hosts = cluster.hosts_of("ikeja");
            hosts
                .iter()
                .filter(|host| **host != receiver)
                .all(|host| !cluster.accepts_work(host, "engine"))
        };
        assert!(cluster.run_until(seconds(4), is_informed), "seed {seed}");
    }
}

#[test]
fn a_single_host_acknowledges_a_leaving_notice_at_once() {
    let mut cluster = steady_cluster(1, RELIABLE, 1);
    let host = cluster.host(0);
    let mut notice = cluster.endpoints["engine"].announcement.clone();
    notice.leaving = true;
    notice.sequence += 1;
    let sequence = notice.sequence;
    cluster.announce(&host, notice);
    assert!(cluster.has_acked(&host, sequence));
}

#[test]
fn leaving_is_final_until_the_next_incarnation() {
    let mut cluster = steady_cluster(1, RELIABLE, 3);
    let (host, other) = (cluster.host(0), cluster.host(2));
    cluster.endpoints["engine"].announcement.leaving = true;
    cluster.run(seconds(2));
    cluster.endpoints["engine"].announcement.leaving = false;
    cluster.run(seconds(2));
    assert!(!cluster.accepts_work(&host, "engine"));
    assert!(!cluster.accepts_work(&other, "engine"));
    let next = &mut cluster.endpoints["engine"].announcement;
    next.boot = BootId(2);
    next.sequence = 0;
    cluster.run(seconds(2));
    assert!(cluster.accepts_work(&host, "engine"));
    assert!(cluster.accepts_work(&other, "engine"));
}

#[test]
fn a_dead_endpoint_is_suspect_after_five_seconds_and_gone_after_eleven() {
    let mut cluster = steady_cluster(1, RELIABLE, 9);
    cluster.endpoints["engine"].is_up = false;
    cluster.run(seconds(5));
    for host in cluster.hosts_of("ikeja") {
        assert_eq!(cluster.liveness(&host, "engine"), Some(Liveness::Suspect));
    }
    cluster.run(seconds(6));
    for host in cluster.hosts_of("ikeja") {
        assert_eq!(cluster.liveness(&host, "engine"), Some(Liveness::Gone));
    }
    cluster.run(seconds(60));
    for host in cluster.hosts_of("ikeja") {
        assert_eq!(cluster.liveness(&host, "engine"), None);
    }
}

#[test]
fn a_slow_endpoint_is_never_suspect() {
    let mut cluster = steady_cluster(1, RELIABLE, 9);
    let (receiver, mut slow) = (
        cluster.host(0),
        cluster.endpoints["engine"].announcement.clone(),
    );
    cluster.endpoints["engine"].is_up = false;
    for _ in 0..8 {
        cluster.run(Duration::from_millis(2_500));
        slow.sequence += 1;
        // The renewal carries no new load.
        cluster.announce(&receiver, slow.clone());
    }
    for host in cluster.hosts_of("ikeja") {
        assert!(!cluster.changes(&host, "engine").contains(&Change::Suspect));
    }
}

#[test]
fn an_endpoint_has_time_to_switch_hosts_after_its_receiver_dies() {
    let mut cluster = steady_cluster(1, RELIABLE, 9);
    let receiver = cluster.host(0);
    cluster.kill(&receiver);
    cluster.endpoints["engine"].is_up = false;
    // Longer than the time after which an endpoint with a live receiver is suspect.
    cluster.run(Duration::from_millis(5_500));
    let other = cluster.host(7);
    let endpoint = &mut cluster.endpoints["engine"];
    endpoint.receiver = other;
    endpoint.is_up = true;
    cluster.run(seconds(3));
    for host in cluster.hosts_of("ikeja").iter().skip(1) {
        assert!(!cluster.changes(host, "engine").contains(&Change::Suspect));
        assert!(cluster.accepts_work(host, "engine"));
    }
}

#[test]
fn a_stalled_daemon_raises_no_suspicion_after_it_resumes() {
    let mut cluster = steady_cluster(1, RELIABLE, 3);
    let frozen = cluster.host(2);
    let events = cluster.daemons[&frozen].events.len();
    cluster.daemons[&frozen].frozen_until = cluster.network.now + seconds(30);
    cluster.run(seconds(36));
    let later_events = cluster.daemons[&frozen].events[events..].iter();
    for (_, event) in later_events {
        let is_bad = matches!(
            event,
            Output::Host { .. }
                | Output::Endpoint {
                    change: Change::Suspect | Change::Gone,
                    ..
                }
        );
        assert!(!is_bad, "{event:?}");
    }
    assert!(cluster.accepts_work(&frozen, "engine"));
}

#[test]
fn a_new_incarnation_discards_old_state_and_the_old_incarnation_is_refused() {
    let mut cluster = steady_cluster(1, RELIABLE, 3);
    let (receiver, other) = (cluster.host(0), cluster.host(2));
    let old = cluster.endpoints["engine"].announcement.clone();
    let mut next = announcement("engine", "ikeja");
    next.boot = BootId(2);
    cluster.endpoints["engine"].announcement = next;
    cluster.run(seconds(2));
    let changes = cluster.changes(&other, "engine");
    let gone = changes.iter().position(|change| *change == Change::Gone);
    let joined = changes.iter().rposition(
        |change| matches!(change, Change::Joined(next) if next.boot == BootId(2) && load_of(&next.kind).is_none_or(|load| load.sequence < 10)),
    );
    assert!(gone.is_some() && joined > gone, "{changes:?}");
    let late = old.sequence + 50;
    cluster.announce(
        &receiver,
        kumquatdrum_types::Announcement {
            sequence: late,
            ..old
        },
    );
    let refusal = Output::RefuseAnnounce {
        endpoint: EndpointId::new("engine"),
        boot: BootId(1),
        sequence: late,
        reason: Refusal::OldBoot,
    };
    let (_, last) = cluster.daemons[&receiver].events.last().unwrap();
    assert_eq!(*last, refusal);
}

fn load_of(kind: &endpoint::Kind) -> Option<&Load> {
    match kind {
        endpoint::Kind::Engine(engine) => engine.load.as_ref(),
        endpoint::Kind::Plain => None,
    }
}

#[test]
fn an_endpoint_of_another_data_centre_is_refused() {
    let mut cluster = steady_cluster(1, RELIABLE, 1);
    let host = cluster.host(0);
    cluster.announce(&host, announcement("stray", "lekki"));
    let (_, last) = cluster.daemons[&host].events.last().unwrap();
    assert!(matches!(
        last,
        Output::RefuseAnnounce {
            reason: Refusal::OtherDataCentre,
            ..
        }
    ));
}

#[test]
fn three_failed_dispatches_make_an_endpoint_suspect_until_it_renews() {
    let mut cluster = steady_cluster(1, RELIABLE, 3);
    let host = cluster.host(1);
    let failed = Input::DispatchFailed {
        endpoint: EndpointId::new("engine"),
    };
    cluster.input(&host, failed.clone());
    assert!(cluster.accepts_work(&host, "engine"));
    cluster.input(&host, failed.clone());
    cluster.input(&host, failed);
    assert!(!cluster.accepts_work(&host, "engine"));
    cluster.run(seconds(1));
    assert!(
        !cluster.accepts_work(&host, "engine"),
        "suspicion was lifted too early"
    );
    cluster.run(seconds(3));
    assert!(cluster.accepts_work(&host, "engine"));
    assert!(
        cluster
            .changes(&host, "engine")
            .contains(&Change::Recovered)
    );
}

#[test]
fn a_failed_dispatch_speeds_up_the_suspicion_of_a_late_endpoint() {
    let mut cluster = steady_cluster(1, RELIABLE, 3);
    let host = cluster.host(0);
    cluster.endpoints["engine"].is_up = false;
    cluster.run(seconds(3));
    assert!(cluster.accepts_work(&host, "engine"));
    cluster.input(
        &host,
        Input::DispatchFailed {
            endpoint: EndpointId::new("engine"),
        },
    );
    assert!(!cluster.accepts_work(&host, "engine"));
}

#[test]
fn a_load_carries_only_the_receivers_counters_and_an_older_load_is_ignored() {
    let mut cluster = steady_cluster(1, RELIABLE, 3);
    let (receiver, other) = (cluster.host(0), cluster.host(2));
    let seen = vec![
        (receiver.to_string(), 7),
        (other.to_string(), 9),
        (format!("{other}/4"), 11),
        (format!("{other}0"), 13),
    ];
    let mut report = cluster.endpoints["engine"].announcement.clone();
    cluster.endpoints["engine"].is_up = false;
    let mut sent = Load {
        sequence: 500,
        running: 3,
        seen,
        ..Load::default()
    };
    for (sequence, running) in [(500, 3), (499, 9)] {
        report.sequence += 1;
        sent.sequence = sequence;
        sent.running = running;
        if let endpoint::Kind::Engine(engine) = &mut report.kind {
            engine.load = Some(sent.clone());
        }
        cluster.announce(&receiver, report.clone());
        cluster.run(seconds(1));
    }
    let record = cluster.daemons[&other]
        .membership
        .endpoint(&EndpointId::new("engine"));
    let known = load_of(&record.unwrap().announcement.kind).unwrap();
    assert_eq!((known.sequence, known.running), (500, 3));
    let own = vec![(other.to_string(), 9), (format!("{other}/4"), 11)];
    assert_eq!(known.seen, own);
}

fn large_cluster(seed: u64, receivers: usize) -> Cluster {
    let mut cluster = Cluster::new(seed, RELIABLE, &["hall-raatuse"], 25);
    for number in 0..300 {
        let receiver = cluster.host(number % receivers);
        let name = format!("engine-{number:03}");
        cluster.add_endpoint(announcement(&name, "hall-raatuse"), &receiver);
    }
    cluster
}

/// Checks the size of pushes, and that 300 endpoints are alive and never suspect on all 25 hosts.
fn check_large_cluster(receivers: usize) {
    let mut cluster = large_cluster(1, receivers);
    cluster.run(seconds(9));
    cluster.largest_push = 0;
    cluster.run(seconds(5));
    assert!(cluster.largest_push <= 1_600, "{}", cluster.largest_push);
    for (host, daemon) in &cluster.daemons {
        assert_eq!(daemon.membership.endpoints().count(), 300, "{host}");
        let is_alive = |record: &kumquatdrum_membership::Record| record.liveness == Liveness::Alive;
        assert!(daemon.membership.endpoints().all(is_alive), "{host}");
        let is_suspicion = |(_, event): &(_, Output)| {
            matches!(
                event,
                Output::Endpoint {
                    change: Change::Suspect,
                    ..
                }
            )
        };
        assert!(!daemon.events.iter().any(is_suspicion), "{host}");
    }
}

#[test]
fn pushes_stay_within_their_size_limit_and_no_endpoint_is_suspected_at_the_target_size() {
    check_large_cluster(25);
}

#[test]
fn pushes_stay_within_their_size_limit_and_no_endpoint_is_suspected_with_all_endpoints_at_one_host()
{
    check_large_cluster(1);
}

#[test]
fn leaving_notices_take_precedence_in_a_busy_data_centre() {
    let mut cluster = large_cluster(2, 1);
    cluster.run(seconds(12));
    let receiver = cluster.host(0);
    let mut notice = cluster.endpoints["engine-250"].announcement.clone();
    notice.leaving = true;
    notice.sequence += 1;
    cluster.endpoints["engine-250"].is_up = false;
    cluster.announce(&receiver, notice);
    cluster.run(LEAVING_TIMEOUT);
    for host in cluster.hosts_of("hall-raatuse") {
        assert!(!cluster.accepts_work(&host, "engine-250"), "{host}");
    }
}
