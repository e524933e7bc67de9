//! Messages to a host that can't be connected to, and that has subscribed to them.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{FutureExt, StreamExt};
use kumquatdrum_peer::{
    Channel, Client, Handler, Identity, LocalDaemon, ResponseFuture, Secret, serve,
};
use kumquatdrum_types::{BootId, HostId};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

struct Recorder(mpsc::UnboundedSender<Bytes>);

impl Handler for Recorder {
    fn deliver(&self, _: &Identity, _: Channel, body: Bytes) {
        let _ = self.0.send(body);
    }

    fn answer(&self, _: &Identity, _: Channel, body: Bytes) -> ResponseFuture<'_> {
        async { Ok(body) }.boxed()
    }
}

fn local(host: &str) -> LocalDaemon {
    LocalDaemon {
        cluster: "salons".to_owned(),
        secret: Secret::new("secret"),
        identity: Identity {
            host: HostId::new(host),
            boot: BootId(7),
        },
        counters: Arc::default(),
        logger: slog::Logger::root(slog::Discard, slog::o!()),
    }
}

async fn wait_for(client: &Client, host: &HostId, is_reachable: bool) {
    let reached = async {
        while client.check_reachable(host) != is_reachable {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TIMEOUT, reached).await.expect("reachability");
}

/// Guards against messages that are lost although their receiver has a connection to the sender.
#[tokio::test]
async fn a_subscriber_gets_messages_while_it_cannot_be_connected_to_and_not_afterwards() {
    let host = HostId::new("replica-2");
    let unused = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = unused.local_addr().expect("an address");
    drop(unused);
    let client = Client::new(local("replica-1"));
    client.set_address(&host, address);
    assert!(client.check_reachable(&host), "no attempt has failed yet");
    client.send(&host, Channel::Consensus, "lost".into());
    wait_for(&client, &host, false).await;

    let mut messages = client.subscribe(&host, Channel::Consensus);
    for body in ["vote", "entry"] {
        client.send(&host, Channel::Consensus, body.into());
    }
    for body in ["vote", "entry"] {
        let next = timeout(TIMEOUT, messages.next()).await;
        assert_eq!(next.expect("a message"), Some(Bytes::from(body)));
    }

    let (sender, mut received) = mpsc::unbounded_channel();
    let listener = TcpListener::bind(address).await.expect("the same port");
    let handler = Arc::new(Recorder(sender));
    let server = tokio::spawn(serve(
        listener,
        handler,
        local("replica-2"),
        std::future::pending(),
    ));
    wait_for(&client, &host, true).await;
    client.send(&host, Channel::Consensus, "direct".into());
    let next = timeout(TIMEOUT, received.recv()).await;
    assert_eq!(next.expect("a message"), Some(Bytes::from("direct")));
    assert!(messages.next().now_or_never().is_none());
    client.shutdown().await;
    assert_eq!(messages.next().await, None, "ends with the client");
    server.abort();
}
