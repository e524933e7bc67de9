//! Endpoints that say in their answers that they are leaving.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reqwest::StatusCode;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::backoff::load;
use crate::cluster::{CONTROL_HOSTS, Cluster, HOSTS, config, engine_config};
use crate::endpoint::{Behaviour, Endpoint};

/// The time for which a leaving endpoint serves, as in the settings of the hosts.
pub const DRAIN: Duration = Duration::from_secs(2);
/// The time in which requests that were already sent arrive.
const IN_TRANSIT: Duration = Duration::from_millis(200);
/// The interval at which a caller sends requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Returns the number of requests that a host sent to an endpoint after it had passed on an answer
/// that says that the endpoint is leaving.
fn count_late(endpoint: &Endpoint) -> usize {
    let host = |attempt: &str| attempt.rsplit('@').next().map(str::to_owned);
    let answers = endpoint.record.leaving_answers.lock();
    let arrivals = endpoint.record.arrivals.lock();
    let late = arrivals.iter().filter(|(arrived, attempt)| {
        let mut answers = answers.iter();
        answers.any(|(at, answered)| host(answered) == host(attempt) && *arrived > *at + IN_TRANSIT)
    });
    late.count()
}

async fn check_leaving(subnet: u16, config: Value, path: &'static str) {
    let cluster = Arc::new(Cluster::start(subnet));
    cluster.apply(&config).await;
    let leaving = Endpoint::start("i-leaving", Behaviour::StreamOrCompleteBody).await;
    let other = Endpoint::start("i-other", Behaviour::StreamOrCompleteBody).await;
    for endpoint in [&leaving, &other] {
        cluster.announce(endpoint, "plain", "ready", 1).await;
    }
    for host in CONTROL_HOSTS..HOSTS {
        cluster.wait_until_ready(host, &leaving).await;
        cluster.wait_until_ready(host, &other).await;
    }
    leaving.record.is_leaving.store(true, Ordering::Relaxed);
    let until = Instant::now() + Duration::from_secs(3);
    let announcing = async {
        for sequence in 2..10 {
            cluster.announce(&leaving, "plain", "ready", sequence).await;
            sleep(Duration::from_millis(300)).await;
        }
    };
    let ((sent, served), ()) = tokio::join!(load(&cluster, path, until), announcing);
    assert!(!leaving.record.leaving_answers.lock().is_empty());
    assert_eq!(count_late(&leaving), 0);
    assert_eq!(served, sent);
}

#[tokio::test]
async fn a_plain_endpoint_that_says_that_it_leaves_gets_no_more_requests() {
    check_leaving(83, config(3), "/safe/x").await;
}

#[tokio::test]
async fn an_engine_that_says_that_it_leaves_gets_no_more_prompts() {
    check_leaving(84, engine_config(3), "/stream/x").await;
}

#[tokio::test]
async fn the_last_endpoint_of_a_service_serves_until_its_drain_ends() {
    let cluster = Arc::new(Cluster::start(85));
    cluster.apply(&config(3)).await;
    let last = Endpoint::start("i-last", Behaviour::CompleteBody).await;
    cluster.announce(&last, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &last).await;
    last.record.is_leaving.store(true, Ordering::Relaxed);
    let first = cluster.request(3, "/safe/x", "at-first@3").send().await;
    assert_eq!(first.expect("an answer").status(), StatusCode::OK);
    let told = Instant::now();
    let (mut served, mut refused) = (Vec::new(), Vec::new());
    for number in 0..60 {
        cluster.announce(&last, "plain", "ready", number + 2).await;
        let sent = Instant::now();
        let call = cluster.request(3, "/safe/x", &format!("at-{number}@3"));
        let status = call.send().await.expect("an answer").status();
        if status == StatusCode::OK {
            served.push(told.elapsed());
        } else {
            assert!(
                sent.elapsed() < Duration::from_secs(1),
                "{status} after a wait"
            );
            refused.push(told.elapsed());
        }
        sleep(Duration::from_millis(50)).await;
    }
    let latest = served.last().copied().unwrap_or_default();
    assert!(
        latest > DRAIN / 2 && latest < DRAIN,
        "served until {latest:?}"
    );
    assert!(!refused.is_empty());
}

#[tokio::test]
async fn other_hosts_learn_that_an_endpoint_leaves() {
    check_others_learn(&Cluster::start(88), || {}).await;
}

/// Checks that host 4 sends no requests to an endpoint which has told host 3 that it leaves, after
/// `disrupt`.
pub async fn check_others_learn(cluster: &Cluster, disrupt: impl FnOnce()) {
    cluster.apply(&config(3)).await;
    let leaving = Endpoint::start("i-leaving", Behaviour::CompleteBody).await;
    let other = Endpoint::start("i-other", Behaviour::CompleteBody).await;
    for endpoint in [&leaving, &other] {
        cluster.announce(endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, endpoint).await;
        cluster.wait_until_ready(4, endpoint).await;
    }
    leaving.record.is_leaving.store(true, Ordering::Relaxed);
    disrupt();
    let mut number = 0;
    while leaving.record.leaving_answers.lock().is_empty() {
        number += 1;
        let call = cluster.request(3, "/safe/x", &format!("at-{number}@3"));
        call.send().await.expect("an answer");
    }
    sleep(DRAIN).await;
    for number in 0..20 {
        let call = cluster.request(4, "/safe/x", &format!("at-{number}@4"));
        assert_eq!(
            call.send().await.expect("an answer").status(),
            StatusCode::OK
        );
    }
    let arrivals = leaving.record.arrivals.lock();
    let from_other_host = arrivals
        .iter()
        .filter(|(_, attempt)| attempt.ends_with("@4"));
    assert_eq!(from_other_host.count(), 0);
}

/// Sends requests by each host that takes callers for twice the drain time after a leave request was
/// acknowledged, and checks that all are served, after the drain time by other endpoints.
pub async fn check_drained(
    cluster: &Cluster,
    endpoint: &Endpoint,
    acknowledged: Instant,
    context: &str,
) {
    while acknowledged.elapsed() < DRAIN * 2 {
        for host in CONTROL_HOSTS..HOSTS {
            let answer = cluster.request(host, "/safe/x", "at-1").send().await;
            let is_served = answer.is_ok_and(|answer| answer.status() == StatusCode::OK);
            assert!(
                is_served,
                "{context}, host {host}:\n{}",
                cluster.read_logs()
            );
        }
        sleep(REQUEST_INTERVAL).await;
    }
    let arrivals = endpoint.record.arrivals.lock();
    let late = arrivals.iter().map(|(at, _)| *at - acknowledged);
    let late = late.filter(|late| *late > DRAIN).count();
    assert_eq!(
        late,
        0,
        "{context}, requests after the drain time:\n{}",
        cluster.read_logs()
    );
}

#[tokio::test]
async fn a_leaving_endpoint_serves_while_the_others_have_crashed() {
    let cluster = Arc::new(Cluster::start(94));
    cluster.apply(&config(3)).await;
    let leaving = Endpoint::start("i-leaving", Behaviour::CompleteBody).await;
    let crashed = Endpoint::start("i-crashed", Behaviour::CompleteBody).await;
    for endpoint in [&leaving, &crashed] {
        cluster.announce(endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, endpoint).await;
    }
    leaving.record.is_leaving.store(true, Ordering::Relaxed);
    let send = async |attempt: &str| {
        let call = cluster.request(3, "/unsafe/x", attempt).send().await;
        call.expect("an answer").status()
    };
    let mut number = 0;
    while leaving.record.leaving_answers.lock().is_empty() {
        number += 1;
        send(&format!("at-{number}@3")).await;
    }
    crashed.stop();
    for number in 0..5 {
        assert_eq!(send(&format!("at-after-{number}@3")).await, StatusCode::OK);
    }
}
