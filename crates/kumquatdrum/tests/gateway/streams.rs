//! Event streams are resumed at another endpoint, and cancelled when the caller disconnects.

use std::sync::atomic::Ordering;
use std::time::Duration;

use reqwest::StatusCode;
use tokio::time::{Instant, sleep};

use crate::cluster::{Cluster, config};
use crate::endpoint::{Behaviour, Endpoint};

fn expected_text(events: u64) -> String {
    let events = (1..=events).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
    events.collect::<Vec<_>>().concat()
}

/// Starts a cluster with an endpoint that fails within the event after `after`, and a healthy
/// one that sends `events`.
async fn start_with_endpoints(
    subnet: u16,
    after: u64,
    events: u64,
) -> (Cluster, Endpoint, Endpoint) {
    let cluster = Cluster::start(subnet);
    cluster.apply(&config(3)).await;
    let broken = Endpoint::start("i-1", Behaviour::TruncatedStream { after }).await;
    let pause = Duration::from_millis(5);
    let healthy = Endpoint::start("i-2", Behaviour::CompleteStream { events, pause }).await;
    for endpoint in [&broken, &healthy] {
        cluster.announce(endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, endpoint).await;
    }
    (cluster, broken, healthy)
}

#[tokio::test]
async fn a_stream_that_breaks_within_an_event_is_resumed_elsewhere() {
    let (cluster, broken, healthy) = start_with_endpoints(11, 4, 9).await;
    // Each event arrives once and in order, whichever endpoint is tried first.
    for attempt in ["at-1", "at-2", "at-3"] {
        let answer = cluster.request(3, "/stream/x", attempt).send().await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(
            answer.text().await.expect("a whole stream"),
            expected_text(9)
        );
    }
    assert!(broken.runs() >= 1, "the broken endpoint was never first");
    let resumed = healthy.record.requests.lock().concat().to_lowercase();
    assert!(resumed.contains("last-event-id: 4\r\n"), "{resumed}");
}

#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_is_restarted_elsewhere() {
    let (cluster, broken, _healthy) = start_with_endpoints(13, 0, 3).await;
    for attempt in ["at-1", "at-2", "at-3"] {
        let answer = cluster.request(3, "/stream/x", attempt).send().await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK);
        let stamp = answer.headers()["kumquatdrum-response-stamp"].clone();
        assert_eq!(stamp, format!("stamp-{attempt}").as_str());
        assert_eq!(
            answer.text().await.expect("a whole stream"),
            expected_text(3)
        );
    }
    assert!(broken.runs() >= 1, "the broken endpoint was never first");
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_the_endpoints_work() {
    let cluster = Cluster::start(12);
    cluster.apply(&config(3)).await;
    let pause = Duration::from_secs(5);
    let slow = Endpoint::start("i-1", Behaviour::CompleteStream { events: 3, pause }).await;
    cluster.announce(&slow, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &slow).await;
    let call = cluster.request(3, "/stream/x", "at-1");
    let call = call.timeout(Duration::from_millis(700)).send().await;
    assert!(
        call.is_err(),
        "the caller disconnects before the first event"
    );
    let until = Instant::now() + Duration::from_secs(4);
    while slow.record.disconnects.load(Ordering::Relaxed) == 0 {
        assert!(
            Instant::now() < until,
            "the endpoint still runs the request: {}",
            cluster.read_log(3)
        );
        sleep(Duration::from_millis(20)).await;
    }
}
