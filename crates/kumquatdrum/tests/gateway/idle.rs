//! Connections that callers may still use are not closed, and a head that is on its way is answered.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use crate::caller::{Caller, Request};
use crate::cluster::{Cluster, config};
use crate::endpoint::{Behaviour, End, Endpoint};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn limits(revision: u64, header_ms: u64, idle_ms: u64) -> Value {
    let mut config = config(revision);
    config["limits"]["headerTimeoutMs"] = json!(header_ms);
    config["limits"]["idleTimeoutMs"] = json!(idle_ms);
    config
}

async fn start(subnet: u16, header_ms: u64, idle_ms: u64) -> (Cluster, Endpoint) {
    let cluster = Cluster::start(subnet);
    cluster.apply(&limits(1, header_ms, idle_ms)).await;
    let endpoint = Endpoint::start("i-1", Behaviour::CompleteBody).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &endpoint).await;
    (cluster, endpoint)
}

/// Opens a connection and serves a first request on it.
async fn connect(cluster: &Cluster) -> Caller {
    let mut caller = Caller::connect(cluster.callers(3)).await.expect("a host");
    let end = caller.call(&Request::new("/safe/x", "at-first")).await;
    assert_eq!(end.status(), 200, "{end:?}");
    caller
}

/// Sends a request whose head comes in two parts, and returns the status of the answer.
async fn call_slowly(caller: &mut Caller, attempt: &str, pause: Duration) -> u16 {
    let request = Request::new("/safe/x", attempt);
    let head = request.head();
    let (first, rest) = head.as_bytes().split_at(30);
    caller.write(first).await.expect("the host reads");
    sleep(pause).await;
    let rest = [rest, request.parts().concat().as_slice()].concat();
    match caller.write(&rest).await {
        Ok(()) => caller.receive().await.status(),
        Err(_) => 0,
    }
}

#[tokio::test]
async fn a_head_that_begins_late_in_the_idle_time_is_not_cut_off() {
    let (cluster, _endpoint) = start(14, 3_000, 2_000).await;
    let mut caller = connect(&cluster).await;
    sleep(ms(1_600)).await;
    assert_eq!(call_slowly(&mut caller, "at-late", ms(900)).await, 200);
}

#[tokio::test]
async fn a_head_that_stays_incomplete_is_not_left_without_an_answer() {
    let (cluster, endpoint) = start(15, 1_000, 15_000).await;
    let mut caller = connect(&cluster).await;
    caller
        .write(b"POST /safe/x HT")
        .await
        .expect("the host reads");
    assert_eq!(caller.receive().await.status(), 408);
    assert!(caller.is_closed().await);
    assert_eq!(endpoint.runs(), 1);
}

#[tokio::test]
async fn a_connection_is_not_closed_by_the_idle_limit_from_before_a_change() {
    let (cluster, _endpoint) = start(20, 3_000, 1_000).await;
    let mut caller = connect(&cluster).await;
    cluster.apply(&limits(2, 3_000, 8_000)).await;
    sleep(ms(2_500)).await;
    let end = caller.call(&Request::new("/safe/x", "at-raised")).await;
    assert_eq!(end.status(), 200, "{end:?}");

    cluster.apply(&limits(3, 3_000, 1_000)).await;
    sleep(ms(3_000)).await;
    let end = caller.call(&Request::new("/safe/x", "at-lowered")).await;
    assert_eq!(end.status(), 200, "{end:?}");
    sleep(ms(500)).await;
    assert!(caller.is_closed().await, "the new limit holds from now on");
}

#[tokio::test]
async fn a_caller_that_reads_late_does_not_lose_its_answer() {
    const BODY_BYTES: usize = 12 << 20;
    let cluster = Cluster::start(29);
    cluster.apply(&config(1)).await;
    let body = "x".repeat(BODY_BYTES);
    let answer =
        format!("HTTP/1.1 200 OK\r\nATTEMPT\r\nContent-Length: {BODY_BYTES}\r\n\r\n{body}");
    let behaviour = Behaviour::Verbatim {
        answer: answer.leak(),
        end: End::Close,
    };
    let endpoint = Endpoint::start("i-1", behaviour).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &endpoint).await;
    let address = cluster.callers(3);
    let caller = Caller::connect_with_buffer(address, 8 << 10).await;
    let mut caller = caller.expect("a host");
    let request = Request::new("/safe/x", "at-late");
    caller.send(&request).await.expect("the host reads");
    sleep(ms(4_500)).await;
    let end = caller.receive().await;
    assert_eq!(end.status(), 200, "{}", cluster.read_log(3));
}

#[tokio::test]
async fn a_head_that_is_on_its_way_when_a_host_stops_is_not_cut_off() {
    let (mut cluster, _endpoint) = start(28, 8_000, 15_000).await;
    let mut caller = connect(&cluster).await;
    cluster.signal(3, "-TERM");
    // The host closes idle connections 2.6 s after the signal.
    sleep(ms(2_000)).await;
    let status = call_slowly(&mut caller, "at-stop", ms(1_500)).await;
    assert!([200, 503].contains(&status), "{status}");
    assert_eq!(cluster.wait_for_exit(3).await, Some(0));
}
