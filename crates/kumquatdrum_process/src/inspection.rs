//! Inspections of endpoints that broke a connection. A request is a suspect if its endpoint crashed.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_quarantine::{Identity, Incarnation};
use kumquatdrum_types::EndpointId;
use slog::info;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use crate::liveness::{self, Liveness};
use crate::quarantine;

/// How long a retry waits for the first check of the endpoint that failed.
const FIRST_CHECK_WAIT: Duration = Duration::from_millis(100);
/// The pause before an endpoint that still listens is checked again: a process that ends may close
/// its connections before its listener.
const RECHECK_PAUSE: Duration = Duration::from_millis(50);

/// The checks of an inspection, to be run in the background.
pub type Task = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Asks others whether an endpoint is down.
pub type Confirm = Box<dyn Fn() -> Pin<Box<dyn Future<Output = bool> + Send>> + Send + Sync>;

/// An inspection of an endpoint that broke a connection.
pub struct Inspection {
    /// The request, for logs.
    pub request: String,
    /// The request's identity in the quarantine.
    pub identity: Identity,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The number of the endpoint's incarnation.
    pub incarnation: u64,
    /// The time since the endpoint's first event of the answer, if there was one.
    pub begun: Option<Duration>,
    /// Returns whether the endpoint has announced that it leaves, and so may end without a crash.
    pub is_leaving: Box<dyn Fn() -> bool + Send + Sync>,
    /// Returns whether other hosts find the endpoint down too, since this host's path may be at fault.
    pub confirm: Confirm,
    /// Records crashes.
    pub quarantine: Arc<quarantine::Store>,
    /// The logger.
    pub logger: slog::Logger,
}

impl Inspection {
    /// Checks the endpoint, and once more if it still listens. `spawn` runs the checks in the
    /// background. Returns whether the first check found a crash, but waits for it only briefly, so
    /// that a slow check delays no retry.
    pub async fn run(self, spawn: impl FnOnce(Task)) -> bool {
        let (sender, first) = oneshot::channel();
        spawn(Box::pin(async move {
            let has_crashed = self.check().await;
            // The receiver is gone if the check was slow.
            let _ = sender.send(has_crashed);
            if !has_crashed {
                sleep(RECHECK_PAUSE).await;
                self.check().await;
            }
        }));
        matches!(timeout(FIRST_CHECK_WAIT, first).await, Ok(Ok(true)))
    }

    /// Returns whether the endpoint has crashed, and records that in the quarantine.
    async fn check(&self) -> bool {
        let liveness = liveness::check(self.address).await;
        let is_leaving = (self.is_leaving)();
        let is_suspected = liveness == Liveness::Refusing && !is_leaving;
        let has_crashed = is_suspected && (self.confirm)().await;
        info!(self.logger, "endpoint_inspected"; "event" => "endpoint_inspected",
            "request" => &self.request, "fingerprint" => %self.identity.request,
            "endpoint" => self.endpoint.as_str(), "address" => %self.address,
            "incarnation" => self.incarnation, "liveness" => ?liveness, "leaving" => is_leaving,
            "begun_ms" => self.begun.map(|begun| begun.as_millis() as u64),
            "crashed" => has_crashed);
        if has_crashed {
            let incarnation = Incarnation::of(&self.endpoint, self.incarnation);
            self.quarantine
                .record_crash(&self.identity, incarnation, self.begun);
        }
        has_crashed
    }
}
