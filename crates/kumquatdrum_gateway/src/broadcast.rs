//! Datagrams by which hosts tell each other of dispatches.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_fanout::{Recipients, Batch, Urgency};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_types::Moment;
use parking_lot::Mutex;
use slog::{info, warn};
use thiserror::Error;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::hosts::Hosts;
use crate::message::{Datagram, Event, Reach};
use crate::meters::Meters;

/// The largest datagram that is sent: what fits an Ethernet frame.
const LARGEST: usize = 1_400;
/// What a bundle holds of encoded events: the rest of a datagram is for their number and reach.
const BUNDLE: usize = 1_300;
/// How events are encoded. A host of another version can't read them, and says so.
const VERSION: u8 = 2;
/// Unreadable datagrams are counted, and logged at most this often.
const UNREADABLE_LOGGED: Duration = Duration::from_secs(1);

/// Tells other hosts of dispatches. What is lost is made good by the job's end, or its age.
pub struct Broadcaster {
    clock: Clock,
    socket: UdpSocket,
    hosts: Arc<Hosts>,
    peers: Mutex<Arc<Peers>>,
    meters: Arc<Meters>,
    logger: slog::Logger,
}

/// The addresses of an audience.
#[derive(Debug, Default)]
struct Peers {
    audience: Recipients,
    direct: Vec<SocketAddr>,
    relays: Vec<Route>,
    /// Hosts of the own data centre, to which what others send is relayed.
    near: Vec<SocketAddr>,
}

/// The addresses of a data centre's relays.
#[derive(Debug)]
struct Route {
    primary: SocketAddr,
    secondary: SocketAddr,
}

/// Which relays an event takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayPath {
    /// The first of each data centre.
    Primary,
    /// The second.
    Secondary,
}

impl Broadcaster {
    /// Opens the socket.
    pub fn open(
        clock: Clock,
        address: SocketAddr,
        hosts: Arc<Hosts>,
        meters: Arc<Meters>,
        logger: slog::Logger,
    ) -> std::io::Result<Self> {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            clock,
            socket: UdpSocket::from_std(socket)?,
            hosts,
            peers: Mutex::default(),
            meters,
            logger,
        })
    }

    /// Looks anew at who is told and who relays.
    pub fn refresh(&self) {
        let audience = self.hosts.audience();
        let near = self.hosts.near_callers();
        let known = self.peers.lock().clone();
        if known.audience == audience && known.near == near {
            return;
        }
        if known.audience.relays != audience.relays {
            let names = audience.relays.iter().map(|relay| relay.primary.as_str());
            let names: Vec<&str> = names.collect();
            info!(self.logger, "relays_changed"; "event" => "relays_changed",
                "relays" => names.join(","), "direct" => audience.direct.len());
        }
        let direct = audience.direct.iter();
        let direct = direct.filter_map(|id| self.hosts.datagrams_at(id));
        let relays = audience.relays.iter().filter_map(|relay| {
            Some(Route {
                primary: self.hosts.datagrams_at(&relay.primary)?,
                secondary: self.hosts.datagrams_at(&relay.secondary)?,
            })
        });
        let peers = Peers {
            direct: direct.collect(),
            relays: relays.collect(),
            near,
            audience: Recipients::default(),
        };
        *self.peers.lock() = Arc::new(Peers { audience, ..peers });
    }

    /// Tells all hosts that take callers.
    pub fn tell(&self, event: Event, urgency: Urgency, path: RelayPath) {
        let peers = self.peers.lock().clone();
        let mut datagram = Datagram {
            reach: Reach::Host,
            events: vec![event],
        };
        if !peers.direct.is_empty() {
            self.send(&datagram, &peers.direct);
        }
        if !peers.relays.is_empty() {
            datagram.reach = Reach::DataCentre(urgency);
            let relays = peers.relays.iter().map(|route| match path {
                RelayPath::Primary => route.primary,
                RelayPath::Secondary => route.secondary,
            });
            let relays: Vec<SocketAddr> = relays.collect();
            self.send(&datagram, &relays);
        }
    }

    /// Hands what others tell to `take`, and relays what is for the whole data centre, for ever.
    pub async fn listen(&self, take: impl Fn(Vec<Event>)) {
        let mut buffer = vec![0; LARGEST];
        let mut bundle = Batch::new(BUNDLE);
        let mut logged = Moment::ZERO;
        loop {
            let due = bundle.due().map(|due| due - self.clock.now());
            let received = tokio::select! {
                received = self.socket.recv_from(&mut buffer) => Some(received),
                () = sleep(due.unwrap_or_default()), if due.is_some() => None,
            };
            match received {
                Some(Ok((length, from))) => {
                    self.meters.datagrams.with_label_values(&["received"]).inc();
                    match decode(&buffer[..length]) {
                        Ok(datagram) => take(self.accept(datagram, length, &mut bundle)),
                        Err(reason) => self.unreadable(from, &reason, &mut logged),
                    }
                }
                // An earlier datagram met a closed port; the socket itself still works.
                Some(Err(reason)) => {
                    info!(self.logger, "datagram_refused"; "event" => "datagram_refused",
                        "reason" => %reason);
                }
                None => {}
            }
            let due = bundle.take_due(self.clock.now());
            self.relay(due);
        }
    }

    /// Relays what is for the whole data centre; returns the events.
    fn accept(&self, datagram: Datagram, length: usize, bundle: &mut Batch<Event>) -> Vec<Event> {
        if let Reach::DataCentre(urgency) = datagram.reach {
            let events = datagram.events.clone();
            let full = bundle.add(self.clock.now(), events, length, urgency);
            self.relay(full);
        }
        datagram.events
    }

    fn unreadable(&self, from: SocketAddr, reason: &Unreadable, logged: &mut Moment) {
        let counter = self.meters.datagrams.with_label_values(&["unreadable"]);
        counter.inc();
        let now = self.clock.now();
        if now - *logged >= UNREADABLE_LOGGED {
            *logged = now;
            warn!(self.logger, "datagram_unreadable"; "event" => "datagram_unreadable",
                "from" => %from, "reason" => %reason, "so_far" => counter.get());
        }
    }

    fn relay(&self, events: Option<Vec<Event>>) {
        let Some(events) = events else {
            return;
        };
        let peers = self.peers.lock().clone();
        let datagram = Datagram {
            reach: Reach::Host,
            events,
        };
        let relayed = self.meters.datagrams.with_label_values(&["relayed"]);
        relayed.inc_by(peers.near.len() as u64);
        self.send(&datagram, &peers.near);
    }

    fn send(&self, datagram: &Datagram, addresses: &[SocketAddr]) {
        let bytes = match postcard::to_extend(datagram, vec![VERSION]) {
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
        let sent = self.meters.datagrams.with_label_values(&["sent"]);
        sent.inc_by(addresses.len() as u64);
        for address in addresses {
            // A full socket buffer loses a hint, which the job's end makes good.
            let _ = self.socket.try_send_to(&bytes, *address);
        }
    }
}

/// Why a datagram can't be read.
#[derive(Debug, Error)]
enum Unreadable {
    #[error("its version is {0:?}")]
    Version(Option<u8>),
    #[error(transparent)]
    Encoding(#[from] postcard::Error),
}

fn decode(bytes: &[u8]) -> Result<Datagram, Unreadable> {
    match bytes {
        [VERSION, body @ ..] => Ok(postcard::from_bytes(body)?),
        _ => Err(Unreadable::Version(bytes.first().copied())),
    }
}
