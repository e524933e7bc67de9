//! A loopback proxy that delays, resets or blocks connections, of all processes or of some.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::diagnosis;

/// How the proxy treats connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Pass,
    Delay,
    Reset,
    /// Holds back all data and keeps connections open.
    Silent,
    /// Passes requests and holds back answers.
    OneWay,
}

/// All modes except [`Mode::Pass`].
pub const FAULTS: [Mode; 4] = [Mode::Delay, Mode::Reset, Mode::Silent, Mode::OneWay];
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
const DELAY: Duration = Duration::from_millis(120);
/// The time in which an address that was just given up is free.
const BIND_TIMEOUT: Duration = Duration::from_secs(2);
const BIND_INTERVAL: Duration = Duration::from_millis(5);

pub struct Proxy {
    pub address: SocketAddr,
    target: SocketAddr,
    processes: Vec<u32>,
    modes: Arc<Mutex<Modes>>,
    task: JoinHandle<()>,
}

/// How connections are treated: those of listed processes by their own mode.
#[derive(Debug)]
struct Modes {
    usual: Mode,
    by_process: HashMap<u32, Mode>,
}

/// The modes of a proxy, as they apply to a connection.
#[derive(Clone)]
struct Treatment {
    modes: Arc<Mutex<Modes>>,
    process: Option<u32>,
}

impl Treatment {
    fn mode(&self) -> Mode {
        let modes = self.modes.lock();
        let own = self
            .process
            .and_then(|process| modes.by_process.get(&process));
        own.copied().unwrap_or(modes.usual)
    }
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Self {
        Self::for_processes(target, Vec::new()).await
    }

    /// Starts a proxy that can treat the connections of these processes differently.
    pub async fn for_processes(target: SocketAddr, processes: Vec<u32>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Self::with_listener(listener, target, processes)
    }

    /// Starts a proxy at an address.
    pub async fn listen(address: SocketAddr, target: SocketAddr) -> Self {
        let listener = bind(address).await;
        Self::with_listener(listener, target, Vec::new())
    }

    fn with_listener(listener: TcpListener, target: SocketAddr, processes: Vec<u32>) -> Self {
        // A proxy holds little of a request that its target does not read.
        let socket = socket2::SockRef::from(&listener);
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("a size");
        let address = listener.local_addr().expect("the listener's address");
        let modes = Arc::new(Mutex::new(Modes {
            usual: Mode::Pass,
            by_process: HashMap::new(),
        }));
        let accepting = accept(listener, target, modes.clone(), processes.clone());
        Self {
            address,
            target,
            processes,
            modes,
            task: tokio::spawn(accepting),
        }
    }

    /// Refuses new connections. Open ones live on.
    pub fn refuse(&self) {
        self.task.abort();
    }

    /// Accepts connections again after [`Self::refuse`].
    pub async fn accept(&mut self) {
        self.task.abort();
        // The task holds the listener.
        let _ = (&mut self.task).await;
        let listener = bind(self.address).await;
        let accepting = accept(
            listener,
            self.target,
            self.modes.clone(),
            self.processes.clone(),
        );
        self.task = tokio::spawn(accepting);
    }

    pub fn set_mode(&self, mode: Mode) {
        self.modes.lock().usual = mode;
    }

    /// Sets the mode of one process's connections.
    pub fn set_process_mode(&self, process: u32, mode: Mode) {
        self.modes.lock().by_process.insert(process, mode);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Binds an address. A process that another test is starting holds copies of this process's sockets until
/// it runs its program, so that an address may stay in use after its listener was dropped.
async fn bind(address: SocketAddr) -> TcpListener {
    let until = Instant::now() + BIND_TIMEOUT;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                sleep(BIND_INTERVAL).await;
            }
            bound => return bound.expect("a free address"),
        }
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    modes: Arc<Mutex<Modes>>,
    processes: Vec<u32>,
) {
    let address = listener.local_addr().expect("the listener's address");
    while let Ok((stream, peer)) = listener.accept().await {
        let treatment = Treatment {
            modes: modes.clone(),
            process: owner(peer, address, &processes),
        };
        tokio::spawn(forward(stream, target, treatment));
    }
}

/// Returns which of the processes owns the socket that connects `local` to `remote`.
fn owner(local: SocketAddr, remote: SocketAddr, processes: &[u32]) -> Option<u32> {
    let inode = diagnosis::socket_inode(local, remote).ok()?;
    let socket = format!("socket:[{inode}]");
    let has_socket = |process: &&u32| {
        let files = std::fs::read_dir(format!("/proc/{process}/fd"));
        let mut files = files.into_iter().flatten().flatten();
        files.any(|file| std::fs::read_link(file.path()).is_ok_and(|to| to.as_os_str() == &*socket))
    };
    processes.iter().find(has_socket).copied()
}

async fn forward(client: TcpStream, target: SocketAddr, treatment: Treatment) {
    if treatment.mode() == Mode::Reset {
        let linger = Some(Duration::ZERO);
        socket2::SockRef::from(&client)
            .set_linger(linger)
            .expect("linger");
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    // When one side closes, both connections close; when one is reset, so is the other.
    let is_reset = tokio::select! {
        reset = copy(&mut client_read, &mut server_write, treatment.clone(), false) => reset,
        reset = copy(&mut server_read, &mut client_write, treatment, true) => reset,
    };
    if is_reset {
        reset(client_write);
        reset(server_write);
    }
}

/// Resets a connection once its other half is dropped.
fn reset(half: OwnedWriteHalf) {
    socket2::SockRef::from(half.as_ref())
        .set_linger(Some(Duration::ZERO))
        .expect("linger");
    // Dropping this half would close it in order.
    half.forget();
}

/// Copies bytes until a connection ends, and returns whether it was reset.
async fn copy(
    from: &mut OwnedReadHalf,
    to: &mut OwnedWriteHalf,
    treatment: Treatment,
    is_answer: bool,
) -> bool {
    let mut buffer = [0; 4096];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(0) => return false,
            Ok(read) => read,
            Err(_) => return true,
        };
        loop {
            match treatment.mode() {
                Mode::Reset => return false,
                Mode::Silent => sleep(DELAY).await,
                Mode::OneWay if is_answer => sleep(DELAY).await,
                Mode::Delay => {
                    sleep(DELAY).await;
                    break;
                }
                Mode::Pass | Mode::OneWay => break,
            }
        }
        if to.write_all(&buffer[..read]).await.is_err() {
            return true;
        }
    }
}
