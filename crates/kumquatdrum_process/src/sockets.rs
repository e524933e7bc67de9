//! Detects closed caller connections in the kernel's socket tables.
//!
//! Rocket keeps running a handler whose caller has disconnected, and reports this only on the next
//! write. A response sent in one piece has no earlier write, so the socket tables are read instead.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const SOCKET_TABLES: [&str; 2] = ["/proc/net/tcp", "/proc/net/tcp6"];
/// The state of an established connection in a socket table.
const ESTABLISHED: &str = "01";
/// How long the connections are cached before the tables are read again.
const MAX_AGE: Duration = Duration::from_millis(250);

/// The established connections of one listener.
#[derive(Debug)]
pub struct Connections {
    port: u16,
    /// The time of the last read and the remote addresses found.
    cache: Mutex<Option<(Instant, HashSet<SocketAddr>)>>,
}

impl Connections {
    /// Tracks the connections to a local port.
    pub const fn on_port(port: u16) -> Self {
        Self {
            port,
            cache: Mutex::new(None),
        }
    }

    /// Returns whether the connection from `peer` is still open; true if the kernel has no socket
    /// tables.
    pub fn is_open(&self, peer: SocketAddr) -> bool {
        let mut cache = self.cache.lock().expect("no holder panics");
        let is_fresh = cache.as_ref().is_some_and(|(at, _)| at.elapsed() < MAX_AGE);
        if !is_fresh {
            *cache = read_peers(self.port).map(|connections| (Instant::now(), connections));
        }
        let canonical = SocketAddr::new(peer.ip().to_canonical(), peer.port());
        cache
            .as_ref()
            .is_none_or(|(_, connections)| connections.contains(&canonical))
    }
}

fn read_peers(port: u16) -> Option<HashSet<SocketAddr>> {
    let tables = SOCKET_TABLES
        .iter()
        .filter_map(|path| std::fs::read_to_string(path).ok());
    let texts: Vec<String> = tables.collect();
    if texts.is_empty() {
        return None;
    }
    let lines = texts.iter().flat_map(|text| text.lines());
    Some(lines.filter_map(|line| parse_remote(line, port)).collect())
}

/// Parses a line of a socket table and returns the remote address, if the line is an established
/// connection to the local `port`.
///
/// ```
/// let line = "0: 0100007F:1BBC 0100007F:D431 01 00000000:00000000 00:00000000 00000000 0 0 1";
/// let peer = kumquatdrum_process::sockets::parse_remote(line, 7100).unwrap();
/// assert_eq!(peer.to_string(), "127.0.0.1:54321");
/// assert!(kumquatdrum_process::sockets::parse_remote(line, 7200).is_none());
/// ```
pub fn parse_remote(line: &str, port: u16) -> Option<SocketAddr> {
    let mut fields = line.split_ascii_whitespace().skip(1);
    let local = fields.next()?;
    let peer = fields.next()?;
    let state = fields.next()?;
    let is_match = state == ESTABLISHED && parse_address(local)?.port() == port;
    is_match.then(|| parse_address(peer)).flatten()
}

fn parse_address(field: &str) -> Option<SocketAddr> {
    let (ip, port) = field.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    let words: Option<Vec<u32>> = (0..ip.len() / 8)
        .map(|word| u32::from_str_radix(ip.get(8 * word..8 * word + 8)?, 16).ok())
        .collect();
    // The kernel prints each word in native byte order.
    let bytes: Vec<u8> = words?.into_iter().flat_map(u32::to_ne_bytes).collect();
    let ip = match bytes.len() {
        4 => IpAddr::from(<[u8; 4]>::try_from(bytes).ok().map(Ipv4Addr::from)?),
        16 => IpAddr::from(<[u8; 16]>::try_from(bytes).ok().map(Ipv6Addr::from)?),
        _ => return None,
    };
    Some(SocketAddr::new(ip.to_canonical(), port))
}
