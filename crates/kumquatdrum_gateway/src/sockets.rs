//! Sockets whose silence is noticed.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that may wait to be accepted: a burst of a zone's callers.
const BACKLOG: u32 = 1_024;
/// How long sent bytes may stay unacknowledged. Round trips take milliseconds, and a lost packet
/// is sent again within a fraction of a second.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);
/// The idle time after which a connection is probed, and between probes.
const PROBE: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const PROBES: u32 = 3;

/// Makes a connection end when its other side falls silent.
pub fn watch(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE)
        .with_interval(PROBE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}

/// Listens.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
