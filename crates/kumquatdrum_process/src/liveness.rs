//! Checks whether a process listens at an address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// The timeout for opening a connection.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether an address accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Liveness {
    /// The address accepts connections.
    Listening,
    /// The machine refuses connections: no process listens.
    Refusing,
    /// There was no answer.
    Unknown,
}

/// Opens a connection to an address and closes it.
///
/// ```
/// use kumquatdrum_process::liveness::{Liveness, check};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
/// let address = listener.local_addr().unwrap();
/// assert_eq!(check(address).await, Liveness::Listening);
/// drop(listener);
/// assert_eq!(check(address).await, Liveness::Refusing);
/// # });
/// ```
pub async fn check(address: SocketAddr) -> Liveness {
    match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Liveness::Listening,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Liveness::Refusing,
        Ok(Err(_)) | Err(_) => Liveness::Unknown,
    }
}
