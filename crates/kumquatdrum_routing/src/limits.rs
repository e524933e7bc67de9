//! Enforces workspace limits over all hosts, so that the sum of their shares stays within the
//! limit.
//!
//! Each host has a guaranteed floor of every limit. The rest is a pool that one host, the
//! workspace's coordinator, grants on demand as leases. A coordinator grants only while a majority
//! of the declared hosts is bound to it, and a host is bound to one coordinator at a time, so that
//! two coordinators never grant from the same pool. See `docs/design/routing.md`.

mod bucket;
mod coordinator;
mod limiter;
mod message;

use std::time::Duration;

use kumquatdrum_types::{HostId, WorkspaceName, hash};

pub use bucket::Bucket;
pub use coordinator::Coordinator;
pub use limiter::{Limiter, Refused};
pub use message::{Demand, Grant, Share, Timestamp};

/// The share of a limit that is guaranteed to the hosts as floors.
pub const FLOOR_SHARE: f64 = 0.3;
/// The duration of a grant, starting when its demand was sent.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);
/// How long a host stays bound to a coordinator after echoing a timestamp of that coordinator: a
/// lease during which the coordinator counts the host as bound, another for the last grant, and a
/// margin for clock drift.
pub const BINDING_DURATION: Duration = Duration::from_millis(4_200);
/// The interval at which a host sends demands.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// The time over which unused rate accumulates.
pub const BURST_DURATION: Duration = Duration::from_secs(1);

/// The limits of one workspace over all hosts; `None` means unlimited.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub requests_per_second: Option<f64>,
    /// Prompt and output tokens per second.
    pub tokens_per_second: Option<f64>,
    /// Requests in flight.
    pub concurrency: Option<u32>,
}

impl Limit {
    /// Returns the guaranteed share of each of `hosts` hosts.
    ///
    /// ```
    /// use kumquatdrum_routing::limits::Limit;
    /// let limit = Limit { requests_per_second: Some(90.0), ..Limit::default() };
    /// assert_eq!(limit.floor(9).requests, 3.0);
    /// ```
    pub fn floor(&self, hosts: usize) -> Share {
        let share = FLOOR_SHARE / hosts.max(1) as f64;
        Share {
            requests: share * self.requests_per_second.unwrap_or(0.0),
            tokens: share * self.tokens_per_second.unwrap_or(0.0),
            concurrency: (share * f64::from(self.concurrency.unwrap_or(0))) as u32,
        }
    }

    /// Returns the pool: the part of the limit that exceeds the floors of all hosts.
    pub(crate) fn pool(&self, hosts: usize) -> Share {
        let floor = self.floor(hosts);
        let host_count = hosts.max(1) as f64;
        let concurrency = self.concurrency.unwrap_or(0);
        Share {
            requests: self.requests_per_second.unwrap_or(0.0) - host_count * floor.requests,
            tokens: self.tokens_per_second.unwrap_or(0.0) - host_count * floor.tokens,
            concurrency: concurrency.saturating_sub(floor.concurrency * hosts as u32),
        }
    }
}

/// Returns the coordinator of a workspace: the same one on all hosts with the same view of live
/// hosts.
///
/// ```
/// use kumquatdrum_routing::limits::coordinator_of;
/// let hosts = ["a".into(), "b".into()];
/// assert!(coordinator_of(&"salon".into(), &hosts).is_some());
/// ```
pub fn coordinator_of<'a>(
    workspace: &WorkspaceName,
    live: impl IntoIterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    live.into_iter()
        .max_by_key(|host| (hash::pair(host.as_str(), workspace.as_str()), host.as_str()))
}
