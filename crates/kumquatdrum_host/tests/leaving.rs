//! Propagation of an endpoint's leaving notice over nine hosts.

mod support;

use std::time::Duration;

use kumquatdrum_testing::Engine;
use support::{System, call, completion, send};

const HOSTS: usize = 9;
const REQUESTS_PER_HOST: usize = 4;
/// The time limit for the notice to reach all hosts.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);

async fn send_to_all(system: &System, hosts: std::ops::Range<usize>) {
    for host in hosts {
        for number in 0..REQUESTS_PER_HOST {
            let body = completion(&format!("shade {host} {number}"), 2, false);
            let response = send(call(system.callers(host), &body)).await;
            assert_eq!(response.status, 200, "{response:?}");
        }
    }
}

async fn wait_until_known(system: &System) {
    for host in 0..HOSTS {
        while system.hosts[host]
            .metrics()
            .endpoints
            .with_label_values(&["alive"])
            .get()
            < 2
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn received(engine: &Engine) -> u64 {
    engine.counts().received
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_endpoint_gets_no_requests_even_if_the_host_that_received_its_notice_dies() {
    let mut system = System::start(HOSTS).await;
    let leaving = system.engine("e1", HOSTS - 1).await;
    let staying = system.engine("e2", 0).await;
    wait_until_known(&system).await;
    send_to_all(&system, 0..HOSTS).await;
    assert!(
        received(&leaving) > 0,
        "the engine received requests before it left"
    );

    leaving.leave().await;
    let receiver = system
        .hosts
        .pop()
        .expect("the host that received the notice");
    receiver.kill().await;
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    let before = received(&leaving);
    send_to_all(&system, 0..HOSTS - 1).await;
    assert_eq!(
        received(&leaving),
        before,
        "the engine received requests after it left"
    );
    leaving.shutdown().await;
    staying.shutdown().await;
    system.stop().await;
}
