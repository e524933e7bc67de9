//! Requests that arrive while their host stops.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::caller::{Caller, End, Request, call};
use crate::cluster::{CONTROL_HOSTS, Cluster, config, engine_config};
use crate::endpoint::{Behaviour, Endpoint};

/// The host that stops.
const HOST: usize = CONTROL_HOSTS;
/// When requests are complete, after the signal.
const SENT_MS: [u64; 5] = [500, 2_000, 4_000, 6_000, 7_500];
/// How long the services take for an answer.
const ANSWER_MS: [u64; 4] = [200, 1_000, 3_000, 6_000];
/// The time before the signal in which connections and requests are begun.
const LEAD: Duration = Duration::from_millis(400);
/// The service that keeps connections busy from before the signal on.
const LONG: &str = "long";

/// How a request's answer is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Safe,
    Unsafe,
    Stream,
}

impl Kind {
    const ALL: [Self; 3] = [Self::Safe, Self::Unsafe, Self::Stream];

    const fn name(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Stream => "stream",
        }
    }

    /// Returns the path of a request whose answer takes a time.
    fn path(self, answer_ms: u64) -> String {
        let name = self.name();
        match self {
            Self::Safe | Self::Unsafe => format!("/{name}-{answer_ms}/{answer_ms}-0-0-0"),
            Self::Stream => format!("/{name}-{answer_ms}/0-10-{}-0", answer_ms / 10),
        }
    }
}

/// How a request comes to the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    /// On a connection that is idle when the host gets its signal.
    Idle,
    /// On a connection of its own.
    New,
    /// On a connection whose previous answer has just ended.
    Busy,
    /// With the last half of its head.
    LateHead,
    /// With the last half of its body.
    LateBody,
}

/// A request and what became of it.
#[derive(Debug)]
struct Ended {
    kind: Kind,
    answer_ms: u64,
    sent_ms: u64,
    attempt: String,
    end: End,
}

fn setup() -> Value {
    let mut config = config(1);
    let (mut routes, mut services) = (Vec::new(), Vec::new());
    let names = ANSWER_MS.iter().map(u64::to_string);
    for name in names.chain([LONG.to_owned()]) {
        let mut service = config["services"][0].clone();
        service["name"] = json!(name);
        services.push(service);
        for (kind, route) in Kind::ALL.iter().zip(0..) {
            let mut route = config["routes"][route].clone();
            let prefix = format!("/{}-{name}/", kind.name());
            route["name"] = json!(prefix);
            route["pathPrefix"] = json!(prefix);
            route["service"] = json!(name);
            route["timeoutMs"] = json!(30_000);
            routes.push(route);
        }
    }
    config["routes"] = json!(routes);
    config["services"] = json!(services);
    config["limits"]["headerTimeoutMs"] = json!(20_000);
    config
}

fn request<'a>(path: &'a str, attempt: &'a str) -> Request<'a> {
    Request {
        deadline_ms: 20_000,
        ..Request::new(path, attempt)
    }
}

/// Sends a request whose last byte leaves `sent_ms` after the signal.
async fn send(
    cluster: &Cluster,
    way: Way,
    request: &Request<'_>,
    sent_ms: u64,
    signal_at: Instant,
) -> End {
    let address = cluster.callers(HOST);
    let sent_at = signal_at + Duration::from_millis(sent_ms);
    if way == Way::New {
        sleep_until(sent_at).await;
        return call(address, request).await;
    }
    let mut caller = Caller::connect(address).await.expect("a host");
    let text = request.head() + &"x".repeat(request.body_bytes);
    let split = match way {
        Way::Idle | Way::New | Way::Busy => 0,
        Way::LateHead => request.head().len() / 2,
        Way::LateBody => text.len() - request.body_bytes / 2,
    };
    let begun = match way {
        Way::Busy => {
            let pause = (signal_at - Instant::now()).as_millis() as u64 + sent_ms;
            let path = format!("/stream-{LONG}/0-20-{}-0", pause / 20);
            let attempt = format!("{}-first", request.attempt);
            caller.call(&self::request(&path, &attempt)).await
        }
        Way::Idle => {
            let path = Kind::Safe.path(ANSWER_MS[0]);
            let attempt = format!("{}-first", request.attempt);
            caller.call(&self::request(&path, &attempt)).await
        }
        Way::New | Way::LateHead | Way::LateBody => {
            let sent = caller.write(&text.as_bytes()[..split]).await;
            sent.expect("the host reads");
            End::Lost(String::new())
        }
    };
    assert!(split > 0 || begun.status() == 200, "{begun:?}");
    sleep_until(sent_at).await;
    match caller.write(&text.as_bytes()[split..]).await {
        Ok(()) => caller.receive().await,
        Err(error) => End::Lost(format!("not sent: {error}")),
    }
}

/// Returns what is wrong with the end of a request that endpoints ran `runs` times.
fn fault(ended: &Ended, runs: usize) -> Option<&'static str> {
    match &ended.end {
        End::Answered(answer) => match answer.status {
            200 => (runs == 0).then_some("not run"),
            503 if runs > 0 => Some("refused though it ran"),
            503 if !answer.head.contains("\r\nretry-after: 0.000\r\n") => Some("no retry time"),
            503 if !answer.head.contains("\r\nconnection: close\r\n") => Some("kept open"),
            503 => None,
            _ => Some("given up"),
        },
        End::Broken(_) => Some("cut in the answer"),
        // The close of the connection may cross a request that the host has not passed on.
        End::Lost(_) => (runs > 0).then_some("cut without an answer"),
    }
}

async fn check(subnet: u16, way: Way) {
    let cluster = Cluster::start(subnet);
    cluster.apply(&setup()).await;
    let mut endpoints = Vec::new();
    let names = ANSWER_MS.iter().map(u64::to_string);
    for name in names.chain([LONG.to_owned()]) {
        let endpoint = Endpoint::start(&format!("i-{name}"), Behaviour::ByPath).await;
        cluster.announce(&endpoint, &name, "ready", 1).await;
        cluster.wait_until_ready(HOST, &endpoint).await;
        endpoints.push(endpoint);
    }
    let mut usual = JoinSet::new();
    for (kind, answer_ms) in Kind::ALL
        .iter()
        .flat_map(|kind| ANSWER_MS.map(|ms| (*kind, ms)))
    {
        let address = cluster.callers(HOST);
        usual.spawn(async move {
            let attempt = format!("usual-{}-{answer_ms}", kind.name());
            call(address, &request(&kind.path(answer_ms), &attempt)).await
        });
    }
    for end in usual.join_all().await {
        assert_eq!(end.status(), 200, "{end:?}");
    }
    let signal_at = Instant::now() + LEAD;
    let cluster = Arc::new(cluster);
    let mut sending = JoinSet::new();
    for kind in Kind::ALL {
        for (answer_ms, sent_ms) in ANSWER_MS.iter().flat_map(|ms| SENT_MS.map(|at| (*ms, at))) {
            let cluster = cluster.clone();
            sending.spawn(async move {
                let attempt = format!("{}-{answer_ms}-{sent_ms}", kind.name());
                let path = kind.path(answer_ms);
                let request = request(&path, &attempt);
                let end = send(&cluster, way, &request, sent_ms, signal_at).await;
                Ended {
                    kind,
                    answer_ms,
                    sent_ms,
                    attempt,
                    end,
                }
            });
        }
    }
    sleep_until(signal_at).await;
    cluster.signal(HOST, "-TERM");
    let mut faults = Vec::new();
    let mut counts = BTreeMap::<String, usize>::new();
    let mut ends = sending.join_all().await;
    ends.sort_by_key(|ended| (ended.sent_ms, ended.answer_ms));
    sleep(Duration::from_millis(200)).await;
    for ended in ends {
        let runs = endpoints.iter().map(|endpoint| {
            let attempts = endpoint.record.attempts.lock();
            attempts.get(&ended.attempt).copied().unwrap_or(0)
        });
        let runs: usize = runs.sum();
        assert!(ended.kind != Kind::Unsafe || runs <= 1, "{ended:?}");
        let status = match &ended.end {
            End::Answered(answer) => answer.status.to_string(),
            End::Broken(_) => "broken".to_owned(),
            End::Lost(_) => "lost".to_owned(),
        };
        *counts.entry(status.clone()).or_default() += 1;
        if let Some(fault) = fault(&ended, runs) {
            faults.push(format!("{} {status} {fault}", ended.attempt));
        }
    }
    println!("{way:?}: {counts:?}");
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
    let served = counts.get("200").copied().unwrap_or(0);
    assert!(served > 0, "what can end in time is served: {counts:?}");
}

#[tokio::test]
async fn requests_on_idle_connections_of_a_stopping_host_are_not_cut() {
    check(331, Way::Idle).await;
}

#[tokio::test]
async fn requests_on_new_connections_to_a_stopping_host_are_not_cut() {
    check(292, Way::New).await;
}

#[tokio::test]
async fn requests_behind_an_answer_of_a_stopping_host_are_not_cut() {
    check(293, Way::Busy).await;
}

#[tokio::test]
async fn requests_whose_heads_end_during_a_stop_are_not_cut() {
    check(294, Way::LateHead).await;
}

#[tokio::test]
async fn requests_whose_bodies_end_during_a_stop_are_not_cut() {
    check(295, Way::LateBody).await;
}

#[tokio::test]
async fn a_prompt_of_unknown_size_is_not_cut_when_its_host_ends() {
    let cluster = Cluster::start(296);
    let mut setup = engine_config(1);
    setup["services"][0]["engine"]["usual"] = json!({"prompt": 5_000, "answer": 3_000});
    for route in setup["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = json!(30_000);
    }
    cluster.apply(&setup).await;
    let engine = Endpoint::start("i-1", Behaviour::ByPath).await;
    cluster.announce(&engine, "plain", "ready", 1).await;
    cluster.wait_until_ready(HOST, &engine).await;
    let signal_at = Instant::now() + LEAD;
    let early = request("/stream/0-10-300-0", "at-early");
    let late = request("/stream/0-10-300-0", "at-late");
    let (early, late, ()) = tokio::join!(
        send(&cluster, Way::LateBody, &early, 500, signal_at),
        send(&cluster, Way::LateBody, &late, 5_500, signal_at),
        async {
            sleep_until(signal_at).await;
            cluster.signal(HOST, "-TERM");
        }
    );
    assert_eq!(early.status(), 200, "{early:?}");
    assert_eq!(late.status(), 503, "{late:?}");
    assert_eq!(engine.runs(), 1);
}
