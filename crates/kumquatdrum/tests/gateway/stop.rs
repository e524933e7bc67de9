//! A graceful stop and a reload interrupt no stream.

use std::time::Duration;

use tokio::time::sleep;

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
