//! Control hosts whose processes ended while they created their data files.

use std::path::Path;
use std::time::Duration;

use kumquatdrum_consensus::Incarnation;
use kumquatdrum_disk::{FILE_NAME, Folder, fake};
use tokio::time::{Instant, sleep};

use crate::cluster::{CONTROL_HOSTS, Cluster, config};
use crate::voters::{CATCH_UP, RESTART_PAUSE, leader, read_back, replica_lines};

/// Timeout of a metric's change.
const METRIC_LIMIT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the contents of a data file whose creation ended after the given changes.
fn contents_after(changes: u64) -> Vec<u8> {
    let disk = fake::Disk::new();
    disk.fail_after_changes(changes);
    let opened = Folder::open_backend(disk.clone(), &"host".into(), Incarnation(1));
    assert!(opened.is_err());
    let contents = disk.bytes();
    assert!(!contents.is_empty() && !contents.starts_with(b"redb"));
    contents
}

fn write_data_file(folder: &Path, contents: &[u8]) {
    std::fs::create_dir_all(folder).expect("the data folder");
    std::fs::write(folder.join(FILE_NAME), contents).expect("the data file");
}

/// Guards against a lost voter that never votes again, as its process was killed while it created its data
/// file, so that the next lost disk takes the acknowledged setups.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_control_host_that_was_killed_while_it_created_its_data_file_votes_again() {
    let mut cluster = Cluster::start(490);
    cluster.apply(&config(1)).await;
    cluster.kill(2);
    std::fs::remove_dir_all(cluster.data_path(2)).expect("the data folder is removed");
    write_data_file(&cluster.data_path(2), &contents_after(2));
    sleep(RESTART_PAUSE).await;
    cluster.start_host(2, false);
    sleep(CATCH_UP).await;
    cluster.apply(&config(2)).await;
    cluster.kill(1);
    std::fs::remove_dir_all(cluster.data_path(1)).expect("the data folder is removed");
    sleep(RESTART_PAUSE).await;
    cluster.start_host(1, false);
    if let Err(failure) = read_back(&cluster, &[0, 1, 2], 2..=2).await {
        panic!("{failure}\n{}", replica_lines(&cluster));
    }
    cluster.apply(&config(3)).await;
}

/// Guards against a cluster that never forms, as a process was killed while it created its data file at the
/// first start.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cluster_forms_although_a_data_file_was_left_unfinished_at_the_first_start() {
    for (subnet, unfinished, can_form_cluster) in [(491, 0, true), (492, 2, true), (493, 2, false)]
    {
        let mut cluster = Cluster::unstarted(subnet);
        write_data_file(&cluster.data_path(unfinished), &contents_after(1));
        for host in 0..CONTROL_HOSTS {
            cluster.start_host(host, can_form_cluster || host != unfinished);
        }
        cluster.apply(&config(1)).await;
    }
}

/// Waits until a metric of a host has a value.
async fn wait_for_metric(cluster: &Cluster, host: usize, name: &str, value: u64) {
    let until = Instant::now() + METRIC_LIMIT;
    while cluster.metric(host, name).await != value {
        assert!(Instant::now() < until, "{name}: {}", cluster.read_log(host));
        sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a control host without a replica of which neither it nor the leader says anything, and
/// which needs a restart to have one again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_damaged_data_file_is_shown_and_can_be_moved_away_while_the_host_runs() {
    let mut cluster = Cluster::start(494);
    cluster.apply(&config(1)).await;
    cluster.kill(2);
    let path = cluster.data_path(2).join(FILE_NAME);
    let mut damaged = std::fs::read(&path).expect("the data file");
    damaged[..4096].fill(0);
    std::fs::write(&path, &damaged).expect("the data file");
    sleep(RESTART_PAUSE).await;
    cluster.start_host(2, false);
    sleep(CATCH_UP).await;

    let corrupt = "kumquatdrum_gateway_replica_failures_total{reason=\"corrupt\"}";
    assert!(cluster.metric(2, corrupt).await > 1);
    assert_eq!(cluster.metric(2, "kumquatdrum_gateway_replica_up").await, 0);
    assert!(
        cluster
            .metric(2, "kumquatdrum_gateway_replica_down_seconds")
            .await
            >= 2
    );
    assert_eq!(std::fs::read(&path).expect("the data file"), damaged);
    let leading = leader(&cluster);
    assert_eq!(
        cluster.metric(leading, "kumquatdrum_gateway_voters").await,
        3
    );
    wait_for_metric(&cluster, leading, "kumquatdrum_gateway_voters_following", 2).await;
    let log = cluster.read_log(leading);
    let silent = log.lines().find(|line| line.contains("event=voter_silent"));
    let silent = silent.expect("a line about the silent voter");
    for fact in ["host_live=true", "announced=None"] {
        assert!(silent.contains(fact), "{fact}: {silent}");
    }

    std::fs::rename(&path, path.with_extension("damaged")).expect("the file is moved away");
    wait_for_metric(&cluster, 2, "kumquatdrum_gateway_replica_up", 1).await;
    wait_for_metric(&cluster, leading, "kumquatdrum_gateway_voters_following", 3).await;
    assert_eq!(
        cluster
            .metric(2, "kumquatdrum_gateway_replica_down_seconds")
            .await,
        0
    );
}
