//! Measures the overhead of a frame in bytes and CPU time, with sequential frames over loopback
//! through a proxy that counts bytes in both directions.
//!
//! Bytes are those of the TCP streams without IP and TCP headers. CPU time includes both ends and
//! the proxy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use futures::FutureExt;
use kumquatdrum_peer::{
    Channel, Client, Handler, Identity, LocalDaemon, ResponseFuture, Secret, serve,
};
use kumquatdrum_types::{BootId, HostId};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const FRAME_COUNT: u64 = 20_000;
/// Clock ticks of `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

struct Sink(mpsc::UnboundedSender<()>);

impl Handler for Sink {
    fn deliver(&self, _: &Identity, _: Channel, _: Bytes) {
        let _ = self.0.send(());
    }

    fn answer(&self, _: &Identity, _: Channel, body: Bytes) -> ResponseFuture<'_> {
        async move { Ok(body) }.boxed()
    }
}

#[tokio::main]
async fn main() {
    println!("| body | overhead bytes sent | bytes received | CPU µs |");
    println!("| ---: | ---: | ---: | ---: |");
    for body in [100, 300, 1_000, 4_000] {
        measure(body).await;
    }
}

async fn measure(size: u64) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let server = listener.local_addr().expect("an address");
    let (sender, mut arrived) = mpsc::unbounded_channel();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let handler = Arc::new(Sink(sender));
    let serving = tokio::spawn(serve(
        listener,
        handler,
        local("dc-07-entry-02"),
        stopped.map(|_| ()),
    ));
    let (bytes_sent, bytes_received) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let address = proxy(server, Arc::clone(&bytes_sent), Arc::clone(&bytes_received)).await;
    let host = HostId::new("dc-07-entry-02");
    let client = Client::new(local("dc-07-entry-01"));
    client.set_address(&host, address);
    let body = Bytes::from(vec![1; size as usize]);
    let mut start = (0, 0, 0.0);
    for number in 0..=FRAME_COUNT {
        client.send(&host, Channel::Membership, body.clone());
        arrived.recv().await.expect("the frame is delivered");
        if number == 0 {
            start = (load(&bytes_sent), load(&bytes_received), cpu_seconds());
        }
    }
    let cpu = (cpu_seconds() - start.2) * 1e6 / FRAME_COUNT as f64;
    let (bytes_sent, bytes_received) =
        (load(&bytes_sent) - start.0, load(&bytes_received) - start.1);
    println!(
        "| {size} | {} | {} | {cpu:.0} |",
        bytes_sent / FRAME_COUNT - size,
        bytes_received / FRAME_COUNT
    );
    client.shutdown().await;
    let _ = stop.send(());
    serving
        .await
        .expect("the server task ends")
        .expect("the server stops without an error");
}

fn local(host: &str) -> LocalDaemon {
    LocalDaemon {
        cluster: "salons".to_owned(),
        secret: Secret::new("a secret of some length"),
        identity: Identity {
            host: HostId::new(host),
            boot: BootId(1_700_000_000_000_000),
        },
        counters: Arc::default(),
        logger: slog::Logger::root(slog::Discard, slog::o!()),
    }
}

async fn proxy(
    server: SocketAddr,
    bytes_sent: Arc<AtomicU64>,
    bytes_received: Arc<AtomicU64>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (inbound, _) = listener.accept().await.expect("a connection");
        let outbound = TcpStream::connect(server).await.expect("a connection");
        inbound.set_nodelay(true).expect("an option");
        outbound.set_nodelay(true).expect("an option");
        let (client_in, client_out) = inbound.into_split();
        let (server_in, server_out) = outbound.into_split();
        tokio::join!(
            forward(client_in, server_out, bytes_sent),
            forward(server_in, client_out, bytes_received)
        );
    });
    address
}

async fn forward(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    count: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        count.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

fn load(count: &AtomicU64) -> u64 {
    count.load(Ordering::Relaxed)
}

/// Returns the user and system time of the process.
fn cpu_seconds() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: f64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|ticks| ticks.parse::<f64>().ok())
        .sum();
    ticks / TICKS_PER_SECOND
}
