//! What endpoints say, told to data centres of more hosts than are told directly.
//!
//! Before 295 hosts a worker that was leaving waited 0.7 s for its acknowledgement: the control host
//! that took its farewell asked each of 299 others itself, on a sixth of a core.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL, Cluster, config};
use crate::endpoint::{Endpoint, Manner};

const HOSTS: usize = CONTROL + 30;
const PATIENCE: Duration = Duration::from_secs(40);

fn knows_that_it_leaves(cluster: &Cluster, host: usize, endpoint: &Endpoint) -> bool {
    let logged = cluster.logged(host);
    let mut lines = logged.lines().filter(|line| {
        line.contains("event=endpoint_known")
            && line.contains(&format!("endpoint={} ", endpoint.id))
    });
    lines.any(|line| line.contains("leaving=true"))
}

#[tokio::test]
async fn a_farewell_is_known_everywhere_when_it_is_acknowledged_also_beside_a_frozen_relay() {
    let cluster = Cluster::of(51, HOSTS);
    cluster.apply(&config(1)).await;
    let endpoint = Endpoint::start("i-1", Manner::Whole).await;
    let next = Endpoint::start("i-2", Manner::Whole).await;
    for endpoint in [&endpoint, &next] {
        cluster.announce(endpoint, "plain", "ready", 1).await;
    }
    for host in CONTROL..HOSTS {
        cluster.ready(host, &endpoint).await;
        cluster.ready(host, &next).await;
    }
    cluster.announce(&endpoint, "plain", "draining", 2).await;
    for host in 0..HOSTS {
        assert!(
            knows_that_it_leaves(&cluster, host, &endpoint),
            "host {host}"
        );
    }
    // Hosts of one data centre freeze, the one that relays for control host 0 among them.
    let frozen: Vec<usize> = (CONTROL..HOSTS)
        .filter(|host| host % 3 == 1)
        .take(7)
        .collect();
    for host in &frozen {
        cluster.signal(*host, "-STOP");
    }
    cluster.announce(&next, "plain", "draining", 2).await;
    for host in (0..HOSTS).filter(|host| !frozen.contains(host)) {
        assert!(knows_that_it_leaves(&cluster, host, &next), "host {host}");
    }
    assert!(cluster.logged(0).contains("event=relay_silent"));
    for host in &frozen {
        cluster.signal(*host, "-CONT");
    }
    let until = Instant::now() + PATIENCE;
    while !frozen
        .iter()
        .all(|host| knows_that_it_leaves(&cluster, *host, &next))
    {
        assert!(
            Instant::now() < until,
            "a host that was frozen does not learn of it"
        );
        sleep(Duration::from_millis(50)).await;
    }
}
