//! Client for all peers, with non-blocking queued sends and with requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, StreamExt};
use indexmap::IndexMap;
use kumquatdrum_types::HostId;
use parking_lot::{Mutex, RwLock};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::frame::BODY_LIMIT_BYTES;
use crate::outbox::Outbox;
use crate::peer::Peer;
use crate::{Channel, Error, Exchange, LocalDaemon, Pace, Parts};

/// Time for sending queued messages during shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Client for all peers; must be used within a Tokio runtime.
///
/// ```
/// use std::sync::Arc;
/// use kumquatdrum_peer::{Channel, Client, Identity, LocalDaemon, Secret};
/// use kumquatdrum_types::{BootId, HostId};
///
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() {
/// let local = LocalDaemon {
///     cluster: "salons".to_owned(),
///     secret: Secret::new("a long secret"),
///     identity: Identity { host: HostId::new("entry-1"), boot: BootId(7) },
///     counters: Arc::default(),
///     logger: slog::Logger::root(slog::Discard, slog::o!()),
/// };
/// let client = Client::new(local);
/// client.set_address(&HostId::new("entry-2"), "127.0.0.1:9".parse().unwrap());
/// client.send(&HostId::new("entry-2"), Channel::Membership, "hello".into());
/// client.shutdown().await;
/// # }
/// ```
#[derive(Debug)]
pub struct Client {
    local: Arc<LocalDaemon>,
    peers: RwLock<IndexMap<HostId, Entry>>,
    tasks: Mutex<JoinSet<()>>,
    closed: watch::Sender<bool>,
}

#[derive(Debug)]
struct Entry {
    peer: Arc<Peer>,
    // Ends the peer's task when the entry is dropped.
    _removed: watch::Sender<()>,
}

impl Client {
    /// Creates a client without peers.
    pub fn new(local: LocalDaemon) -> Self {
        Self {
            local: Arc::new(local),
            peers: RwLock::default(),
            tasks: Mutex::default(),
            closed: watch::Sender::new(false),
        }
    }

    /// Adds a host or changes its address, which takes effect with the next call.
    pub fn set_address(&self, host: &HostId, address: SocketAddr) {
        let mut peers = self.peers.write();
        match peers.get(host) {
            _ if *self.closed.borrow() => {}
            Some(entry) => entry.peer.link().set_address(address),
            None => {
                let entry = self.start(host, address);
                peers.insert(host.clone(), entry);
            }
        }
    }

    /// Sets the pace at which connections to a known host are attempted.
    pub fn set_pace(&self, host: &HostId, pace: Pace) {
        if let Some(entry) = self.peers.read().get(host) {
            entry.peer.link().set_pace(pace);
        }
    }

    /// Removes a host and drops the messages queued for it.
    pub fn remove(&self, host: &HostId) {
        self.peers.write().swap_remove(host);
    }

    /// Queues a message without blocking. A full queue drops its oldest message; messages to
    /// unknown hosts and oversized messages are dropped. Drops are counted.
    pub fn send(&self, host: &HostId, channel: Channel, body: Bytes) {
        let peers = self.peers.read();
        let dropped = match peers.get(host) {
            Some(entry) if body.len() <= BODY_LIMIT_BYTES => entry.peer.push(channel, body),
            _ => 1,
        };
        self.local.counters.record_dropped(channel, dropped);
    }

    /// Returns whether a host can be connected to: whether the last attempt has not failed. After a
    /// failure, another attempt starts in the background.
    pub fn check_reachable(&self, host: &HostId) -> bool {
        let Some(peer) = self.peer(host).filter(|peer| peer.link().has_failed()) else {
            return true;
        };
        if !*self.closed.borrow() {
            let mut tasks = self.tasks.lock();
            while tasks.try_join_next().is_some() {}
            tasks.spawn(async move {
                // The next check reads the result.
                let _ = peer.link().connection().await;
            });
        }
        false
    }

    /// Returns the messages to a host on a channel that are sent while no connection to it is open, for
    /// the response to an exchange that the host has asked for.
    pub fn subscribe(&self, host: &HostId, channel: Channel) -> Parts {
        match self.peer(host) {
            Some(peer) => peer.subscribe(channel),
            None => stream::empty().boxed(),
        }
    }

    /// Sends a request and waits for its response for at most `limit`.
    pub async fn ask(
        &self,
        host: &HostId,
        channel: Channel,
        body: Bytes,
        limit: Duration,
    ) -> Result<Bytes, Error> {
        let peer = self.checked_peer(host, &body)?;
        peer.ask(channel, body, limit).await
    }

    /// Sends a request whose response arrives in parts, over a connection that is open or opens within
    /// `limit`.
    pub async fn exchange(
        &self,
        host: &HostId,
        channel: Channel,
        body: Bytes,
        limit: Duration,
    ) -> Result<Exchange, Error> {
        let peer = self.checked_peer(host, &body)?;
        peer.exchange(channel, body, limit).await
    }

    /// Sends queued messages for at most a second, then ends and joins all tasks.
    pub async fn shutdown(&self) {
        self.closed.send_replace(true);
        let mut tasks = std::mem::take(&mut *self.tasks.lock());
        while tasks.join_next().await.is_some() {}
        self.peers.write().clear();
    }

    /// Returns the peer that a request with this body can be sent to.
    fn checked_peer(&self, host: &HostId, body: &Bytes) -> Result<Arc<Peer>, Error> {
        if *self.closed.borrow() {
            return Err(Error::Closed);
        }
        if body.len() > BODY_LIMIT_BYTES {
            return Err(Error::TooLarge {
                bytes: body.len(),
                limit: BODY_LIMIT_BYTES,
            });
        }
        self.peer(host)
            .ok_or_else(|| Error::UnknownHost(host.clone()))
    }

    fn peer(&self, host: &HostId) -> Option<Arc<Peer>> {
        self.peers
            .read()
            .get(host)
            .map(|entry| Arc::clone(&entry.peer))
    }

    fn start(&self, host: &HostId, address: SocketAddr) -> Entry {
        let peer = Arc::new(Peer::new(Arc::clone(&self.local), host.clone(), address));
        let removed = watch::Sender::new(());
        let task = run(
            Outbox::new(Arc::clone(&peer)),
            self.closed.subscribe(),
            removed.subscribe(),
        );
        let mut tasks = self.tasks.lock();
        while tasks.try_join_next().is_some() {}
        tasks.spawn(task);
        Entry {
            peer,
            _removed: removed,
        }
    }
}

async fn run(
    mut outbox: Outbox,
    mut closed: watch::Receiver<bool>,
    mut removed: watch::Receiver<()>,
) {
    tokio::select! {
        () = outbox.run() => {}
        _ = removed.changed() => return,
        _ = closed.wait_for(|closed| *closed) => {}
    }
    let _ = timeout(DRAIN_TIMEOUT, outbox.drain()).await;
}
