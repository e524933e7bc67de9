//! Admits requests within the host's floor and grants.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{BootId, HostId, Moment, Refusal, WorkspaceName, load};

use super::{BINDING_DURATION, Bucket, Demand, Grant, Limit, Share, Timestamp, coordinator_of};

/// The most demands that wait for a grant.
const MAX_PENDING_DEMANDS: usize = 8;
/// The advised retry time when the concurrency limit is reached.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The interval over which the offered load is counted.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// The refusal of a request, and when to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Whether the rate or the concurrency is exceeded.
    pub reason: Refusal,
    /// When to retry.
    pub retry_after: Duration,
}

/// The coordinator to which the host is bound.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Binding {
    coordinator: HostId,
    boot: BootId,
    until: Moment,
}

/// The offered load of one second.
#[derive(Debug, Clone, Copy, Default)]
struct OfferedLoad {
    requests: u64,
    tokens: u64,
    /// Refusals for lack of concurrency.
    refused: u32,
}

/// Counts the offered load per second.
#[derive(Debug, Default)]
struct Counter {
    since: Moment,
    current: OfferedLoad,
    last: OfferedLoad,
}

#[derive(Debug)]
struct Workspace {
    limit: Limit,
    requests: Bucket,
    tokens: Bucket,
    in_flight: u32,
    granted: Share,
    granted_until: Moment,
    offered: Counter,
    binding: Option<Binding>,
    /// The last timestamp received, and its coordinator.
    timestamp: Option<(HostId, Timestamp)>,
    /// The round and time of each demand without a grant.
    pending_demands: VecDeque<(u64, Moment)>,
}

/// Admits the requests of one host.
///
/// ```
/// use kumquatdrum_routing::limits::{Limit, Limiter};
/// use kumquatdrum_types::Moment;
/// let mut limiter = Limiter::new("a".into(), 1, Moment::ZERO);
/// let limit = Limit { concurrency: Some(10), ..Limit::default() };
/// limiter.set_limit(Moment::ZERO, "salon".into(), limit);
/// // Three of ten is the floor of the only host, before anything is granted.
/// assert!((0..3).all(|_| limiter.admit(Moment::ZERO, &"salon".into(), 1_000).is_ok()));
/// assert!(limiter.admit(Moment::ZERO, &"salon".into(), 1_000).is_err());
/// ```
#[derive(Debug)]
pub struct Limiter {
    host: HostId,
    hosts: usize,
    started: Moment,
    round: u64,
    workspaces: IndexMap<WorkspaceName, Workspace>,
}

impl Limiter {
    /// Creates the limiter of one of `hosts` declared hosts, started at `now`.
    pub fn new(host: HostId, hosts: usize, now: Moment) -> Self {
        Self {
            host,
            hosts,
            started: now,
            round: 0,
            workspaces: IndexMap::new(),
        }
    }

    /// Sets the declared limits of a workspace.
    pub fn set_limit(&mut self, now: Moment, workspace: WorkspaceName, limit: Limit) {
        let state = self
            .workspaces
            .entry(workspace)
            .or_insert_with(|| Workspace::new(now, limit));
        state.limit = limit;
        state.set_rates(now, self.hosts);
    }

    /// Removes the limits of a workspace that is no longer declared.
    pub fn remove_limit(&mut self, workspace: &WorkspaceName) {
        self.workspaces.swap_remove(workspace);
    }

    /// Sets the number of declared hosts.
    pub fn set_hosts(&mut self, now: Moment, hosts: usize) {
        self.hosts = hosts;
        for state in self.workspaces.values_mut() {
            state.set_rates(now, hosts);
        }
    }

    /// Admits a request with this number of prompt and expected output tokens, or returns the
    /// reason for refusal. Each admitted request needs one [`Limiter::finish`].
    pub fn admit(
        &mut self,
        now: Moment,
        workspace: &WorkspaceName,
        tokens: u64,
    ) -> Result<(), Refused> {
        let hosts = self.hosts;
        match self.workspaces.get_mut(workspace) {
            Some(state) => state.admit(now, hosts, tokens),
            None => Ok(()),
        }
    }

    /// Records the end of an admitted request and the tokens that it used. `expected` is the number
    /// that was passed to [`Limiter::admit`].
    pub fn finish(&mut self, now: Moment, workspace: &WorkspaceName, expected: u64, used: u64) {
        let hosts = self.hosts;
        let Some(state) = self.workspaces.get_mut(workspace) else {
            return;
        };
        state.expire(now, hosts);
        state.in_flight = state.in_flight.saturating_sub(1);
        state.tokens.correct(now, used as f64 - expected as f64);
    }

    /// Returns the number of a workspace's requests in flight on this host.
    pub fn in_flight(&self, workspace: &WorkspaceName) -> u32 {
        let state = self.workspaces.get(workspace);
        state.map_or(0, |state| state.in_flight)
    }

    /// Returns the demands to send, each with its coordinator. Call it every
    /// [`DEMAND_INTERVAL`](super::DEMAND_INTERVAL) with all live hosts, including this one.
    pub fn build_demands(&mut self, now: Moment, live: &[HostId]) -> Vec<(HostId, Demand)> {
        self.round += 1;
        let can_bind = now >= self.started + BINDING_DURATION;
        let mut demands = Vec::new();
        let limited = self.workspaces.iter_mut();
        let limited = limited.filter(|(_, state)| state.limit != Limit::default());
        for (workspace, state) in limited {
            let Some(coordinator) = coordinator_of(workspace, live) else {
                continue;
            };
            state.expire(now, self.hosts);
            let echo = state.bind(now, coordinator, can_bind);
            state.pending_demands.push_back((self.round, now));
            if state.pending_demands.len() > MAX_PENDING_DEMANDS {
                state.pending_demands.pop_front();
            }
            let offered = state.offered.last_second(now);
            let load = load::Demand {
                workspace: workspace.clone(),
                requests: offered.requests,
                tokens: offered.tokens,
                in_flight: state.in_flight,
            };
            let demand = Demand {
                host: self.host.clone(),
                round: self.round,
                echo,
                load,
                wanted_concurrency: state.in_flight + offered.refused,
            };
            demands.push((coordinator.clone(), demand));
        }
        demands
    }

    /// Applies a coordinator's grant, unless it belongs to an earlier binding or an old demand.
    pub fn apply_grant(&mut self, now: Moment, grant: &Grant) {
        let hosts = self.hosts;
        let Some(state) = self.workspaces.get_mut(&grant.workspace) else {
            return;
        };
        let sent = state
            .pending_demands
            .iter()
            .find(|(round, _)| *round == grant.round);
        let Some(&(_, sent)) = sent else {
            return;
        };
        state
            .pending_demands
            .retain(|(round, _)| *round > grant.round);
        state.timestamp = Some((grant.coordinator.clone(), grant.timestamp));
        let is_bound = state.binding.as_ref().is_some_and(|binding| {
            binding.coordinator == grant.coordinator && binding.boot == grant.timestamp.boot
        });
        if is_bound {
            state.expire(now, hosts);
            state.granted = grant.share;
            state.granted_until = sent + grant.lease;
            state.expire(now, hosts);
            state.set_rates(now, hosts);
        }
    }
}

impl Workspace {
    fn new(now: Moment, limit: Limit) -> Self {
        Self {
            limit,
            requests: Bucket::new(now, 0.0),
            tokens: Bucket::new(now, 0.0),
            in_flight: 0,
            granted: Share::default(),
            granted_until: Moment::ZERO,
            offered: Counter::default(),
            binding: None,
            timestamp: None,
            pending_demands: VecDeque::new(),
        }
    }

    fn set_rates(&mut self, now: Moment, hosts: usize) {
        let floor = self.limit.floor(hosts);
        let requests = floor.requests + self.granted.requests;
        let tokens = floor.tokens + self.granted.tokens;
        self.requests.set_rate(now, requests);
        self.tokens.set_rate(now, tokens);
    }

    /// Falls back to the floor when the lease has expired.
    fn expire(&mut self, now: Moment, hosts: usize) {
        if now < self.granted_until || self.granted == Share::default() {
            return;
        }
        // The buckets refill at the granted rate only until the end of the lease.
        let end = self.granted_until;
        self.granted = Share::default();
        self.set_rates(end, hosts);
    }

    fn admit(&mut self, now: Moment, hosts: usize, tokens: u64) -> Result<(), Refused> {
        self.expire(now, hosts);
        self.offered.record(now, tokens);
        let max_in_flight = self.limit.floor(hosts).concurrency + self.granted.concurrency;
        if self.limit.concurrency.is_some() && self.in_flight >= max_in_flight {
            self.offered.current.refused += 1;
            return Err(Refused {
                reason: Refusal::ConcurrencyLimited,
                retry_after: CONCURRENCY_RETRY_AFTER,
            });
        }
        let rate_limited = |retry_after| Refused {
            reason: Refusal::RateLimited,
            retry_after,
        };
        let is_token_limited = self.limit.tokens_per_second.is_some();
        if is_token_limited {
            self.tokens
                .check(now, tokens as f64)
                .map_err(rate_limited)?;
        }
        if self.limit.requests_per_second.is_some() {
            self.requests.take(now, 1.0).map_err(rate_limited)?;
        }
        if is_token_limited {
            self.tokens.take(now, tokens as f64).map_err(rate_limited)?;
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Binds the host to a coordinator if possible, and returns the timestamp to echo.
    fn bind(&mut self, now: Moment, coordinator: &HostId, can_bind: bool) -> Option<Timestamp> {
        let (from, timestamp) = self.timestamp.as_ref()?;
        let (from, timestamp) = (from.clone(), *timestamp);
        let is_different =
            |binding: &Binding| binding.coordinator != from || binding.boot != timestamp.boot;
        let is_bound_elsewhere = self
            .binding
            .as_ref()
            .is_some_and(|binding| now < binding.until && is_different(binding));
        if from != *coordinator || is_bound_elsewhere || !can_bind {
            return None;
        }
        self.binding = Some(Binding {
            coordinator: from,
            boot: timestamp.boot,
            until: now + BINDING_DURATION,
        });
        Some(timestamp)
    }
}

impl Counter {
    fn record(&mut self, now: Moment, tokens: u64) {
        self.advance(now);
        self.current.requests += 1;
        self.current.tokens += tokens;
    }

    fn last_second(&mut self, now: Moment) -> OfferedLoad {
        self.advance(now);
        self.last
    }

    fn advance(&mut self, now: Moment) {
        let elapsed = now - self.since;
        if elapsed < COUNT_INTERVAL {
            return;
        }
        let current = std::mem::take(&mut self.current);
        self.last = if elapsed < 2 * COUNT_INTERVAL {
            current
        } else {
            OfferedLoad::default()
        };
        self.since = now;
    }
}
