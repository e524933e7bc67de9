//! Control hosts whose processes ended while they created their data files.

use std::path::Path;

use kumquatdrum_consensus::Incarnation;
use kumquatdrum_disk::{FILE_NAME, Folder, fake};
use tokio::time::sleep;

use crate::cluster::{CONTROL_HOSTS, Cluster, config};
use crate::voters::{CATCH_UP, RESTART_PAUSE, read_back, replica_lines};

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
