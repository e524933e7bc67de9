//! The first setup outlasts the losses that a cluster is to bear.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::cluster::{Cluster, config};
use crate::voters::{RESTART_PAUSE, leader, read_back, replica_lines, wait_for_voters};

/// Timeout of a host's start.
const START_LIMIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Control hosts of a cluster that is to bear the loss of two.
const CONTROL_HOSTS: usize = 6;

/// Guards against a setup that is acknowledged by the three first voters, and lost with two of their disks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_first_setup_is_read_back_after_two_disks_were_lost_at_once() {
    for (subnet, with_leader) in [(499, false), (500, true)] {
        let mut cluster = Cluster::with_control_hosts(subnet, CONTROL_HOSTS);
        cluster.apply(&config(1)).await;
        // The seeds are the first voters.
        let leading = leader(&cluster);
        let followers: Vec<usize> = (0..3).filter(|host| *host != leading).collect();
        let lost = [
            if with_leader { leading } else { followers[0] },
            followers[1],
        ];
        for host in lost {
            cluster.signal(host, "-KILL");
        }
        for host in lost {
            cluster.kill(host);
            std::fs::remove_dir_all(cluster.data_path(host)).expect("the data folder is removed");
        }
        sleep(RESTART_PAUSE).await;
        for host in lost {
            cluster.start_host(host, false);
        }
        let hosts = cluster.control_hosts();
        if let Err(failure) = read_back(&cluster, &hosts, 1..=1).await {
            panic!("{failure}\n{}", replica_lines(&cluster));
        }
        cluster.apply(&config(2)).await;
    }
}

/// Guards against a cluster that refuses changes while as many hosts are lost as it is to bear.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_setup_is_acknowledged_at_a_first_start_with_two_control_hosts_down() {
    let cluster = Cluster::with_control_hosts(501, 3);
    cluster.apply(&config(1)).await;
}

/// Guards against a cluster that never forms, as the host that forms it was killed before, and restarted
/// without the permission.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cluster_forms_although_the_host_that_forms_it_was_killed_during_the_first_start() {
    let mut cluster = Cluster::unstarted(505);
    cluster.start_host(0, true);
    let until = Instant::now() + START_LIMIT;
    while !cluster.read_log(0).contains("event=disk_opened") {
        assert!(Instant::now() < until, "{}", cluster.read_log(0));
        sleep(POLL_INTERVAL).await;
    }
    cluster.kill(0);
    for host in 1..cluster.hosts() {
        cluster.start_host(host, true);
    }
    sleep(RESTART_PAUSE).await;
    cluster.start_host(0, false);
    cluster.apply(&config(1)).await;
}

/// Guards against a cluster that never forms, as a control host was replaced during the first start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cluster_forms_although_a_control_host_was_replaced_during_the_first_start() {
    let mut cluster = Cluster::unstarted(506);
    for host in (0..cluster.hosts()).filter(|host| *host != 2) {
        cluster.start_host(host, true);
    }
    sleep(RESTART_PAUSE).await;
    let successor = cluster.add_control_host();
    cluster.apply(&config(1)).await;
    wait_for_voters(&cluster, 3).await;
    // The successor votes, so that another disk may be lost.
    let lost = 1;
    cluster.kill(lost);
    std::fs::remove_dir_all(cluster.data_path(lost)).expect("the data folder is removed");
    sleep(RESTART_PAUSE).await;
    cluster.start_host(lost, false);
    if let Err(failure) = read_back(&cluster, &[0, lost, successor], 1..=1).await {
        panic!("{failure}\n{}", replica_lines(&cluster));
    }
}
