//! Measures the cost of gossip and setup propagation per daemon and second in virtual time.
//!
//! Bytes are message bodies; the `wire` bench of `kumquatdrum_peer` measures the overhead of
//! frames, HTTP/2 and TCP. CPU time includes the simulated network and the encoding.

use std::time::{Duration, Instant};

use kumquatdrum_membership::Input;
use kumquatdrum_membership::propagation::Status;
use kumquatdrum_types::Version;

use crate::cluster::announcement;
use crate::network::{Faults, RELIABLE};

#[allow(dead_code, reason = "shared with the tests")]
#[path = "../tests/it/cluster.rs"]
mod cluster;
#[allow(dead_code, reason = "shared with the tests")]
#[path = "../tests/it/network.rs"]
mod network;
#[allow(dead_code, reason = "shared with the tests")]
#[path = "../tests/it/propagation_cluster.rs"]
mod propagation_cluster;

/// Virtual seconds before the measurement, until all tables agree.
const WARM_UP_SECONDS: u64 = 20;
const MEASURED_SECONDS: u64 = 20;
const WIDE_AREA: Faults = Faults {
    loss_percent: 0,
    duplicate_percent: 0,
    delay_millis: (1, 60),
};
/// Propagation status piggybacked on each push.
const STATUS: Status = Status {
    version: Version(100_000),
    digest_prefix: u64::MAX,
    is_ready: true,
    majority_age_ms: Some(1_500),
};
const CHANGES: u64 = 10;
const WORKSPACES: u64 = 1_600;

fn main() {
    println!("## State, {} hosts and 300 endpoints a data centre", 25);
    let resident = resident_kib();
    let cluster = busy_cluster(26, 25, 300, 25);
    let state = resident_kib().saturating_sub(resident) / cluster.daemons.len() as u64;
    println!("{state} KiB per daemon, 650 daemons\n");
    drop(cluster);

    println!("## Gossip, per daemon and second");
    println!(
        "| data centres | daemons | endpoints each | messages | bytes, mean | bytes, most | CPU % |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let sizes = [
        (3, 3, 10),
        (3, 3, 30),
        (3, 9, 100),
        (9, 9, 100),
        (9, 27, 100),
        (9, 27, 300),
        (1, 25, 300),
        (26, 25, 300),
    ];
    for (centres, hosts, endpoints) in sizes {
        measure_gossip(centres, hosts, endpoints, hosts);
    }
    println!("\nAll endpoints announce themselves to one daemon of their data centre:");
    measure_gossip(1, 25, 300, 1);

    println!("\n## Spread of one change, {WORKSPACES} workspaces");
    println!(
        "| places | data centres | daemons | replicas | text bytes | messages | bytes | bytes, most of one | in force ms, median | worst | known ms, worst | idle messages/s | idle bytes/s |"
    );
    println!(
        "| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |"
    );
    let sizes = [(3, 3, 3), (3, 9, 3), (9, 9, 5), (9, 27, 5), (26, 25, 7)];
    for places in [1, 8] {
        for (centres, hosts, replicas) in sizes {
            measure_propagation(centres, hosts, replicas, places);
        }
    }
}

fn measure_gossip(centres: usize, hosts: usize, endpoints: usize, receivers: usize) {
    let mut cluster = busy_cluster(centres, hosts, endpoints, receivers);
    cluster.network.sent.clear();
    let start = Instant::now();
    run(&mut cluster, MEASURED_SECONDS);
    let cpu = start.elapsed().as_secs_f64();
    let daemons = (centres * hosts) as u64;
    let sums = cluster.network.sent.values();
    let (messages, bytes) = sums.fold((0, 0), |sum, sent| (sum.0 + sent.0, sum.1 + sent.1));
    let maximum_bytes = cluster.network.sent.values().map(|sent| sent.1).max();
    println!(
        "| {centres} | {daemons} | {endpoints} | {:.1} | {} | {} | {:.3} |",
        messages as f64 / (daemons * MEASURED_SECONDS) as f64,
        bytes / (daemons * MEASURED_SECONDS),
        maximum_bytes.unwrap_or(0) / MEASURED_SECONDS,
        100.0 * cpu / (daemons * MEASURED_SECONDS) as f64,
    );
}

/// Creates a cluster whose endpoints renew every second, and runs its warm-up.
fn busy_cluster(
    centres: usize,
    hosts: usize,
    endpoints: usize,
    receivers: usize,
) -> cluster::Cluster {
    let names: Vec<String> = (0..centres).map(|index| format!("dc-{index:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut cluster = cluster::Cluster::new(1, RELIABLE, &names, hosts);
    for data_centre in &names {
        let owners = cluster.hosts_of(data_centre);
        for number in 0..endpoints {
            let mut announcement =
                announcement(&format!("{data_centre}-worker-{number:03}"), data_centre);
            set_seen(&mut announcement, &owners);
            cluster.add_endpoint(announcement, &owners[number % receivers]);
        }
    }
    for host in cluster.daemons.keys().cloned().collect::<Vec<_>>() {
        cluster.input(&host, Input::SetupStatus(STATUS));
    }
    run(&mut cluster, WARM_UP_SECONDS);
    cluster
}

/// Runs the cluster and discards its outputs.
fn run(cluster: &mut cluster::Cluster, seconds: u64) {
    for _ in 0..seconds * 5 {
        cluster.run(Duration::from_millis(200));
        for daemon in cluster.daemons.values_mut() {
            daemon.events.clear();
        }
    }
}

/// Sets a `seen` counter for each owner.
fn set_seen(
    announcement: &mut kumquatdrum_types::Announcement,
    owners: &[kumquatdrum_types::HostId],
) {
    if let kumquatdrum_types::endpoint::Kind::Engine(engine) = &mut announcement.kind {
        let seen = owners.iter().map(|host| (host.to_string(), 1_000_000));
        engine.load = Some(kumquatdrum_types::Load {
            seen: seen.collect(),
            ..kumquatdrum_types::Load::default()
        });
    }
}

fn measure_propagation(centres: usize, hosts: usize, replicas: usize, places: usize) {
    let mut declaration = vec![1; WORKSPACES as usize];
    let mut cluster = propagation_cluster::Cluster::new(1, WIDE_AREA, centres, hosts, replicas);
    accept_change(&mut cluster, &mut declaration, places);
    cluster.run(Duration::from_secs(WARM_UP_SECONDS));
    reset_counters(&mut cluster);
    cluster.run(Duration::from_secs(MEASURED_SECONDS));
    let daemons = (centres * hosts) as u64;
    let idle = (
        cluster.messages as f64 / (daemons * MEASURED_SECONDS) as f64,
        cluster.bytes / (daemons * MEASURED_SECONDS),
    );
    let (mut times, mut known) = (Vec::new(), Vec::new());
    let (mut messages, mut bytes, mut maximum_bytes, mut text) = (0, 0, 0, 0);
    for _ in 0..CHANGES {
        reset_counters(&mut cluster);
        let start = cluster.network.now;
        let version = accept_change(&mut cluster, &mut declaration, places);
        let limit = Duration::from_secs(10);
        assert!(cluster.run_until(limit, |cluster| cluster.is_everywhere(version)));
        times.push((cluster.network.now - start).as_millis());
        messages += cluster.messages;
        bytes += cluster.bytes;
        text += cluster.text_bytes;
        maximum_bytes = maximum_bytes.max(
            cluster
                .network
                .sent
                .values()
                .map(|sent| sent.1)
                .max()
                .unwrap_or(0),
        );
        let replica = cluster.control_replicas[replicas - 1].clone();
        assert!(cluster.run_until(limit, |cluster| {
            cluster.knows_version_is_everywhere(&replica, version)
        }));
        known.push((cluster.network.now - start).as_millis());
        cluster.run(Duration::from_secs(3));
    }
    times.sort_unstable();
    known.sort_unstable();
    println!(
        "| {places} | {centres} | {daemons} | {replicas} | {} | {} | {} | {maximum_bytes} | {} | {} | {} | {:.2} | {} |",
        text / CHANGES,
        messages / CHANGES,
        bytes / CHANGES,
        times[times.len() / 2],
        times[times.len() - 1],
        known[known.len() - 1],
        idle.0,
        idle.1,
    );
}

fn reset_counters(cluster: &mut propagation_cluster::Cluster) {
    cluster.network.sent.clear();
    (cluster.messages, cluster.bytes) = (0, 0);
    (cluster.texts, cluster.text_bytes) = (0, 0);
}

/// Accepts a declaration that changed in `places` places at equal distances.
fn accept_change(
    cluster: &mut propagation_cluster::Cluster,
    declaration: &mut [u64],
    places: usize,
) -> Version {
    let number = cluster.accepted.len();
    for place in 0..places {
        let step = declaration.len() / places;
        declaration[(number * 37 + place * step) % (WORKSPACES as usize)] += 1;
    }
    let line = |(index, weight)| {
        format!(
            "{{\"name\": \"salon-{index}\", \"weight\": {weight}, \"concurrency\": 8, \"requests_per_second\": 20}}"
        )
    };
    let lines: Vec<String> = declaration.iter().enumerate().map(line).collect();
    let version = cluster.accept(lines.join("\n"));
    cluster.apply_all();
    version
}

/// Returns the resident memory of the process in KiB.
fn resident_kib() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * 4
}
