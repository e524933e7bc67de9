//! Endpoints that reject requests and ask the host for a back-off.

use std::sync::Arc;
use std::time::Duration;

use reqwest::StatusCode;
use serde_json::Value;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL_HOSTS, Cluster, HOSTS, config, engine_config};
use crate::endpoint::{Behaviour, Endpoint};

/// The time after a rejection in which requests that were already sent arrive.
const IN_TRANSIT: Duration = Duration::from_millis(200);
/// The back-off in seconds.
const BACKOFF: f64 = 2.0;
const CALLERS: usize = 12;

/// Starts endpoints that all hosts know.
async fn start(subnet: u16, config: &Value, count: usize) -> (Arc<Cluster>, Vec<Endpoint>) {
    let cluster = Cluster::start(subnet);
    cluster.apply(config).await;
    let mut endpoints = Vec::new();
    for number in 0..count {
        let id = format!("i-{number}");
        let endpoint = Endpoint::start(&id, Behaviour::StreamOrCompleteBody).await;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        endpoints.push(endpoint);
    }
    for endpoint in &endpoints {
        for host in CONTROL_HOSTS..HOSTS {
            cluster.wait_until_ready(host, endpoint).await;
        }
    }
    (Arc::new(cluster), endpoints)
}

/// Sends requests over all hosts until a time. Returns the numbers of requests sent and served.
pub async fn load(cluster: &Arc<Cluster>, path: &'static str, until: Instant) -> (usize, usize) {
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let cluster = cluster.clone();
        callers.spawn(async move {
            let (mut sent, mut served) = (0, 0);
            while Instant::now() < until {
                sent += 1;
                let host = CONTROL_HOSTS + (caller + sent) % (HOSTS - CONTROL_HOSTS);
                let at = until - Instant::now();
                let attempt = format!("at-{}-{caller}-{sent}@{host}", at.as_nanos());
                let call = cluster.request(host, path, &attempt);
                let call = call.header("Kumquatdrum-Token-Count", "2000,100").send();
                let answer = call.await.expect("an answer");
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

/// Returns the most requests of one host that arrived during a back-off requested of it.
pub fn most_during_backoff(endpoint: &Endpoint) -> usize {
    let host = |attempt: &str| attempt.rsplit('@').next().map(str::to_owned);
    let backoffs = endpoint.record.backoffs.lock();
    let arrivals = endpoint.record.arrivals.lock();
    let during = backoffs.iter().map(|(at, rejected, delay)| {
        let is_during = |arrived: Instant| arrived > *at + IN_TRANSIT && arrived < *at + *delay;
        let arrivals = arrivals.iter();
        let during = arrivals
            .filter(|(arrived, attempt)| is_during(*arrived) && host(attempt) == host(rejected));
        during.count()
    });
    during.max().unwrap_or(0)
}

/// Sends requests to a host until each of the endpoints has rejected one.
async fn reject_once(cluster: &Cluster, host: usize, path: &str, endpoints: &[Endpoint]) {
    let suffix = format!("@{host}");
    let has_rejected = |endpoint: &Endpoint| {
        let backoffs = endpoint.record.backoffs.lock();
        backoffs
            .iter()
            .any(|(_, attempt, _)| attempt.ends_with(&suffix))
    };
    for number in 0..40 {
        if endpoints.iter().all(has_rejected) {
            return;
        }
        let call = cluster.request(host, path, &format!("at-first-{number}@{host}"));
        let call = call.header("Kumquatdrum-Token-Count", "2000,100").send();
        call.await.expect("an answer").text().await.expect("a body");
    }
    panic!("an endpoint has rejected nothing of host {host}");
}

async fn check_backoff(subnet: u16, config: Value, path: &'static str) {
    let (cluster, endpoints) = start(subnet, &config, 3).await;
    let shedding = &endpoints[..2];
    for endpoint in shedding {
        *endpoint.record.backoff.lock() = Some(BACKOFF);
    }
    // Both endpoints may reject one of the first requests, which then has no attempt left.
    for host in CONTROL_HOSTS..HOSTS {
        reject_once(&cluster, host, path, shedding).await;
    }
    let until = Instant::now() + Duration::from_secs(3);
    let (sent, served) = load(&cluster, path, until).await;
    for endpoint in shedding {
        let rejections = endpoint.record.backoffs.lock().len();
        assert!(rejections > 0, "{} rejected nothing", endpoint.id);
        assert_eq!(most_during_backoff(endpoint), 0, "at {}", endpoint.id);
    }
    assert_eq!(served, sent, "the third endpoint is free");
}

#[tokio::test]
async fn a_plain_endpoint_that_requests_a_backoff_gets_no_requests_during_it() {
    check_backoff(86, config(3), "/safe/x").await;
}

#[tokio::test]
async fn an_engine_that_requests_a_backoff_gets_no_prompts_during_it() {
    check_backoff(89, engine_config(3), "/stream/x").await;
}

#[tokio::test]
async fn an_endpoint_gets_its_share_again_after_its_backoff() {
    let (cluster, endpoints) = start(90, &config(3), 3).await;
    *endpoints[0].record.backoff.lock() = Some(0.5);
    let second = Duration::from_secs(1);
    load(&cluster, "/safe/x", Instant::now() + second).await;
    *endpoints[0].record.backoff.lock() = None;
    load(&cluster, "/safe/x", Instant::now() + second).await;
    let before: Vec<usize> = endpoints.iter().map(Endpoint::runs).collect();
    load(&cluster, "/safe/x", Instant::now() + second).await;
    let runs = endpoints.iter().zip(before);
    let runs: Vec<usize> = runs
        .map(|(endpoint, before)| endpoint.runs() - before)
        .collect();
    let total: usize = runs.iter().sum();
    assert!(runs[0] * 6 > total, "{runs:?}");
}

#[tokio::test]
async fn requests_wait_for_the_end_of_a_backoff_of_all_endpoints() {
    let (cluster, endpoints) = start(87, &config(3), 2).await;
    for endpoint in &endpoints {
        *endpoint.record.backoff.lock() = Some(1.0);
    }
    // Each host is asked for a back-off by each endpoint.
    load(
        &cluster,
        "/safe/x",
        Instant::now() + Duration::from_millis(300),
    )
    .await;
    for endpoint in &endpoints {
        *endpoint.record.backoff.lock() = None;
    }
    let until = Instant::now() + Duration::from_millis(300);
    let (sent, served) = load(&cluster, "/safe/x", until).await;
    assert_eq!(served, sent);
    for endpoint in &endpoints {
        assert_eq!(most_during_backoff(endpoint), 0, "at {}", endpoint.id);
    }
}

#[tokio::test]
async fn requests_that_would_wait_too_long_for_all_endpoints_are_refused_at_once() {
    let (cluster, endpoints) = start(82, &config(3), 2).await;
    for endpoint in &endpoints {
        *endpoint.record.backoff.lock() = Some(30.0);
    }
    load(
        &cluster,
        "/safe/x",
        Instant::now() + Duration::from_millis(300),
    )
    .await;
    for endpoint in &endpoints {
        *endpoint.record.backoff.lock() = None;
    }
    let sent = Instant::now();
    let call = cluster.request(3, "/safe/x", "at-refused@3");
    let answer = call.send().await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(sent.elapsed() < Duration::from_secs(1));
    let wait = answer.headers()["retry-after"].to_str().expect("a number");
    let wait: f64 = wait.parse().expect("a number");
    assert!((20.0..=31.0).contains(&wait), "{wait}");
}

#[tokio::test]
async fn a_rejection_is_passed_on_unchanged_if_no_other_endpoint_can_serve() {
    let (cluster, endpoints) = start(91, &config(3), 1).await;
    *endpoints[0].record.backoff.lock() = Some(1.5);
    let call = cluster.request(3, "/safe/x", "at-rejected@3");
    let answer = call.send().await.expect("an answer");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers()["retry-after"], "1.5");
    assert_eq!(
        answer.headers()["kumquatdrum-response-stamp"],
        "stamp-at-rejected@3"
    );
}

#[tokio::test]
async fn an_engine_that_asked_for_a_backoff_is_no_helper() {
    let (cluster, engines) = start(92, &engine_config(3), 6).await;
    for engine in &engines {
        *engine.record.backoff.lock() = Some(30.0);
    }
    let call = cluster.request(3, "/stream/x", "at-rejected@3");
    let answer = call.header("Kumquatdrum-Token-Count", "2000,100").send();
    let status = answer.await.expect("an answer").status();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    for engine in &engines {
        *engine.record.backoff.lock() = None;
    }
    let has_rejected = |engine: &&Endpoint| !engine.record.backoffs.lock().is_empty();
    let shedding: Vec<&Endpoint> = engines.iter().filter(has_rejected).collect();
    assert!(!shedding.is_empty());
    for number in 0..4 {
        let call = cluster.request(3, "/stream/x", &format!("at-long-{number}@3"));
        let call = call.header("Kumquatdrum-Token-Count", "60000,100");
        let answer = call.send().await.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK);
        answer.text().await.expect("a stream");
    }
    let requests: String = engines
        .iter()
        .map(|engine| engine.record.requests.lock().concat())
        .collect();
    let requests = requests.to_lowercase();
    assert!(requests.contains("kumquatdrum-helpers"), "{requests}");
    for engine in shedding {
        assert!(
            !requests.contains(&engine.address.to_string()),
            "{requests}"
        );
    }
}

#[tokio::test]
async fn a_prompt_that_no_engines_can_hold_does_not_wait_for_a_backoff() {
    let (cluster, engines) = start(93, &engine_config(3), 2).await;
    for engine in &engines {
        *engine.record.backoff.lock() = Some(3.0);
    }
    let send = async |attempt: &str, tokens: &str| {
        let call = cluster.request(3, "/stream/x", attempt);
        let call = call.header("Kumquatdrum-Token-Count", tokens).send();
        let answer = call.await.expect("an answer");
        (answer.status(), answer.text().await.expect("a body"))
    };
    send("at-rejected@3", "2000,100").await;
    let started = Instant::now();
    let (status, body) = send("at-large@3", "900000,100").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{body}");
    assert!(body.contains("memory"), "{body}");
    assert!(started.elapsed() < Duration::from_secs(1));
}
