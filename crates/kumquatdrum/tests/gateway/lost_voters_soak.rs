//! A randomised test of setups that are acknowledged while control hosts are lost, two at a time at most, and
//! are read back after a final fault.
//!
//! `SOAK_SEEDS=0..50 cargo test --package kumquatdrum --test gateway lost_voters_soak` runs more seeds.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use reqwest::{Method, StatusCode};
use tokio::sync::RwLock;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::cluster::{Cluster, config};
use crate::endpoint_soak::{DEFAULT_SEEDS, seeds};
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
}

impl Loss {
    const ALL: [Self; 6] = [
        Self::Killed,
        Self::Frozen,
        Self::Terminated,
        Self::DiskEmptied,
        Self::Replaced,
        Self::TerminatedAndReplaced,
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
    let mut failed = Vec::new();
    for seed in seeds(DEFAULT_SEEDS) {
        match run_seed(seed).await {
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
async fn run_seed(seed: u64) -> Result<Duration, String> {
    let control_hosts = if seed.is_multiple_of(2) { 8 } else { VOTERS };
    let cluster = Cluster::with_control_hosts(482 + (seed % 4) as u16, control_hosts);
    cluster.apply(&config(1)).await;
    wait_for_voters(&cluster, VOTERS).await;
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
    let mut losses = JoinSet::new();
    for number in 0..2 {
        losses.spawn(lose(series.clone(), seed * 2 + number));
    }
    while let Some(ended) = losses.join_next().await {
        ended.expect("a task panicked");
    }
    series.is_over.store(true, Ordering::Relaxed);
    let acknowledged = operator.await.expect("a task panicked");
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
async fn lose(series: Arc<Series>, seed: u64) {
    let mut random = Pcg32::seed_from_u64(seed);
    let started = Instant::now();
    while started.elapsed() < DURATION {
        if !random.next_u32().is_multiple_of(3) {
            sleep(Duration::from_millis(u64::from(random.next_u32() % 1_500))).await;
        }
        let prefers_leader = random.next_u32().is_multiple_of(3);
        let leader = prefers_leader.then_some(leader(&*series.cluster.read().await));
        let place = series.take_place(leader, random.next_u32() as usize);
        let loss = Loss::ALL[random.next_u32() as usize % Loss::ALL.len()];
        let down = RESTART_PAUSE + Duration::from_millis(u64::from(random.next_u32() % 1_500));
        series.lose(place, loss, down).await;
        sleep(CATCH_UP).await;
        let seeds = series.hosts();
        series.cluster.write().await.seeds = seeds[..3].to_vec();
        series.places.lock()[place].is_lost = false;
    }
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
    async fn lose(&self, place: usize, loss: Loss, down: Duration) {
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
            Loss::Killed | Loss::DiskEmptied | Loss::Replaced => {
                self.cluster.write().await.kill(host);
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
            Loss::Killed | Loss::Terminated | Loss::Frozen => {
                cluster.start_host(host, false);
                host
            }
        };
        self.places.lock()[place].host = back;
        self.record(&format!("host {back} started"));
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
