//! Random schedules of faults: records never revert, and all hosts agree after healing.

use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

use kumquatdrum_membership::Liveness;
use kumquatdrum_types::{BootId, EndpointId, HostId};

use crate::cluster::{Cluster, announcement, seconds};
use crate::network::{LOSSY, RELIABLE};

const HOSTS: usize = 5;
const ENDPOINTS: usize = 6;

/// Newest record of each endpoint seen by each incarnation of a host, and whether it was leaving.
type Known = HashMap<(HostId, BootId, EndpointId), (BootId, u64, bool)>;

/// Checks that no record returns to an older state and that leaving stays final.
fn check(cluster: &Cluster, known: &mut Known, seed: u64) {
    for (host, daemon) in &cluster.daemons {
        for record in daemon.membership.endpoints() {
            let now = &record.announcement;
            let key = (host.clone(), daemon.member.boot, now.endpoint.clone());
            let current = (now.boot, now.sequence, now.leaving);
            let before = known.insert(key, current);
            let Some((boot, sequence, leaving)) = before else {
                continue;
            };
            let is_forward = (boot, sequence) <= (now.boot, now.sequence);
            assert!(is_forward, "seed {seed}: {host} reverted to {now:?}");
            let keeps_leaving = boot != now.boot || !leaving || now.leaving;
            assert!(
                keeps_leaving,
                "seed {seed}: {host} lost the leaving flag of {now:?}"
            );
        }
    }
}

/// Injects one random fault or change.
fn inject_fault(cluster: &mut Cluster) {
    let picks = [(); 2].map(|()| cluster.network.pick(0, HOSTS as u64 - 1) as usize);
    let [host, other] = picks.map(|index| cluster.host(index));
    let number = cluster.network.pick(0, ENDPOINTS as u64 - 1) as usize;
    match cluster.network.pick(0, 9) {
        0 => cluster.kill(&host),
        1 | 2 => cluster.restart(&host),
        3 => cluster.network.cut(&host, &other),
        4 => cluster.network.heal(),
        5 => cluster.daemons[&host].frozen_until = cluster.network.now + seconds(4),
        6 => cluster.endpoints[number].is_up ^= true,
        7 => cluster.endpoints[number].receiver = host,
        8 => cluster.endpoints[number].announcement.leaving = true,
        _ => {
            let endpoint = &mut cluster.endpoints[number].announcement;
            endpoint.boot.0 += 1;
            endpoint.sequence = 0;
            endpoint.leaving = false;
        }
    }
}

/// Ends all faults and restarts stopped hosts.
fn recover(cluster: &mut Cluster) {
    cluster.network.heal();
    cluster.network.faults = RELIABLE;
    for index in 0..HOSTS {
        let host = cluster.host(index);
        if !cluster.daemons[&host].is_up {
            cluster.restart(&host);
        }
        cluster.daemons[&host].frozen_until = cluster.network.now;
    }
}

#[test]
fn records_never_revert_and_converge_after_healing_seeds_0_to_49() {
    run_seeds(0..50);
}

#[test]
fn records_never_revert_and_converge_after_healing_seeds_50_to_99() {
    run_seeds(50..100);
}

fn run_seeds(seeds: Range<u64>) {
    for seed in seeds {
        let mut cluster = Cluster::new(seed, LOSSY, &["ikeja"], HOSTS);
        for number in 0..ENDPOINTS {
            let receiver = cluster.host(number % HOSTS);
            let name = format!("engine-{number}");
            cluster.add_endpoint(announcement(&name, "ikeja"), &receiver);
        }
        let mut known = Known::new();
        for _ in 0..25 {
            let pause = cluster.network.pick(50, 1_500);
            cluster.run(Duration::from_millis(pause));
            check(&cluster, &mut known, seed);
            inject_fault(&mut cluster);
        }
        recover(&mut cluster);
        cluster.run(seconds(12));
        check(&cluster, &mut known, seed);
        for endpoint in cluster.endpoints.values() {
            let id = endpoint.announcement.endpoint.as_str();
            let accepts_work = endpoint.is_up && !endpoint.announcement.leaving;
            for host in cluster.hosts_of("ikeja") {
                let context = format!("seed {seed}: {id} on {host}");
                assert_eq!(cluster.accepts_work(&host, id), accepts_work, "{context}");
                let is_gone = !matches!(
                    cluster.liveness(&host, id),
                    Some(Liveness::Alive | Liveness::Suspect)
                );
                assert_eq!(is_gone, !endpoint.is_up, "{context}");
            }
        }
    }
}
