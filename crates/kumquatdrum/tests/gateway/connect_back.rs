//! Hosts that others can connect to, and that can't connect to others.

use std::time::Duration;

use reqwest::StatusCode;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL_HOSTS, Cluster, HOSTS, config};
use crate::endpoint::{Behaviour, Endpoint};
use crate::leaving::{check_drained, check_others_learn};

/// The time in which an accepted setup is in force on hosts in touch.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// The time in which a host that was restarted is ready.
const START_LIMIT: Duration = Duration::from_secs(10);
/// The time in which operators' calls are served, also right after a cut: they wait for a leader.
const LEADER_LIMIT: Duration = Duration::from_secs(4);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Guards against a record that counts as delivered although its sender can't connect to the host.
#[tokio::test]
async fn hosts_get_a_setup_that_its_sender_cannot_connect_to() {
    let (mut cluster, mut links) = Cluster::with_links(140).await;
    cluster.apply(&config(1)).await;
    for sender in 0..CONTROL_HOSTS {
        let revision = sender as u64 + 2;
        for host in CONTROL_HOSTS..HOSTS {
            cluster.kill(host);
            cluster.start_host(host, false);
            let started = Instant::now();
            while !cluster.is_ready(host).await {
                let log = cluster.read_log(host);
                assert!(started.elapsed() < START_LIMIT, "host {host}: {log}");
                sleep(POLL_INTERVAL).await;
            }
            cluster.wait_for_revision(host, revision - 1).await;
        }
        links.cut(sender, CONTROL_HOSTS..HOSTS);
        cluster.apply(&config(revision)).await;
        let acknowledged = Instant::now();
        for host in CONTROL_HOSTS..HOSTS {
            cluster.wait_for_revision(host, revision).await;
        }
        let passed = acknowledged.elapsed();
        assert!(passed < APPLY_LIMIT, "sender {sender}: {passed:?}");
        links.join(sender).await;
    }
}

/// Guards against a leave request that is acknowledged by a control host which can't connect to any host, and
/// that others learn of too late.
#[tokio::test]
async fn an_endpoint_gets_no_requests_after_it_left_at_a_host_that_connects_to_none() {
    let (cluster, mut links) = Cluster::with_links(141).await;
    cluster.apply(&config(1)).await;
    let other = Endpoint::start("i-other", Behaviour::CompleteBody).await;
    cluster.announce(&other, "plain", "ready", 1).await;
    for control in 0..CONTROL_HOSTS {
        let leaving = Endpoint::start(&format!("i-{control}"), Behaviour::CompleteBody).await;
        cluster.announce(&leaving, "plain", "ready", 1).await;
        for host in CONTROL_HOSTS..HOSTS {
            cluster.wait_until_ready(host, &leaving).await;
        }
        cluster.wait_until_known(control, &leaving).await;
        links.cut(control, 0..HOSTS);
        check_leave(&cluster, &leaving, control).await;
        links.join(control).await;
    }
}

/// Checks that an endpoint gets no requests once it has left at a control host and was drained.
async fn check_leave(cluster: &Cluster, endpoint: &Endpoint, control: usize) {
    let path = format!("/-/Instances.Leave/{}", endpoint.id);
    let leave = json!({"born": 1});
    let left = cluster.call_control(control, &path, Some(&leave)).await;
    assert_eq!(left.expect("an answer").status(), StatusCode::OK);
    let acknowledged = Instant::now();
    check_drained(
        cluster,
        endpoint,
        acknowledged,
        &format!("control host {control}"),
    )
    .await;
}

/// Guards against a leave request that is acknowledged by a control host which doesn't know the endpoint.
#[tokio::test]
async fn an_endpoint_gets_no_requests_after_it_left_at_a_host_that_did_not_know_it() {
    let (cluster, mut links) = Cluster::with_links(144).await;
    cluster.apply(&config(1)).await;
    let other = Endpoint::start("i-other", Behaviour::CompleteBody).await;
    let leaving = Endpoint::start("i-leaving", Behaviour::CompleteBody).await;
    cluster.announce(&other, "plain", "ready", 1).await;
    links.cut(0, [1]);
    cluster.announce(&leaving, "plain", "ready", 1).await;
    for host in CONTROL_HOSTS..HOSTS {
        cluster.wait_until_ready(host, &other).await;
        cluster.wait_until_ready(host, &leaving).await;
    }
    check_leave(&cluster, &leaving, 1).await;
}

/// Guards against a departure that one message to one control host tells.
#[tokio::test]
async fn a_departure_is_known_although_the_first_control_host_cannot_be_connected_to() {
    let (cluster, mut links) = Cluster::with_links(143).await;
    check_others_learn(&cluster, || links.cut(3, [0])).await;
}

/// Guards against replicas that lead nobody, as their votes and acknowledgements need a connection back.
#[tokio::test]
async fn control_hosts_that_connect_in_one_direction_have_a_leader() {
    let (cluster, mut links) = Cluster::with_links(142).await;
    cluster.apply(&config(1)).await;
    for host in 0..HOSTS {
        cluster.wait_for_revision(host, 1).await;
    }
    for control in 1..CONTROL_HOSTS {
        links.cut(control, 0..control);
    }
    for revision in 2..6 {
        let asked = Instant::now();
        cluster.apply(&config(revision)).await;
        let passed = asked.elapsed();
        println!("revision {revision} applied in {passed:?}");
        assert!(passed < LEADER_LIMIT, "revision {revision}: {passed:?}");
        sleep(Duration::from_secs(1)).await;
    }
}
