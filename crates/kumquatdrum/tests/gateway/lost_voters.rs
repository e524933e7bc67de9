//! Setups are read back after losses of voters, two at a time at most, and a final fault.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::cluster::{Cluster, config};
use crate::voters::{
    CATCH_UP, RESTART_PAUSE, kill_all, leader, read_back, replica_lines, voters, wait_for_voters,
};

/// The number of voters that outlast the loss of two.
const VOTERS: usize = 5;
/// The number of control hosts with spares.
const WITH_SPARES: usize = 8;
/// The time between a loss and the start of the successor.
const SUCCESSION: Duration = Duration::from_millis(400);
/// The time between the start of the first successor and the loss of the leader.
const BETWEEN: Duration = Duration::from_millis(1_350);

/// The time between the loss of a voter and that of the spare. The leader doesn't replace the voter earlier,
/// and still counts the spare as live when it does.
const BEFORE_CHANGE: Duration = Duration::from_millis(2_600);

/// The two losses before the final fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Losses {
    /// Two voters that don't lead, at the same moment.
    Together,
    /// A voter that doesn't lead, then the leader.
    LeaderLast,
    /// A voter that doesn't lead, then the spare that is to replace it.
    SpareLast,
    /// The disks of two voters that don't lead, at the same moment. The leader is none of the hosts'
    /// seeds when they are back.
    Disks,
}

/// Guards against a change of the voters that waits for another lost voter.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_setup_is_read_back_after_two_control_hosts_at_a_time_were_lost() {
    check_setup(476, WITH_SPARES, Losses::Together).await;
}

/// Guards against a new leader that replaces a voter too late, which the previous leader missed already.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_setup_is_read_back_after_a_voter_and_then_the_leader_were_lost() {
    check_setup(477, WITH_SPARES, Losses::LeaderLast).await;
}

/// Guards against two successors that don't both replace the voters before them in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_setup_is_read_back_after_two_successors_without_a_spare() {
    check_setup(478, VOTERS, Losses::Together).await;
}

/// Guards against successors that a new leader doesn't learn of in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_setup_is_read_back_after_the_successor_of_a_leader_without_a_spare() {
    check_setup(479, VOTERS, Losses::LeaderLast).await;
}

/// Guards against a change of the voters that waits for a spare which was lost after it was chosen.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_setup_is_read_back_after_a_voter_and_then_its_replacement_were_lost() {
    check_setup(480, VOTERS + 1, Losses::SpareLast).await;
}

/// Guards against a leader that doesn't learn of the new disks of voters in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_setup_is_read_back_after_the_disks_of_two_voters_were_lost() {
    check_setup(481, VOTERS, Losses::Disks).await;
}

async fn check_setup(subnet: u16, control_hosts: usize, losses: Losses) {
    let mut cluster = Cluster::with_control_hosts(subnet, control_hosts);
    cluster.apply(&config(1)).await;
    wait_for_voters(&cluster, VOTERS).await;
    cluster.apply(&config(2)).await;
    let mut followers = voters(&cluster);
    let first_leader = leader(&cluster);
    followers.retain(|voter| *voter != first_leader);
    let started = Instant::now();
    let lost = match losses {
        Losses::Together => {
            let lost = [followers[0], followers[1]];
            for host in lost {
                cluster.signal(host, "-KILL");
            }
            for host in lost {
                cluster.kill(host);
            }
            sleep(SUCCESSION).await;
            for _ in lost {
                cluster.add_control_host();
            }
            lost
        }
        Losses::LeaderLast => {
            let lost = [followers[0], first_leader];
            cluster.kill(lost[0]);
            sleep(SUCCESSION).await;
            cluster.add_control_host();
            sleep(BETWEEN).await;
            cluster.kill(lost[1]);
            sleep(SUCCESSION).await;
            cluster.add_control_host();
            lost
        }
        Losses::SpareLast => {
            // Its data centre has no more voters than that of the spare once it is lost.
            let voter = followers.iter().find(|host| !host.is_multiple_of(3));
            let lost = [*voter.expect("a voter"), VOTERS];
            cluster.kill(lost[0]);
            sleep(BEFORE_CHANGE).await;
            cluster.kill(lost[1]);
            sleep(SUCCESSION).await;
            for _ in lost {
                cluster.add_control_host();
            }
            lost
        }
        Losses::Disks => {
            let lost = [followers[0], followers[1]];
            cluster.seeds = followers[1..4].to_vec();
            for host in lost {
                cluster.kill(host);
                std::fs::remove_dir_all(cluster.data_path(host))
                    .expect("the data folder is removed");
            }
            sleep(RESTART_PAUSE).await;
            for host in lost {
                cluster.start_host(host, false);
            }
            lost
        }
    };
    followers.retain(|host| !lost.contains(host));
    sleep(CATCH_UP).await;
    let hosts = cluster.control_hosts();
    cluster.seeds = hosts[..3].to_vec();
    cluster.apply(&config(3)).await;
    let acknowledged = started.elapsed();
    let now_leading = leader(&cluster);
    let other = followers.iter().find(|host| **host != now_leading);
    let emptied = [now_leading, *other.expect("another old voter")];
    kill_all(&mut cluster, &emptied).await;
    match read_back(&cluster, &hosts, 3..=3).await {
        Ok(passed) => println!("read after {passed:?}"),
        Err(failure) => panic!(
            "{failure}\nlost {lost:?}, acknowledged after {acknowledged:?}, then emptied {emptied:?}\n{}",
            replica_lines(&cluster)
        ),
    }
}
