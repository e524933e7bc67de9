//! Requests that reach a host while it starts.

use std::sync::Arc;
use std::time::Duration;

use reqwest::StatusCode;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL_HOSTS, Cluster, HOSTS, config};
use crate::endpoint::{Behaviour, Endpoint};

/// The time after a start in which requests are sent.
const SENDING: Duration = Duration::from_millis(600);
const RESTARTS: usize = 3;

#[tokio::test]
async fn requests_to_a_starting_host_are_held_until_it_can_place_them() {
    let mut cluster = Cluster::start(78);
    cluster.apply(&config(3)).await;
    let endpoint = Endpoint::start("i-1", Behaviour::CompleteBody).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    for host in CONTROL_HOSTS..HOSTS {
        cluster.wait_until_ready(host, &endpoint).await;
    }
    let host = CONTROL_HOSTS;
    for round in 0..RESTARTS {
        cluster.kill(host);
        cluster.start_host(host, false);
        let shared = Arc::new(cluster);
        let mut calls = JoinSet::new();
        let started = Instant::now();
        let mut sent = 0;
        while started.elapsed() < SENDING {
            let (cluster, attempt) = (shared.clone(), format!("at-{round}-{sent}"));
            calls.spawn(async move {
                // Until the listener is open, no request is sent.
                loop {
                    let call = cluster.request(host, "/safe/x", &attempt).send().await;
                    match call {
                        Ok(answer) => return answer.status(),
                        Err(error) if error.is_connect() => sleep(Duration::from_millis(5)).await,
                        Err(error) => panic!("{error}"),
                    }
                }
            });
            sent += 1;
            sleep(Duration::from_millis(5)).await;
        }
        let answers = calls.join_all().await;
        let refused = answers.iter().filter(|status| **status != StatusCode::OK);
        assert_eq!(refused.count(), 0, "{}", shared.read_log(host));
        cluster = Arc::into_inner(shared).expect("no call holds the cluster");
    }
}
