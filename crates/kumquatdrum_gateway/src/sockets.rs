//! TCP sockets that detect unresponsive peers.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// The maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// The maximum time that sent data may stay unacknowledged. It allows for several retransmissions.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The idle time before the first keepalive probe, and the interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which a connection is closed.
const MAX_PROBES: u32 = 3;

/// Sets the timeouts that close a connection to an unresponsive peer.
pub fn set_liveness_timeouts(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Opens a listening socket.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
