//! A daemon that keeps the messages that it receives, on loopback.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{FutureExt, StreamExt, stream};
use kumquatdrum_peer::{
    Channel, Error, Handler, Identity, LocalDaemon, Parts, ResponseFuture, Secret, serve,
};
use kumquatdrum_types::{BootId, HostId};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::timeout;

pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

pub type Delivery = (Identity, Channel, Bytes);

struct Recorder {
    deliveries: mpsc::UnboundedSender<Delivery>,
}

impl Handler for Recorder {
    fn deliver(&self, from: &Identity, channel: Channel, body: Bytes) {
        let _ = self.deliveries.send((from.clone(), channel, body));
    }

    fn answer(&self, _: &Identity, channel: Channel, body: Bytes) -> ResponseFuture<'_> {
        async move {
            match &body[..] {
                b"fail" => Err(Error::Handler("no majority".to_owned())),
                b"hang" => std::future::pending().await,
                _ => Ok(Bytes::from(
                    [channel.name().as_bytes(), b":", &body].concat(),
                )),
            }
        }
        .boxed()
    }

    fn exchange(&self, from: &Identity, channel: Channel, body: Bytes) -> Parts {
        let first = stream::iter([Bytes::from("first"), body.clone()]);
        match &body[..] {
            b"hang" => {
                // Tells when the response is dropped.
                let dropped = Dropped {
                    deliveries: self.deliveries.clone(),
                    from: from.clone(),
                    channel,
                };
                let pending = stream::unfold(dropped, |dropped| async move {
                    std::future::pending::<()>().await;
                    Some((Bytes::new(), dropped))
                });
                first.chain(pending).boxed()
            }
            _ => first.boxed(),
        }
    }
}

struct Dropped {
    deliveries: mpsc::UnboundedSender<Delivery>,
    from: Identity,
    channel: Channel,
}

impl Drop for Dropped {
    fn drop(&mut self) {
        let delivery = (self.from.clone(), self.channel, Bytes::from("cancelled"));
        let _ = self.deliveries.send(delivery);
    }
}

pub struct Daemon {
    pub address: SocketAddr,
    pub deliveries: mpsc::UnboundedReceiver<Delivery>,
    pub local: LocalDaemon,
    pub stop: oneshot::Sender<()>,
    pub task: JoinHandle<Result<(), Error>>,
}

pub fn local(host: &str, cluster: &str, secret: &str) -> LocalDaemon {
    LocalDaemon {
        cluster: cluster.to_owned(),
        secret: Secret::new(secret),
        identity: Identity {
            host: HostId::new(host),
            boot: BootId(7),
        },
        counters: Arc::default(),
        logger: slog::Logger::root(slog::Discard, slog::o!()),
    }
}

pub async fn daemon(host: &str) -> Daemon {
    daemon_with(local(host, "salons", "secret")).await
}

pub async fn daemon_with(local: LocalDaemon) -> Daemon {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    serve_on(listener, local)
}

pub fn serve_on(listener: TcpListener, local: LocalDaemon) -> Daemon {
    let address = listener.local_addr().unwrap();
    let (sender, deliveries) = mpsc::unbounded_channel();
    let (stop, stopped) = oneshot::channel();
    let handler = Arc::new(Recorder { deliveries: sender });
    let shutdown = stopped.map(|_| ());
    let task = tokio::spawn(serve(listener, handler, local.clone(), shutdown));
    Daemon {
        address,
        deliveries,
        local,
        stop,
        task,
    }
}

/// Returns the next message, and fails if none arrives in time.
pub async fn next(daemon: &mut Daemon) -> Delivery {
    let delivery = timeout(TEST_TIMEOUT, daemon.deliveries.recv()).await;
    delivery
        .expect("a message arrives in time")
        .expect("the daemon is running")
}
