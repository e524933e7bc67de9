//! Recovery after the loss of all hosts, when control hosts start after the hosts that accept callers.
//!
//! Guards against requests that are refused while they could still be served, and, by the printed
//! times, against hellos that wait for machines without power.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use reqwest::StatusCode;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::{JoinSet, spawn_blocking};
use tokio::time::sleep;

use crate::cluster::{CONTROL_HOSTS, Cluster, HOSTS, config};
use crate::endpoint::{Behaviour, Endpoint};

/// The connections that occupy the queue of a silent listener.
const FILLERS: usize = 4;
const FILL_TIMEOUT: Duration = Duration::from_millis(50);

/// An address at which connections hang, as at that of a machine without power: the queue of its
/// listener is full, so the kernel drops further connection requests.
struct Silence {
    _listener: TcpListener,
    _fillers: Vec<TcpStream>,
}

impl Silence {
    async fn at(address: SocketAddr) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("a reusable address");
        socket.bind(address).expect("a free address");
        let listener = socket.listen(1).expect("a listener");
        let connect = move |_| TcpStream::connect_timeout(&address, FILL_TIMEOUT).ok();
        let filling = spawn_blocking(move || (0..FILLERS).filter_map(connect).collect());
        Self {
            _listener: listener,
            _fillers: filling.await.expect("fillers"),
        }
    }
}

/// Kills all hosts and starts them again, the control hosts `delay` after the others. Returns the
/// status codes of the requests sent meanwhile.
async fn restart_all(mut cluster: Cluster, delay: Duration) -> (Arc<Cluster>, Vec<StatusCode>) {
    for host in 0..HOSTS {
        cluster.kill(host);
    }
    let mut silent = Vec::new();
    for host in 0..CONTROL_HOSTS {
        silent.push(Silence::at(cluster.peer_address(host)).await);
    }
    for host in CONTROL_HOSTS..HOSTS {
        cluster.start_host(host, false);
    }
    let mut calls = JoinSet::new();
    for number in 0..10 {
        let host = CONTROL_HOSTS + number % (HOSTS - CONTROL_HOSTS);
        let call = cluster.request(host, "/safe/x", &format!("at-{number}"));
        calls.spawn(async move {
            // Until the listener is open, no request is sent.
            loop {
                match call.try_clone().expect("a copy").send().await {
                    Ok(answer) => return answer.status(),
                    Err(error) if error.is_connect() => sleep(Duration::from_millis(5)).await,
                    Err(error) => panic!("{error}"),
                }
            }
        });
    }
    sleep(delay).await;
    drop(silent);
    for host in 0..CONTROL_HOSTS {
        cluster.start_host(host, false);
    }
    let statuses = calls.join_all().await;
    (Arc::new(cluster), statuses)
}

async fn start_cluster(subnet: u16) -> (Cluster, Endpoint) {
    let cluster = Cluster::start(subnet);
    cluster.apply(&config(3)).await;
    let endpoint = Endpoint::start("i-1", Behaviour::CompleteBody).await;
    cluster.announce(&endpoint, "plain", "ready", 1).await;
    for host in CONTROL_HOSTS..HOSTS {
        cluster.wait_until_ready(host, &endpoint).await;
    }
    for host in 0..CONTROL_HOSTS {
        cluster.wait_until_stored(host, &endpoint).await;
    }
    // Snapshots of a new revision are taken every 500 ms.
    sleep(Duration::from_secs(1)).await;
    (cluster, endpoint)
}

/// Prints the times of the steps of each host, from its log.
fn print_steps(cluster: &Cluster) {
    const STEPS: [&str; 6] = [
        "event=started",
        "event=host_known",
        "event=setup_in_force",
        "event=endpoint_known",
        "event=became_leader",
        "event=request_ended",
    ];
    for host in 0..HOSTS {
        let log = cluster.read_log(host);
        let last_start = log.rfind("event=started").unwrap_or(0);
        let last_start = log[..last_start].rfind('\n').unwrap_or(0);
        for step in STEPS {
            let line = log[last_start..].lines().find(|line| line.contains(step));
            println!("host {host}: {}", line.unwrap_or("-"));
        }
    }
}

#[tokio::test]
async fn requests_are_held_while_control_hosts_start_late() {
    let (cluster, _endpoint) = start_cluster(47).await;
    // More than a fixed wait of two seconds, and far less than the eight that callers allow.
    let (cluster, statuses) = restart_all(cluster, Duration::from_secs(3)).await;
    print_steps(&cluster);
    let refused = statuses.iter().filter(|status| **status != StatusCode::OK);
    assert_eq!(refused.count(), 0, "{}", cluster.read_log(CONTROL_HOSTS));
}

/// Measures the steps of a recovery; run by hand with `--ignored --nocapture`.
#[tokio::test]
#[ignore = "prints times"]
async fn steps_of_a_recovery() {
    let (cluster, _endpoint) = start_cluster(48).await;
    let (cluster, statuses) = restart_all(cluster, Duration::from_millis(250)).await;
    print_steps(&cluster);
    println!("{statuses:?}");
}
