//! Endpoints that send bytes without end.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::caller::{Caller, Request, call};
use crate::cluster::{Cluster, config};
use crate::endpoint::{Behaviour, Endpoint, Part};

/// The other requests beside those to endpoints without end.
const OTHERS: usize = 50;
const DEADLINE_MS: u64 = 3_000;
/// The time after the deadline in which a request has to end.
pub const MAX_LATE: Duration = Duration::from_millis(500);
/// The resident memory that a host may have: the 64 MB that all of a host's work may take, and what
/// one request may hold, by the config's `maxBodyBytes` and `maxHeaderBytes`. No page allows more for
/// what an endpoint sends, so that it has to fit in, too.
pub const MAX_RESIDENT_BYTES: u64 = (64 << 20) + 100_000 + 16_384;

/// Returns the resident memory of a process.
pub fn resident_bytes(process: u32) -> u64 {
    read_bytes(process, "VmRSS:")
}

/// Returns the largest resident memory that a process has had.
pub fn peak_bytes(process: u32) -> u64 {
    read_bytes(process, "VmHWM:")
}

fn read_bytes(process: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let kilobytes = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.expect("a size") << 10
}

async fn check(subnet: u16, part: Part, path: &'static str) {
    let cluster = Cluster::start(subnet);
    let mut setup = config(1);
    let mut service = setup["services"][0].clone();
    service["name"] = json!("endless");
    setup["services"]
        .as_array_mut()
        .expect("services")
        .push(service);
    for route in [0, 2] {
        let mut route = setup["routes"][route].clone();
        route["service"] = json!("endless");
        let prefix = format!(
            "/endless{}",
            route["pathPrefix"].as_str().expect("a prefix")
        );
        route["name"] = json!(prefix);
        route["pathPrefix"] = json!(prefix);
        setup["routes"].as_array_mut().expect("routes").push(route);
    }
    cluster.apply(&setup).await;
    let endless = Endpoint::start("i-endless", Behaviour::Endless(part)).await;
    let sound = Endpoint::start("i-sound", Behaviour::StreamOrCompleteBody).await;
    cluster.announce(&endless, "endless", "ready", 1).await;
    cluster.announce(&sound, "plain", "ready", 1).await;
    for endpoint in [&endless, &sound] {
        cluster.wait_until_ready(3, endpoint).await;
    }
    let mut caller = Caller::connect(cluster.callers(3)).await.expect("a host");
    let request = Request {
        deadline_ms: DEADLINE_MS,
        headers: "Connection: close\r\n",
        ..Request::new(path, "at-endless")
    };
    caller.send(&request).await.expect("the host reads");
    let started = Instant::now();
    let limit = Duration::from_millis(DEADLINE_MS) + MAX_LATE;
    let mut others = JoinSet::new();
    let address = cluster.callers(3);
    for number in 0..OTHERS {
        others.spawn(async move {
            sleep(Duration::from_millis(40) * number as u32).await;
            let path = if number % 2 == 0 {
                "/safe/x"
            } else {
                "/stream/x"
            };
            call(address, &Request::new(path, &format!("at-{number}"))).await
        });
    }
    let watch = async {
        let mut most = 0;
        while started.elapsed() < limit {
            most = most.max(resident_bytes(cluster.process(3)));
            sleep(Duration::from_millis(20)).await;
        }
        most
    };
    let ended = async { (caller.discard(limit).await, started.elapsed()) };
    let ((received, elapsed), most) = tokio::join!(ended, watch);
    println!("{part:?}: {received:?} bytes received in {elapsed:?}, {most} bytes resident");
    let ends = others.join_all().await;
    let served = ends.iter().filter(|end| end.status() == 200).count();
    assert_eq!(served, OTHERS, "{ends:?}");
    assert!(received.is_some(), "{}", cluster.read_log(3));
    assert!(endless.runs() > 0, "{}", cluster.read_log(3));
    assert!(most < MAX_RESIDENT_BYTES, "{most} bytes resident");
    let disconnects = endless.record.disconnects.load(Ordering::Relaxed);
    assert_eq!(disconnects, endless.runs(), "{}", cluster.read_log(3));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_status_line_without_end_harms_no_other_request() {
    check(240, Part::StatusLine, "/endless/safe/x").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn headers_without_end_harm_no_other_request() {
    check(241, Part::Headers, "/endless/safe/x").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_without_end_harms_no_other_request() {
    check(242, Part::Body, "/endless/safe/x").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_event_without_end_harms_no_other_request() {
    check(243, Part::Event, "/endless/stream/x").await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn events_without_end_harm_no_other_request() {
    check(208, Part::Events, "/endless/stream/x").await;
}
