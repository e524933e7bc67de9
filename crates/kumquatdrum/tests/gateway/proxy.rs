//! A proxy on loopback that delays, resets, silences or cuts one way what passes it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// What happens to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Pass,
    Delay,
    Reset,
    Silent,
    /// Requests arrive, answers don't.
    OneWay,
}

pub const MODES: [Mode; 4] = [Mode::Delay, Mode::Reset, Mode::Silent, Mode::OneWay];
const DELAY: Duration = Duration::from_millis(120);

pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    task: JoinHandle<()>,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("its address");
        let mode = Arc::new(Mutex::new(Mode::Pass));
        let shared = mode.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(carry(stream, target, shared.clone()));
            }
        });
        Self {
            address,
            mode,
            task,
        }
    }

    pub fn set(&self, mode: Mode) {
        *self.mode.lock() = mode;
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn carry(near: TcpStream, target: SocketAddr, mode: Arc<Mutex<Mode>>) {
    if *mode.lock() == Mode::Reset {
        let zero = Some(Duration::ZERO);
        socket2::SockRef::from(&near)
            .set_linger(zero)
            .expect("linger");
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    // Either side's end is the other's, as over a wire.
    tokio::select! {
        () = pass(near_read, far_write, mode.clone(), false) => {}
        () = pass(far_read, near_write, mode, true) => {}
    }
}

async fn pass(
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
            let now = *mode.lock();
            match now {
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
