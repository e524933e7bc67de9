//! Hosts that others can connect to, and that can't connect to others.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL_HOSTS, Cluster, HOSTS, config};

/// The time in which an accepted setup is in force on hosts in touch.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// The time in which a host that was restarted is ready.
const START_LIMIT: Duration = Duration::from_secs(10);
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
