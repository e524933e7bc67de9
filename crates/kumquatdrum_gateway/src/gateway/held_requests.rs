//! Requests that reach a host before it can place them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kumquatdrum_types::Moment;
use slog::info;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout_at};

use super::Gateway;
use crate::{backlog, call};

/// The interval between checks while requests are held.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long after the first setup all endpoints of a control host are awaited if some are known
/// already, so that the first requests are not all placed on those.
const ALL_ENDPOINTS_WAIT: Duration = Duration::from_millis(500);
/// How long after the first setup endpoints are awaited. A host that has run for longer without has
/// none to wait for.
const ENDPOINT_WAIT: Duration = Duration::from_secs(2);
/// How long after the first setup a majority of the control hosts is awaited: the first to answer may
/// lack an acknowledged evacuation, but one of each majority has stored it. A longer wait would delay
/// the first responses after the loss of all hosts, which are due 0.3 s after the start.
const MAJORITY_GRACE: Duration = Duration::from_millis(200);
/// How long a request without a deadline is held, as its caller may give up at any time.
const MAX_HOLD_WITHOUT_DEADLINE: Duration = Duration::from_secs(3);

impl Gateway {
    /// Holds a request on a newly started host until it has applied a setup and knows endpoints, as
    /// long as the request can still be served: a caller may retry only once.
    pub(crate) async fn wait_until_informed(&self, arrived: Moment, timeout: Option<Duration>) {
        let is_informed = self.is_informed() && self.startup.backlog.is_empty();
        if is_informed || self.drain.is_draining() {
            return;
        }
        let longest = timeout.map_or(MAX_HOLD_WITHOUT_DEADLINE, backlog::max_hold);
        let until = self.clock.instant(arrived + longest);
        let deadline = arrived + timeout.unwrap_or(call::DEFAULT_TIMEOUT);
        let mut entry = self.startup.backlog.add(deadline);
        let _ = timeout_at(until, entry.wait()).await;
    }

    /// Releases held requests in the order of their deadlines once they can be placed, or to be
    /// refused when this host stops.
    pub(super) async fn release_held_requests(self: Arc<Self>) {
        loop {
            self.startup.backlog.wait_for_requests().await;
            while !self.is_informed()
                && !self.drain.is_draining()
                && !self.startup.backlog.is_empty()
            {
                sleep(CHECK_INTERVAL).await;
            }
            let mut released = 0;
            while self.startup.backlog.release_next() {
                released += 1;
                // Lets the request reach its placement before the next one.
                yield_now().await;
            }
            if released > 0 {
                info!(self.logger, "requests_released"; "event" => "requests_released",
                    "requests" => released, "elapsed_ms" => self.uptime().as_millis() as u64);
            }
        }
    }

    /// Returns whether this host can place requests, as far as it may expect to.
    fn is_informed(&self) -> bool {
        let Some(known_at) = self.startup.setup_known_at.get() else {
            return false;
        };
        let known_for = self.clock.now() - *known_at;
        let has_all = self.startup.has_initial_endpoints.load(Ordering::Acquire);
        known_for >= ENDPOINT_WAIT
            || (self.pool.has_endpoints(has_all)
                && (has_all || known_for >= ALL_ENDPOINTS_WAIT)
                && (self.hosts.has_control_majority() || known_for >= MAJORITY_GRACE))
    }
}
