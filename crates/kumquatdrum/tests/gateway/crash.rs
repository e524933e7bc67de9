//! Requests that crash the endpoints that run them.

use std::time::Duration;

use reqwest::{Response, StatusCode};
use tokio::time::sleep;

use crate::cluster::{Cluster, config};
use crate::endpoint::{Behaviour, CRASHING_BODY, Endpoint};

/// The number of endpoints that a request may crash.
const MAX_CRASHES: usize = 3;
/// The pause between a caller's repetitions, in which a crash becomes known on all hosts.
const PAUSE: Duration = Duration::from_millis(150);

async fn start_with_endpoints(subnet: u8, count: usize) -> (Cluster, Vec<Endpoint>) {
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
