//! Streams of events: resumed where they break, ended where their caller leaves.

use std::sync::atomic::Ordering;
use std::time::Duration;

use reqwest::StatusCode;
use tokio::time::{Instant, sleep};

use crate::cluster::{Cluster, config};
use crate::endpoint::{Endpoint, Manner};

fn expected(events: u64) -> String {
    let events = (1..=events).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
    events.collect::<Vec<_>>().concat()
}

/// A cluster before an endpoint that breaks within the event after `after`, and a sound one that
/// sends `events`.
async fn broken_and_sound(net: u8, after: u64, events: u64) -> (Cluster, Endpoint, Endpoint) {
    let cluster = Cluster::start(net);
    cluster.apply(&config(3)).await;
    let broken = Endpoint::start("i-1", Manner::Broken { after }).await;
    let pause = Duration::from_millis(5);
    let sound = Endpoint::start("i-2", Manner::Stream { events, pause }).await;
    for endpoint in [&broken, &sound] {
        cluster.announce(endpoint, "plain", "ready", 1).await;
        cluster.ready(3, endpoint).await;
    }
    (cluster, broken, sound)
}

#[tokio::test]
async fn a_stream_that_breaks_within_an_event_goes_on_elsewhere() {
    let (cluster, broken, sound) = broken_and_sound(11, 4, 9).await;
    // Whichever endpoint is first, each event comes once and in order.
    for attempt in ["at-1", "at-2", "at-3"] {
        let answer = cluster.call(3, "/stream/x", attempt).send().await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK);
        assert_eq!(answer.text().await.expect("a whole stream"), expected(9));
    }
    assert!(broken.runs() >= 1, "the broken endpoint was never first");
    let resumed = sound.seen.requests.lock().concat().to_lowercase();
    assert!(resumed.contains("last-event-id: 4\r\n"), "{resumed}");
}

#[tokio::test]
async fn a_stream_that_breaks_before_its_first_event_begins_elsewhere() {
    let (cluster, broken, _sound) = broken_and_sound(13, 0, 3).await;
    for attempt in ["at-1", "at-2", "at-3"] {
        let answer = cluster.call(3, "/stream/x", attempt).send().await;
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), StatusCode::OK);
        let stamp = answer.headers()["kumquatdrum-response-stamp"].clone();
        assert_eq!(stamp, format!("stamp-{attempt}").as_str());
        assert_eq!(answer.text().await.expect("a whole stream"), expected(3));
    }
    assert!(broken.runs() >= 1, "the broken endpoint was never first");
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_endpoint_s_work_at_once() {
    let cluster = Cluster::start(12);
    cluster.apply(&config(3)).await;
    let pause = Duration::from_secs(5);
    let slow = Endpoint::start("i-1", Manner::Stream { events: 3, pause }).await;
    cluster.announce(&slow, "plain", "ready", 1).await;
    cluster.ready(3, &slow).await;
    let call = cluster.call(3, "/stream/x", "at-1");
    let call = call.timeout(Duration::from_millis(700)).send().await;
    assert!(call.is_err(), "the caller has left before the first event");
    let until = Instant::now() + Duration::from_secs(4);
    while slow.seen.left.load(Ordering::Relaxed) == 0 {
        assert!(
            Instant::now() < until,
            "the endpoint still works: {}",
            cluster.logged(3)
        );
        sleep(Duration::from_millis(20)).await;
    }
}
