//! Many large bodies at the same time.

use std::time::Duration;

use serde_json::json;
use tokio::task::JoinSet;

use crate::caller::{self, End, Framing, Request};
use crate::cluster::{Cluster, config};
use crate::endpoint::{Behaviour, Endpoint};

/// The largest body that the setup allows.
const BODY_BYTES: usize = 4 << 20;
/// The memory of the smallest hosts.
const MEMORY_BYTES: u64 = 260_000_000;
/// A path whose requests take a second.
const PATH: &str = "/safe/1000-0-0-0";
/// The host that takes the requests.
const HOST: usize = 3;

/// Returns the largest memory that a process has used so far.
fn peak_memory(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    kilobytes.expect("a size").parse::<u64>().expect("a number") * 1_024
}

async fn start(subnet: u16) -> (Cluster, Endpoint) {
    let cluster = Cluster::start(subnet);
    let mut setup = config(1);
    setup["limits"]["maxBodyBytes"] = json!(BODY_BYTES);
    cluster.apply(&setup).await;
    let endpoint = Endpoint::start("i-0", Behaviour::ByPath).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.wait_until_ready(HOST, &endpoint).await;
    (cluster, endpoint)
}

/// Sends requests at the same time, and returns how each ended.
async fn send_all(cluster: &Cluster, count: usize, framing: Framing) -> Vec<End> {
    let mut requests = JoinSet::new();
    for number in 0..count {
        let address = cluster.callers(HOST);
        requests.spawn(async move {
            let attempt = format!("{number:016x}");
            let request = Request {
                framing,
                body_bytes: BODY_BYTES,
                ..Request::new(PATH, &attempt)
            };
            caller::call(address, &request).await
        });
    }
    requests.join_all().await
}

/// Guards against a host that exceeds its memory, and loses all its requests, as many large bodies arrive.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_at_the_same_time_stay_within_the_memory_of_a_small_host() {
    for (subnet, framing) in [(502, Framing::Length), (503, Framing::Chunked)] {
        let (cluster, _endpoint) = start(subnet).await;
        let ends = send_all(&cluster, 60, framing).await;
        let peak = peak_memory(cluster.process(HOST));
        assert!(peak < MEMORY_BYTES, "{framing:?}: {peak} bytes");
        let unanswered = ends.iter().filter(|end| !matches!(end.status(), 200 | 503));
        let unanswered: Vec<&End> = unanswered.collect();
        assert!(
            unanswered.is_empty(),
            "{framing:?}: {unanswered:?}\n{}",
            cluster.read_log(HOST)
        );
        let served = ends.iter().filter(|end| end.status() == 200).count();
        assert!(
            served >= 16,
            "{framing:?}: {served} of {} served",
            ends.len()
        );
    }
}

/// Guards against small requests that wait for the memory of large bodies.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_requests_do_not_wait_for_large_bodies() {
    let (cluster, _endpoint) = start(504).await;
    let large = send_all(&cluster, 30, Framing::Length);
    let small = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let started = tokio::time::Instant::now();
        let request = Request::new(PATH, "00000000000000ff");
        let end = caller::call(cluster.callers(HOST), &request).await;
        (end.status(), started.elapsed())
    };
    let (_, (status, passed)) = tokio::join!(large, small);
    assert_eq!(status, 200);
    // The endpoint takes a second.
    assert!(passed < Duration::from_secs(2), "{passed:?}");
}
