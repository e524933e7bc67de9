//! A request that ends with its connection leaves a line that tells how far it had come.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::caller::{Caller, Request};
use crate::cluster::{Cluster, config};
use crate::endpoint::{Behaviour, Endpoint};
use crate::explain::explain;

/// The time within which the end of a connection is logged.
const LOG_DELAY: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until a host has logged the end of a request's connection, and returns the line.
async fn wait_for_end(cluster: &Cluster, attempt: &str) -> String {
    let until = Instant::now() + LOG_DELAY;
    loop {
        let log = cluster.read_log(3);
        let is_end = |line: &&str| {
            line.contains("event=connection_ended") && line.contains(&format!("request={attempt} "))
        };
        if let Some(line) = log.lines().find(is_end) {
            return line.to_owned();
        }
        assert!(Instant::now() < until, "no end of {attempt}: {log}");
        sleep(POLL_INTERVAL).await;
    }
}

/// Sends a part of a request, closes the connection, and returns the line of its end.
async fn leave(cluster: &Cluster, attempt: &str, bytes: &[u8], stay: Duration) -> String {
    let mut caller = Caller::connect(cluster.callers(3)).await.expect("a host");
    caller.write(bytes).await.expect("the request is sent");
    sleep(stay).await;
    drop(caller);
    wait_for_end(cluster, attempt).await
}

#[tokio::test]
async fn a_request_whose_caller_leaves_is_logged_with_how_far_it_had_come() {
    let cluster = Cluster::start(1);
    cluster.apply(&config(1)).await;
    let pause = Duration::from_millis(200);
    let endpoint = Endpoint::start("i-1", Behaviour::CompleteStream { events: 30, pause }).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &endpoint).await;

    let request = Request {
        body_bytes: 1_000,
        ..Request::new("/safe/x", "at-body")
    };
    let half = [request.head().as_bytes(), &[b'x'; 500]].concat();
    let line = leave(&cluster, "at-body", &half, Duration::from_millis(100)).await;
    assert!(line.contains("phase=unread"), "{line}");
    assert!(line.contains("cause=caller"), "{line}");
    assert!(
        line.contains(&format!("bytes_read={}", half.len())),
        "{line}"
    );

    let line = leave(&cluster, "", &half[..60], Duration::from_millis(100)).await;
    assert!(line.contains("phase=head"), "{line}");

    let request = Request::new("/stream/x", "at-response");
    let whole = [request.head().into_bytes(), request.parts().concat()].concat();
    let line = leave(&cluster, "at-response", &whole, Duration::from_millis(700)).await;
    assert!(line.contains("phase=response"), "{line}");
    let timeline = explain(&cluster, "at-response");
    let cause = timeline["cause"].as_str().expect("a cause");
    assert!(cause.contains("its caller closed it"), "{cause}");
    let ended = "kumquatdrum_gateway_connections_ended_total{cause=\"caller\",phase=\"response\"}";
    assert_eq!(cluster.metric(3, ended).await, 1);
}

#[tokio::test]
async fn a_request_that_a_stopping_host_cuts_is_logged() {
    let mut cluster = Cluster::start(2);
    cluster.apply(&config(1)).await;
    let pause = Duration::from_secs(7);
    let endpoint = Endpoint::start("i-1", Behaviour::CompleteStream { events: 3, pause }).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &endpoint).await;
    let request = Request::new("/stream/x", "at-cut");
    let mut caller = Caller::connect(cluster.callers(3)).await.expect("a host");
    caller.send(&request).await.expect("the request is sent");
    // A host that stops refuses a stream that it has not sent yet.
    while !endpoint.has_run("at-cut") {
        sleep(POLL_INTERVAL).await;
    }
    cluster.signal(3, "-TERM");
    assert_eq!(cluster.wait_for_exit(3).await, Some(0));
    let line = wait_for_end(&cluster, "at-cut").await;
    assert!(line.contains("phase=response"), "{line}");
    assert!(line.contains("cause=stopped"), "{line}");
}
