//! Looks up TCP sockets by their addresses (`sock_diag(7)`), which stays fast with many sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};

const AF_NETLINK: i32 = 16;
const NETLINK_SOCK_DIAG: i32 = 4;
const SOCK_DIAG_BY_FAMILY: u16 = 20;
const NLM_F_REQUEST: u16 = 1;
const AF_INET: u8 = 2;
const IPPROTO_TCP: u8 = 6;
/// The length of the request: a netlink header and an `inet_diag_req_v2`.
const REQUEST_BYTES: u32 = 72;
/// The position of the inode in the answer: after a netlink header, in an `inet_diag_msg`.
const INODE_OFFSET: usize = 84;

/// Returns the inode of the IPv4 socket that connects `local` to `remote`.
pub fn socket_inode(local: SocketAddr, remote: SocketAddr) -> Result<u32> {
    let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (local, remote) else {
        return Err(ErrorKind::Unsupported.into());
    };
    let mut request = Vec::new();
    request.extend(REQUEST_BYTES.to_ne_bytes());
    request.extend(SOCK_DIAG_BY_FAMILY.to_ne_bytes());
    request.extend(NLM_F_REQUEST.to_ne_bytes());
    // Sequence number and port id.
    request.extend([0; 8]);
    request.extend([AF_INET, IPPROTO_TCP, 0, 0]);
    // Sockets in any state.
    request.extend(u32::MAX.to_ne_bytes());
    request.extend(local.port().to_be_bytes());
    request.extend(remote.port().to_be_bytes());
    for address in [local, remote] {
        request.extend(address.ip().octets());
        request.extend([0; 12]);
    }
    // Any interface, and no cookie.
    request.extend(0u32.to_ne_bytes());
    request.extend([0xff; 8]);
    let mut socket = Socket::new(
        Domain::from(AF_NETLINK),
        Type::DGRAM,
        Some(Protocol::from(NETLINK_SOCK_DIAG)),
    )?;
    socket.write_all(&request)?;
    let mut answer = [0; 1024];
    let length = socket.read(&mut answer)?;
    let inode = answer[..length].get(INODE_OFFSET..INODE_OFFSET + 4);
    let inode = inode.and_then(|bytes| bytes.try_into().ok());
    inode
        .map(u32::from_ne_bytes)
        .ok_or_else(|| Error::from(ErrorKind::NotFound))
}
