//! A graceful stop and a reload interrupt no stream.

use std::time::Duration;

use tokio::time::sleep;

use crate::caller::{Caller, Request};
use crate::cluster::{Cluster, config};
use crate::endpoint::{Behaviour, Endpoint};

#[tokio::test]
async fn a_stop_and_a_reload_let_a_stream_run_to_its_end() {
    let mut cluster = Cluster::start(31);
    cluster.apply(&config(1)).await;
    let pause = Duration::from_millis(300);
    let endpoint = Endpoint::start("i-1", Behaviour::CompleteStream { events: 10, pause }).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &endpoint).await;
    let call = cluster.request(3, "/stream/x", "at-1").send();
    let stream = tokio::spawn(async move { call.await?.text().await });
    sleep(Duration::from_millis(500)).await;
    cluster.signal(3, "-HUP");
    sleep(Duration::from_millis(300)).await;
    assert!(cluster.is_ready(3).await, "a reload does not stop a host");
    cluster.signal(3, "-TERM");
    sleep(Duration::from_millis(300)).await;
    assert!(
        !cluster.is_ready(3).await,
        "a stopping host takes no callers"
    );
    let text = stream.await.expect("the caller").expect("a whole stream");
    assert!(text.ends_with("data: piece 10\n\n"), "{text}");
    assert_eq!(cluster.wait_for_exit(3).await, Some(0));
    let log = cluster.read_log(3);
    for event in [
        "event=started",
        "event=reload_asked",
        "event=stopping",
        "event=stopped",
    ] {
        assert!(log.contains(event), "{event}: {log}");
    }
}

#[tokio::test]
async fn a_request_without_an_answer_when_its_host_ends_is_not_cut_without_a_word() {
    let mut cluster = Cluster::start(33);
    cluster.apply(&config(1)).await;
    let pause = Duration::from_secs(20);
    let endpoint = Endpoint::start("i-1", Behaviour::CompleteStream { events: 1, pause }).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    cluster.wait_until_ready(3, &endpoint).await;
    let mut caller = Caller::connect(cluster.callers(3)).await.expect("a host");
    // The request's deadline passes after the host's end.
    let request = Request::new("/unsafe/x", "at-1");
    caller.send(&request).await.expect("the host reads");
    cluster.signal(3, "-TERM");
    assert_eq!(caller.receive().await.status(), 502);
    assert_eq!(endpoint.runs(), 1);
    assert_eq!(cluster.wait_for_exit(3).await, Some(0));
}

#[tokio::test]
async fn an_operators_call_under_way_when_a_control_host_stops_is_not_cut_without_a_word() {
    let mut cluster = Cluster::start(35);
    cluster.apply(&config(1)).await;
    for host in [1, 2] {
        cluster.signal(host, "-STOP");
    }
    let next = config(2);
    let (answer, ()) = tokio::join!(
        cluster.call_control(0, "/-/Config.Replace", Some(&next)),
        async {
            sleep(Duration::from_millis(300)).await;
            cluster.signal(0, "-TERM");
        }
    );
    assert!(answer.is_some(), "{}", cluster.read_log(0));
    assert_eq!(cluster.wait_for_exit(0).await, Some(0));
}
