//! A silence ends no answer that has begun, as long as its endpoint may go on.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::caller::{self, End, Request};
use crate::cluster::{Cluster, config};
use crate::endpoint::{Behaviour, Endpoint, SIX_EVENTS};

const PATIENCE: Duration = Duration::from_secs(7);
const CALLERS: usize = 8;

/// A sound endpoint whose silence exceeds that after which a stream is tried elsewhere.
const PAUSED: Behaviour = Behaviour::PausedStream {
    after: 3,
    silence: Duration::from_millis(2_500),
    resumption: Duration::from_secs(5),
};

/// Returns a config whose routes allow streams to be resumed, to be resumed by one attempt at most, and
/// not to be resumed.
fn silence_config(version: u64) -> Value {
    let mut config = config(version);
    let stream = config["routes"][2].clone();
    let route = |prefix: &str, is_resumable: bool, attempts: u32| {
        let mut route = stream.clone();
        route["name"] = json!(prefix);
        route["pathPrefix"] = json!(prefix);
        route["resumable"] = json!(is_resumable);
        route["maxAttempts"] = json!(attempts);
        route["gapAimMs"] = json!(50);
        route
    };
    config["routes"] = json!([
        route("/stream/", true, 2),
        route("/once/", true, 1),
        route("/fixed/", false, 2)
    ]);
    config
}

async fn start(subnet: u16, config: &Value, behaviours: &[Behaviour]) -> (Cluster, Vec<Endpoint>) {
    let cluster = Cluster::start(subnet);
    cluster.apply(config).await;
    let mut endpoints = Vec::new();
    for (number, behaviour) in behaviours.iter().enumerate() {
        let endpoint = Endpoint::start(&format!("i-{number}"), *behaviour).await;
        cluster.announce(&endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, &endpoint).await;
        endpoints.push(endpoint);
    }
    (cluster, endpoints)
}

/// Calls each path several times, all at once, and returns what becomes of the calls of each path.
async fn call<const COUNT: usize>(cluster: &Cluster, paths: [&str; COUNT]) -> [Vec<End>; COUNT] {
    let mut calls = JoinSet::new();
    for (position, path) in paths.iter().enumerate() {
        for number in 0..CALLERS {
            let (address, path) = (cluster.callers(3), (*path).to_owned());
            calls.spawn(async move {
                let attempt = format!("at{}-{number}", path.replace('/', "-"));
                let request = Request {
                    deadline_ms: PATIENCE.as_millis() as u64,
                    ..Request::new(&path, &attempt)
                };
                (position, caller::call(address, &request).await)
            });
        }
    }
    let mut ends = [const { Vec::new() }; COUNT];
    for (position, end) in calls.join_all().await {
        ends[position].push(end);
    }
    ends
}

/// Checks that callers got all six events, each once and in order.
fn check_complete(ends: &[End], path: &str, cluster: &Cluster) {
    let events = (1..=6).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
    let text = events.collect::<Vec<_>>().concat();
    let is_complete =
        |end: &&End| matches!(end, End::Answered(answer) if answer.body == text.as_bytes());
    let complete = ends.iter().filter(is_complete).count();
    let log = cluster.read_log(3);
    assert_eq!(complete, ends.len(), "complete of {path}: {ends:?} {log}");
}

/// Load: streams of one endpoint by routes that allow no resumption, one attempt, or two; the same again
/// beside a change of the setup.
#[tokio::test]
async fn streams_that_cannot_be_resumed_are_not_cut_because_their_endpoint_is_silent() {
    let (cluster, endpoints) = start(220, &silence_config(3), &[PAUSED]).await;
    let paths = ["/fixed/x", "/once/x", "/stream/x"];
    for is_changed in [false, true] {
        let change = async {
            sleep(Duration::from_millis(800)).await;
            if is_changed {
                let mut changed = silence_config(4);
                changed["services"][0]["maxConns"] = json!(90);
                changed["routes"][2]["targetLatencyMs"] = json!(400);
                cluster.apply(&changed).await;
            }
        };
        let (ends, ()) = tokio::join!(call(&cluster, paths), change);
        for (path, ends) in paths.iter().zip(&ends) {
            check_complete(ends, path, &cluster);
        }
    }
    assert_eq!(endpoints[0].runs(), 2 * CALLERS * paths.len());
}

/// Load: more silent streams than the host has retries, whose endpoint goes on before another answers.
#[tokio::test]
async fn silent_streams_are_kept_while_or_although_none_is_resumed_elsewhere() {
    let (cluster, endpoints) = start(222, &silence_config(3), &[PAUSED, PAUSED]).await;
    let [ends] = call(&cluster, ["/stream/x"]).await;
    check_complete(&ends, "/stream/x", &cluster);
    let runs: usize = endpoints.iter().map(Endpoint::runs).sum();
    let tried = runs - CALLERS;
    assert!(tried > 0, "none was tried elsewhere");
    assert!(tried < CALLERS, "each had a retry");
    sleep(Duration::from_millis(300)).await;
    let disconnects = endpoints
        .iter()
        .map(|endpoint| endpoint.record.disconnects.load(Ordering::Relaxed));
    assert_eq!(disconnects.sum::<usize>(), tried, "attempts that go on");
}

/// Checks that a stream whose endpoint stays silent is resumed elsewhere without a gap.
async fn check_resumption() {
    let paused = Behaviour::PausedStream {
        after: 3,
        silence: Duration::from_secs(20),
        resumption: Duration::from_millis(300),
    };
    let (cluster, endpoints) = start(224, &silence_config(3), &[paused, paused]).await;
    let request = Request {
        deadline_ms: PATIENCE.as_millis() as u64,
        ..Request::new("/stream/x", "at-1")
    };
    let end = caller::call(cluster.callers(3), &request).await;
    check_complete(&[end], "/stream/x", &cluster);
    let runs: usize = endpoints.iter().map(Endpoint::runs).sum();
    assert_eq!(runs, 2);
}

#[tokio::test]
async fn streams_of_an_endpoint_that_never_goes_on_are_resumed_or_ended_before_the_deadline() {
    check_resumption().await;
    let dark = Behaviour::GoDark { after: Some(3) };
    let (cluster, _endpoints) = start(224, &silence_config(3), &[dark]).await;
    let started = Instant::now();
    let [mut ends] = call(&cluster, ["/fixed/x"]).await;
    assert!(started.elapsed() < PATIENCE, "{}", cluster.read_log(3));
    ends.retain(|end| matches!(end, End::Answered(_)));
    assert!(ends.is_empty(), "complete although it went dark: {ends:?}");
    let mut dark = vec![Endpoint::start("i-2", dark).await];
    dark.push(Endpoint::start("i-3", SIX_EVENTS).await);
    for endpoint in &dark {
        cluster.announce(endpoint, "plain", "ready", 1).await;
        cluster.wait_until_ready(3, endpoint).await;
    }
    // Whichever endpoint is tried first.
    for attempt in ["at-1", "at-2", "at-3"] {
        let request = Request {
            deadline_ms: PATIENCE.as_millis() as u64,
            ..Request::new("/stream/x", attempt)
        };
        let end = caller::call(cluster.callers(3), &request).await;
        check_complete(&[end], "/stream/x", &cluster);
    }
    assert!(dark[0].runs() > 0, "the endpoint was never first");
}
