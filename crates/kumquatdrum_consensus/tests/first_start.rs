//! A cluster forms at a first start although an initial host is lost, and never a second one.
//!
//! `FIRST_START_SEEDS=0..10000 cargo test -p kumquatdrum_consensus --test first_start` runs more seeds.

mod common;

use std::ops::Range;
use std::time::Duration;

use common::Cluster;
use kumquatdrum_consensus::Safeguards;
use rand_core::Rng;

const HOSTS: usize = 3;
const FORMATION_WAIT: Duration = Duration::from_secs(2);
const DEFAULT_SEEDS: Range<u64> = 0..300;
const ACTIONS: u64 = 40;
const MAX_PAUSE_MILLIS: u64 = 300;

/// Returns a cluster of which no host runs yet.
fn unstarted(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed, 0, HOSTS, Safeguards::default());
    cluster.formation_wait = Some(FORMATION_WAIT);
    for number in 0..HOSTS {
        cluster.add_host(format!("host-{number}"));
    }
    cluster
}

fn seeds() -> Range<u64> {
    let Ok(text) = std::env::var("FIRST_START_SEEDS") else {
        return DEFAULT_SEEDS;
    };
    let (first, last) = text.split_once("..").expect("FIRST..LAST");
    first.parse().expect("a seed")..last.parse().expect("a seed")
}

/// Guards against a cluster that never forms, as an initial host is lost for good during the first start.
#[test]
fn a_majority_of_the_initial_hosts_forms_the_cluster() {
    for lost in 1..HOSTS {
        let mut cluster = unstarted(lost as u64);
        (0..HOSTS)
            .filter(|number| *number != lost)
            .for_each(|number| cluster.start(number));
        assert!(
            cluster.run_until(10_000, |c| c.leader().is_some()),
            "{lost}"
        );
        assert!(cluster.commit());
    }
}

#[test]
fn initial_hosts_that_start_late_are_waited_for() {
    let mut cluster = unstarted(7);
    cluster.start(0);
    cluster.start(1);
    cluster.run_for(1_000);
    cluster.start(2);
    assert!(cluster.run_until(10_000, |c| c.leader().is_some()));
    let leader = cluster.leader().expect("a leader");
    let status = cluster.status(leader).expect("a status");
    assert_eq!(status.replicas.voters.len(), HOSTS);
}

#[test]
fn a_minority_of_the_initial_hosts_forms_no_cluster() {
    let mut cluster = unstarted(8);
    cluster.start(0);
    cluster.run_for(30_000);
    assert_eq!(cluster.leader(), None);
}

#[test]
fn a_disk_that_is_lost_before_the_cluster_forms_does_not_prevent_it() {
    for seed in 0..40 {
        let mut cluster = unstarted(seed);
        (0..HOSTS).for_each(|number| cluster.start(number));
        cluster.run_for(seed % 20);
        let lost = 1 + (seed % 2) as usize;
        cluster.wipe(lost);
        cluster.run_for(1_000);
        cluster.start(lost);
        let has_formed = cluster.run_until(30_000, |c| c.leader().is_some());
        assert!(has_formed, "seed {seed}");
        assert!(cluster.commit());
    }
}

/// Crashes, cuts and starts hosts during the first start, and loses one disk at most.
fn run_schedule(seed: u64) {
    let mut cluster = unstarted(seed);
    let random = |limit: u64, cluster: &mut Cluster| cluster.random.next_u64() % limit;
    let mut has_lost_disk = false;
    for _ in 0..ACTIONS {
        let host = random(HOSTS as u64, &mut cluster) as usize;
        match random(8, &mut cluster) {
            0 => cluster.crash(host),
            1 => cluster.isolate(host),
            2 => cluster.cut_links.clear(),
            3 if !has_lost_disk && random(4, &mut cluster) == 0 => {
                has_lost_disk = true;
                cluster.wipe(host);
            }
            4 => {
                if let Some(leader) = cluster.leader() {
                    cluster.propose(leader);
                }
            }
            _ => cluster.start(host),
        }
        let pause = random(MAX_PAUSE_MILLIS, &mut cluster);
        cluster.run_for(pause);
    }
    cluster.heal();
    (0..HOSTS).for_each(|number| cluster.start(number));
    let has_formed = cluster.run_until(60_000, |c| c.leader().is_some());
    assert!(has_formed || has_lost_disk, "seed {seed}: no leader");
    if has_formed {
        assert!(
            cluster.commit() || has_lost_disk,
            "seed {seed}: no progress"
        );
    }
}

/// Guards against two clusters, of which one loses what the other has acknowledged.
#[test]
fn no_second_cluster_forms_whatever_happens_during_the_first_start() {
    for seed in seeds() {
        println!("seed {seed}");
        run_schedule(seed);
    }
}
