//! Broadcast of dispatch events between hosts, over UDP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_fanout::{Batch, Recipients, Urgency};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_types::Moment;
use parking_lot::Mutex;
use slog::{info, warn};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::hosts::Hosts;
use crate::message::{Datagram, Event, Reach};
use crate::metrics::Metrics;

/// The maximum size of a datagram, which fits an Ethernet frame.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The maximum size of the encoded events in a datagram; the rest is for its header.
const MAX_BATCH_BYTES: usize = 1_300;
/// The version of the encoding. Datagrams of other versions are rejected.
const ENCODING_VERSION: u8 = 3;
/// The minimum interval between log lines about unreadable datagrams.
const UNREADABLE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Broadcasts dispatch events to other hosts. A lost event is corrected by a later broadcast about
/// the job, or when the job expires.
pub struct Broadcaster {
    clock: Clock,
    socket: UdpSocket,
    hosts: Arc<Hosts>,
    addresses: Mutex<Arc<Addresses>>,
    metrics: Arc<Metrics>,
    logger: slog::Logger,
}

/// The addresses of the recipients.
#[derive(Debug, Default)]
struct Addresses {
    recipients: Recipients,
    /// Hosts that receive this host's events directly.
    direct: Vec<SocketAddr>,
    relays: Vec<Relay>,
    /// Hosts of the local data centre, to which received events are relayed.
    local: Vec<SocketAddr>,
}

/// The relay addresses of one data centre.
#[derive(Debug)]
struct Relay {
    primary: SocketAddr,
    secondary: SocketAddr,
}

/// Which relay of each data centre an event is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayPath {
    /// The primary relay.
    Primary,
    /// The secondary relay.
    Secondary,
}

impl Broadcaster {
    /// Binds the socket.
    pub fn open(
        clock: Clock,
        address: SocketAddr,
        hosts: Arc<Hosts>,
        metrics: Arc<Metrics>,
        logger: slog::Logger,
    ) -> std::io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            clock,
            socket: UdpSocket::from_std(socket)?,
            hosts,
            addresses: Mutex::default(),
            metrics,
            logger,
        })
    }

    /// Recomputes the recipients and relays.
    pub fn refresh(&self) {
        let recipients = self.hosts.event_recipients();
        let local = self.hosts.local_caller_addresses();
        let known = self.addresses.lock().clone();
        if known.recipients == recipients && known.local == local {
            return;
        }
        if known.recipients.relays != recipients.relays {
            let names = recipients.relays.iter().map(|relay| relay.primary.as_str());
            let names: Vec<&str> = names.collect();
            info!(self.logger, "relays_changed"; "event" => "relays_changed",
                "relays" => names.join(","), "direct" => recipients.direct.len());
        }
        let direct = recipients.direct.iter();
        let direct = direct.filter_map(|id| self.hosts.datagram_address(id));
        let relays = recipients.relays.iter().filter_map(|relay| {
            Some(Relay {
                primary: self.hosts.datagram_address(&relay.primary)?,
                secondary: self.hosts.datagram_address(&relay.secondary)?,
            })
        });
        let addresses = Addresses {
            direct: direct.collect(),
            relays: relays.collect(),
            local,
            recipients: Recipients::default(),
        };
        *self.addresses.lock() = Arc::new(Addresses {
            recipients,
            ..addresses
        });
    }

    /// Sends an event to all hosts that accept callers.
    pub fn broadcast(&self, event: Event, urgency: Urgency, path: RelayPath) {
        let addresses = self.addresses.lock().clone();
        let mut datagram = Datagram {
            reach: Reach::Host,
            events: vec![event],
        };
        if !addresses.direct.is_empty() {
            self.send(&datagram, &addresses.direct);
        }
        if !addresses.relays.is_empty() {
            datagram.reach = Reach::DataCentre(urgency);
            let relays = addresses.relays.iter().map(|relay| match path {
                RelayPath::Primary => relay.primary,
                RelayPath::Secondary => relay.secondary,
            });
            let relays: Vec<SocketAddr> = relays.collect();
            self.send(&datagram, &relays);
        }
    }

    /// Receives events indefinitely: passes them to `handle`, and relays those for the whole data
    /// centre.
    pub async fn listen(&self, handle: impl Fn(Vec<Event>)) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut batch = Batch::new(MAX_BATCH_BYTES);
        let mut last_logged = Moment::ZERO;
        loop {
            let due = batch.due().map(|due| due - self.clock.now());
            let received = tokio::select! {
                received = self.socket.recv_from(&mut buffer) => Some(received),
                () = sleep(due.unwrap_or_default()), if due.is_some() => None,
            };
            match received {
                Some(Ok((length, from))) => {
                    self.metrics
                        .datagrams
                        .with_label_values(&["received"])
                        .inc();
                    match decode(&buffer[..length]) {
                        Ok(datagram) => handle(self.accept(datagram, length, &mut batch)),
                        Err(reason) => self.log_unreadable(from, &reason, &mut last_logged),
                    }
                }
                // An ICMP error for an earlier datagram; the socket still works.
                Some(Err(reason)) => {
                    info!(self.logger, "datagram_refused"; "event" => "datagram_refused",
                        "reason" => %reason);
                }
                None => {}
            }
            let due = batch.take_due(self.clock.now());
            self.relay(due);
        }
    }

    /// Returns a datagram's events. If they are for the whole data centre, also queues them to be
    /// relayed.
    fn accept(&self, datagram: Datagram, length: usize, batch: &mut Batch<Event>) -> Vec<Event> {
        if let Reach::DataCentre(urgency) = datagram.reach {
            let events = datagram.events.clone();
            batch.set_recipients(self.addresses.lock().local.len());
            let full = batch.add(self.clock.now(), events, length, urgency);
            self.relay(full);
        }
        datagram.events
    }

    fn log_unreadable(&self, from: SocketAddr, reason: &Error, last_logged: &mut Moment) {
        let counter = self.metrics.datagrams.with_label_values(&["unreadable"]);
        counter.inc();
        let now = self.clock.now();
        if now - *last_logged >= UNREADABLE_LOG_INTERVAL {
            *last_logged = now;
            warn!(self.logger, "datagram_unreadable"; "event" => "datagram_unreadable",
                "from" => %from, "reason" => %reason, "so_far" => counter.get());
        }
    }

    fn relay(&self, events: Option<Vec<Event>>) {
        let Some(events) = events else {
            return;
        };
        let addresses = self.addresses.lock().clone();
        let datagram = Datagram {
            reach: Reach::Host,
            events,
        };
        let relayed = self.metrics.datagrams.with_label_values(&["relayed"]);
        relayed.inc_by(addresses.local.len() as u64);
        self.send(&datagram, &addresses.local);
    }

    fn send(&self, datagram: &Datagram, addresses: &[SocketAddr]) {
        let bytes = match postcard::to_extend(datagram, vec![ENCODING_VERSION]) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM_BYTES => bytes,
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
        let sent = self.metrics.datagrams.with_label_values(&["sent"]);
        sent.inc_by(addresses.len() as u64);
        for address in addresses {
            // Events are best effort: one lost to a full socket buffer is corrected later.
            let _ = self.socket.try_send_to(&bytes, *address);
        }
    }
}

/// An error in decoding a datagram.
#[derive(Debug, thiserror::Error)]
enum Error {
    #[error("unsupported version {0:?}")]
    Version(Option<u8>),
    #[error(transparent)]
    Encoding(#[from] postcard::Error),
}

fn decode(bytes: &[u8]) -> Result<Datagram, Error> {
    match bytes {
        [ENCODING_VERSION, body @ ..] => Ok(postcard::from_bytes(body)?),
        _ => Err(Error::Version(bytes.first().copied())),
    }
}
