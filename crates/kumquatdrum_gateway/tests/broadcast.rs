//! Events between hosts of two data centres, over sockets.
//!
//! Guards against event traffic per host that grows with the total number of hosts.

use std::net::{IpAddr, SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_fanout::Urgency;
use kumquatdrum_gateway::broadcast::{Broadcaster, RelayPath};
use kumquatdrum_gateway::hosts::Hosts;
use kumquatdrum_gateway::message::{Event, Host};
use kumquatdrum_gateway::metrics::Metrics;
use kumquatdrum_peer::{Client, Counters, Identity, LocalDaemon, Secret};
use kumquatdrum_placement::JobId;
use kumquatdrum_process::clock::Clock;
use kumquatdrum_types::{BootId, HostId};
use parking_lot::Mutex;
use slog::{Discard, Logger, o};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

const HOSTS_PER_DATA_CENTRE: u8 = 12;
const TIMEOUT: Duration = Duration::from_secs(10);

/// A host's broadcaster and the numbers of the jobs in its received events.
struct Member {
    broadcaster: Arc<Broadcaster>,
    metrics: Arc<Metrics>,
    received: Arc<Mutex<Vec<u64>>>,
    address: SocketAddr,
}

fn host(address: IpAddr, data_centre: &str) -> Host {
    Host {
        id: HostId::new(address.to_string()),
        data_centre: data_centre.into(),
        boot: 1,
        accepts_callers: true,
        is_control: false,
        replica: None,
        is_stopping: false,
    }
}

fn member(port: u16, local: &Host, all: &[Host]) -> Member {
    let logger = Logger::root(Discard, o!());
    let clock = Clock::start();
    let client = Client::new(LocalDaemon {
        cluster: "test".into(),
        secret: Secret::new("secret"),
        identity: Identity {
            host: local.id.clone(),
            boot: BootId(1),
        },
        counters: Arc::new(Counters::default()),
        logger: logger.clone(),
    });
    let hosts = Hosts::new(clock, Arc::new(client), port, local.clone(), logger.clone());
    for host in all {
        hosts.record_contact(host.clone());
    }
    let metrics = Arc::new(Metrics::new().expect("the metrics"));
    let ip: IpAddr = local.id.as_str().parse().expect("an address");
    let address = SocketAddr::new(ip, port + 1);
    let broadcaster = Broadcaster::open(clock, address, Arc::new(hosts), metrics.clone(), logger);
    let broadcaster = broadcaster.expect("a socket");
    broadcaster.refresh();
    Member {
        broadcaster: Arc::new(broadcaster),
        metrics,
        received: Arc::default(),
        address,
    }
}

/// Starts the hosts of two data centres, each listening on its own loopback address.
async fn members(net: u8, port: u16, listening: &mut JoinSet<()>) -> Vec<Member> {
    let hosts_of = |subnet: u8, data_centre: &'static str| {
        (1..=HOSTS_PER_DATA_CENTRE)
            .map(move |number| host([127, net, subnet, number].into(), data_centre))
    };
    let all: Vec<Host> = hosts_of(1, "tartu").chain(hosts_of(2, "riga")).collect();
    let members: Vec<Member> = all.iter().map(|local| member(port, local, &all)).collect();
    for member in &members {
        let (broadcaster, received) = (member.broadcaster.clone(), member.received.clone());
        listening.spawn(async move {
            let record = |events: Vec<Event>| {
                let jobs = events.into_iter().filter_map(|event| match event {
                    Event::Began(_, job) => Some(job.number),
                    _ => None,
                });
                received.lock().extend(jobs);
            };
            broadcaster.listen(record).await;
        });
    }
    // Sending fails until the runtime has registered the socket as writable.
    sleep(Duration::from_millis(20)).await;
    members
}

fn began(number: u64) -> Event {
    Event::Began("formula-llm".into(), JobId { host: 1, number })
}

/// Waits until all hosts except `from` have received the expected job numbers, each once.
async fn assert_received(members: &[Member], from: usize, expected: &[u64]) {
    let others = || members.iter().enumerate().filter(|(at, _)| *at != from);
    let has_received = |member: &Member| {
        let mut received = member.received.lock().clone();
        received.sort_unstable();
        received == expected
    };
    let until = Instant::now() + TIMEOUT;
    while Instant::now() < until && !others().all(|(_, member)| has_received(member)) {
        sleep(Duration::from_millis(5)).await;
    }
    for (at, member) in others() {
        let mut received = member.received.lock().clone();
        received.sort_unstable();
        assert_eq!(received, expected, "host {at}");
    }
}

#[tokio::test]
async fn every_host_receives_each_event_once_with_one_datagram_per_remote_data_centre() {
    let mut listening = JoinSet::new();
    let members = members(71, 7_310, &mut listening).await;
    let events: Vec<u64> = (0..20).collect();
    for number in &events {
        let (urgency, path) = match number % 4 {
            0 => (Urgency::Urgent, RelayPath::Primary),
            1 => (Urgency::Usual, RelayPath::Primary),
            2 => (Urgency::Urgent, RelayPath::Secondary),
            _ => (Urgency::Usual, RelayPath::Secondary),
        };
        members[3]
            .broadcaster
            .broadcast(began(*number), urgency, path);
    }
    assert_received(&members, 3, &events).await;
    let sent = members[3].metrics.datagrams.with_label_values(&["sent"]);
    // Each event goes to the other hosts of the data centre and to one relay.
    assert_eq!(
        sent.get(),
        events.len() as u64 * u64::from(HOSTS_PER_DATA_CENTRE)
    );
    listening.shutdown().await;
}

#[tokio::test]
async fn unreadable_datagrams_are_counted_and_ignored() {
    let mut listening = JoinSet::new();
    let members = members(72, 7_320, &mut listening).await;
    let socket = UdpSocket::bind("127.72.9.9:0").expect("a socket");
    // An empty datagram, another version, a truncated datagram and garbage.
    let bad: [&[u8]; 4] = [
        &[],
        &[1, 0, 1, 2],
        &[2, 1, 0],
        &[2, 0, 255, 255, 255, 255, 9],
    ];
    for bytes in bad {
        socket.send_to(bytes, members[0].address).expect("sent");
    }
    let unreadable = members[0]
        .metrics
        .datagrams
        .with_label_values(&["unreadable"]);
    let all_counted = async {
        while unreadable.get() < bad.len() as u64 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, all_counted)
        .await
        .expect("all are counted");
    members[1]
        .broadcaster
        .broadcast(began(7), Urgency::Urgent, RelayPath::Primary);
    assert_received(&members, 1, &[7]).await;
    listening.shutdown().await;
}
