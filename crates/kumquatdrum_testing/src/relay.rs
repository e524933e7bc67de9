//! A TCP relay in front of a stand-in's own listener, so that connections can go silent, freeze
//! or be reset without the stand-in's help.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use indexmap::IndexMap;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};

use crate::condition::{Dead, Gate};

const BUFFER_BYTES: usize = 64 * 1024;

/// The open connections, by the address from which the relay calls the stand-in's server.
///
/// The server knows a connection by that address, and rocket ends a body whose stream fails as if it
/// were whole: only the relay can break a connection off.
#[derive(Debug, Default)]
pub struct Connections(Mutex<IndexMap<SocketAddr, Arc<Notify>>>);

impl Connections {
    /// Breaks off the connection that the server sees as coming from `remote`.
    pub fn break_off(&self, remote: SocketAddr) {
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

/// A relay; it ends when its stand-in is dead.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
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

    /// Waits for its end, connections among it.
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
    let mut dead = gate.clone();
    loop {
        tokio::select! {
            () = dead.dead() => break,
            Some(_) = tasks.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((caller, _)) => {
                    tasks.spawn(relay(caller, target, gate.clone(), Arc::clone(&connections)));
                }
                Err(_) => tokio::task::yield_now().await,
            },
        }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

async fn relay(
    mut caller: TcpStream,
    target: SocketAddr,
    mut gate: Gate,
    connections: Arc<Connections>,
) {
    let epoch = gate.now().epoch;
    if gate.passes(epoch).await.is_err() {
        let _ = caller.set_zero_linger();
        return;
    }
    let Ok(mut server) = TcpStream::connect(target).await else {
        return;
    };
    let Ok(remote) = server.local_addr() else {
        return;
    };
    let broken = connections.open(remote);
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let carried = tokio::select! {
        () = broken.notified() => Err(Dead),
        carried = carry(&mut caller, &mut server, &gate, epoch) => carried,
    };
    if carried.is_err() {
        let _ = caller.set_zero_linger();
        let _ = server.set_zero_linger();
    }
    connections.close(remote);
}

async fn carry(
    caller: &mut TcpStream,
    server: &mut TcpStream,
    gate: &Gate,
    epoch: u64,
) -> Result<(), Dead> {
    let (caller_read, caller_write) = caller.split();
    let (server_read, server_write) = server.split();
    let mut dead = gate.clone();
    tokio::select! {
        () = dead.dead() => Err(Dead),
        moved = async {
            tokio::try_join!(
                pump(caller_read, server_write, gate.clone(), epoch),
                pump(server_read, caller_write, gate.clone(), epoch),
            )
        } => moved.map(|_| ()),
    }
}

/// Moves bytes one way; an error of either side ends the connection as a reset does.
async fn pump(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut gate: Gate,
    epoch: u64,
) -> Result<(), Dead> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        gate.passes(epoch).await?;
        match read {
            Ok(0) => return to.shutdown().await.map_err(|_| Dead),
            Ok(length) => to.write_all(&buffer[..length]).await.map_err(|_| Dead)?,
            Err(_) => return Err(Dead),
        }
    }
}
