//! A TCP relay in front of a stand-in's server, which can silence, freeze or reset connections
//! without the server taking part.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::sleep;

use crate::condition::{Dead, Gate};

const BUFFER_BYTES: usize = 64 * 1024;
/// How long the listener stays open after a slow death.
const LISTENER_DELAY: Duration = Duration::from_millis(15);

/// The open connections, by the address from which the relay connects to the server.
///
/// The server sees that address as the remote one. Rocket ends a body whose stream fails like a
/// complete one, so only the relay can reset a connection.
#[derive(Debug, Default)]
pub struct Connections(Mutex<IndexMap<SocketAddr, Arc<Notify>>>);

impl Connections {
    /// Resets the connection that the server sees as coming from `remote`.
    pub fn reset(&self, remote: SocketAddr) {
        if let Some(connection) = self.0.lock().get(&remote) {
            connection.notify_one();
        }
    }

    fn open(&self, remote: SocketAddr) -> Arc<Notify> {
        let connection = Arc::new(Notify::new());
        self.0.lock().insert(remote, Arc::clone(&connection));
        connection
    }

    fn close(&self, remote: SocketAddr) {
        self.0.lock().swap_remove(&remote);
    }
}

/// A running relay, which ends when its stand-in is dead.
#[derive(Debug)]
pub struct Relay {
    /// Listening address.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Relay {
    /// Listens on `listen` and relays each connection to `target`.
    pub async fn start(
        listen: SocketAddr,
        target: SocketAddr,
        gate: Gate,
        connections: Arc<Connections>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, target, gate, connections));
        Ok(Self { address, task })
    }

    /// Waits until the relay and its connections have ended.
    pub async fn join(self) {
        let _ = self.task.await;
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    gate: Gate,
    connections: Arc<Connections>,
) {
    let mut tasks = JoinSet::new();
    let mut death = gate.clone();
    loop {
        tokio::select! {
            () = death.wait_until_dead() => break,
            Some(_) = tasks.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((caller, _)) => {
                    tasks.spawn(relay_connection(
                        caller,
                        target,
                        gate.clone(),
                        Arc::clone(&connections),
                    ));
                }
                Err(_) => tokio::task::yield_now().await,
            },
        }
    }
    if gate.current().closes_listener_late {
        sleep(LISTENER_DELAY).await;
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

async fn relay_connection(
    mut caller: TcpStream,
    target: SocketAddr,
    mut gate: Gate,
    connections: Arc<Connections>,
) {
    let epoch = gate.current().epoch;
    if gate.wait_until_open(epoch).await.is_err() {
        let _ = caller.set_zero_linger();
        return;
    }
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    let Ok(remote) = server.local_addr() else {
        return;
    };
    let reset = connections.open(remote);
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let result = tokio::select! {
        () = reset.notified() => Err(Dead),
        result = copy_both_ways(&mut caller, &mut server, &gate, epoch) => result,
    };
    if result.is_err() {
        let _ = caller.set_zero_linger();
        let _ = server.set_zero_linger();
    }
    connections.close(remote);
}

/// Copies bytes in both directions until both sides have closed.
async fn copy_both_ways(
    caller: &mut TcpStream,
    server: &mut TcpStream,
    gate: &Gate,
    epoch: u64,
) -> Result<(), Dead> {
    let (caller_read, caller_write) = caller.split();
    let (server_read, server_write) = server.split();
    let mut death = gate.clone();
    tokio::select! {
        () = death.wait_until_dead() => Err(Dead),
        result = async {
            tokio::try_join!(
                copy(caller_read, server_write, gate.clone(), epoch),
                copy(server_read, caller_write, gate.clone(), epoch),
            )
        } => result.map(|_| ()),
    }
}

/// Copies bytes in one direction; an error on either side is returned as [`Dead`].
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut gate: Gate,
    epoch: u64,
) -> Result<(), Dead> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        gate.wait_until_open(epoch).await?;
        match read {
            Ok(0) => return to.shutdown().await.map_err(|_| Dead),
            Ok(length) => to.write_all(&buffer[..length]).await.map_err(|_| Dead)?,
            Err(_) => return Err(Dead),
        }
    }
}
