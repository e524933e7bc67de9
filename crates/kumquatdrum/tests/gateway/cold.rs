//! Cold endpoints, which take few requests from all hosts together.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL_HOSTS, Cluster, config, engine_config};
use crate::endpoint::{Behaviour, Endpoint};
use crate::limit::load;

const HOSTS: usize = CONTROL_HOSTS + 6;
const WINDOW: Duration = Duration::from_secs(1);
/// The requests that a cold endpoint may get in [`WINDOW`]: 1.5 times its rate of 14, and five.
const ALLOWED: usize = 26;
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(300);
const COLD_START: Duration = Duration::from_secs(8);
/// The time in which hosts know each other and learn of a change.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// An endpoint that announces itself until it is dropped.
struct Announced {
    endpoint: Arc<Endpoint>,
    cold_ms: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl Announced {
    async fn start(cluster: &Arc<Cluster>, id: &str, cold: Duration) -> Self {
        let endpoint = Arc::new(Endpoint::start(id, Behaviour::StreamOrCompleteBody).await);
        let cold_ms = Arc::new(AtomicU64::new(cold.as_millis() as u64));
        let (cluster, shared, left_ms) = (cluster.clone(), endpoint.clone(), cold_ms.clone());
        let task = tokio::spawn(async move {
            for sequence in 1_u64.. {
                let announcement = json!({
                    "service": "plain", "address": shared.address.to_string(), "zone": "zone-0",
                    "version": "v1", "slots": 16, "state": "ready", "seq": sequence, "born": 1,
                    "coldLeftMs": left_ms.load(Ordering::Relaxed),
                });
                cluster.send_announcement(0, &shared, &announcement).await;
                sleep(ANNOUNCEMENT_INTERVAL).await;
            }
        });
        Self {
            endpoint,
            cold_ms,
            task,
        }
    }

    /// Returns the most requests that arrived within [`WINDOW`] after `since`.
    fn busiest_window(&self, since: Instant) -> usize {
        let arrivals = self.endpoint.record.arrivals.lock();
        let arrivals = arrivals.iter().map(|(at, _)| *at);
        let arrivals: Vec<Instant> = arrivals.filter(|at| *at >= since).collect();
        let in_window = |start: &Instant| {
            let end = *start + WINDOW;
            let within = arrivals.iter().filter(|at| *at >= start && **at <= end);
            within.count()
        };
        arrivals.iter().map(in_window).max().unwrap_or(0)
    }
}

impl Drop for Announced {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn check_cold(subnet: u16, mut config: Value, path: &'static str) {
    config["services"][0]["coldStartS"] = json!(COLD_START.as_secs_f64());
    config["services"][0]["coldPerS"] = json!(14);
    let cluster = Arc::new(Cluster::with_hosts(subnet, HOSTS));
    cluster.apply(&config).await;
    let warm = Announced::start(&cluster, "i-warm", Duration::ZERO).await;
    let cooling = Announced::start(&cluster, "i-cooling", Duration::ZERO).await;
    for host in CONTROL_HOSTS..HOSTS {
        cluster.wait_until_ready(host, &warm.endpoint).await;
        cluster.wait_until_ready(host, &cooling.endpoint).await;
    }
    sleep(SETTLE_TIME + COLD_START).await;

    let started = Instant::now();
    let new = Announced::start(&cluster, "i-new", COLD_START).await;
    cooling
        .cold_ms
        .store(COLD_START.as_millis() as u64, Ordering::Relaxed);
    let until = started + Duration::from_secs(6);
    let (sent, served) = load(cluster.clone(), path, until).await;
    assert_eq!(served, sent);
    for (cold, since) in [(&new, started), (&cooling, started + SETTLE_TIME / 2)] {
        let busiest = cold.busiest_window(since);
        let id = &cold.endpoint.id;
        assert!((1..=ALLOWED).contains(&busiest), "{busiest} at {id}");
    }
    let moved = "kumquatdrum_gateway_moved_from_cold_total";
    assert!(cluster.metric(CONTROL_HOSTS, moved).await > 0);
    let cold = "kumquatdrum_gateway_cold_endpoints";
    assert_eq!(cluster.metric(CONTROL_HOSTS, cold).await, 2);

    for endpoint in [&new, &cooling] {
        endpoint.cold_ms.store(0, Ordering::Relaxed);
    }
    sleep(SETTLE_TIME).await;
    assert_eq!(cluster.metric(CONTROL_HOSTS, cold).await, 0);
    let log = cluster.read_log(CONTROL_HOSTS);
    for event in ["event=endpoint_cold", "event=endpoint_warm"] {
        assert!(log.contains(event), "no {event}: {log}");
    }
}

#[tokio::test]
async fn cold_plain_endpoints_get_few_requests_from_all_hosts() {
    check_cold(68, config(3), "/safe/x").await;
}

#[tokio::test]
async fn cold_engines_get_few_requests_from_all_hosts() {
    check_cold(69, engine_config(3), "/stream/x").await;
}

/// Nothing was placed for more than a second after the loss of all hosts, as warm endpoints that
/// control hosts recalled from disk counted as cold.
#[tokio::test]
async fn hosts_that_all_restart_place_at_once_on_endpoints_that_were_warm() {
    let mut config = config(3);
    config["services"][0]["coldStartS"] = json!(COLD_START.as_secs_f64());
    config["services"][0]["coldPerS"] = json!(14);
    let mut cluster = Cluster::with_hosts(70, CONTROL_HOSTS + 2);
    cluster.apply(&config).await;
    let warm = Endpoint::start("i-warm", Behaviour::CompleteBody).await;
    cluster.announce(&warm, "plain", "ready", 1).await;
    for host in 0..CONTROL_HOSTS {
        cluster.wait_until_stored(host, &warm).await;
    }
    for host in 0..cluster.hosts() {
        cluster.kill(host);
    }
    for host in 0..cluster.hosts() {
        cluster.start_host(host, false);
    }
    // The endpoint doesn't announce itself again.
    for host in CONTROL_HOSTS..cluster.hosts() {
        cluster.wait_until_ready(host, &warm).await;
        let answer = cluster.request(host, "/safe/x", &format!("at-{host}"));
        let answer = answer.send().await.expect("an answer");
        assert_eq!(answer.status(), reqwest::StatusCode::OK);
        let log = cluster.read_log(host);
        let restarted = log.rfind("event=started").unwrap_or(0);
        assert!(!log[restarted..].contains("event=endpoint_cold"), "{log}");
    }
}
