//! Memory that is set aside at engines for one prompt.
//!
//! A reservation is a lease: it is renewed while its prompt is under way, released at its end, and
//! runs out by itself where this host can do neither. An order whose answer is lost may be carried
//! out late, so the lease is kept shorter than memory may lie unused.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_types::EndpointId;
use slog::{info, warn};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::Gateway;
use crate::protocol::Ordered;
use crate::upstream;

/// How long an order's answer may take: a few round trips.
const ANSWER: Duration = Duration::from_millis(400);
/// A lease is renewed so many times before it would run out, as orders get lost.
const RENEWALS: u32 = 3;
/// How often a release is sent where it is not answered. The lease runs out anyway.
const RELEASES: u32 = 3;

/// Memory at one engine. Dropping it releases the memory.
#[derive(Debug)]
pub struct Reservation {
    lease: Arc<Lease>,
    renewal: JoinHandle<()>,
}

struct Lease {
    gateway: Arc<Gateway>,
    endpoint: EndpointId,
    address: SocketAddr,
    name: String,
    tokens: u64,
}

impl std::fmt::Debug for Lease {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Lease({} at {})", self.name, self.endpoint)
    }
}

/// Why there is no reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// The memory is not free.
    Full,
    /// There was no answer; the order may still be carried out.
    Unanswered,
}

/// Sets memory aside under a name.
pub async fn reserve(
    gateway: &Arc<Gateway>,
    endpoint: &EndpointId,
    address: SocketAddr,
    name: String,
    tokens: u64,
) -> Result<Reservation, Refused> {
    let lease = Arc::new(Lease {
        gateway: gateway.clone(),
        endpoint: endpoint.clone(),
        address,
        name,
        tokens,
    });
    let ordered = lease.order().await;
    info!(gateway.logger, "reserved"; "event" => "reserved", "endpoint" => endpoint.as_str(),
        "reservation" => &lease.name, "tokens" => tokens, "outcome" => ?ordered);
    match ordered {
        Some(Ordered::Done) => {
            let renewal = tokio::spawn(renew(lease.clone()));
            Ok(Reservation { lease, renewal })
        }
        Some(Ordered::Full) => Err(Refused::Full),
        Some(Ordered::Refused) | None => {
            gateway.spawn(release(lease));
            Err(Refused::Unanswered)
        }
    }
}

impl Lease {
    /// Asks for the memory, or renews it.
    async fn order(&self) -> Option<Ordered> {
        let gateway = &self.gateway;
        let hold = gateway.reservation_time();
        let request = gateway
            .protocol
            .reserve(&self.endpoint, &self.name, self.tokens, hold);
        let sent = upstream::send(self.address, request, Instant::now() + ANSWER).await;
        let exchange = sent.ok()?;
        Some(gateway.protocol.ordered(exchange.response.status()))
    }
}

async fn renew(lease: Arc<Lease>) {
    let pause = lease.gateway.reservation_time() / RENEWALS;
    loop {
        sleep(pause).await;
        let renewed = lease.order().await;
        if renewed != Some(Ordered::Done) {
            warn!(lease.gateway.logger, "not_renewed"; "event" => "not_renewed",
                "endpoint" => lease.endpoint.as_str(), "reservation" => &lease.name,
                "outcome" => ?renewed);
        }
    }
}

async fn release(lease: Arc<Lease>) {
    for _ in 0..RELEASES {
        let gateway = &lease.gateway;
        let request = gateway.protocol.release(&lease.endpoint, &lease.name);
        let sent = upstream::send(lease.address, request, Instant::now() + ANSWER).await;
        if sent.is_ok() {
            return;
        }
    }
    warn!(lease.gateway.logger, "not_released"; "event" => "not_released",
        "endpoint" => lease.endpoint.as_str(), "reservation" => &lease.name);
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.renewal.abort();
        self.lease.gateway.spawn(release(self.lease.clone()));
    }
}
