//! Propagation of the setup in force: versions never decrease and reach all hosts as deltas.

use std::ops::Range;
use std::time::Duration;

use kumquatdrum_membership::propagation::{Input, Message, Output, Setup, Text, Transfer};
use kumquatdrum_types::{BootId, HostId, Version};

use crate::network::{Faults, LOSSY, RELIABLE};
use crate::propagation_cluster::Cluster;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Returns a declaration of 200 lines, of which each version changes one.
fn text(number: u64) -> String {
    let line = |index| {
        format!(
            "{{\"workspace\": \"salon-{index}\", \"weight\": {}}}",
            index % 7
        )
    };
    let mut lines: Vec<String> = (0..200).map(line).collect();
    let changed = (number * 37 % 200) as usize;
    lines[changed] = format!("{{\"workspace\": \"salon-{changed}\", \"weight\": {number}}}");
    lines.join("\n")
}

/// Creates nine hosts in three data centres with three control replicas and version 1 in force.
fn steady_cluster(seed: u64, faults: Faults) -> Cluster {
    let mut cluster = Cluster::new(seed, faults, 3, 3, 3);
    accept(&mut cluster);
    assert!(cluster.run_until(seconds(8), |cluster| cluster.is_everywhere(Version(1))));
    cluster
}

fn accept(cluster: &mut Cluster) -> Version {
    let number = cluster.accepted.len() as u64 + 1;
    let version = cluster.accept(text(number));
    cluster.apply_all();
    version
}

fn first_confirmation(cluster: &Cluster, host: &HostId) -> Option<bool> {
    let mut events = cluster.hosts[host].events.iter();
    events.find_map(|(_, event)| match event {
        Output::Ready { is_confirmed } => Some(*is_confirmed),
        _ => None,
    })
}

#[test]
fn a_version_is_in_force_everywhere_within_a_second_and_control_replicas_record_it() {
    let mut cluster = steady_cluster(1, RELIABLE);
    let version = accept(&mut cluster);
    let is_done = |cluster: &Cluster| cluster.is_everywhere(version);
    assert!(cluster.run_until(seconds(1), is_done));
    let replica = cluster.control_replicas[1].clone();
    let is_known = |cluster: &Cluster| cluster.knows_version_is_everywhere(&replica, version);
    assert!(cluster.run_until(Duration::from_millis(500), is_known));
}

#[test]
fn each_host_receives_a_version_once_and_as_a_delta() {
    let mut cluster = steady_cluster(1, RELIABLE);
    cluster.run(seconds(3));
    (cluster.texts, cluster.text_bytes) = (0, 0);
    for _ in 0..20 {
        accept(&mut cluster);
        cluster.run(seconds(2));
    }
    // Three of the nine hosts receive versions from the log of their replica.
    assert_eq!(cluster.texts, 20 * 6);
    let whole = text(1).len() as u64;
    assert!(cluster.text_bytes / cluster.texts < whole / 2);
    (cluster.texts, cluster.text_bytes) = (0, 0);
    cluster.run(seconds(60));
    assert_eq!(cluster.texts, 0, "text without a change");
}

#[test]
fn a_restarting_host_requests_the_version_before_it_serves() {
    let mut cluster = steady_cluster(1, RELIABLE);
    accept(&mut cluster);
    cluster.run(seconds(3));
    let host = cluster.host(5);
    cluster.kill(&host);
    cluster.run(seconds(1));
    let version = accept(&mut cluster);
    cluster.start(&host);
    let is_ready = |cluster: &Cluster| cluster.hosts[&host].propagation.is_ready();
    assert!(!is_ready(&cluster));
    assert!(cluster.run_until(seconds(3), is_ready));
    assert_eq!(cluster.hosts[&host].propagation.version(), version);
    assert_eq!(first_confirmation(&cluster, &host), Some(true));
}

#[test]
fn a_host_that_restarts_while_cut_off_serves_an_unconfirmed_version_from_its_data_centre() {
    let mut cluster = steady_cluster(1, RELIABLE);
    let host = cluster.host(8);
    cluster.cut_off("dc-02");
    cluster.run(seconds(15));
    accept(&mut cluster);
    cluster.kill(&host);
    cluster.start(&host);
    cluster.run(seconds(8));
    assert_eq!(cluster.hosts[&host].propagation.version(), Version(1));
    assert_eq!(first_confirmation(&cluster, &host), Some(false));
}

#[test]
fn a_restarting_host_without_any_peer_does_not_serve() {
    let mut cluster = steady_cluster(1, RELIABLE);
    for index in 0..8 {
        let host = cluster.host(index);
        cluster.kill(&host);
    }
    let host = cluster.host(8);
    cluster.kill(&host);
    cluster.start(&host);
    cluster.run(seconds(60));
    assert!(!cluster.hosts[&host].propagation.is_ready());
}

#[test]
fn a_cut_off_data_centre_reports_the_time_of_the_cut_off_and_catches_up() {
    let mut cluster = steady_cluster(1, RELIABLE);
    cluster.run(seconds(5));
    let cut_at = cluster.network.now;
    cluster.cut_off("dc-02");
    cluster.run(seconds(16));
    let version = accept(&mut cluster);
    cluster.run(seconds(3));
    for (id, host) in &cluster.hosts {
        let since = host.propagation.cut_off_since();
        let is_inside = host.data_centre.as_str() == "dc-02";
        assert_eq!(since.is_some(), is_inside, "{id}");
        let is_close = since.is_none_or(|since| since - cut_at < seconds(1));
        assert!(is_close, "{id}: {since:?}");
        let expected = if is_inside { Version(1) } else { version };
        assert_eq!(host.propagation.version(), expected, "{id}");
    }
    cluster.network.heal();
    cluster.run(seconds(6));
    assert!(cluster.is_everywhere(version));
    for (id, host) in &cluster.hosts {
        assert_eq!(host.propagation.cut_off_since(), None, "{id}");
    }
}

#[test]
fn a_data_centre_without_replica_reports_a_cut_off_and_catches_up() {
    let mut cluster = Cluster::new(1, RELIABLE, 4, 5, 3);
    accept(&mut cluster);
    cluster.run(seconds(8));
    cluster.cut_off("dc-03");
    // Indirect reports of a majority must not delay the detection.
    cluster.run(seconds(11));
    for (id, host) in &cluster.hosts {
        let is_inside = host.data_centre.as_str() == "dc-03";
        assert_eq!(
            host.propagation.cut_off_since().is_some(),
            is_inside,
            "{id}"
        );
    }
    cluster.run(seconds(5));
    let version = accept(&mut cluster);
    cluster.run(seconds(6));
    for (id, host) in &cluster.hosts {
        let is_inside = host.data_centre.as_str() == "dc-03";
        assert_eq!(
            host.propagation.cut_off_since().is_some(),
            is_inside,
            "{id}"
        );
        assert_eq!(host.propagation.version() != version, is_inside, "{id}");
    }
    cluster.network.heal();
    cluster.run(seconds(4));
    assert!(cluster.is_everywhere(version));
    cluster.run(seconds(2));
    for (id, host) in &cluster.hosts {
        assert_eq!(host.propagation.cut_off_since(), None, "{id}");
    }
}

#[test]
fn a_text_with_a_wrong_digest_or_base_is_not_put_in_force() {
    let mut cluster = steady_cluster(1, RELIABLE);
    let (host, other) = (cluster.host(4), cluster.host(5));
    let current = Setup::new(Version(1), text(1));
    let next = Setup::new(Version(9), text(9));
    let elsewhere = Setup::new(Version(5), text(1));
    let texts = [
        Text::Whole(current.text.clone()),
        Text::between(Some(&elsewhere), &next),
    ];
    for text in texts {
        let transfer = Transfer {
            version: next.version,
            digest: next.digest.clone(),
            text,
        };
        let input = Input::Peer {
            from: other.clone(),
            boot: BootId(1),
            message: Message::Transfer(transfer),
        };
        cluster.input(&host, input);
        assert_eq!(cluster.hosts[&host].propagation.version(), Version(1));
    }
}

#[test]
fn a_version_reaches_all_hosts_if_a_relay_dies_when_it_arrives() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, RELIABLE, 4, 5, 3);
        accept(&mut cluster);
        cluster.run(seconds(8));
        let relay = HostId::new("dc-03-00");
        let version = accept(&mut cluster);
        let has_version =
            |cluster: &Cluster| cluster.hosts[&relay].propagation.version() == version;
        assert!(cluster.run_until(seconds(2), has_version));
        cluster.kill(&relay);
        let is_done = |cluster: &Cluster| cluster.is_everywhere(version);
        assert!(cluster.run_until(seconds(4), is_done), "seed {seed}");
    }
}

/// Injects one random fault or change.
fn inject_fault(cluster: &mut Cluster) {
    let hosts = cluster.hosts.len() as u64;
    let index = cluster.network.pick(0, hosts - 1) as usize;
    let other = cluster.network.pick(0, hosts - 1) as usize;
    let (host, other) = (cluster.host(index), cluster.host(other));
    let replica = cluster.control_replicas[cluster.network.pick(0, 2) as usize].clone();
    match cluster.network.pick(0, 9) {
        0 => cluster.kill(&host),
        1 | 2 => cluster.start(&host),
        3 => cluster.network.cut(&host, &other),
        4 => cluster.cut_off(["dc-00", "dc-01", "dc-02"][index % 3]),
        5 => cluster.network.heal(),
        6 | 7 => {
            let number = cluster.accepted.len() as u64 + 1;
            cluster.accept(text(number));
            cluster.apply(&replica);
        }
        _ => cluster.apply(&replica),
    }
}

/// Checks that the versions of each host increase and that their texts were accepted.
fn check(cluster: &Cluster, seed: u64) {
    for (id, host) in &cluster.hosts {
        let mut highest = Version(0);
        for (_, event) in &host.events {
            if let Output::InForce(setup) = event {
                assert!(
                    setup.version > highest,
                    "seed {seed}: {id} returned to a lower version"
                );
                highest = setup.version;
                let accepted = &cluster.accepted[setup.version.0 as usize - 1];
                assert_eq!(setup, accepted, "seed {seed}: {id}");
            }
        }
    }
}

#[test]
fn versions_never_decrease_and_converge_after_healing_seeds_0_to_99() {
    run_seeds(0..100);
}

#[test]
fn versions_never_decrease_and_converge_after_healing_seeds_100_to_199() {
    run_seeds(100..200);
}

fn run_seeds(seeds: Range<u64>) {
    for seed in seeds {
        let mut cluster = Cluster::new(seed, LOSSY, 3, 3, 3);
        for _ in 0..30 {
            let pause = cluster.network.pick(20, 800);
            cluster.run(Duration::from_millis(pause));
            inject_fault(&mut cluster);
        }
        check(&cluster, seed);
        cluster.network.heal();
        cluster.network.faults = RELIABLE;
        let down: Vec<HostId> = cluster
            .hosts
            .iter()
            .filter(|(_, host)| !host.is_up)
            .map(|(id, _)| id.clone())
            .collect();
        for host in down {
            cluster.start(&host);
        }
        let version = accept(&mut cluster);
        let is_done = |cluster: &Cluster| cluster.is_everywhere(version);
        assert!(cluster.run_until(seconds(8), is_done), "seed {seed}");
        check(&cluster, seed);
        let replica = cluster.control_replicas[0].clone();
        let is_known = |cluster: &Cluster| cluster.knows_version_is_everywhere(&replica, version);
        assert!(cluster.run_until(seconds(8), is_known), "seed {seed}");
    }
}

#[test]
fn a_version_that_arrives_before_its_log_entry_is_forwarded_at_once() {
    for leader in 0..3 {
        let mut cluster = Cluster::new(7, RELIABLE, 9, 3, 3);
        accept(&mut cluster);
        assert!(cluster.run_until(seconds(8), |cluster| cluster.is_everywhere(Version(1))));
        // Waits for the exchanges that follow a start.
        cluster.run(seconds(5));
        let version = cluster.accept(text(2));
        cluster.apply(&cluster.control_replicas[leader].clone());
        // The followers receive the commit with the next heartbeat, after the propagation.
        cluster.run(Duration::from_millis(100));
        cluster.apply_all();
        let is_done = |cluster: &Cluster| cluster.is_everywhere(version);
        assert!(
            cluster.run_until(Duration::from_millis(320), is_done),
            "led by replica {leader}"
        );
    }
}
