//! Which callers' connections still stand, as the kernel lists them.
//!
//! rocket carries a handler on after its caller has left, and tells it only at the next write. An
//! answer in one piece has no write before its end, so the kernel's list is looked at instead.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Mutex;
use std::time::{Duration, Instant};

const LISTS: [&str; 2] = ["/proc/net/tcp", "/proc/net/tcp6"];
const ESTABLISHED: &str = "01";
/// A list is read at most this often.
const FRESH: Duration = Duration::from_millis(250);

/// The connections of one listener.
#[derive(Debug)]
pub struct Connections {
    port: u16,
    seen: Mutex<Option<(Instant, HashSet<SocketAddr>)>>,
}

impl Connections {
    /// The connections to a port of this machine.
    pub const fn on_port(port: u16) -> Self {
        Self {
            port,
            seen: Mutex::new(None),
        }
    }

    /// Whether the connection from `remote` still stands. Where the kernel has no list, it is
    /// taken to.
    pub fn is_open(&self, remote: SocketAddr) -> bool {
        let mut seen = self.seen.lock().expect("no holder panics");
        let is_fresh = seen.as_ref().is_some_and(|(at, _)| at.elapsed() < FRESH);
        if !is_fresh {
            *seen = read(self.port).map(|connections| (Instant::now(), connections));
        }
        let plain = SocketAddr::new(remote.ip().to_canonical(), remote.port());
        seen.as_ref()
            .is_none_or(|(_, connections)| connections.contains(&plain))
    }
}

fn read(port: u16) -> Option<HashSet<SocketAddr>> {
    let lists = LISTS
        .iter()
        .filter_map(|list| std::fs::read_to_string(list).ok());
    let texts: Vec<String> = lists.collect();
    if texts.is_empty() {
        return None;
    }
    let lines = texts.iter().flat_map(|text| text.lines());
    Some(lines.filter_map(|line| remote(line, port)).collect())
}

/// The remote end of an established connection to a port, from a line of the kernel's list.
///
/// ```
/// let line = "0: 0100007F:1BBC 0100007F:D431 01 00000000:00000000 00:00000000 00000000 0 0 1";
/// let remote = kumquatdrum_process::sockets::remote(line, 7100).unwrap();
/// assert_eq!(remote.to_string(), "127.0.0.1:54321");
/// assert!(kumquatdrum_process::sockets::remote(line, 7200).is_none());
/// ```
pub fn remote(line: &str, port: u16) -> Option<SocketAddr> {
    let mut fields = line.split_ascii_whitespace().skip(1);
    let local = fields.next()?;
    let remote = fields.next()?;
    let state = fields.next()?;
    let is_ours = state == ESTABLISHED && address(local)?.port() == port;
    is_ours.then(|| address(remote)).flatten()
}

fn address(field: &str) -> Option<SocketAddr> {
    let (ip, port) = field.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    let words: Option<Vec<u32>> = (0..ip.len() / 8)
        .map(|word| u32::from_str_radix(ip.get(8 * word..8 * word + 8)?, 16).ok())
        .collect();
    // The kernel writes each word in the machine's own order of bytes.
    let bytes: Vec<u8> = words?.into_iter().flat_map(u32::to_ne_bytes).collect();
    let ip = match bytes.len() {
        4 => IpAddr::from(<[u8; 4]>::try_from(bytes).ok().map(Ipv4Addr::from)?),
        16 => IpAddr::from(<[u8; 16]>::try_from(bytes).ok().map(Ipv6Addr::from)?),
        _ => return None,
    };
    Some(SocketAddr::new(ip.to_canonical(), port))
}
