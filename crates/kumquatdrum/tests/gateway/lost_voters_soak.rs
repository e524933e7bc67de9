//! A randomised test of setups that are acknowledged while control hosts are lost, two at a time at most, and
//! are read back after a final fault.
//!
//! `SOAK_SEEDS=0..50 cargo test --package kumquatdrum --test gateway lost_voters_soak` runs more seeds, also of
//! `interrupted_creations_soak`.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use kumquatdrum_disk::FILE_NAME;
use parking_lot::Mutex;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use reqwest::{Method, StatusCode};
use tokio::sync::RwLock;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::cluster::{Cluster, config};
use crate::endpoint::{Behaviour, Endpoint};
use crate::endpoint_soak::{DEFAULT_SEEDS, seeds};
use crate::steady_callers;
use crate::voters::{
    ANSWER_TIMEOUT, CATCH_UP, RESTART_PAUSE, kill_all, leader, read_back, replica_lines, voters,
    wait_for_voters,
};

/// The time in which losses begin.
const DURATION: Duration = Duration::from_secs(15);
/// The time in which a setup is acknowledged in calm.
const CALM_LIMIT: Duration = Duration::from_secs(10);
/// The time after which a host that stops gracefully is killed.
const GRACE: Duration = Duration::from_secs(8);
/// The time in which a process creates its data file.
const CREATION_LIMIT: Duration = Duration::from_secs(2);
const VOTERS: usize = 5;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How a control host is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Killed,
    Frozen,
    Terminated,
    DiskEmptied,
    Replaced,
    TerminatedAndReplaced,
    /// The disk is emptied, and the process is killed while it creates its data file, again and again.
    CreationKilled,
}

impl Loss {
    const ONCE: [Self; 6] = [
        Self::Killed,
        Self::Frozen,
        Self::Terminated,
        Self::DiskEmptied,
        Self::Replaced,
        Self::TerminatedAndReplaced,
    ];
    const WITH_CREATIONS: [Self; 6] = [
        Self::Killed,
        Self::Frozen,
        Self::Terminated,
        Self::CreationKilled,
        Self::CreationKilled,
        Self::CreationKilled,
    ];
}

/// A machine in the operator's list, or its successor.
#[derive(Debug, Clone, Copy)]
struct Place {
    host: usize,
    is_lost: bool,
}

/// State shared by the tasks of the test.
struct Series {
    cluster: RwLock<Cluster>,
    places: Mutex<Vec<Place>>,
    /// What happened, with the time of day as in the logs.
    events: Mutex<Vec<String>>,
    is_over: AtomicBool,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_voters_soak() {
    run_seeds(482, &Loss::ONCE).await;
}

/// Guards against control hosts without a replica for good, since their processes were killed while they
/// created their data files.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn interrupted_creations_soak() {
    run_seeds(495, &Loss::WITH_CREATIONS).await;
}

async fn run_seeds(subnet: u16, kinds: &'static [Loss]) {
    let mut failed = Vec::new();
    for seed in seeds(DEFAULT_SEEDS) {
        match run_seed(seed, subnet, kinds).await {
            Ok(passed) => println!("seed {seed}: read after {passed:?}"),
            Err(failure) => {
                println!("seed {seed}: {failure}");
                failed.push(seed);
            }
        }
    }
    assert!(failed.is_empty(), "failed seeds: {failed:?}");
}

/// Runs a seed on a cluster in one of 4 subnets, with spares if the seed is even.
async fn run_seed(seed: u64, subnet: u16, kinds: &'static [Loss]) -> Result<Duration, String> {
    let control_hosts = if seed.is_multiple_of(2) { 8 } else { VOTERS };
    let cluster = Cluster::with_control_hosts(subnet + (seed % 4) as u16, control_hosts);
    cluster.apply(&config(1)).await;
    wait_for_voters(&cluster, VOTERS).await;
    let endpoint = Endpoint::start("i-0", Behaviour::CompleteBody).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    let entries = [control_hosts, control_hosts + 1];
    for entry in entries {
        cluster.wait_until_ready(entry, &endpoint).await;
    }
    let addresses = entries.map(|entry| cluster.callers(entry));
    let places = cluster.control_hosts().into_iter().map(|host| Place {
        host,
        is_lost: false,
    });
    let series = Arc::new(Series {
        places: Mutex::new(places.collect()),
        cluster: RwLock::new(cluster),
        events: Mutex::default(),
        is_over: AtomicBool::new(false),
    });
    let operator = tokio::spawn(operate(series.clone(), seed));
    let announcer = tokio::spawn(announce(series.clone(), endpoint));
    let mut callers = JoinSet::new();
    for (number, address) in addresses.into_iter().enumerate() {
        let series = series.clone();
        let name = format!("{seed:08}{number:04}");
        callers.spawn(async move { steady_callers::call(address, name, &series.is_over).await });
    }
    let mut losses = JoinSet::new();
    for number in 0..2 {
        losses.spawn(lose(series.clone(), seed * 2 + number, kinds));
    }
    while let Some(ended) = losses.join_next().await {
        ended.expect("a task panicked");
    }
    series.is_over.store(true, Ordering::Relaxed);
    let acknowledged = operator.await.expect("a task panicked");
    announcer.await.expect("a task panicked");
    while let Some(outcome) = callers.join_next().await {
        let outcome = outcome.expect("a task panicked");
        if !outcome.failures.is_empty() || outcome.answered == 0 {
            return Err(format!("callers: {outcome:?}"));
        }
    }
    let result = match acknowledged {
        Some(revision) => end(&series, seed, revision).await,
        None => Err(format!("no setup was acknowledged in {CALM_LIMIT:?}")),
    };
    println!("seed {seed}:\n{}", series.events.lock().join("\n"));
    let cluster = series.cluster.read().await;
    result.map_err(|failure| format!("{failure}\n{}", replica_lines(&cluster)))
}

/// Kills all hosts, empties the disks of the leader and another voter, and reads the setup back.
async fn end(series: &Series, seed: u64, revision: u64) -> Result<Duration, String> {
    let mut random = Pcg32::seed_from_u64(!seed);
    let mut cluster = series.cluster.write().await;
    let hosts = series.hosts();
    let is_leader = |host: &&usize| **host == leader(&cluster);
    let first = *hosts.iter().find(is_leader).unwrap_or(&hosts[0]);
    let mut others = voters(&cluster);
    others.retain(|voter| *voter != first && hosts.contains(voter));
    let other = others[random.next_u32() as usize % others.len()];
    series.record(&format!("all killed, {first} and {other} emptied"));
    kill_all(&mut cluster, &[first, other]).await;
    series.record("all started");
    read_back(&cluster, &hosts, revision..=revision).await
}

/// Loses one control host after the other, each once the one before no longer counts as lost.
async fn lose(series: Arc<Series>, seed: u64, kinds: &[Loss]) {
    let mut random = Pcg32::seed_from_u64(seed);
    let started = Instant::now();
    while started.elapsed() < DURATION {
        if !random.next_u32().is_multiple_of(3) {
            sleep(Duration::from_millis(u64::from(random.next_u32() % 1_500))).await;
        }
        let prefers_leader = random.next_u32().is_multiple_of(3);
        let leader = prefers_leader.then_some(leader(&*series.cluster.read().await));
        let place = series.take_place(leader, random.next_u32() as usize);
        let loss = kinds[random.next_u32() as usize % kinds.len()];
        let down = RESTART_PAUSE + Duration::from_millis(u64::from(random.next_u32() % 1_500));
        series.lose(place, loss, down, &mut random).await;
        sleep(CATCH_UP).await;
        let seeds = series.hosts();
        series.cluster.write().await.seeds = seeds[..3].to_vec();
        series.places.lock()[place].is_lost = false;
    }
}

/// Announces the endpoint until the losses are over.
async fn announce(series: Arc<Series>, endpoint: Endpoint) {
    let hosts = || series.hosts();
    steady_callers::announce(&series.cluster, &endpoint, hosts, &series.is_over).await;
}

/// Changes the setup until the losses are over. Returns the revision that was acknowledged then, if any was.
async fn operate(series: Arc<Series>, seed: u64) -> Option<u64> {
    let mut random = Pcg32::seed_from_u64(seed ^ 0x5eed);
    let mut revision = 1;
    let mut asked = random.next_u32() as usize;
    loop {
        revision += 1 + u64::from(random.next_u32() % 3);
        let text = config(revision).to_string();
        let started = Instant::now();
        let mut calm = None;
        loop {
            let hosts = series.hosts();
            let host = hosts[asked % hosts.len()];
            let cluster = series.cluster.read().await;
            let request = cluster.control_request(host, Method::POST, "/-/Config.Replace");
            drop(cluster);
            let request = request.body(text.clone()).timeout(ANSWER_TIMEOUT);
            if let Ok(answer) = request.send().await
                && answer.status() == StatusCode::OK
            {
                let passed = started.elapsed();
                series.record(&format!(
                    "{revision} acknowledged by {host} after {passed:?}"
                ));
                break;
            }
            asked += 1;
            if series.is_over.load(Ordering::Relaxed) {
                let calm = calm.get_or_insert_with(Instant::now);
                if calm.elapsed() > CALM_LIMIT {
                    return None;
                }
            }
            sleep(POLL_INTERVAL).await;
        }
        if series.is_over.load(Ordering::Relaxed) {
            return Some(revision);
        }
        sleep(Duration::from_millis(
            100 + u64::from(random.next_u32() % 400),
        ))
        .await;
    }
}

impl Series {
    /// Returns the control hosts in the operator's list.
    fn hosts(&self) -> Vec<usize> {
        self.places.lock().iter().map(|place| place.host).collect()
    }

    fn record(&self, event: &str) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let now = now.expect("a time after 1970").as_secs_f64();
        self.events.lock().push(format!("{now:.3} {event}"));
    }

    /// Takes the preferred host's place, or one by number, of the places that aren't lost.
    fn take_place(&self, preferred: Option<usize>, number: usize) -> usize {
        let mut places = self.places.lock();
        let free: Vec<usize> = (0..places.len())
            .filter(|place| !places[*place].is_lost)
            .collect();
        let is_preferred = |place: &&usize| Some(places[**place].host) == preferred;
        let place = *free
            .iter()
            .find(is_preferred)
            .unwrap_or(&free[number % free.len()]);
        places[place].is_lost = true;
        place
    }

    /// Loses a control host, and returns once it or its successor has started.
    async fn lose(&self, place: usize, loss: Loss, down: Duration, random: &mut Pcg32) {
        let host = self.places.lock()[place].host;
        self.record(&format!("host {host} lost: {loss:?}, back after {down:?}"));
        match loss {
            Loss::Frozen => {
                self.cluster.read().await.signal(host, "-STOP");
                sleep(down).await;
                self.cluster.read().await.signal(host, "-CONT");
                self.record(&format!("host {host} continued"));
                return;
            }
            Loss::Terminated | Loss::TerminatedAndReplaced => self.terminate(host).await,
            Loss::Killed | Loss::DiskEmptied | Loss::Replaced | Loss::CreationKilled => {
                self.cluster.write().await.kill(host);
            }
        }
        if loss == Loss::CreationKilled {
            let data = self.cluster.read().await.data_path(host);
            std::fs::remove_dir_all(data).expect("the data folder is removed");
            for _ in 0..=random.next_u32() % 3 {
                self.kill_creation(host, random).await;
            }
        }
        sleep(down).await;
        let mut cluster = self.cluster.write().await;
        let back = match loss {
            Loss::Replaced | Loss::TerminatedAndReplaced => cluster.add_control_host(),
            Loss::DiskEmptied => {
                std::fs::remove_dir_all(cluster.data_path(host))
                    .expect("the data folder is removed");
                cluster.start_host(host, false);
                host
            }
            Loss::Killed | Loss::Terminated | Loss::Frozen | Loss::CreationKilled => {
                cluster.start_host(host, false);
                host
            }
        };
        self.places.lock()[place].host = back;
        self.record(&format!("host {back} started"));
    }

    /// Starts a host and kills it once its data file has a length, or at a random moment.
    async fn kill_creation(&self, host: usize, random: &mut Pcg32) {
        let mut cluster = self.cluster.write().await;
        let path = cluster.data_path(host).join(FILE_NAME);
        let has_length = || std::fs::metadata(&path).is_ok_and(|data| data.len() > 0);
        let limit = match random.next_u32() % 4 {
            1.. if !has_length() => CREATION_LIMIT,
            _ => Duration::from_millis(u64::from(random.next_u32() % 40)),
        };
        cluster.start_host(host, false);
        let started = Instant::now();
        // A pause would miss the moment.
        tokio::task::block_in_place(|| {
            let is_left = has_length();
            while started.elapsed() < limit && (is_left || !has_length()) {
                std::hint::spin_loop();
            }
        });
        cluster.kill(host);
        let contents = std::fs::read(&path).unwrap_or_default();
        let state = match contents.first() {
            None => "empty",
            Some(_) if contents.starts_with(b"redb") => "whole header",
            Some(_) => "unfinished",
        };
        self.record(&format!("host {host} killed at its start: {state}"));
    }

    /// Stops a host gracefully, and kills it if that takes too long.
    async fn terminate(&self, host: usize) {
        self.cluster.read().await.signal(host, "-TERM");
        let until = Instant::now() + GRACE;
        while self.cluster.write().await.take_exit(host).is_none() {
            if Instant::now() > until {
                self.cluster.write().await.kill(host);
                break;
            }
            sleep(POLL_INTERVAL).await;
        }
        self.record(&format!("host {host} ended"));
    }
}
