//! Reservations of engine memory for a prompt.
//!
//! A reservation is a lease: it is renewed while its prompt is in flight, released afterwards, and
//! expires if this host fails. An order whose response is lost may take effect late, so the lease
//! is shorter than the maximum time that memory may stay unused.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_registry::Announcement;
use slog::{info, warn};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::Gateway;
use crate::holds::{Hold, Purpose};
use crate::protocol::Acknowledgement;
use crate::upstream::{self, Target};

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
    endpoint: Announcement,
    name: String,
    tokens: u64,
    /// The deadline of the prompt, after which the lease is not renewed.
    until: Instant,
}

impl std::fmt::Debug for Lease {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Lease({} at {})", self.name, self.endpoint.id)
    }
}

/// The reason why a reservation failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The engine has too little free memory.
    Full,
    /// The engine must not get the order now.
    Held,
    /// The engine rejected the order or did not acknowledge it. It may still take effect.
    Unanswered,
}

/// Reserves memory at an engine under a name, for new work of this purpose, until a moment at the latest.
pub async fn reserve(
    gateway: &Arc<Gateway>,
    endpoint: &Announcement,
    name: String,
    tokens: u64,
    purpose: Purpose,
    until: Instant,
) -> Result<Reservation, Error> {
    let lease = Arc::new(Lease {
        gateway: gateway.clone(),
        endpoint: endpoint.clone(),
        name,
        tokens,
        until,
    });
    let acknowledgement = lease.order(purpose).await;
    info!(gateway.logger, "reserved"; "event" => "reserved", "endpoint" => endpoint.id.as_str(),
        "reservation" => &lease.name, "tokens" => tokens, "outcome" => ?acknowledgement);
    match acknowledgement {
        Ok(Acknowledgement::Done) => {
            let renewal = tokio::spawn(renew(lease.clone()));
            Ok(Reservation { lease, renewal })
        }
        Ok(Acknowledgement::Full) => Err(Error::Full),
        Err(upstream::Error::Held { .. }) => Err(Error::Held),
        Ok(Acknowledgement::Refused) | Err(_) => {
            gateway.spawn(release(lease));
            Err(Error::Unanswered)
        }
    }
}

impl Lease {
    /// Requests or renews the reservation.
    async fn order(&self, purpose: Purpose) -> Result<Acknowledgement, upstream::Error> {
        let gateway = &self.gateway;
        let (endpoint, hold) = (&self.endpoint, gateway.lease_duration());
        let request = gateway
            .protocol
            .build_reserve(&endpoint.id, &self.name, self.tokens, hold);
        let deadline = Instant::now() + ORDER_TIMEOUT;
        let target = Target::order(endpoint, purpose, ORDER_TIMEOUT / 2);
        let exchange = gateway.upstream.send(target, request, deadline).await?;
        let status = exchange.response.status();
        Ok(gateway.protocol.parse_acknowledgement(status))
    }
}

async fn renew(lease: Arc<Lease>) {
    let interval = lease.gateway.lease_duration() / RENEWALS_PER_LEASE;
    let mut pause = interval;
    while Instant::now() + pause < lease.until {
        sleep(pause).await;
        let renewed = lease.order(Purpose::Upkeep).await;
        pause = match renewed {
            // The lease may last until the end of the back-off.
            Err(upstream::Error::Held {
                hold: Hold::Backoff(until),
                ..
            }) => until - lease.gateway.clock.now(),
            _ => interval,
        };
        if !matches!(renewed, Ok(Acknowledgement::Done)) {
            warn!(lease.gateway.logger, "not_renewed"; "event" => "not_renewed",
                "endpoint" => lease.endpoint.id.as_str(), "reservation" => &lease.name,
                "outcome" => ?renewed);
        }
    }
}

async fn release(lease: Arc<Lease>) {
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        let gateway = &lease.gateway;
        let request = gateway
            .protocol
            .build_release(&lease.endpoint.id, &lease.name);
        let target = Target::order(&lease.endpoint, Purpose::Upkeep, ORDER_TIMEOUT / 2);
        let deadline = Instant::now() + ORDER_TIMEOUT;
        match gateway.upstream.send(target, request, deadline).await {
            Ok(_) => return,
            // The memory is free when the lease expires.
            Err(upstream::Error::Held { .. }) => break,
            Err(_) => {}
        }
    }
    warn!(lease.gateway.logger, "not_released"; "event" => "not_released",
        "endpoint" => lease.endpoint.id.as_str(), "reservation" => &lease.name);
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.renewal.abort();
        self.lease.gateway.spawn(release(self.lease.clone()));
    }
}
