//! The side that grants shares of the pool.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{BootId, HostId, Moment, WorkspaceName};

use super::{Demand, Grant, LEASE, Limit, Share, Stamp};

/// What the steward holds of one host.
#[derive(Debug)]
struct Member {
    bound_until: Moment,
    want: Share,
    granted: Share,
    lease_until: Moment,
    in_flight: u32,
    /// Until when requests admitted under the last lease may still run.
    runs_until: Moment,
}

/// Grants shares of the limits of the workspaces whose steward this host is.
///
/// ```
/// use kumquatdrum_routing::limits::{BINDING, Limiter, Limit, Coordinator};
/// use kumquatdrum_types::{BootId, Moment};
/// use std::time::Duration;
///
/// let limit = Limit { requests_per_second: Some(100.0), ..Limit::default() };
/// let mut steward = Coordinator::new("a".into(), BootId(1), 1, Duration::from_secs(600));
/// steward.set_limit("salon".into(), limit);
/// let mut holder = Limiter::new("a".into(), 1, Moment::ZERO);
/// holder.set_limit(Moment::ZERO, "salon".into(), limit);
///
/// // The first answer carries the stamp that binds the host, the second one grants the pool.
/// let now = Moment::ZERO + BINDING;
/// for granted in [0.0, 70.0] {
///     let (_, demand) = holder.build_demands(now, &["a".into()]).remove(0);
///     let grant = steward.handle_demand(now, &demand).expect("limited");
///     assert_eq!(grant.share.requests, granted);
///     holder.apply_grant(now, &grant);
/// }
/// ```
#[derive(Debug)]
pub struct Coordinator {
    host: HostId,
    boot: BootId,
    hosts: usize,
    longest_request: Duration,
    limits: IndexMap<WorkspaceName, Limit>,
    members: IndexMap<WorkspaceName, IndexMap<HostId, Member>>,
}

impl Coordinator {
    /// A steward among `hosts` declared hosts. The boot id differs from life to life; no request
    /// runs longer than `longest_request`.
    pub fn new(host: HostId, boot: BootId, hosts: usize, longest_request: Duration) -> Self {
        Self {
            host,
            boot,
            hosts,
            longest_request,
            limits: IndexMap::new(),
            members: IndexMap::new(),
        }
    }

    /// Sets the limits of a workspace, as declared.
    pub fn set_limit(&mut self, workspace: WorkspaceName, limit: Limit) {
        self.limits.insert(workspace, limit);
    }

    /// Drops the limits of a workspace that is declared no more.
    pub fn remove_limit(&mut self, workspace: &WorkspaceName) {
        self.limits.swap_remove(workspace);
        self.members.swap_remove(workspace);
    }

    /// Sets the number of declared hosts.
    pub const fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts;
    }

    /// Answers a demand. The answer grants nothing while no majority is bound, yet its stamp
    /// lets the host bind itself. `None` where the workspace has no limit.
    pub fn handle_demand(&mut self, now: Moment, demand: &Demand) -> Option<Grant> {
        let workspace = &demand.load.workspace;
        let limit = *self.limits.get(workspace)?;
        let floor = limit.floor(self.hosts);
        let pool = limit.pool(self.hosts);
        let members = self.members.entry(workspace.clone()).or_default();
        note(now, self.boot, members, demand, floor);
        let bound = members.values().filter(|member| now < member.bound_until);
        let has_majority = bound.count() * 2 > self.hosts;
        let member = members.get(&demand.host);
        let is_bound = member.is_some_and(|member| now < member.bound_until);
        let share = if has_majority && is_bound {
            share(now, members, &demand.host, pool)
        } else {
            Share::default()
        };
        if let Some(member) = members.get_mut(&demand.host).filter(|_| is_bound) {
            member.granted = share;
            member.lease_until = now + LEASE;
            member.runs_until = now + LEASE + self.longest_request;
        }
        Some(Grant {
            steward: self.host.clone(),
            workspace: workspace.clone(),
            round: demand.round,
            stamp: Stamp {
                boot: self.boot,
                at: now,
            },
            lease: LEASE,
            share,
        })
    }
}

fn note(
    now: Moment,
    boot: BootId,
    members: &mut IndexMap<HostId, Member>,
    demand: &Demand,
    floor: Share,
) {
    members.retain(|_, member| now < member.runs_until.max(member.bound_until));
    let Some(stamp) = demand.echo.filter(|stamp| stamp.boot == boot) else {
        return;
    };
    let load = &demand.load;
    let member = members.entry(demand.host.clone()).or_insert(Member {
        bound_until: Moment::ZERO,
        want: Share::default(),
        granted: Share::default(),
        lease_until: Moment::ZERO,
        in_flight: 0,
        runs_until: now,
    });
    // The host sent this after it had the stamp, so it is bound for longer than that.
    member.bound_until = member.bound_until.max(stamp.at + LEASE);
    member.in_flight = load.in_flight.saturating_sub(floor.concurrency);
    member.want = Share {
        requests: (load.requests as f64 - floor.requests).max(0.0),
        tokens: (load.tokens as f64 - floor.tokens).max(0.0),
        concurrency: demand.wanted_concurrency.saturating_sub(floor.concurrency),
    };
}

/// The part of the pool for one host: by demand, within what the others don't hold.
fn share(now: Moment, members: &IndexMap<HostId, Member>, host: &HostId, pool: Share) -> Share {
    let bound = members.values().filter(|member| now < member.bound_until);
    let (mut wanted, mut count) = (Share::default(), 0.0);
    for member in bound {
        wanted.requests += member.want.requests;
        wanted.tokens += member.want.tokens;
        wanted.concurrency += member.want.concurrency;
        count += 1.0;
    }
    let mut held = Share::default();
    for (_, member) in members.iter().filter(|(other, _)| *other != host) {
        if now < member.lease_until {
            held.requests += member.granted.requests;
            held.tokens += member.granted.tokens;
        }
        if now < member.runs_until {
            held.concurrency += member.granted.concurrency.max(member.in_flight);
        }
    }
    let want = members[host].want;
    let part = |pool: f64, want: f64, wanted: f64, held: f64| {
        let target = if wanted <= pool {
            want + (pool - wanted) / count
        } else {
            pool * want / wanted
        };
        target.min(pool - held).max(0.0)
    };
    Share {
        requests: part(pool.requests, want.requests, wanted.requests, held.requests),
        tokens: part(pool.tokens, want.tokens, wanted.tokens, held.tokens),
        concurrency: part(
            f64::from(pool.concurrency),
            f64::from(want.concurrency),
            f64::from(wanted.concurrency),
            f64::from(held.concurrency),
        ) as u32,
    }
}
