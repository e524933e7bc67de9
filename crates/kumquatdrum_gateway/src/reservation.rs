//! Reservations of engine memory for a prompt.
//!
//! A reservation is a lease: it is renewed while its prompt is in flight, released afterwards, and
//! expires if this host fails. An order whose response is lost may take effect late, so the lease
//! is shorter than the maximum time that memory may stay unused.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_types::EndpointId;
use slog::{info, warn};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::Gateway;
use crate::protocol::Acknowledgement;
use crate::upstream;

/// The timeout for the response to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// The number of renewals per lease duration, which tolerates lost orders.
const RENEWALS_PER_LEASE: u32 = 3;
/// The maximum number of attempts to release a lease, which otherwise expires.
const MAX_RELEASE_ATTEMPTS: u32 = 3;

/// Reserved memory at one engine. Dropping it releases the memory.
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

/// The reason why a reservation failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The engine has too little free memory.
    Full,
    /// The engine rejected the order or did not acknowledge it. It may still take effect.
    Unanswered,
}

/// Reserves memory at an engine under a name.
pub async fn reserve(
    gateway: &Arc<Gateway>,
    endpoint: &EndpointId,
    address: SocketAddr,
    name: String,
    tokens: u64,
) -> Result<Reservation, Error> {
    let lease = Arc::new(Lease {
        gateway: gateway.clone(),
        endpoint: endpoint.clone(),
        address,
        name,
        tokens,
    });
    let acknowledgement = lease.order().await;
    info!(gateway.logger, "reserved"; "event" => "reserved", "endpoint" => endpoint.as_str(),
        "reservation" => &lease.name, "tokens" => tokens, "outcome" => ?acknowledgement);
    match acknowledgement {
        Some(Acknowledgement::Done) => {
            let renewal = tokio::spawn(renew(lease.clone()));
            Ok(Reservation { lease, renewal })
        }
        Some(Acknowledgement::Full) => Err(Error::Full),
        Some(Acknowledgement::Refused) | None => {
            gateway.spawn(release(lease));
            Err(Error::Unanswered)
        }
    }
}

impl Lease {
    /// Requests or renews the reservation.
    async fn order(&self) -> Option<Acknowledgement> {
        let gateway = &self.gateway;
        let hold = gateway.lease_duration();
        let request = gateway
            .protocol
            .build_reserve(&self.endpoint, &self.name, self.tokens, hold);
        let sent = upstream::send(self.address, request, Instant::now() + ORDER_TIMEOUT).await;
        let exchange = sent.ok()?;
        Some(
            gateway
                .protocol
                .parse_acknowledgement(exchange.response.status()),
        )
    }
}

async fn renew(lease: Arc<Lease>) {
    let pause = lease.gateway.lease_duration() / RENEWALS_PER_LEASE;
    loop {
        sleep(pause).await;
        let renewed = lease.order().await;
        if renewed != Some(Acknowledgement::Done) {
            warn!(lease.gateway.logger, "not_renewed"; "event" => "not_renewed",
                "endpoint" => lease.endpoint.as_str(), "reservation" => &lease.name,
                "outcome" => ?renewed);
        }
    }
}

async fn release(lease: Arc<Lease>) {
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        let gateway = &lease.gateway;
        let request = gateway.protocol.build_release(&lease.endpoint, &lease.name);
        let sent = upstream::send(lease.address, request, Instant::now() + ORDER_TIMEOUT).await;
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
