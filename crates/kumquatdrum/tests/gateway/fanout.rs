//! Announcements in data centres with so many hosts that they are relayed.
//!
//! Guards against a control host that sends each announcement to every host itself, which delays
//! the acknowledgement in large clusters.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL_HOSTS, Cluster, config};
use crate::endpoint::{Behaviour, Endpoint};

const HOSTS: usize = CONTROL_HOSTS + 30;
const TIMEOUT: Duration = Duration::from_secs(40);

fn is_known_as_leaving(cluster: &Cluster, host: usize, endpoint: &Endpoint) -> bool {
    let log = cluster.read_log(host);
    let mut lines = log.lines().filter(|line| {
        line.contains("event=endpoint_known")
            && line.contains(&format!("endpoint={} ", endpoint.id))
    });
    lines.any(|line| line.contains("leaving=true"))
}

#[tokio::test]
async fn a_leaving_endpoint_is_known_on_all_hosts_once_acknowledged_even_with_a_frozen_relay() {
    let cluster = Cluster::with_hosts(51, HOSTS);
    cluster.apply(&config(1)).await;
    let endpoint = Endpoint::start("i-1", Behaviour::CompleteBody).await;
    let next = Endpoint::start("i-2", Behaviour::CompleteBody).await;
    for endpoint in [&endpoint, &next] {
        cluster.announce(endpoint, "plain", "ready", 1).await;
    }
    for host in CONTROL_HOSTS..HOSTS {
        cluster.wait_until_ready(host, &endpoint).await;
        cluster.wait_until_ready(host, &next).await;
    }
    cluster.announce(&endpoint, "plain", "draining", 2).await;
    for host in 0..HOSTS {
        assert!(
            is_known_as_leaving(&cluster, host, &endpoint),
            "host {host}"
        );
    }
    // Freezes hosts of one data centre, including the one that relays for control host 0.
    let frozen: Vec<usize> = (CONTROL_HOSTS..HOSTS)
        .filter(|host| host % 3 == 1)
        .take(7)
        .collect();
    for host in &frozen {
        cluster.signal(*host, "-STOP");
    }
    cluster.announce(&next, "plain", "draining", 2).await;
    for host in (0..HOSTS).filter(|host| !frozen.contains(host)) {
        assert!(is_known_as_leaving(&cluster, host, &next), "host {host}");
    }
    assert!(cluster.read_log(0).contains("event=relay_silent"));
    for host in &frozen {
        cluster.signal(*host, "-CONT");
    }
    let until = Instant::now() + TIMEOUT;
    while !frozen
        .iter()
        .all(|host| is_known_as_leaving(&cluster, *host, &next))
    {
        assert!(
            Instant::now() < until,
            "a frozen host does not know that the endpoint is leaving"
        );
        sleep(Duration::from_millis(50)).await;
    }
}
