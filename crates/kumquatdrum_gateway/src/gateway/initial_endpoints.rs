//! The endpoints that a host requests when it has just started.
//!
//! Load: all hosts start at once and there are thousands of endpoints. An answer with all of them
//! occupies the link of a control host, so a host requests them from one control host after another.
//! The few that have left it hears from every control host, in the first answer to a hello.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use slog::info;
use tokio::time::sleep;

use super::{Gateway, INITIAL_HELLO_INTERVAL};
use crate::message::Selection;

/// The number of control hosts that send all endpoints to a host. A second one makes up for a first
/// that lost its disk. A control host requests them from all others.
const SOURCES: usize = 2;
/// The timeout for all endpoints. It covers the requests of other hosts that start as well.
const TIMEOUT: Duration = Duration::from_secs(3);
/// The time after which a host that has had all endpoints once looks for no further source. By then
/// endpoints have announced themselves again.
const MAX_DURATION: Duration = Duration::from_secs(10);

impl Gateway {
    /// Requests all endpoints from control hosts that have answered a hello.
    pub(super) async fn fetch_endpoints(self: Arc<Self>) {
        let sources = if self.hosts.local().is_control {
            usize::MAX
        } else {
            SOURCES
        };
        let mut asked = Vec::new();
        let mut received = 0;
        while received < sources && (received == 0 || self.uptime() < MAX_DURATION) {
            let Some(source) = self.hosts.endpoint_source(&asked) else {
                if received == 0 {
                    asked.clear();
                }
                sleep(INITIAL_HELLO_INTERVAL / 4).await;
                continue;
            };
            asked.push(source.clone());
            let request = self.build_hello(&source, Selection::Nothing, true);
            let is_received = self.exchange_hello(&source, request, TIMEOUT).await;
            info!(self.logger, "endpoints_requested"; "event" => "endpoints_requested",
                "from" => source.as_str(), "received" => is_received,
                "elapsed_ms" => self.uptime().as_millis() as u64);
            if is_received {
                received += 1;
                self.has_initial_endpoints.store(true, Ordering::Release);
            }
        }
    }
}
