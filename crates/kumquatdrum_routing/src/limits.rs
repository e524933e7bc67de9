//! Limits of workspaces, shared out over the hosts so that their sum keeps to the limit.
//!
//! Each host has a floor of every limit that no one can take from it. The rest is a pool, which
//! one host, the workspace's steward, grants by demand as leases. A steward grants only while a
//! majority of the declared hosts is bound to it, and a host is bound to one steward at a time,
//! so two stewards never grant from the same pool. See `docs/design/routing.md`.

mod bucket;
mod holder;
mod message;
mod steward;

use std::time::Duration;

use kumquatdrum_types::{HostId, WorkspaceName, hash};

pub use bucket::Bucket;
pub use holder::{Limiter, Refused};
pub use message::{Demand, Grant, Share, Stamp};
pub use steward::Coordinator;

/// The part of a limit that is given to all hosts as floors.
pub const RESERVE: f64 = 0.3;
/// How long a grant lasts, from the sending of the demand that it answers.
pub const LEASE: Duration = Duration::from_secs(2);
/// How long a host stays bound to a steward after it last echoed one of its stamps: a steward
/// counts on it for a lease, and its last grant lasts one more. The rest is for clock drift.
pub const BINDING: Duration = Duration::from_millis(4_200);
/// How often a host should send its demands.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(500);
/// What a host may save up of its share, in time.
pub const BURST: Duration = Duration::from_secs(1);

/// The limits of one workspace over all hosts; `None` is without limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limit {
    /// Requests a second.
    pub requests_per_second: Option<f64>,
    /// Prompt and answer tokens a second.
    pub tokens_per_second: Option<f64>,
    /// Requests in flight.
    pub concurrency: Option<u32>,
}

impl Limit {
    /// What each of `hosts` hosts may always use.
    ///
    /// ```
    /// use kumquatdrum_routing::limits::Limit;
    /// let limit = Limit { requests_per_second: Some(90.0), ..Limit::default() };
    /// assert_eq!(limit.floor(9).requests, 3.0);
    /// ```
    pub fn floor(&self, hosts: usize) -> Share {
        let part = RESERVE / hosts.max(1) as f64;
        Share {
            requests: part * self.requests_per_second.unwrap_or(0.0),
            tokens: part * self.tokens_per_second.unwrap_or(0.0),
            concurrency: (part * f64::from(self.concurrency.unwrap_or(0))) as u32,
        }
    }

    /// What is left for the steward to grant.
    pub(crate) fn pool(&self, hosts: usize) -> Share {
        let floor = self.floor(hosts);
        let count = hosts.max(1) as f64;
        let whole = self.concurrency.unwrap_or(0);
        Share {
            requests: self.requests_per_second.unwrap_or(0.0) - count * floor.requests,
            tokens: self.tokens_per_second.unwrap_or(0.0) - count * floor.tokens,
            concurrency: whole.saturating_sub(floor.concurrency * hosts as u32),
        }
    }
}

/// The steward of a workspace among the live hosts: the same one on all that agree on these.
///
/// ```
/// use kumquatdrum_routing::limits::steward_of;
/// let hosts = ["a".into(), "b".into()];
/// assert!(steward_of(&"salon".into(), &hosts).is_some());
/// ```
pub fn steward_of<'a>(
    workspace: &WorkspaceName,
    live: impl IntoIterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    live.into_iter()
        .max_by_key(|host| (hash::pair(host.as_str(), workspace.as_str()), host.as_str()))
}
