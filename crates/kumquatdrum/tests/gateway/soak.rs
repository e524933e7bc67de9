//! Randomised soak test of real processes: injects faults and checks what callers, operators and
//! endpoints observe.
//!
//! `SOAK_SEEDS=0..50 SOAK_SECONDS=20 cargo test --package kumquatdrum --test gateway soak` runs
//! more seeds.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::Value;
use tokio::sync::RwLock;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL_HOSTS, Cluster, config};
use crate::endpoint::{Behaviour, Endpoint};
use crate::endpoint_soak::{DEFAULT_SEEDS, seeds};
use crate::proxy::{FAULTS, Mode, Proxy};

/// Duration of fault injection per seed by default.
const DEFAULT_SECONDS: u64 = 8;
const CALLERS: u64 = 6;
/// Time after its acknowledgement from which no control host may return an older revision.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// Time in which a control host recovers from the loss of its disk.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// The outcome of one caller's attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Answered,
    /// An error status which states that the request did not run and will not run.
    NotRun,
    Other,
}

/// State shared by the tasks of the soak test.
struct Soak {
    cluster: RwLock<Cluster>,
    endpoints: Vec<Endpoint>,
    is_over: AtomicBool,
    /// Acknowledged revisions, with the time of the acknowledgement.
    acknowledged: Mutex<Vec<(Instant, u64)>>,
    /// For each attempt, whether its route is unsafe, and its outcome.
    outcomes: Mutex<HashMap<String, (bool, Outcome)>>,
    violations: Mutex<Vec<String>>,
    attempts: AtomicU64,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn soak() {
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SECONDS);
    for seed in seeds(DEFAULT_SEEDS) {
        let violations = run_seed(seed, Duration::from_secs(seconds)).await;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}

async fn run_seed(seed: u64, duration: Duration) -> Vec<String> {
    let cluster = Cluster::start(100 + (seed % 100) as u16);
    cluster.apply(&config(1)).await;
    let mut endpoints = Vec::new();
    let mut proxies = Vec::new();
    for number in 0..3 {
        let mut endpoint =
            Endpoint::start(&format!("i-{number}"), Behaviour::StreamOrCompleteBody).await;
        let proxy = Proxy::start(endpoint.address).await;
        endpoint.address = proxy.address;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, &endpoint).await;
        cluster.wait_until_ready(4, &endpoint).await;
        endpoints.push(endpoint);
        proxies.push(proxy);
    }
    let soak = Arc::new(Soak {
        cluster: RwLock::new(cluster),
        endpoints,
        is_over: AtomicBool::new(false),
        acknowledged: Mutex::default(),
        outcomes: Mutex::default(),
        violations: Mutex::default(),
        attempts: AtomicU64::new(0),
    });
    let mut tasks = JoinSet::new();
    for caller in 0..CALLERS {
        tasks.spawn(run_caller(soak.clone(), seed * 1_000 + caller));
    }
    tasks.spawn(run_operator(soak.clone(), seed));
    tasks.spawn(run_reader(soak.clone(), seed));
    tasks.spawn(run_announcer(soak.clone()));
    inject_faults(&soak, &proxies, seed, duration).await;
    clear_faults(&soak, &proxies).await;
    soak.is_over.store(true, Ordering::Relaxed);
    while let Some(ended) = tasks.join_next().await {
        ended.expect("a task panicked");
    }
    check_invariants(&soak).await;
    std::mem::take(&mut *soak.violations.lock())
}

/// Injects faults one after the other; a proxy's fault may last during later ones.
async fn inject_faults(soak: &Soak, proxies: &[Proxy], seed: u64, duration: Duration) {
    let mut random = Pcg32::seed_from_u64(seed);
    let until = Instant::now() + duration;
    let mut disk_lost_at: Option<Instant> = None;
    while Instant::now() < until {
        let host = random.next_u32() as usize % (CONTROL_HOSTS + 2);
        let pause = Duration::from_millis(200 + u64::from(random.next_u32() % 900));
        match random.next_u32() % 6 {
            0 => {
                let is_control = host < CONTROL_HOSTS;
                let is_recovered = disk_lost_at.is_none_or(|at| at.elapsed() > RECOVERY_TIME);
                let loses_disk = is_control && is_recovered && random.next_u32() % 3 == 0;
                let mut cluster = soak.cluster.write().await;
                cluster.kill(host);
                if loses_disk {
                    std::fs::remove_dir_all(cluster.data_path(host))
                        .expect("the data folder is removed");
                    disk_lost_at = Some(Instant::now());
                }
                drop(cluster);
                sleep(pause).await;
                soak.cluster.write().await.start_host(host, false);
                if loses_disk {
                    sleep(RECOVERY_TIME).await;
                }
            }
            1 => {
                soak.cluster.read().await.signal(host, "-STOP");
                sleep(pause * 2).await;
                soak.cluster.read().await.signal(host, "-CONT");
            }
            2 => soak.cluster.read().await.signal(host, "-HUP"),
            3 if host >= CONTROL_HOSTS => {
                let mut cluster = soak.cluster.write().await;
                cluster.signal(host, "-TERM");
                let code = cluster.wait_for_exit(host).await;
                if code != Some(0) {
                    let line = format!("host {host} ended with {code:?} on SIGTERM");
                    soak.violations.lock().push(line);
                }
                cluster.start_host(host, false);
            }
            _ => {
                let proxy = &proxies[random.next_u32() as usize % proxies.len()];
                proxy.set_mode(FAULTS[random.next_u32() as usize % FAULTS.len()]);
                sleep(pause).await;
                if random.next_u32() % 4 != 0 {
                    proxy.set_mode(Mode::Pass);
                }
            }
        }
        sleep(pause / 2).await;
    }
}

async fn clear_faults(soak: &Soak, proxies: &[Proxy]) {
    for proxy in proxies {
        proxy.set_mode(Mode::Pass);
    }
    for host in 0..CONTROL_HOSTS + 2 {
        let mut cluster = soak.cluster.write().await;
        if !cluster.is_running(host) {
            cluster.start_host(host, false);
        }
    }
    sleep(RECOVERY_TIME).await;
}

async fn run_caller(soak: Arc<Soak>, seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed);
    while !soak.is_over.load(Ordering::Relaxed) {
        let number = soak.attempts.fetch_add(1, Ordering::Relaxed);
        let attempt = format!("{seed}-{number}");
        let path = ["/safe/x", "/unsafe/x", "/stream/x"][random.next_u32() as usize % 3];
        let host = CONTROL_HOSTS + random.next_u32() as usize % 2;
        let call = soak.cluster.read().await.request(host, path, &attempt);
        let call = call.timeout(Duration::from_secs(4)).send().await;
        let outcome = match call {
            Ok(answer) => check_answer(&soak, path, &attempt, answer).await,
            Err(_) => Outcome::Other,
        };
        let is_unsafe = path.starts_with("/unsafe/");
        soak.outcomes.lock().insert(attempt, (is_unsafe, outcome));
        sleep(Duration::from_millis(20)).await;
    }
}

async fn check_answer(
    soak: &Soak,
    path: &str,
    attempt: &str,
    answer: reqwest::Response,
) -> Outcome {
    let status = answer.status().as_u16();
    let stamp = answer.headers().get("kumquatdrum-response-stamp").cloned();
    let text = answer.text().await;
    match (status, text) {
        (200, Ok(text)) => {
            let events = (1..=6).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
            let expected = if path.starts_with("/stream/") {
                events.collect::<Vec<_>>().concat()
            } else {
                "whole".to_owned()
            };
            let own = format!("stamp-{attempt}");
            let is_own = stamp.is_some_and(|stamp| stamp.as_bytes() == own.as_bytes());
            if text != expected || !is_own {
                let line = format!("{attempt} got a wrong answer: {text:?}");
                soak.violations.lock().push(line);
            }
            Outcome::Answered
        }
        (401 | 403 | 404, _) => {
            let line = format!("{attempt} was denied with {status}");
            soak.violations.lock().push(line);
            Outcome::Other
        }
        (503 | 429 | 408 | 421, _) => Outcome::NotRun,
        _ => Outcome::Other,
    }
}

async fn run_operator(soak: Arc<Soak>, seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed ^ 0x5eed);
    let mut revision = 1;
    while !soak.is_over.load(Ordering::Relaxed) {
        revision += 1 + u64::from(random.next_u32() % 3);
        let host = random.next_u32() as usize % CONTROL_HOSTS;
        let text = config(revision);
        let cluster = soak.cluster.read().await;
        let call = cluster.call_control(host, "/-/Config.Replace", Some(&text));
        let answer = tokio::time::timeout(Duration::from_secs(3), call).await;
        drop(cluster);
        let is_acknowledged = matches!(answer, Ok(Some(answer)) if answer.status() == 200);
        if is_acknowledged {
            soak.acknowledged.lock().push((Instant::now(), revision));
        }
        sleep(Duration::from_millis(150)).await;
    }
}

async fn run_reader(soak: Arc<Soak>, seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed ^ 0xbac2);
    while !soak.is_over.load(Ordering::Relaxed) {
        let asked = Instant::now();
        let host = random.next_u32() as usize % CONTROL_HOSTS;
        let cluster = soak.cluster.read().await;
        let call = cluster.call_control(host, "/-/Config.Get", None);
        let answer = tokio::time::timeout(Duration::from_secs(3), call).await;
        drop(cluster);
        if let Ok(Some(answer)) = answer
            && answer.status() == 200
            && let Ok(text) = answer.text().await
        {
            check_revision(&soak, &text, asked, host);
        }
        sleep(Duration::from_millis(120)).await;
    }
}

fn check_revision(soak: &Soak, text: &str, asked: Instant, host: usize) {
    let read: Value = serde_json::from_str(text).expect("a config");
    let revision = read["version"].as_u64().unwrap_or(0);
    let acknowledged = soak.acknowledged.lock();
    let due = acknowledged
        .iter()
        .filter(|(at, _)| *at + PROPAGATION_LIMIT < asked);
    let newest = due.map(|(_, revision)| *revision).max().unwrap_or(0);
    if revision < newest {
        let line = format!("host {host} returned revision {revision}, {newest} was acknowledged");
        soak.violations.lock().push(line);
    }
}

async fn run_announcer(soak: Arc<Soak>) {
    let mut sequence = 1;
    while !soak.is_over.load(Ordering::Relaxed) {
        sequence += 1;
        for (number, endpoint) in soak.endpoints.iter().enumerate() {
            for host in 0..CONTROL_HOSTS {
                let cluster = soak.cluster.read().await;
                let host = (host + number) % CONTROL_HOSTS;
                let call = cluster.try_announce(host, endpoint, "plain", "ready", sequence);
                let acknowledged = tokio::time::timeout(Duration::from_secs(1), call).await;
                if acknowledged.unwrap_or(false) {
                    break;
                }
            }
        }
        sleep(Duration::from_millis(300)).await;
    }
}

/// Checks that no acknowledged revision is lost, at least a quarter of the requests are answered,
/// and no unsafe request ran more than once, or at all if its outcome is [`Outcome::NotRun`].
async fn check_invariants(soak: &Soak) {
    let newest = soak
        .acknowledged
        .lock()
        .iter()
        .map(|(_, revision)| *revision)
        .max();
    let cluster = soak.cluster.read().await;
    for host in 0..CONTROL_HOSTS {
        let read: Value = serde_json::from_str(&cluster.read_config(host).await).expect("a config");
        if read["version"].as_u64() < newest {
            let line = format!("host {host} lost the acknowledged revision {newest:?}");
            soak.violations.lock().push(line);
        }
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    for endpoint in &soak.endpoints {
        for (attempt, count) in endpoint.record.attempts.lock().iter() {
            *runs.entry(attempt.clone()).or_default() += count;
        }
    }
    let outcomes = soak.outcomes.lock();
    let answered = outcomes
        .values()
        .filter(|(_, outcome)| *outcome == Outcome::Answered)
        .count();
    if answered * 4 < outcomes.len() {
        let line = format!("{answered} of {} requests were answered", outcomes.len());
        soak.violations.lock().push(line);
    }
    for (attempt, (is_unsafe, outcome)) in outcomes.iter().filter(|(_, (is_unsafe, _))| *is_unsafe)
    {
        let ran = runs.get(attempt).copied().unwrap_or(0);
        let limit = usize::from(*outcome != Outcome::NotRun);
        if ran > limit {
            let line =
                format!("{attempt} (unsafe: {is_unsafe}) ended {outcome:?} and ran {ran} times");
            soak.violations.lock().push(line);
        }
    }
}
