//! Grants shares of a workspace's pool to hosts.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{BootId, HostId, Moment, WorkspaceName};

use super::{Demand, Grant, LEASE_DURATION, Limit, Share, Timestamp};

/// The coordinator's state for one host.
#[derive(Debug)]
struct Member {
    bound_until: Moment,
    demanded: Share,
    granted: Share,
    lease_until: Moment,
    in_flight: u32,
    /// The end of the last request that may have been admitted under a lease.
    requests_until: Moment,
}

/// Grants shares of the limits of the workspaces that this host coordinates.
///
/// ```
/// use kumquatdrum_routing::limits::{BINDING_DURATION, Coordinator, Limit, Limiter};
/// use kumquatdrum_types::{BootId, Moment};
/// use std::time::Duration;
///
/// let limit = Limit { requests_per_second: Some(100.0), ..Limit::default() };
/// let mut coordinator = Coordinator::new("a".into(), BootId(1), 1, Duration::from_secs(600));
/// coordinator.set_limit("salon".into(), limit);
/// let mut limiter = Limiter::new("a".into(), 1, Moment::ZERO);
/// limiter.set_limit(Moment::ZERO, "salon".into(), limit);
///
/// // The first grant is empty and carries the timestamp that binds the host.
/// let now = Moment::ZERO + BINDING_DURATION;
/// for granted in [0.0, 70.0] {
///     let (_, demand) = limiter.build_demands(now, &["a".into()]).remove(0);
///     let grant = coordinator.handle_demand(now, &demand).expect("limited");
///     assert_eq!(grant.share.requests, granted);
///     limiter.apply_grant(now, &grant);
/// }
/// ```
#[derive(Debug)]
pub struct Coordinator {
    host: HostId,
    boot: BootId,
    hosts: usize,
    max_request_duration: Duration,
    limits: IndexMap<WorkspaceName, Limit>,
    members: IndexMap<WorkspaceName, IndexMap<HostId, Member>>,
}

impl Coordinator {
    /// Creates a coordinator among `hosts` declared hosts. The boot id must differ between
    /// incarnations, and no request may run longer than `max_request_duration`.
    pub fn new(host: HostId, boot: BootId, hosts: usize, max_request_duration: Duration) -> Self {
        Self {
            host,
            boot,
            hosts,
            max_request_duration,
            limits: IndexMap::new(),
            members: IndexMap::new(),
        }
    }

    /// Sets the declared limits of a workspace.
    pub fn set_limit(&mut self, workspace: WorkspaceName, limit: Limit) {
        self.limits.insert(workspace, limit);
    }

    /// Removes the limits of a workspace that is no longer declared.
    pub fn remove_limit(&mut self, workspace: &WorkspaceName) {
        self.limits.swap_remove(workspace);
        self.members.swap_remove(workspace);
    }

    /// Sets the number of declared hosts.
    pub const fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts;
    }

    /// Answers a demand. Without a bound majority the grant is empty, but its timestamp lets the
    /// host bind itself. Returns `None` if the workspace has no limit.
    pub fn handle_demand(&mut self, now: Moment, demand: &Demand) -> Option<Grant> {
        let workspace = &demand.load.workspace;
        let limit = *self.limits.get(workspace)?;
        let floor = limit.floor(self.hosts);
        let pool = limit.pool(self.hosts);
        let members = self.members.entry(workspace.clone()).or_default();
        record_demand(now, self.boot, members, demand, floor);
        let bound = members.values().filter(|member| now < member.bound_until);
        let has_majority = bound.count() * 2 > self.hosts;
        let member = members.get(&demand.host);
        let is_bound = member.is_some_and(|member| now < member.bound_until);
        let share = if has_majority && is_bound {
            compute_share(now, members, &demand.host, pool)
        } else {
            Share::default()
        };
        if let Some(member) = members.get_mut(&demand.host).filter(|_| is_bound) {
            member.granted = share;
            member.lease_until = now + LEASE_DURATION;
            member.requests_until = now + LEASE_DURATION + self.max_request_duration;
        }
        Some(Grant {
            coordinator: self.host.clone(),
            workspace: workspace.clone(),
            round: demand.round,
            timestamp: Timestamp {
                boot: self.boot,
                at: now,
            },
            lease: LEASE_DURATION,
            share,
        })
    }
}

fn record_demand(
    now: Moment,
    boot: BootId,
    members: &mut IndexMap<HostId, Member>,
    demand: &Demand,
    floor: Share,
) {
    members.retain(|_, member| now < member.requests_until.max(member.bound_until));
    let Some(timestamp) = demand.echo.filter(|timestamp| timestamp.boot == boot) else {
        return;
    };
    let load = &demand.load;
    let member = members.entry(demand.host.clone()).or_insert(Member {
        bound_until: Moment::ZERO,
        demanded: Share::default(),
        granted: Share::default(),
        lease_until: Moment::ZERO,
        in_flight: 0,
        requests_until: now,
    });
    // The host bound itself after `timestamp.at` and for longer, so its binding outlasts
    // `bound_until`.
    member.bound_until = member.bound_until.max(timestamp.at + LEASE_DURATION);
    member.in_flight = load.in_flight.saturating_sub(floor.concurrency);
    member.demanded = Share {
        requests: (load.requests as f64 - floor.requests).max(0.0),
        tokens: (load.tokens as f64 - floor.tokens).max(0.0),
        concurrency: demand.wanted_concurrency.saturating_sub(floor.concurrency),
    };
}

/// Returns one host's share of the pool: in proportion to its demand, and at most what other hosts
/// do not hold.
fn compute_share(
    now: Moment,
    members: &IndexMap<HostId, Member>,
    host: &HostId,
    pool: Share,
) -> Share {
    let bound = members.values().filter(|member| now < member.bound_until);
    let (mut total_demanded, mut bound_hosts) = (Share::default(), 0.0);
    for member in bound {
        total_demanded.requests += member.demanded.requests;
        total_demanded.tokens += member.demanded.tokens;
        total_demanded.concurrency += member.demanded.concurrency;
        bound_hosts += 1.0;
    }
    let mut held_by_others = Share::default();
    for (_, member) in members.iter().filter(|(other, _)| *other != host) {
        if now < member.lease_until {
            held_by_others.requests += member.granted.requests;
            held_by_others.tokens += member.granted.tokens;
        }
        if now < member.requests_until {
            held_by_others.concurrency += member.granted.concurrency.max(member.in_flight);
        }
    }
    let demanded = members[host].demanded;
    let portion = |pool: f64, demanded: f64, total_demanded: f64, held_by_others: f64| {
        let target = if total_demanded <= pool {
            demanded + (pool - total_demanded) / bound_hosts
        } else {
            pool * demanded / total_demanded
        };
        target.min(pool - held_by_others).max(0.0)
    };
    Share {
        requests: portion(
            pool.requests,
            demanded.requests,
            total_demanded.requests,
            held_by_others.requests,
        ),
        tokens: portion(
            pool.tokens,
            demanded.tokens,
            total_demanded.tokens,
            held_by_others.tokens,
        ),
        concurrency: portion(
            f64::from(pool.concurrency),
            f64::from(demanded.concurrency),
            f64::from(total_demanded.concurrency),
            f64::from(held_by_others.concurrency),
        ) as u32,
    }
}
