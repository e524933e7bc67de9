//! A loopback proxy that delays, resets or blocks connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

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
const DELAY: Duration = Duration::from_millis(120);

pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    task: JoinHandle<()>,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("the listener's address");
        let mode = Arc::new(Mutex::new(Mode::Pass));
        let shared = mode.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, shared.clone()));
            }
        });
        Self {
            address,
            mode,
            task,
        }
    }

    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock() = mode;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(client: TcpStream, target: SocketAddr, mode: Arc<Mutex<Mode>>) {
    if *mode.lock() == Mode::Reset {
        let linger = Some(Duration::ZERO);
        socket2::SockRef::from(&client)
            .set_linger(linger)
            .expect("linger");
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    // When one side closes, both connections close.
    tokio::select! {
        () = copy(client_read, server_write, mode.clone(), false) => {}
        () = copy(server_read, client_write, mode, true) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mode: Arc<Mutex<Mode>>,
    is_answer: bool,
) {
    let mut buffer = [0; 4096];
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 {
            return;
        }
        loop {
            let current = *mode.lock();
            match current {
                Mode::Reset => return,
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
            return;
        }
    }
}
