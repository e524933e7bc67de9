//! What this host may send to endpoints now, by their responses and announcements.
//!
//! Every request to an endpoint passes [`Holds::check`] when it is sent, and every response passes
//! [`Holds::record`], both in [`crate::upstream`].

use std::fmt;
use std::sync::Arc;

use kumquatdrum_placement::{Backoffs, EndpointKey};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_registry::{Announcement, Presence, Update};
use kumquatdrum_types::{EndpointId, Moment};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::sync::mpsc;

use crate::endpoints::Endpoints;
use crate::evacuations;
use crate::metrics::Metrics;
use crate::protocol::{Backoff, Reply};

/// The reason why this host must not send something to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// The endpoint asked for a back-off, which ends at this time.
    Backoff(Moment),
    /// The endpoint is leaving or gone.
    Leaving,
    /// The endpoint's data centre is evacuated.
    Evacuated,
}

impl Hold {
    /// Returns the name of the reason in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Backoff(_) => "backoff",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
        }
    }
}

impl fmt::Display for Hold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Backoff(_) => "it asked for a back-off",
            Self::Leaving => "it is leaving",
            Self::Evacuated => "its data centre is evacuated",
        })
    }
}

/// What a request to an endpoint is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// New work, which a leaving endpoint does not get.
    Work,
    /// New work that only a leaving endpoint can do.
    LastResort,
    /// Upkeep of work that the endpoint has already: the renewal or release of a reservation.
    Upkeep,
}

/// The dependencies of [`Holds`].
pub struct Dependencies {
    /// The host's clock.
    pub clock: Clock,
    /// Announced endpoints.
    pub endpoints: Arc<Endpoints>,
    /// The evacuated data centres.
    pub evacuations: Arc<evacuations::Store>,
    /// A number that identifies this host among all hosts.
    pub number: u32,
    /// The host's metrics.
    pub metrics: Arc<Metrics>,
    /// The host's logger.
    pub logger: slog::Logger,
}

/// Keeps requests away from endpoints that have asked for a back-off, are leaving, or are in an
/// evacuated data centre.
pub struct Holds {
    dependencies: Dependencies,
    backoffs: Mutex<Backoffs>,
    /// Endpoints whose leaving this host has learned from a response.
    departures: mpsc::UnboundedSender<Update>,
}

impl Holds {
    /// Creates the state of a host without holds, and the receiver of the endpoints whose leaving
    /// it learns from responses.
    pub fn new(dependencies: Dependencies) -> (Self, mpsc::UnboundedReceiver<Update>) {
        let (departures, received) = mpsc::unbounded_channel();
        let backoffs = Mutex::new(Backoffs::new(dependencies.number));
        let holds = Self {
            dependencies,
            backoffs,
            departures,
        };
        (holds, received)
    }

    /// Returns an error if an endpoint must not be sent a request now.
    pub fn check(&self, endpoint: &Announcement, purpose: Purpose) -> Result<(), Hold> {
        let is_evacuated = self
            .dependencies
            .evacuations
            .is_active(&endpoint.data_centre);
        if is_evacuated && purpose != Purpose::Upkeep {
            return Err(Hold::Evacuated);
        }
        let now = self.dependencies.clock.now();
        let key = EndpointKey::of(&endpoint.id, endpoint.started);
        let backoff_end = self.backoffs.lock().end(now, key);
        if let Some(until) = backoff_end {
            return Err(Hold::Backoff(until));
        }
        match (purpose, self.dependencies.endpoints.presence(endpoint)) {
            (Purpose::Upkeep, _) | (_, Presence::Staying) => Ok(()),
            (Purpose::LastResort, Presence::LeavingAt(until)) if now < until => Ok(()),
            _ => Err(Hold::Leaving),
        }
    }

    /// Records what a response says about further requests to its endpoint. `request` is the caller's
    /// attempt id, or empty.
    pub fn record(&self, endpoint: &Announcement, request: &str, reply: &Reply) {
        if reply.is_misdirected {
            return;
        }
        self.record_backoff(endpoint, request, &reply.backoff);
        if reply.is_leaving {
            self.record_leaving(endpoint, request);
        }
    }

    /// Returns the endpoints that get no new requests now because of a back-off, each with the end
    /// of the hold.
    pub fn held<'a>(
        &self,
        keys: impl Iterator<Item = &'a EndpointKey>,
    ) -> Vec<(EndpointKey, Moment)> {
        let backoffs = self.backoffs.lock();
        if backoffs.is_empty() {
            return Vec::new();
        }
        let now = self.dependencies.clock.now();
        let held = keys.filter_map(|key| Some((*key, backoffs.held_until(now, *key)?)));
        held.collect()
    }

    /// Returns the endpoints that may reject a request although their back-off has ended.
    pub fn recovering<'a>(&self, keys: impl Iterator<Item = &'a EndpointKey>) -> Vec<EndpointKey> {
        let backoffs = self.backoffs.lock();
        if backoffs.is_empty() {
            return Vec::new();
        }
        let now = self.dependencies.clock.now();
        let recovering = keys.filter(|key| backoffs.is_recovering(now, **key));
        recovering.copied().collect()
    }

    /// Records that an endpoint was picked for a request.
    pub fn admit(&self, key: EndpointKey) {
        let now = self.dependencies.clock.now();
        self.backoffs.lock().admit(now, key);
    }

    fn record_backoff(&self, endpoint: &Announcement, request: &str, backoff: &Backoff) {
        let Dependencies {
            clock,
            metrics,
            logger,
            ..
        } = &self.dependencies;
        let now = clock.now();
        let key = EndpointKey::of(&endpoint.id, endpoint.started);
        match backoff {
            Backoff::For(delay) if !delay.is_zero() => {
                let until = self.backoffs.lock().request(now, key, *delay);
                metrics.holds.with_label_values(&["backoff"]).inc();
                info!(logger, "endpoint_backoff"; "event" => "endpoint_backoff",
                    "endpoint" => endpoint.id.as_str(), "request" => request,
                    "delay_ms" => delay.as_millis() as u64,
                    "held_ms" => until.map(|until| (until - now).as_millis() as u64));
            }
            Backoff::Absent | Backoff::For(_) => self.backoffs.lock().record_response(now, key),
            Backoff::Invalid(value) => {
                warn!(logger, "backoff_invalid"; "event" => "backoff_invalid",
                    "endpoint" => endpoint.id.as_str(), "request" => request, "value" => value);
            }
        }
    }

    fn record_leaving(&self, endpoint: &Announcement, request: &str) {
        let Some(update) = self.dependencies.endpoints.mark_leaving(endpoint) else {
            return;
        };
        let metrics = &self.dependencies.metrics;
        metrics.holds.with_label_values(&["leaving"]).inc();
        info!(self.dependencies.logger, "endpoint_leaving"; "event" => "endpoint_leaving",
            "endpoint" => endpoint.id.as_str(), "incarnation" => endpoint.started,
            "request" => request);
        // The receiver is dropped only when the host stops.
        let _ = self.departures.send(update);
    }

    /// Logs that a request was not sent to an endpoint it had been placed on.
    pub fn log_held(&self, request: &str, endpoint: &EndpointId, hold: Hold) {
        info!(self.dependencies.logger, "request_held"; "event" => "request_held",
            "request" => request, "endpoint" => endpoint.as_str(), "hold" => hold.name(),
            "decision" => "moved");
    }
}
