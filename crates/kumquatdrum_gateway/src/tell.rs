//! Datagrams by which hosts tell each other of dispatches.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::{info, warn};
use tokio::net::UdpSocket;

use crate::hosts::Hosts;
use crate::message::{Datagram, Event};

/// The largest datagram that is sent: what fits an Ethernet frame.
const LARGEST: usize = 1_400;

/// Tells other hosts of dispatches. What is lost is made good by the job's end, or its age.
pub struct Teller {
    socket: UdpSocket,
    hosts: Arc<Hosts>,
    logger: slog::Logger,
}

impl Teller {
    /// Opens the socket.
    pub fn open(
        address: SocketAddr,
        hosts: Arc<Hosts>,
        logger: slog::Logger,
    ) -> std::io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket: UdpSocket::from_std(socket)?,
            hosts,
            logger,
        })
    }

    /// Tells all hosts that take callers.
    pub fn tell(&self, event: Event) {
        let datagram = Datagram {
            events: vec![event],
        };
        let bytes = match postcard::to_stdvec(&datagram) {
            Ok(bytes) if bytes.len() <= LARGEST => bytes,
            Ok(bytes) => {
                warn!(self.logger, "event_too_large"; "event" => "event_too_large",
                    "bytes" => bytes.len());
                return;
            }
            Err(error) => {
                warn!(self.logger, "event_not_encoded"; "event" => "event_not_encoded",
                    "reason" => %error);
                return;
            }
        };
        for address in self.hosts.told() {
            // A full socket buffer loses a hint, which the job's end makes good.
            let _ = self.socket.try_send_to(&bytes, address);
        }
    }

    /// Hands what others tell to `take`, for ever.
    pub async fn listen(&self, take: impl Fn(Event)) {
        let mut buffer = vec![0; LARGEST];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, from) = match received {
                Ok(received) => received,
                Err(error) => {
                    // An earlier datagram met a closed port; the socket itself still works.
                    info!(self.logger, "datagram_refused"; "event" => "datagram_refused",
                        "reason" => %error);
                    continue;
                }
            };
            match postcard::from_bytes::<Datagram>(&buffer[..length]) {
                Ok(datagram) => datagram.events.into_iter().for_each(&take),
                Err(error) => {
                    warn!(self.logger, "datagram_unreadable"; "event" => "datagram_unreadable",
                        "from" => %from, "reason" => %error);
                }
            }
        }
    }
}
