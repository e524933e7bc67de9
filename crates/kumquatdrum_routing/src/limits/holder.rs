//! The side that admits requests within its floor and its grants.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{BootId, HostId, Moment, Refusal, WorkspaceName, load};

use super::{BINDING, Bucket, Demand, Grant, Limit, Share, Stamp, steward_of};

/// Demands whose answer is still awaited.
const ROUNDS: usize = 8;
/// When to come back where the concurrency is used up.
const CONCURRENCY_RETRY: Duration = Duration::from_millis(500);
/// The time over which the offered load is counted.
const COUNTED: Duration = Duration::from_secs(1);

/// Why a request was not admitted, and when to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Rate or concurrency.
    pub reason: Refusal,
    /// When to come back.
    pub retry_after: Duration,
}

/// The one steward to which the host is bound.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Binding {
    steward: HostId,
    boot: BootId,
    until: Moment,
}

/// Offered load, counted by full seconds.
#[derive(Debug, Default)]
struct Offered {
    since: Moment,
    current: (u64, u64, u32),
    last: (u64, u64, u32),
}

#[derive(Debug)]
struct Workspace {
    limit: Limit,
    requests: Bucket,
    tokens: Bucket,
    in_flight: u32,
    granted: Share,
    granted_until: Moment,
    offered: Offered,
    bound: Option<Binding>,
    stamp: Option<(HostId, Stamp)>,
    sent: VecDeque<(u64, Moment)>,
}

/// Admits the requests of one host.
///
/// ```
/// use kumquatdrum_routing::limits::{Limiter, Limit};
/// use kumquatdrum_types::Moment;
/// let mut holder = Limiter::new("a".into(), 1, Moment::ZERO);
/// let limit = Limit { concurrency: Some(10), ..Limit::default() };
/// holder.set_limit(Moment::ZERO, "salon".into(), limit);
/// // Three of ten is the floor of the only host, before anything is granted.
/// assert!((0..3).all(|_| holder.admit(Moment::ZERO, &"salon".into(), 1_000).is_ok()));
/// assert!(holder.admit(Moment::ZERO, &"salon".into(), 1_000).is_err());
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
    /// The holder of a host among `hosts` declared ones that starts its life now.
    pub fn new(host: HostId, hosts: usize, now: Moment) -> Self {
        Self {
            host,
            hosts,
            started: now,
            round: 0,
            workspaces: IndexMap::new(),
        }
    }

    /// Sets the limits of a workspace, as declared.
    pub fn set_limit(&mut self, now: Moment, workspace: WorkspaceName, limit: Limit) {
        let entry = self
            .workspaces
            .entry(workspace)
            .or_insert_with(|| Workspace::new(now, limit));
        entry.limit = limit;
        entry.set_rates(now, self.hosts);
    }

    /// Drops the limits of a workspace that is declared no more.
    pub fn remove_limit(&mut self, workspace: &WorkspaceName) {
        self.workspaces.swap_remove(workspace);
    }

    /// Sets the number of declared hosts.
    pub fn set_hosts(&mut self, now: Moment, hosts: usize) {
        self.hosts = hosts;
        for entry in self.workspaces.values_mut() {
            entry.set_rates(now, hosts);
        }
    }

    /// Admits a request of so many prompt and expected answer tokens, or says why not.
    /// Each admitted request needs one [`Holder::finished`].
    pub fn admit(
        &mut self,
        now: Moment,
        workspace: &WorkspaceName,
        tokens: u64,
    ) -> Result<(), Refused> {
        let hosts = self.hosts;
        match self.workspaces.get_mut(workspace) {
            Some(entry) => entry.admit(now, hosts, tokens),
            None => Ok(()),
        }
    }

    /// Notes the end of an admitted request, with the tokens that it really took.
    pub fn finish(&mut self, now: Moment, workspace: &WorkspaceName, expected: u64, used: u64) {
        let hosts = self.hosts;
        let Some(entry) = self.workspaces.get_mut(workspace) else {
            return;
        };
        entry.expire(now, hosts);
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.tokens.correct(now, used as f64 - expected as f64);
    }

    /// Requests of a workspace in flight here.
    pub fn in_flight(&self, workspace: &WorkspaceName) -> u32 {
        let entry = self.workspaces.get(workspace);
        entry.map_or(0, |entry| entry.in_flight)
    }

    /// What to send to which steward, each [`DEMAND_INTERVAL`](super::DEMAND_INTERVAL). `live` are the hosts
    /// known to be alive, this one included.
    pub fn build_demands(&mut self, now: Moment, live: &[HostId]) -> Vec<(HostId, Demand)> {
        self.round += 1;
        let may_bind = now >= self.started + BINDING;
        let mut demands = Vec::new();
        let limited = self.workspaces.iter_mut();
        let limited = limited.filter(|(_, entry)| entry.limit != Limit::default());
        for (workspace, entry) in limited {
            let Some(steward) = steward_of(workspace, live) else {
                continue;
            };
            entry.expire(now, self.hosts);
            let echo = entry.bind(now, steward, may_bind);
            entry.sent.push_back((self.round, now));
            if entry.sent.len() > ROUNDS {
                entry.sent.pop_front();
            }
            let (requests, tokens, refused) = entry.offered.last_full(now);
            let load = load::Demand {
                workspace: workspace.clone(),
                requests,
                tokens,
                in_flight: entry.in_flight,
            };
            let demand = Demand {
                host: self.host.clone(),
                round: self.round,
                echo,
                load,
                wanted_concurrency: entry.in_flight + refused,
            };
            demands.push((steward.clone(), demand));
        }
        demands
    }

    /// Takes in a steward's answer. One of a former binding or of an old round is ignored.
    pub fn apply_grant(&mut self, now: Moment, grant: &Grant) {
        let hosts = self.hosts;
        let Some(entry) = self.workspaces.get_mut(&grant.workspace) else {
            return;
        };
        let sent = entry.sent.iter().find(|(round, _)| *round == grant.round);
        let Some(&(_, sent)) = sent else {
            return;
        };
        entry.sent.retain(|(round, _)| *round > grant.round);
        entry.stamp = Some((grant.steward.clone(), grant.stamp));
        let is_bound = entry
            .bound
            .as_ref()
            .is_some_and(|bound| bound.steward == grant.steward && bound.boot == grant.stamp.boot);
        if is_bound {
            entry.expire(now, hosts);
            entry.granted = grant.share;
            entry.granted_until = sent + grant.lease;
            entry.expire(now, hosts);
            entry.set_rates(now, hosts);
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
            offered: Offered::default(),
            bound: None,
            stamp: None,
            sent: VecDeque::new(),
        }
    }

    fn set_rates(&mut self, now: Moment, hosts: usize) {
        let floor = self.limit.floor(hosts);
        let requests = floor.requests + self.granted.requests;
        let tokens = floor.tokens + self.granted.tokens;
        self.requests.set_rate(now, requests);
        self.tokens.set_rate(now, tokens);
    }

    /// Falls back to the floor where the lease has run out.
    fn expire(&mut self, now: Moment, hosts: usize) {
        if now < self.granted_until || self.granted == Share::default() {
            return;
        }
        // What the bucket gained after the end of the lease was not granted.
        let end = self.granted_until;
        self.granted = Share::default();
        self.set_rates(end, hosts);
    }

    fn admit(&mut self, now: Moment, hosts: usize, tokens: u64) -> Result<(), Refused> {
        self.expire(now, hosts);
        self.offered.note(now, tokens);
        let most = self.limit.floor(hosts).concurrency + self.granted.concurrency;
        if self.limit.concurrency.is_some() && self.in_flight >= most {
            self.offered.current.2 += 1;
            return Err(Refused {
                reason: Refusal::ConcurrencyLimited,
                retry_after: CONCURRENCY_RETRY,
            });
        }
        let limited = |retry_after| Refused {
            reason: Refusal::RateLimited,
            retry_after,
        };
        let is_token_limited = self.limit.tokens_per_second.is_some();
        if is_token_limited {
            self.tokens.check(now, tokens as f64).map_err(limited)?;
        }
        if self.limit.requests_per_second.is_some() {
            self.requests.take(now, 1.0).map_err(limited)?;
        }
        if is_token_limited {
            self.tokens.take(now, tokens as f64).map_err(limited)?;
        }
        self.in_flight += 1;
        Ok(())
    }

    /// The stamp to echo to a steward, where the host may bind itself to it.
    fn bind(&mut self, now: Moment, steward: &HostId, may_bind: bool) -> Option<Stamp> {
        let (from, stamp) = self.stamp.as_ref()?;
        let (from, stamp) = (from.clone(), *stamp);
        let is_other = |bound: &Binding| bound.steward != from || bound.boot != stamp.boot;
        let is_taken = self
            .bound
            .as_ref()
            .is_some_and(|bound| now < bound.until && is_other(bound));
        if from != *steward || is_taken || !may_bind {
            return None;
        }
        self.bound = Some(Binding {
            steward: from,
            boot: stamp.boot,
            until: now + BINDING,
        });
        Some(stamp)
    }
}

impl Offered {
    fn note(&mut self, now: Moment, tokens: u64) {
        self.roll(now);
        self.current.0 += 1;
        self.current.1 += tokens;
    }

    fn last_full(&mut self, now: Moment) -> (u64, u64, u32) {
        self.roll(now);
        self.last
    }

    fn roll(&mut self, now: Moment) {
        let past = now - self.since;
        if past < COUNTED {
            return;
        }
        let current = std::mem::take(&mut self.current);
        self.last = if past < 2 * COUNTED {
            current
        } else {
            (0, 0, 0)
        };
        self.since = now;
    }
}
