//! Endpoints that name the requests per second that they take from all hosts together.

use std::sync::Arc;
use std::time::Duration;

use reqwest::StatusCode;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL_HOSTS, Cluster, HOSTS, config, engine_config};
use crate::endpoint::{Behaviour, Endpoint};

/// The span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// The time in which all hosts learn of a limit.
pub const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
const LOAD_DURATION: Duration = Duration::from_secs(9);
const LIMIT: f64 = 2.0;

/// Returns the number of requests that a limited endpoint may get in [`WINDOW`].
pub fn allowed(limit: f64) -> usize {
    (limit * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize
}

/// Returns the most requests that arrived within [`WINDOW`], after `since`.
fn busiest_window(endpoint: &Endpoint, since: Instant) -> usize {
    let arrivals = endpoint.record.arrivals.lock();
    let late = arrivals.iter().map(|(at, _)| *at);
    count_busiest(&late.filter(|at| *at > since).collect::<Vec<_>>())
}

/// Returns the most requests that arrived within [`WINDOW`].
pub fn count_busiest(arrivals: &[Instant]) -> usize {
    let in_window = |start: &Instant| {
        let end = *start + WINDOW;
        let within = arrivals.iter().filter(|at| *at >= start && **at <= end);
        within.count()
    };
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

/// Starts two endpoints, the first of which names a limit.
async fn start(subnet: u16, hosts: usize, config: &Value) -> (Cluster, Endpoint, Endpoint) {
    let cluster = Cluster::with_hosts(subnet, hosts);
    cluster.apply(config).await;
    let limited = Endpoint::start("i-limited", Behaviour::StreamOrCompleteBody).await;
    let other = Endpoint::start("i-other", Behaviour::StreamOrCompleteBody).await;
    for endpoint in [&limited, &other] {
        cluster.announce(endpoint, "plain", "ready", 1).await;
    }
    for host in CONTROL_HOSTS..hosts {
        cluster.wait_until_ready(host, &limited).await;
        cluster.wait_until_ready(host, &other).await;
    }
    (cluster, limited, other)
}

/// Sends requests to all hosts, one after the other from each of eight callers, and returns the
/// number of requests and of those that were served.
pub async fn load(cluster: Arc<Cluster>, path: &'static str, until: Instant) -> (usize, usize) {
    let caller_hosts = cluster.hosts() - CONTROL_HOSTS;
    let mut callers = JoinSet::new();
    for caller in 0..8 {
        let cluster = cluster.clone();
        callers.spawn(async move {
            let (mut sent, mut served) = (0, 0);
            while Instant::now() < until {
                sent += 1;
                let attempt = format!("at-{caller}-{sent}");
                let host = CONTROL_HOSTS + (caller + sent) % caller_hosts;
                let call = cluster.request(host, path, &attempt);
                let answer = call
                    .header("Kumquatdrum-Token-Count", "2000,100")
                    .send()
                    .await;
                let answer = answer.expect("an answer");
                let is_ok = answer.status() == StatusCode::OK;
                served += usize::from(answer.text().await.is_ok() && is_ok);
                sleep(Duration::from_millis(10)).await;
            }
            (sent, served)
        });
    }
    let counts = callers.join_all().await;
    let sum = |one: (usize, usize), other: (usize, usize)| (one.0 + other.0, one.1 + other.1);
    counts.into_iter().fold((0, 0), sum)
}

async fn check_limit(subnet: u16, hosts: usize, config: Value, path: &'static str) {
    let (cluster, limited, _other) = start(subnet, hosts, &config).await;
    let cluster = Arc::new(cluster);
    *limited.record.limit.lock() = Some(LIMIT);
    let started = Instant::now();
    let (sent, served) = load(cluster.clone(), path, started + LOAD_DURATION).await;
    let busiest = busiest_window(&limited, started + PROPAGATION_LIMIT);
    assert!(
        busiest <= allowed(LIMIT),
        "{busiest} requests in {WINDOW:?}"
    );
    assert!(
        busiest >= LIMIT as usize * 2,
        "only {busiest} requests in {WINDOW:?}"
    );
    assert_eq!(served, sent);
}

#[tokio::test]
async fn a_plain_endpoint_gets_no_more_requests_from_all_hosts_than_it_names() {
    check_limit(71, HOSTS, config(3), "/safe/x").await;
}

#[tokio::test]
async fn an_engine_gets_no_more_requests_from_all_hosts_than_it_names() {
    check_limit(72, HOSTS, engine_config(3), "/stream/x").await;
}

#[tokio::test]
async fn thirty_hosts_together_send_no_more_requests_than_an_engine_names() {
    check_limit(75, CONTROL_HOSTS + 30, engine_config(3), "/stream/x").await;
}

#[tokio::test]
async fn requests_beyond_the_limits_of_all_endpoints_are_refused_at_once() {
    let cluster = Arc::new(Cluster::start(73));
    cluster.apply(&config(3)).await;
    let endpoint = Endpoint::start("i-limited", Behaviour::CompleteBody).await;
    *endpoint.record.limit.lock() = Some(LIMIT);
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &endpoint).await;
    let first = cluster.request(3, "/safe/x", "at-first").send().await;
    assert_eq!(first.expect("an answer").status(), StatusCode::OK);
    let mut calls = JoinSet::new();
    for number in 0..30 {
        let cluster = cluster.clone();
        calls.spawn(async move {
            let sent = Instant::now();
            let call = cluster.request(3, "/safe/x", &format!("at-{number}"));
            let answer = call.send().await.expect("an answer");
            (
                answer.status(),
                answer.headers().contains_key("retry-after"),
                sent.elapsed(),
            )
        });
    }
    let answers = calls.join_all().await;
    let served = answers
        .iter()
        .filter(|(status, ..)| *status == StatusCode::OK);
    let served = served.count();
    // Two a second, for as long as callers wait.
    assert!((12..=18).contains(&served), "{answers:?}");
    let refused = answers
        .iter()
        .filter(|(status, ..)| *status != StatusCode::OK);
    for (status, has_retry_after, elapsed) in refused {
        assert_eq!(*status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(
            *has_retry_after && *elapsed < Duration::from_secs(1),
            "{elapsed:?}"
        );
    }
}

#[tokio::test]
async fn an_endpoint_whose_limit_ends_gets_more_requests_again() {
    let (cluster, limited, other) = start(74, HOSTS, &config(3)).await;
    let cluster = Arc::new(cluster);
    *limited.record.limit.lock() = Some(LIMIT);
    load(
        cluster.clone(),
        "/safe/x",
        Instant::now() + Duration::from_secs(2),
    )
    .await;
    *limited.record.limit.lock() = None;
    load(
        cluster.clone(),
        "/safe/x",
        Instant::now() + Duration::from_secs(2),
    )
    .await;
    let (before, before_other) = (limited.runs(), other.runs());
    load(cluster, "/safe/x", Instant::now() + Duration::from_secs(1)).await;
    let (share, share_other) = (limited.runs() - before, other.runs() - before_other);
    assert!(
        share * 3 > share_other,
        "{share} and {share_other} requests"
    );
}
