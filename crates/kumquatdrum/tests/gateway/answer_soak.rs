//! A randomised test that each request that a host has read gets an answer or a refusal, while the
//! setup, hosts, endpoints and evacuations change in planned ways. Nothing is killed, cut or frozen.
//!
//! `SOAK_SEEDS=0..50 cargo test --package kumquatdrum --test gateway answer_soak` runs more seeds.
//!
//! A request ends in one of these ways: a complete answer (a refusal is one), its caller's leaving,
//! or the end of its connection before. The last is a failure unless
//!
//! - the request crossed the host's close: no endpoint ran it, and either an earlier answer on the
//!   connection said `Connection: close` or was cut off itself, or the host had not read the request's head (no host's log
//!   names it), the connection ended before, or within [`LOSS_SLACK`] after, its last byte was sent,
//!   and the host had a reason to close that callers know: it was stopping, or the caller had been
//!   idle for more than four fifths of the idle timeout; or
//! - an endpoint still worked on it when its time limit ended, or in the last sixth of the time that
//!   a stopping host has, if it was sent at most [`LATE_AFTER_STOP`] after SIGTERM.
//!
//! Further failures: a host read a request's head and reset its connection while the caller sent the
//! rest; a request that may not be repeated ran twice, or was refused and ran; a stream has not the events that its endpoint sent; a request to a route and with a key that are in force
//! all the time got a 401 or 404.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::json;
use tokio::sync::RwLock;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::caller::{Caller, End, Framing, Request};
use crate::cluster::{CONTROL_HOSTS, Cluster, HOSTS};
use crate::endpoint::{Behaviour, Endpoint};
use crate::evacuation::order;

mod call;
mod setup;

pub use call::{Call, LOSS_SLACK, Log, summarize};
pub use setup::Setup;

/// Seeds that run by default.
const DEFAULT_SEEDS: std::ops::Range<u64> = 0..4;
/// The seeds that run at the same time.
const CONCURRENT_SEEDS: usize = 2;
/// Duration of the load per seed.
const DURATION: Duration = Duration::from_secs(12);
const CALLERS: u64 = 14;
/// The endpoints. The last one is the only engine, so that prompts wait.
const ENDPOINTS: u64 = 4;
/// The time that an endpoint serves after it has said that it leaves.
const SERVES_WHILE_LEAVING: Duration = Duration::from_millis(6_500);
/// Two prompts of this size fill an engine.
const LARGE_PROMPT: &str = "Kumquatdrum-Token-Count: 154000,100\r\n";
const SMALL_PROMPT: &str = "Kumquatdrum-Token-Count: 2000,100\r\n";

/// State shared by the tasks of a seed.
struct Soak {
    cluster: RwLock<Cluster>,
    callers: Vec<SocketAddr>,
    calls: Mutex<Vec<Call>>,
    ended: Mutex<Vec<Endpoint>>,
    next_id: AtomicU64,
    /// When hosts got SIGTERM.
    stops: Mutex<Vec<(usize, Instant)>>,
    is_over: AtomicBool,
}

impl Soak {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }
}

/// Waits for a random time.
async fn pause(random: &mut Pcg32, from_ms: u64, until_ms: u64) {
    let more = u64::from(random.next_u32()) % (until_ms - from_ms);
    sleep(Duration::from_millis(from_ms + more)).await;
}

fn one_in(random: &mut Pcg32, count: u32) -> bool {
    random.next_u32().is_multiple_of(count)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_soak() {
    let mut seeds = crate::endpoint_soak::seeds(DEFAULT_SEEDS);
    let (mut running, mut failures) = (JoinSet::new(), Vec::new());
    loop {
        while running.len() < CONCURRENT_SEEDS
            && let Some(seed) = seeds.next()
        {
            running.spawn(run_seed(seed));
        }
        match running.join_next().await {
            Some(failed) => failures.extend(failed.expect("a seed's task")),
            None => break,
        }
    }
    assert!(failures.is_empty(), "{}", summarize(&failures));
}

/// Runs a seed and returns the failures.
async fn run_seed(seed: u64) -> Vec<String> {
    let cluster = Cluster::start(225 + (seed % 10) as u16);
    cluster.apply(&Setup::new(1).encode()).await;
    let soak = Arc::new(Soak {
        callers: (CONTROL_HOSTS..HOSTS)
            .map(|host| cluster.callers(host))
            .collect(),
        cluster: RwLock::new(cluster),
        calls: Mutex::default(),
        ended: Mutex::default(),
        next_id: AtomicU64::new(0),
        stops: Mutex::default(),
        is_over: AtomicBool::new(false),
    });
    let mut tasks = JoinSet::new();
    for number in 0..ENDPOINTS {
        tasks.spawn(run_endpoint(soak.clone(), seed * 100 + number, number));
    }
    for host in CONTROL_HOSTS..HOSTS {
        let until = Instant::now() + Duration::from_secs(30);
        let known = async || {
            let log = soak.cluster.read().await.read_log(host);
            log.matches("event=endpoint_known").count() as u64
        };
        while known().await < ENDPOINTS {
            assert!(Instant::now() < until, "seed {seed}: endpoints not known");
            sleep(Duration::from_millis(50)).await;
        }
    }
    for caller in 0..CALLERS {
        tasks.spawn(run_caller(soak.clone(), seed, caller));
    }
    let mut changes = JoinSet::new();
    changes.spawn(change_setup(soak.clone(), seed));
    changes.spawn(signal_hosts(soak.clone(), seed, CONTROL_HOSTS..HOSTS));
    changes.spawn(signal_hosts(soak.clone(), seed, 0..CONTROL_HOSTS));
    changes.spawn(evacuate(soak.clone(), seed));
    sleep(DURATION).await;
    soak.is_over.store(true, Ordering::Relaxed);
    tasks.join_all().await;
    changes.join_all().await;
    check(&soak, seed).await
}

async fn check(soak: &Soak, seed: u64) -> Vec<String> {
    let log = Log::read(&*soak.cluster.read().await);
    let ended = soak.ended.lock();
    let runs = |attempt: &str| -> usize {
        let runs = |endpoint: &Endpoint| endpoint.record.attempts.lock().get(attempt).copied();
        ended.iter().filter_map(runs).sum()
    };
    let (mut verdicts, mut failures) = (BTreeMap::<String, usize>::new(), Vec::new());
    for call in soak.calls.lock().iter() {
        match call.check(&log, runs(&call.attempt), &soak.stops.lock()) {
            Ok(verdict) => *verdicts.entry(verdict).or_default() += 1,
            Err(reason) => failures.push(format!("seed {seed}: {reason}")),
        }
    }
    println!("seed {seed}: {verdicts:?}, {} failures", failures.len());
    if verdicts.get("200").is_none_or(|served| *served < 50) {
        failures.push(format!("seed {seed}: too few served: {verdicts:?}"));
    }
    failures
}

/// Runs an endpoint, which leaves at times, once another has taken its place.
async fn run_endpoint(soak: Arc<Soak>, seed: u64, number: u64) {
    let mut random = Pcg32::seed_from_u64(seed);
    let service = if number + 1 < ENDPOINTS {
        "plain"
    } else {
        "models"
    };
    let mut leaving = JoinSet::new();
    let start = async || {
        let id = format!("i-{}", soak.next_id.fetch_add(1, Ordering::Relaxed));
        Endpoint::start(&id, Behaviour::ByPath).await
    };
    let mut endpoint = start().await;
    let (mut sequence, mut leaves_at) = (0, 10 + random.next_u32() % 60);
    while !soak.is_over() {
        sequence += 1;
        announce(&soak, &endpoint, service, number, "ready", sequence).await;
        if sequence > u64::from(leaves_at) {
            leaves_at = 20 + random.next_u32() % 60;
            let left = std::mem::replace(&mut endpoint, start().await);
            let is_announced = one_in(&mut random, 2);
            leaving.spawn(leave(
                soak.clone(),
                left,
                service,
                number,
                sequence,
                is_announced,
            ));
            sequence = 0;
        }
        sleep(Duration::from_millis(250)).await;
    }
    leaving.join_all().await;
    // Callers go on for the time limit of their last request.
    sleep(Duration::from_secs(8)).await;
    soak.ended.lock().push(endpoint);
}

async fn announce(
    soak: &Soak,
    endpoint: &Endpoint,
    service: &str,
    number: u64,
    state: &str,
    sequence: u64,
) {
    let announcement = json!({
        "service": service, "address": endpoint.address.to_string(),
        "zone": format!("zone-{}", number % 3), "version": "v1", "slots": 16, "state": state,
        "coldLeftMs": 0, "seq": sequence, "born": 1,
    });
    let cluster = soak.cluster.read().await;
    for host in 0..CONTROL_HOSTS {
        let call = cluster.send_announcement(host, endpoint, &announcement);
        if tokio::time::timeout(Duration::from_secs(1), call).await == Ok(true) {
            return;
        }
    }
}

/// Lets an endpoint leave, with an announcement before or without, and serve for a while after.
async fn leave(
    soak: Arc<Soak>,
    endpoint: Endpoint,
    service: &'static str,
    number: u64,
    mut sequence: u64,
    is_announced: bool,
) {
    let until = Instant::now() + SERVES_WHILE_LEAVING;
    while is_announced && Instant::now() + Duration::from_secs(4) < until {
        sequence += 1;
        announce(&soak, &endpoint, service, number, "draining", sequence).await;
        sleep(Duration::from_millis(250)).await;
    }
    let path = format!("/-/Instances.Leave/{}", endpoint.id);
    for host in 0..CONTROL_HOSTS {
        let cluster = soak.cluster.read().await;
        let answer = cluster.call_control(host, &path, Some(&json!({}))).await;
        if answer.is_some_and(|answer| answer.status().is_success()) {
            break;
        }
    }
    tokio::time::sleep_until(until).await;
    endpoint.stop();
    soak.ended.lock().push(endpoint);
}

async fn change_setup(soak: Arc<Soak>, seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed ^ 0x5e7);
    let mut setup = Setup::new(1);
    while !soak.is_over() {
        pause(&mut random, 100, 900).await;
        setup.change(&mut random);
        let first = setup.encode();
        if one_in(&mut random, 3) {
            let cluster = soak.cluster.read().await;
            setup.change(&mut random);
            let second = setup.encode();
            let later = async {
                pause(&mut random, 0, 100).await;
                cluster.apply(&second).await;
            };
            tokio::join!(cluster.apply(&first), later);
        } else {
            soak.cluster.read().await.apply(&first).await;
        }
    }
}

/// Reloads, and stops and starts again, one of the hosts after the other.
async fn signal_hosts(soak: Arc<Soak>, seed: u64, hosts: std::ops::Range<usize>) {
    let mut random = Pcg32::seed_from_u64(seed ^ hosts.start as u64);
    let mut host = hosts.start;
    while !soak.is_over() {
        pause(&mut random, 200, 1_500).await;
        host = hosts.start + (host + 1 - hosts.start) % hosts.len();
        if one_in(&mut random, 2) {
            soak.cluster.read().await.signal(host, "-HUP");
            continue;
        }
        soak.stops.lock().push((host, Instant::now()));
        soak.cluster.read().await.signal(host, "-TERM");
        let status = loop {
            sleep(Duration::from_millis(50)).await;
            if let Some(status) = soak.cluster.write().await.take_exit(host) {
                break status;
            }
        };
        assert!(status.success(), "seed {seed}: host {host}: {status}");
        soak.cluster.write().await.start_host(host, false);
    }
}

async fn evacuate(soak: Arc<Soak>, seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed ^ 0xe7ac);
    while !soak.is_over() {
        pause(&mut random, 500, 3_000).await;
        let zone = random.next_u32() % 3;
        for name in ["Start", "End"] {
            let text = format!("{name}/zone-{zone}");
            order(&*soak.cluster.read().await, &[0, 1, 2], &text).await;
            pause(&mut random, 300, 2_000).await;
        }
    }
}

/// Sends requests on one connection after the other, each used until the host closes it.
async fn run_caller(soak: Arc<Soak>, seed: u64, number: u64) {
    let mut random = Pcg32::seed_from_u64(seed * 1_000 + number);
    let mut count = 0;
    while !soak.is_over() {
        let host = random.next_u32() as usize % soak.callers.len();
        let Ok(mut caller) = Caller::connect(soak.callers[host]).await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let (mut is_open, mut idle_since) = (true, Instant::now());
        let mut before = String::new();
        while is_open && !soak.is_over() {
            count += 1;
            let name = format!("at-{seed}-{number}-{count}");
            let host = CONTROL_HOSTS + host;
            let idle = idle_since.elapsed();
            let (mut calls, read_late) = run_exchange(&mut caller, &mut random, host, &name).await;
            calls[0].idle = idle;
            calls[0].before = std::mem::take(&mut before);
            // For the host, a caller that reads late has been idle meanwhile.
            idle_since = Instant::now() - read_late;
            is_open = calls.iter().all(|call| match &call.end {
                Some(End::Answered(answer)) => !answer.head.contains("connection: close"),
                _ => false,
            });
            if let Some(last) = calls.last() {
                before = format!("{} {} {}", last.path, last.way, last.describe_end());
            }
            soak.calls.lock().extend(calls);
            if is_open {
                let idle_ms = if one_in(&mut random, 12) { 1_500 } else { 60 };
                pause(&mut random, 0, idle_ms).await;
            }
        }
        // A refusal at once is no reason to press on.
        pause(&mut random, 0, 60).await;
    }
}

/// Sends one request, or two one behind the other, and waits for their ends or leaves. Returns them,
/// and how late they were read.
async fn run_exchange(
    caller: &mut Caller,
    random: &mut Pcg32,
    host: usize,
    name: &str,
) -> (Vec<Call>, Duration) {
    let leaves_after_ms = one_in(random, 25).then(|| u64::from(random.next_u32() % 1_000));
    let reads_after_ms = one_in(random, 10).then(|| u64::from(random.next_u32() % 1_500));
    let count = 1 + usize::from(one_in(random, 8));
    let mut calls = Vec::new();
    for position in 0..count {
        let attempt = format!("{name}{}", if position == 0 { "" } else { "-next" });
        calls.push(send(caller, random, host, attempt).await);
    }
    if let Some(delay) = leaves_after_ms {
        sleep(Duration::from_millis(delay)).await;
        for call in &mut calls {
            call.ended_at = Instant::now();
        }
        return (calls, Duration::ZERO);
    }
    let mut read_late = Duration::ZERO;
    if let Some(delay) = reads_after_ms
        && !caller.ends_within(LOSS_SLACK).await
    {
        read_late = Duration::from_millis(delay);
        sleep(read_late).await;
    }
    let mut is_behind_close = false;
    for call in &mut calls {
        let end = caller.receive().await;
        call.ended_at = Instant::now();
        call.is_behind_close = is_behind_close;
        is_behind_close |= match &end {
            End::Answered(answer) => answer.head.contains("connection: close"),
            End::Broken(_) | End::Lost(_) => true,
        };
        call.end = Some(end);
    }
    (calls, read_late)
}

/// Sends a random request in a random way.
async fn send(caller: &mut Caller, random: &mut Pcg32, host: usize, attempt: String) -> Call {
    let prefixes = [
        "/safe/",
        "/unsafe/",
        "/stream/",
        "/once/",
        "/model/",
        "/model-once/",
        "/extra0/",
        "/extra1/",
        "/extra2/",
        "/none/",
    ];
    let prefix = prefixes[random.next_u32() as usize % prefixes.len()];
    let is_stream = ["/stream/", "/once/", "/model", "/extra2/"]
        .iter()
        .any(|stream| prefix.starts_with(stream));
    let events = if is_stream {
        1 + random.next_u32() % 6
    } else {
        0
    };
    let silence_ms = if one_in(random, 8) {
        1_000 + random.next_u32() % 1_400
    } else {
        0
    };
    let first_ms = if one_in(random, 6) {
        random.next_u32() % 300
    } else {
        0
    };
    let path = format!(
        "{prefix}{first_ms}-{events}-{}-{silence_ms}",
        random.next_u32() % 60
    );
    let request = Request {
        key: if one_in(random, 15) { "key-2" } else { "key-1" },
        framing: if one_in(random, 3) {
            Framing::Chunked
        } else {
            Framing::Length
        },
        body_bytes: [20, 2_000, 60_000][random.next_u32() as usize % 3],
        pieces: random.next_u32() as usize % 4,
        pause: Duration::from_millis(u64::from(random.next_u32() % 60)),
        headers: if one_in(random, 2) {
            LARGE_PROMPT
        } else {
            SMALL_PROMPT
        },
        ..Request::new(&path, &attempt)
    };
    let way = format!(
        "{} {:?} {} bytes in {} pieces, {:?}",
        request.key, request.framing, request.body_bytes, request.pieces, request.pause
    );
    let head = request.head();
    // A head in two parts, at times, before the body.
    let split = if one_in(random, 4) { head.len() / 2 } else { 0 };
    let sent = match split {
        0 => caller.send(&request).await,
        _ => caller.send_split(&request, split).await,
    };
    let now = Instant::now();
    Call {
        is_whole: sent.is_ok(),
        limit: Duration::from_millis(request.deadline_ms),
        before: String::new(),
        idle: Duration::ZERO,
        attempt,
        host,
        way,
        sent_at: now,
        ended_at: now,
        end: None,
        is_behind_close: false,
        path,
    }
}
