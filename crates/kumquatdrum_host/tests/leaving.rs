//! A leaving endpoint over nine hosts.

mod support;

use std::time::Duration;

use kumquatdrum_testing::Engine;
use support::{System, call, completion, got};

const HOSTS: usize = 9;
const ASKED_OF_EACH: usize = 4;
/// What the hosts may take to hear of it.
const BOUND: Duration = Duration::from_secs(2);

async fn ask_all(system: &System, hosts: std::ops::Range<usize>) {
    for host in hosts {
        for number in 0..ASKED_OF_EACH {
            let body = completion(&format!("shade {host} {number}"), 2, false);
            let got = got(call(system.callers(host), &body)).await;
            assert_eq!(got.status, 200, "{got:?}");
        }
    }
}

async fn known_everywhere(system: &System) {
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
async fn no_host_gives_new_work_to_an_endpoint_that_left_by_a_host_that_died() {
    let mut system = System::start(HOSTS).await;
    let leaving = system.engine("e1", HOSTS - 1).await;
    let staying = system.engine("e2", 0).await;
    known_everywhere(&system).await;
    ask_all(&system, 0..HOSTS).await;
    assert!(received(&leaving) > 0, "it had work before");

    leaving.leave().await;
    let taker = system.hosts.pop().expect("the host that took the notice");
    taker.kill().await;
    tokio::time::sleep(BOUND).await;
    let before = received(&leaving);
    ask_all(&system, 0..HOSTS - 1).await;
    assert_eq!(received(&leaving), before, "new work after it left");
    leaving.shutdown().await;
    staying.shutdown().await;
    system.stop().await;
}
