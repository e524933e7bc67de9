//! A randomized soak of the real programs: faults from outside in series and at once, promises
//! checked from what callers, operators and endpoints see.
//!
//! By hand: `SOAK_SEEDS=0..50 SOAK_SECONDS=20 cargo test --package kumquatdrum --test gateway soak`

use std::collections::HashMap;
use std::ops::Range;
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

use crate::cluster::{CONTROL, Cluster, config};
use crate::endpoint::{Endpoint, Manner};
use crate::proxy::{MODES, Mode, Proxy};

/// Seeds that CI plays, each that ever failed among them.
const SEEDS: Range<u64> = 0..2;
const SECONDS: u64 = 8;
const CALLERS: u64 = 6;
/// Within this time after an acknowledgement it is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(2);
/// What one disk's loss takes to be made good.
const CATCH_UP: Duration = Duration::from_secs(4);

/// What one caller's attempt came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Answered,
    /// 503: it has not run and never will.
    NotRun,
    Other,
}

struct World {
    cluster: RwLock<Cluster>,
    endpoints: Vec<Endpoint>,
    over: AtomicBool,
    acknowledged: Mutex<Vec<(Instant, u64)>>,
    ends: Mutex<HashMap<String, (bool, End)>>,
    broken: Mutex<Vec<String>>,
    attempts: AtomicU64,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn soak() {
    let seeds = match std::env::var("SOAK_SEEDS") {
        Ok(text) => {
            let (first, last) = text.split_once("..").expect("FIRST..LAST");
            first.parse().expect("a seed")..last.parse().expect("a seed")
        }
        Err(_) => SEEDS,
    };
    let seconds = std::env::var("SOAK_SECONDS").ok();
    let seconds = seconds
        .and_then(|text| text.parse().ok())
        .unwrap_or(SECONDS);
    for seed in seeds {
        let broken = play(seed, Duration::from_secs(seconds)).await;
        assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    }
}

async fn play(seed: u64, length: Duration) -> Vec<String> {
    let cluster = Cluster::start(100 + (seed % 100) as u8);
    cluster.apply(&config(1)).await;
    let mut endpoints = Vec::new();
    let mut proxies = Vec::new();
    for number in 0..3 {
        let mut endpoint = Endpoint::start(&format!("i-{number}"), Manner::ByPath).await;
        let proxy = Proxy::start(endpoint.address).await;
        endpoint.address = proxy.address;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        cluster.ready(3, &endpoint).await;
        cluster.ready(4, &endpoint).await;
        endpoints.push(endpoint);
        proxies.push(proxy);
    }
    let world = Arc::new(World {
        cluster: RwLock::new(cluster),
        endpoints,
        over: AtomicBool::new(false),
        acknowledged: Mutex::default(),
        ends: Mutex::default(),
        broken: Mutex::default(),
        attempts: AtomicU64::new(0),
    });
    let mut tasks = JoinSet::new();
    for caller in 0..CALLERS {
        tasks.spawn(call(world.clone(), seed * 1_000 + caller));
    }
    tasks.spawn(operate(world.clone(), seed));
    tasks.spawn(read_back(world.clone(), seed));
    tasks.spawn(announce(world.clone()));
    disturb(&world, &proxies, seed, length).await;
    heal(&world, &proxies).await;
    world.over.store(true, Ordering::Relaxed);
    while let Some(ended) = tasks.join_next().await {
        ended.expect("a task of the soak");
    }
    judge(&world).await;
    std::mem::take(&mut *world.broken.lock())
}

/// Faults, one after the other and some at once.
async fn disturb(world: &World, proxies: &[Proxy], seed: u64, length: Duration) {
    let mut random = Pcg32::seed_from_u64(seed);
    let until = Instant::now() + length;
    let mut disk_lost_at: Option<Instant> = None;
    while Instant::now() < until {
        let host = random.next_u32() as usize % (CONTROL + 2);
        let pause = Duration::from_millis(200 + u64::from(random.next_u32() % 900));
        match random.next_u32() % 6 {
            0 => {
                let is_control = host < CONTROL;
                let calm = disk_lost_at.is_none_or(|at| at.elapsed() > CATCH_UP);
                let wipes = is_control && calm && random.next_u32() % 3 == 0;
                let mut cluster = world.cluster.write().await;
                cluster.kill(host);
                if wipes {
                    std::fs::remove_dir_all(cluster.data(host)).expect("a disk to lose");
                    disk_lost_at = Some(Instant::now());
                }
                drop(cluster);
                sleep(pause).await;
                world.cluster.write().await.start_host(host, false);
                if wipes {
                    sleep(CATCH_UP).await;
                }
            }
            1 => {
                world.cluster.read().await.signal(host, "-STOP");
                sleep(pause * 2).await;
                world.cluster.read().await.signal(host, "-CONT");
            }
            2 => world.cluster.read().await.signal(host, "-HUP"),
            3 if host >= CONTROL => {
                let mut cluster = world.cluster.write().await;
                cluster.signal(host, "-TERM");
                let code = cluster.ended(host).await;
                if code != Some(0) {
                    let line = format!("host {host} ended with {code:?} on SIGTERM");
                    world.broken.lock().push(line);
                }
                cluster.start_host(host, false);
            }
            _ => {
                let proxy = &proxies[random.next_u32() as usize % proxies.len()];
                proxy.set(MODES[random.next_u32() as usize % MODES.len()]);
                sleep(pause).await;
                if random.next_u32() % 4 != 0 {
                    proxy.set(Mode::Pass);
                }
            }
        }
        sleep(pause / 2).await;
    }
}

async fn heal(world: &World, proxies: &[Proxy]) {
    for proxy in proxies {
        proxy.set(Mode::Pass);
    }
    for host in 0..CONTROL + 2 {
        let mut cluster = world.cluster.write().await;
        if !cluster.runs(host) {
            cluster.start_host(host, false);
        }
    }
    sleep(CATCH_UP).await;
}

async fn call(world: Arc<World>, seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed);
    while !world.over.load(Ordering::Relaxed) {
        let number = world.attempts.fetch_add(1, Ordering::Relaxed);
        let attempt = format!("{seed}-{number}");
        let path = ["/safe/x", "/unsafe/x", "/stream/x"][random.next_u32() as usize % 3];
        let host = CONTROL + random.next_u32() as usize % 2;
        let call = world.cluster.read().await.call(host, path, &attempt);
        let call = call.timeout(Duration::from_secs(4)).send().await;
        let end = match call {
            Ok(answer) => check(&world, path, &attempt, answer).await,
            Err(_) => End::Other,
        };
        let is_unsafe = path.starts_with("/unsafe/");
        world.ends.lock().insert(attempt, (is_unsafe, end));
        sleep(Duration::from_millis(20)).await;
    }
}

async fn check(world: &World, path: &str, attempt: &str, answer: reqwest::Response) -> End {
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
                let line = format!("{attempt} got another answer than its own: {text:?}");
                world.broken.lock().push(line);
            }
            End::Answered
        }
        (401 | 403 | 404, _) => {
            let line = format!("{attempt} was denied with {status}");
            world.broken.lock().push(line);
            End::Other
        }
        (503 | 429 | 408 | 421, _) => End::NotRun,
        _ => End::Other,
    }
}

async fn operate(world: Arc<World>, seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed ^ 0x5eed);
    let mut revision = 1;
    while !world.over.load(Ordering::Relaxed) {
        revision += 1 + u64::from(random.next_u32() % 3);
        let host = random.next_u32() as usize % CONTROL;
        let text = config(revision);
        let cluster = world.cluster.read().await;
        let call = cluster.control(host, "/-/Config.Replace", Some(&text));
        let answer = tokio::time::timeout(Duration::from_secs(3), call).await;
        drop(cluster);
        let is_acknowledged = matches!(answer, Ok(Some(answer)) if answer.status() == 200);
        if is_acknowledged {
            world.acknowledged.lock().push((Instant::now(), revision));
        }
        sleep(Duration::from_millis(150)).await;
    }
}

async fn read_back(world: Arc<World>, seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed ^ 0xbac2);
    while !world.over.load(Ordering::Relaxed) {
        let asked = Instant::now();
        let host = random.next_u32() as usize % CONTROL;
        let cluster = world.cluster.read().await;
        let call = cluster.control(host, "/-/Config.Get", None);
        let answer = tokio::time::timeout(Duration::from_secs(3), call).await;
        drop(cluster);
        if let Ok(Some(answer)) = answer
            && answer.status() == 200
            && let Ok(text) = answer.text().await
        {
            compare(&world, &text, asked, host);
        }
        sleep(Duration::from_millis(120)).await;
    }
}

fn compare(world: &World, text: &str, asked: Instant, host: usize) {
    let read: Value = serde_json::from_str(text).expect("a config");
    let revision = read["version"].as_u64().unwrap_or(0);
    let acknowledged = world.acknowledged.lock();
    let due = acknowledged.iter().filter(|(at, _)| *at + IN_FORCE < asked);
    let newest = due.map(|(_, revision)| *revision).max().unwrap_or(0);
    if revision < newest {
        let line = format!("host {host} told revision {revision}, {newest} was acknowledged");
        world.broken.lock().push(line);
    }
}

async fn announce(world: Arc<World>) {
    let mut sequence = 1;
    while !world.over.load(Ordering::Relaxed) {
        sequence += 1;
        for (number, endpoint) in world.endpoints.iter().enumerate() {
            for host in 0..CONTROL {
                let cluster = world.cluster.read().await;
                let host = (host + number) % CONTROL;
                let beat = cluster.beat(host, endpoint, "plain", "ready", sequence);
                let taken = tokio::time::timeout(Duration::from_secs(1), beat).await;
                if taken.unwrap_or(false) {
                    break;
                }
            }
        }
        sleep(Duration::from_millis(300)).await;
    }
}

/// What holds at the end: nothing acknowledged is lost, and nothing ran that may not have.
async fn judge(world: &World) {
    let newest = world
        .acknowledged
        .lock()
        .iter()
        .map(|(_, revision)| *revision)
        .max();
    let cluster = world.cluster.read().await;
    for host in 0..CONTROL {
        let read: Value = serde_json::from_str(&cluster.read(host).await).expect("a config");
        if read["version"].as_u64() < newest {
            let line = format!("host {host} has lost what was acknowledged: {newest:?}");
            world.broken.lock().push(line);
        }
    }
    let mut runs: HashMap<String, usize> = HashMap::new();
    for endpoint in &world.endpoints {
        for (attempt, count) in endpoint.seen.attempts.lock().iter() {
            *runs.entry(attempt.clone()).or_default() += count;
        }
    }
    let ends = world.ends.lock();
    let answered = ends
        .values()
        .filter(|(_, end)| *end == End::Answered)
        .count();
    if answered * 4 < ends.len() {
        let line = format!("{answered} of {} requests were answered", ends.len());
        world.broken.lock().push(line);
    }
    for (attempt, (is_unsafe, end)) in ends.iter().filter(|(_, (is_unsafe, _))| *is_unsafe) {
        let ran = runs.get(attempt).copied().unwrap_or(0);
        let limit = usize::from(*end != End::NotRun);
        if ran > limit {
            let line = format!("{attempt} (unsafe: {is_unsafe}) ended {end:?} and ran {ran} times");
            world.broken.lock().push(line);
        }
    }
}
