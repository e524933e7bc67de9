//! Failure detection of hosts and data centres, and changes of the roster.

use std::time::Duration;

use kumquatdrum_membership::{Condition, Output, Reachability};
use kumquatdrum_types::{DataCentre, HostId};

use crate::cluster::{Cluster, announcement, member, seconds};
use crate::network::{LOSSY, RELIABLE};

const DATA_CENTRES: [&str; 3] = ["ikeja", "lekki", "marina"];

fn condition(cluster: &Cluster, on: &HostId, of: &HostId) -> Condition {
    let mut hosts = cluster.daemons[on].membership.hosts();
    let peer = hosts.find(|peer| peer.member.host == *of);
    peer.expect("the host is known").condition
}

fn has_reported(
    cluster: &Cluster,
    host: &HostId,
    data_centre: &str,
    reachability: Reachability,
) -> bool {
    let event = Output::DataCentre {
        id: DataCentre::new(data_centre),
        reachability,
    };
    let mut events = cluster.daemons[host].events.iter();
    events.any(|(_, reported)| *reported == event)
}

#[test]
fn a_dead_host_is_suspect_after_five_seconds_and_dead_after_thirteen() {
    let mut cluster = Cluster::new(1, RELIABLE, &["ikeja"], 9);
    cluster.run(seconds(3));
    let dead = cluster.host(4);
    cluster.kill(&dead);
    cluster.run(seconds(5));
    for host in cluster
        .hosts_of("ikeja")
        .iter()
        .filter(|host| **host != dead)
    {
        assert_eq!(condition(&cluster, host, &dead), Condition::Suspect);
    }
    cluster.run(seconds(8));
    for host in cluster
        .hosts_of("ikeja")
        .iter()
        .filter(|host| **host != dead)
    {
        assert_eq!(condition(&cluster, host, &dead), Condition::Dead);
    }
    cluster.restart(&dead);
    cluster.run(seconds(2));
    for host in cluster
        .hosts_of("ikeja")
        .iter()
        .filter(|host| **host != dead)
    {
        assert_eq!(condition(&cluster, host, &dead), Condition::Alive);
    }
}

#[test]
fn two_hosts_that_cannot_reach_each_other_are_not_suspected() {
    let mut cluster = Cluster::new(1, RELIABLE, &["ikeja"], 3);
    cluster.run(seconds(3));
    let (one, other) = (cluster.host(0), cluster.host(1));
    cluster.network.cut(&one, &other);
    cluster.network.cut(&other, &one);
    cluster.run(seconds(30));
    for daemon in cluster.daemons.values() {
        let is_unchanged = daemon
            .events
            .iter()
            .all(|(_, event)| !matches!(event, Output::Host { .. }));
        assert!(is_unchanged, "{:?}", daemon.events);
    }
}

#[test]
fn an_isolated_host_reports_that_it_is_cut_off() {
    let mut cluster = Cluster::new(1, RELIABLE, &["ikeja"], 3);
    cluster.run(seconds(3));
    let (isolated, others) = (cluster.host(0), [cluster.host(1), cluster.host(2)]);
    for other in &others {
        cluster.network.cut(&isolated, other);
        cluster.network.cut(other, &isolated);
    }
    cluster.run(seconds(5));
    assert!(has_reported(
        &cluster,
        &isolated,
        "ikeja",
        Reachability::CutOff
    ));
    for other in &others {
        assert!(!has_reported(
            &cluster,
            other,
            "ikeja",
            Reachability::CutOff
        ));
        assert_eq!(condition(&cluster, other, &isolated), Condition::Suspect);
    }
    cluster.network.heal();
    cluster.run(seconds(2));
    assert!(has_reported(
        &cluster,
        &isolated,
        "ikeja",
        Reachability::Reachable
    ));
}

#[test]
fn a_cut_off_data_centre_keeps_its_endpoints_and_reports_the_cut_off() {
    let mut cluster = Cluster::new(1, RELIABLE, &DATA_CENTRES, 3);
    for data_centre in DATA_CENTRES {
        let hosts = cluster.hosts_of(data_centre);
        for number in 0..5 {
            let name = format!("{data_centre}-engine-{number}");
            let endpoint = announcement(&name, data_centre);
            cluster.add_endpoint(endpoint, &hosts[number % 3]);
        }
    }
    cluster.run(seconds(16));
    for daemon in cluster.daemons.values() {
        let others: Vec<u32> = daemon
            .membership
            .summaries()
            .map(|summary| summary.services[0].alive)
            .collect();
        assert_eq!(others, [5, 5], "summaries of the two others");
        assert_eq!(daemon.membership.unreachable_data_centres().count(), 0);
    }
    cluster.cut_off("lekki");
    cluster.run(seconds(60));
    for host in cluster.hosts_of("lekki") {
        for number in 0..5 {
            let name = format!("lekki-engine-{number}");
            assert!(cluster.accepts_work(&host, &name), "{host} {name}");
        }
        for other in ["ikeja", "marina"] {
            assert!(
                has_reported(&cluster, &host, other, Reachability::CutOff),
                "{host}"
            );
            for remote in cluster.hosts_of(other) {
                assert_eq!(condition(&cluster, &host, &remote), Condition::Suspect);
            }
        }
    }
    for host in cluster.hosts_of("ikeja") {
        let unreachable: Vec<&str> = cluster.daemons[&host]
            .membership
            .unreachable_data_centres()
            .map(DataCentre::as_str)
            .collect();
        assert_eq!(unreachable, ["lekki"]);
    }
    cluster.network.heal();
    cluster.run(seconds(8));
    for daemon in cluster.daemons.values() {
        assert_eq!(daemon.membership.unreachable_data_centres().count(), 0);
    }
}

#[test]
fn a_cut_off_is_reported_within_twelve_seconds() {
    let mut cluster = Cluster::new(1, RELIABLE, &DATA_CENTRES, 3);
    cluster.run(seconds(10));
    cluster.cut_off("lekki");
    cluster.run(seconds(12));
    for host in cluster.hosts_of("lekki") {
        assert!(
            has_reported(&cluster, &host, "ikeja", Reachability::CutOff),
            "{host}"
        );
    }
}

#[test]
fn the_next_relay_takes_over_without_a_false_cut_off() {
    let mut cluster = Cluster::new(1, RELIABLE, &DATA_CENTRES, 3);
    cluster.run(seconds(10));
    let relay = cluster.hosts_of("ikeja")[0].clone();
    cluster.kill(&relay);
    cluster.run(seconds(30));
    let next = cluster.hosts_of("ikeja")[1].clone();
    assert!(cluster.daemons[&next].membership.is_relay());
    for host in cluster.hosts_of("lekki") {
        assert!(
            !has_reported(&cluster, &host, "ikeja", Reachability::CutOff),
            "{host}"
        );
        assert_eq!(condition(&cluster, &host, &relay), Condition::Dead);
    }
    for host in cluster.hosts_of("ikeja") {
        assert!(
            !has_reported(&cluster, &host, "lekki", Reachability::CutOff),
            "{host}"
        );
    }
}

#[test]
fn a_host_missing_from_all_settings_becomes_known_everywhere() {
    let mut cluster = Cluster::new(1, LOSSY, &DATA_CENTRES, 3);
    cluster.run(seconds(5));
    let unlisted = member("lekki", 77, 0);
    let known = cluster.daemons[&cluster.hosts_of("lekki")[1]]
        .member
        .clone();
    cluster.add_unlisted_host(unlisted.clone(), known);
    cluster.run(seconds(60));
    for (host, daemon) in &cluster.daemons {
        let is_known = daemon
            .membership
            .hosts()
            .any(|peer| peer.member.host == unlisted.host);
        assert!(is_known || *host == unlisted.host, "{host}");
        assert_eq!(daemon.membership.hosts().count(), 9, "{host}");
    }
    let is_reported = cluster.daemons[&cluster.host(0)]
        .events
        .iter()
        .any(|(_, event)| matches!(event, Output::Member(member) if member.host == unlisted.host));
    assert!(is_reported);
}

#[test]
fn a_moved_host_is_known_at_its_new_address() {
    let mut cluster = Cluster::new(1, RELIABLE, &DATA_CENTRES, 3);
    cluster.run(seconds(5));
    let moved = cluster.hosts_of("marina")[2].clone();
    cluster.kill(&moved);
    cluster.run(seconds(20));
    let address = ([127, 0, 0, 9], 4_444).into();
    cluster.daemons[&moved].member.address = address;
    cluster.restart(&moved);
    cluster.run(Duration::from_secs(40));
    for (host, daemon) in cluster.daemons.iter().filter(|(host, _)| **host != moved) {
        let mut hosts = daemon.membership.hosts();
        let peer = hosts.find(|peer| peer.member.host == moved).unwrap();
        assert_eq!(peer.member.address, address, "{host}");
    }
}
