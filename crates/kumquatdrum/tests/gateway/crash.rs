//! Requests that crash the endpoints that run them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use reqwest::{Response, StatusCode};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::cluster::{Cluster, HOSTS, config};
use crate::endpoint::{Behaviour, CRASHING_BODY, Endpoint, SLOWLY_CRASHING_BODY};

/// The number of endpoints that a request may crash.
const MAX_CRASHES: usize = 3;
/// The pause between a caller's repetitions, in which a crash becomes known on all hosts.
const PAUSE: Duration = Duration::from_millis(150);

async fn start_with_endpoints(subnet: u16, count: usize) -> (Cluster, Vec<Endpoint>) {
    let cluster = Cluster::start(subnet);
    cluster.apply(&config(3)).await;
    let mut endpoints = Vec::new();
    for number in 0..count {
        let id = format!("i-{number}");
        let endpoint = Endpoint::start(&id, Behaviour::StreamOrCompleteBody).await;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        endpoints.push(endpoint);
    }
    for endpoint in &endpoints {
        cluster.wait_until_ready(3, endpoint).await;
        cluster.wait_until_ready(4, endpoint).await;
    }
    (cluster, endpoints)
}

async fn send(cluster: &Cluster, host: usize, attempt: &str, body: &'static str) -> Response {
    let call = cluster.request(host, "/stream/x", attempt).body(body);
    call.send().await.expect("an answer")
}

fn count_runs(endpoints: &[Endpoint]) -> usize {
    endpoints.iter().map(Endpoint::runs).sum()
}

#[tokio::test]
async fn a_request_that_crashed_three_endpoints_reaches_no_other() {
    let (mut cluster, endpoints) = start_with_endpoints(61, 8).await;
    for repetition in 0..8 {
        let attempt = format!("at-{repetition}");
        send(&cluster, 3 + repetition % 2, &attempt, CRASHING_BODY).await;
        sleep(PAUSE).await;
    }
    assert_eq!(count_runs(&endpoints), MAX_CRASHES);

    cluster.kill(4);
    cluster.start_host(4, false);
    cluster.wait_until_ready(4, &endpoints[0]).await;
    let refused = send(&cluster, 4, "at-restarted", CRASHING_BODY).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("retry-after"));
    let text = refused.text().await.expect("a body");
    assert!(text.contains("crashed"), "{text}");
    assert_eq!(count_runs(&endpoints), MAX_CRASHES);

    let other = send(&cluster, 4, "at-other", "another body").await;
    assert_eq!(other.status(), StatusCode::OK);
}

#[tokio::test]
async fn a_crash_counts_although_the_listener_closes_after_the_connection() {
    let (cluster, endpoints) = start_with_endpoints(66, 8).await;
    for repetition in 0..8 {
        let attempt = format!("at-{repetition}");
        send(&cluster, 3 + repetition % 2, &attempt, SLOWLY_CRASHING_BODY).await;
        sleep(PAUSE).await;
    }
    // One more copy may be sent before the third crash is known.
    let crashes = count_runs(&endpoints);
    assert!(crashes <= MAX_CRASHES + 1, "{crashes} endpoints crashed");
}

#[tokio::test]
async fn a_common_request_that_was_at_all_crashes_is_served_again() {
    let cluster = Arc::new(Cluster::start(67));
    cluster.apply(&config(3)).await;
    let pause = Duration::from_millis(400);
    let mut endpoints = Vec::new();
    for number in 0..6 {
        let behaviour = Behaviour::CompleteStream { events: 2, pause };
        let endpoint = Endpoint::start(&format!("i-{number}"), behaviour).await;
        endpoints.push(endpoint);
    }
    let announce = async |endpoints: &[Endpoint]| {
        for endpoint in endpoints {
            cluster.announce(endpoint, "plain", "ready", 1).await;
            cluster.wait_until_ready(3, endpoint).await;
            cluster.wait_until_ready(4, endpoint).await;
        }
    };
    announce(&endpoints[..4]).await;
    let mut callers = JoinSet::new();
    for number in 0..14 {
        let cluster = cluster.clone();
        callers.spawn(async move {
            send(&cluster, 3 + number % 2, &format!("at-{number}"), "common").await;
        });
    }
    // Each endpoint crashes before the first event of its common requests.
    sleep(PAUSE).await;
    for number in 0..3 {
        send(&cluster, 3, &format!("at-crash-{number}"), CRASHING_BODY).await;
    }
    callers.join_all().await;
    announce(&endpoints[4..]).await;
    let mut statuses = Vec::new();
    while statuses.last() != Some(&StatusCode::OK) && statuses.len() < 60 {
        let number = statuses.len();
        let attempt = format!("at-again-{number}");
        let answer = send(&cluster, 3 + number % 2, &attempt, "common").await;
        statuses.push(answer.status());
        sleep(PAUSE).await;
    }
    assert_eq!(statuses[0], StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(statuses.last(), Some(&StatusCode::OK), "{statuses:?}");
    // The crashing request was at the same crashes, so it may be probed as well.
    for number in 0..4 {
        send(
            &cluster,
            3 + number % 2,
            &format!("at-crash-again-{number}"),
            CRASHING_BODY,
        )
        .await;
    }
    let ended = endpoints.iter().filter(|endpoint| endpoint.has_ended());
    assert!(ended.count() <= MAX_CRASHES + 1);
}

#[tokio::test]
async fn a_block_survives_the_restart_of_all_hosts() {
    let (mut cluster, endpoints) = start_with_endpoints(65, 5).await;
    for repetition in 0..3 {
        let attempt = format!("at-{repetition}");
        send(&cluster, 3, &attempt, CRASHING_BODY).await;
        sleep(PAUSE).await;
    }
    assert_eq!(count_runs(&endpoints), MAX_CRASHES);
    // Evidence reaches the disks of the control hosts with the next hello.
    sleep(Duration::from_secs(2)).await;
    for host in 0..HOSTS {
        cluster.kill(host);
    }
    for host in 0..HOSTS {
        cluster.start_host(host, false);
    }
    cluster.wait_until_ready(4, &endpoints[4]).await;
    let refused = send(&cluster, 4, "at-restarted", CRASHING_BODY).await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(count_runs(&endpoints), MAX_CRASHES);
}

#[tokio::test]
async fn other_callers_are_served_while_a_request_crashes_endpoints() {
    let (cluster, endpoints) = start_with_endpoints(62, 8).await;
    let (cluster, is_over) = (Arc::new(cluster), Arc::new(AtomicBool::new(false)));
    let mut callers = JoinSet::new();
    for caller in 0..6 {
        let (cluster, is_over) = (cluster.clone(), is_over.clone());
        callers.spawn(async move {
            let mut statuses = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                let attempt = format!("at-{caller}-{}", statuses.len());
                let answer = send(&cluster, 3 + caller % 2, &attempt, "common").await;
                let status = answer.status();
                statuses.push((status, answer.text().await.is_ok()));
            }
            statuses
        });
    }
    for repetition in 0..12 {
        let attempt = format!("at-crash-{repetition}");
        send(&cluster, 3 + repetition % 2, &attempt, CRASHING_BODY).await;
        sleep(PAUSE).await;
    }
    is_over.store(true, Ordering::Relaxed);
    let statuses = callers.join_all().await.concat();
    let served = statuses
        .iter()
        .filter(|(status, is_whole)| *status == StatusCode::OK && *is_whole);
    assert_eq!(served.count(), statuses.len(), "{statuses:?}");
    assert!(statuses.len() > 20, "{statuses:?}");
    let ended = endpoints.iter().filter(|endpoint| endpoint.has_ended());
    assert_eq!(ended.count(), MAX_CRASHES);
}

#[tokio::test]
async fn resets_by_endpoints_that_keep_running_block_no_request() {
    let cluster = Cluster::start(63);
    cluster.apply(&config(3)).await;
    let mut endpoints = Vec::new();
    for number in 0..4 {
        let endpoint = Endpoint::start(&format!("i-{number}"), Behaviour::ResetInBody).await;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, &endpoint).await;
        endpoints.push(endpoint);
    }
    for repetition in 0..=MAX_CRASHES {
        let runs = count_runs(&endpoints);
        let attempt = format!("at-{repetition}");
        let answer = cluster.request(3, "/safe/x", &attempt).send().await;
        assert_eq!(answer.expect("an answer").status(), StatusCode::BAD_GATEWAY);
        assert!(count_runs(&endpoints) > runs, "{}", cluster.read_log(3));
    }
}

#[tokio::test]
async fn endpoints_that_end_after_their_leave_block_no_request() {
    let cluster = Cluster::start(64);
    cluster.apply(&config(3)).await;
    let pause = Duration::from_millis(300);
    for number in 0..=MAX_CRASHES {
        let behaviour = Behaviour::CompleteStream { events: 4, pause };
        let endpoint = Endpoint::start(&format!("i-{number}"), behaviour).await;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, &endpoint).await;
        let is_last = number == MAX_CRASHES;
        let leave = async {
            if !is_last {
                sleep(pause).await;
                cluster.announce(&endpoint, "plain", "draining", 2).await;
                sleep(pause).await;
                endpoint.stop();
            }
        };
        let request = async {
            let answer = send(&cluster, 3, &format!("at-{number}"), "same").await;
            assert_eq!(answer.status(), StatusCode::OK);
            answer.text().await.is_ok()
        };
        let (is_whole, ()) = tokio::join!(request, leave);
        assert_eq!(is_whole, is_last);
    }
}
