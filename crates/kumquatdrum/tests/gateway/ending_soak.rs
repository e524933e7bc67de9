//! A randomised test of answers that are broken off, while hosts are killed, frozen and stopped.
//!
//! `SOAK_SEEDS=0..50 cargo test --package kumquatdrum --test gateway ending_soak` runs more seeds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL_HOSTS, Cluster, HOSTS, config};
use crate::endpoint::{Behaviour, Endpoint};
use crate::endpoint_soak::{DEFAULT_SEEDS, seeds};
use crate::raw::{self, Ending, Version};

/// Duration of the load per seed.
const DURATION: Duration = Duration::from_secs(8);
const ENDPOINTS: usize = 4;
const CALLERS: u64 = 8;
const EVENTS: u64 = 6;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ending_soak() {
    for seed in seeds(DEFAULT_SEEDS) {
        run_seed(seed).await;
    }
}

async fn run_seed(seed: u64) {
    let mut cluster = Cluster::start(136 + (seed % 14) as u16);
    cluster.apply(&config(1)).await;
    let mut endpoints = Vec::new();
    for number in 0..ENDPOINTS {
        let endpoint = Endpoint::start(&format!("i-{number}"), Behaviour::AnyEnding).await;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        endpoints.push(endpoint);
    }
    for endpoint in &endpoints {
        for host in CONTROL_HOSTS..HOSTS {
            cluster.wait_until_ready(host, endpoint).await;
        }
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let hosts = (CONTROL_HOSTS..HOSTS).map(|host| cluster.callers(host));
        callers.spawn(run_caller(
            hosts.collect(),
            seed * 100 + caller,
            is_over.clone(),
        ));
    }
    inject_faults(&mut cluster, &endpoints, seed).await;
    is_over.store(true, Ordering::Relaxed);
    let mut endings: HashMap<Ending, usize> = HashMap::new();
    for ending in callers.join_all().await.concat() {
        *endings.entry(ending).or_default() += 1;
    }
    println!("seed {seed}: {endings:?}");
    let count = |ending| endings.get(&ending).copied().unwrap_or(0);
    let complete = count(Ending::Complete) + count(Ending::Unknown);
    assert!(complete > 0, "seed {seed}: {endings:?}");
}

/// Calls hosts in random order and returns how the streams ended. Panics if a short stream looks
/// complete.
async fn run_caller(hosts: Vec<SocketAddr>, seed: u64, is_over: Arc<AtomicBool>) -> Vec<Ending> {
    let mut random = Pcg32::seed_from_u64(seed);
    let mut endings = Vec::new();
    let expected: Vec<String> = (1..=EVENTS)
        .map(|event| format!("id: {event}\ndata: piece {event}\n\n"))
        .collect();
    let expected = expected.concat();
    while !is_over.load(Ordering::Relaxed) {
        let host = hosts[random.next_u32() as usize % hosts.len()];
        let version = match random.next_u32() % 4 {
            0 => Version::Http10,
            _ => Version::Http11,
        };
        let attempt = format!("{seed}-{}", random.next_u64());
        let answer = raw::try_call(host, version, "POST /stream/x", &attempt).await;
        match answer {
            Some(answer) if answer.status == 200 => {
                let is_short = answer.body != expected;
                let looks_complete = answer.ending != Ending::Broken;
                assert!(!(is_short && looks_complete), "seed {seed}: {answer:?}");
                assert!(
                    expected.starts_with(&answer.body),
                    "seed {seed}: {answer:?}"
                );
                endings.push(answer.ending);
            }
            _ => sleep(Duration::from_millis(20)).await,
        }
    }
    endings
}

/// Kills, freezes and stops one caller-facing host after the other, and announces the endpoints.
async fn inject_faults(cluster: &mut Cluster, endpoints: &[Endpoint], seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed);
    let until = Instant::now() + DURATION;
    let mut sequence = 1;
    while Instant::now() < until {
        sequence += 1;
        for endpoint in endpoints {
            cluster
                .try_announce(0, endpoint, "plain", "ready", sequence)
                .await;
        }
        let host = CONTROL_HOSTS + random.next_u32() as usize % (HOSTS - CONTROL_HOSTS);
        let pause = Duration::from_millis(100 + u64::from(random.next_u32() % 400));
        match random.next_u32() % 4 {
            0 => {
                cluster.kill(host);
                sleep(pause).await;
                cluster.start_host(host, false);
            }
            1 => {
                cluster.signal(host, "-STOP");
                sleep(pause).await;
                cluster.signal(host, "-CONT");
            }
            2 => {
                cluster.signal(host, "-TERM");
                cluster.wait_for_exit(host).await;
                cluster.start_host(host, false);
            }
            _ => {}
        }
        sleep(pause).await;
    }
}
