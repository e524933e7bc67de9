//! Limits that endpoints name on the requests from all hosts together.
//!
//! Every host keeps a token bucket for each limited endpoint and takes a token for each request
//! that any host sends, as hosts tell each other what they send. Requests that hosts send at the
//! same moment, before they have heard of each other's, overdraw the bucket by at most one for each
//! other host. The debt delays later requests, so such requests don't add up. To bound the debt with
//! hundreds of hosts, only a few of them share an endpoint while it is limited.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{Moment, hash};

use crate::{EndpointKey, Rate};

/// The size of a bucket in seconds of its rate, besides one request.
const BURST_SECONDS: f64 = 0.25;
/// The number of hosts that share a limited endpoint: this many for each request per second, and a
/// minimum.
///
/// In 4 s, hosts send at most 4 s of the rate, the bucket, and one request for each other sharer:
/// `4 rate + (1 + 0.25 rate) + (5 + 1.75 rate - 1) = 6 rate + 5`.
const SHARERS_PER_RATE: f64 = 1.75;
const MIN_SHARERS: f64 = 5.0;
/// The longest time for which a bucket is in debt.
const MAX_DEBT_SECONDS: f64 = 4.0;
/// The time over which the requests of other hosts are averaged.
const AVERAGING_SECONDS: f64 = 4.0;
/// The interval at which a limit that does not change is announced to other hosts.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// The time for which a limit holds although a response names none: responses overtake each other.
const MIN_DURATION: Duration = Duration::from_millis(500);
/// The time without news after which all hosts share an endpoint, to learn whether the limit holds:
/// this long, and the time that this many requests take.
const STALE_AFTER: Duration = Duration::from_secs(10);
const STALE_AFTER_REQUESTS: f64 = 2.0;
/// The time without news after which the limit of an endpoint that is not in use is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The limits of one service's endpoints.
#[derive(Debug, Default)]
pub struct Limits {
    buckets: IndexMap<EndpointKey, Bucket>,
    local: u32,
    /// The hosts that accept callers, including this one; empty if not known.
    hosts: Vec<u32>,
}

#[derive(Debug)]
struct Bucket {
    rate: Rate,
    /// The requests that may be sent; negative after too many.
    tokens: f64,
    refilled_at: Moment,
    /// The average requests per second of other hosts.
    remote_rate: f64,
    named_at: Moment,
    announced_at: Moment,
    sharers: usize,
    is_sharer: bool,
}

/// The limits in force on some endpoints, for logs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Summary {
    /// The number of limited endpoints.
    pub endpoints: usize,
    /// The requests per second that all of them take.
    pub per_second: f64,
    /// The part of it that other hosts leave to this one.
    pub local_per_second: f64,
    /// The time since the oldest of the limits was named.
    pub age: Duration,
    /// The most hosts that share one of the endpoints.
    pub sharers: usize,
}

impl Limits {
    /// Sets the hosts that accept callers, among them this one, by their numbers.
    pub fn set_hosts(&mut self, local: u32, hosts: impl IntoIterator<Item = u32>) {
        self.local = local;
        self.hosts = hosts.into_iter().collect();
        for (key, bucket) in &mut self.buckets {
            bucket.share(*key, local, &self.hosts);
        }
    }

    /// Returns whether no endpoint has a limit.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Records that an endpoint names a limit. Returns whether other hosts need to know.
    ///
    /// ```
    /// use kumquatdrum_placement::{EndpointKey, Limits, Rate};
    /// # use kumquatdrum_types::Moment;
    /// # use std::time::Duration;
    ///
    /// let (key, now) = (EndpointKey(1), Moment::from_millis(1_000));
    /// let mut limits = Limits::default();
    /// assert!(limits.name(now, key, Rate::new(2.0).expect("a rate")));
    /// assert!(limits.is_exhausted(now, key));
    /// assert!(!limits.is_exhausted(now + Duration::from_millis(500), key));
    /// ```
    pub fn name(&mut self, now: Moment, key: EndpointKey, rate: Rate) -> bool {
        let Self {
            buckets,
            local,
            hosts,
        } = self;
        let bucket = buckets.entry(key).or_insert_with(|| Bucket::new(now, rate));
        let is_news = bucket.rate != rate
            || bucket.announced_at == Moment::ZERO
            || now - bucket.announced_at >= ANNOUNCEMENT_INTERVAL;
        bucket.refill(now);
        bucket.rate = rate;
        bucket.named_at = now;
        bucket.share(key, *local, hosts);
        if is_news {
            bucket.announced_at = now;
        }
        is_news
    }

    /// Records that a response of an endpoint names no limit. Returns whether this ends a limit.
    pub fn end(&mut self, now: Moment, key: EndpointKey) -> bool {
        let named_at = self.buckets.get(&key).map(|bucket| bucket.named_at);
        let is_ended = named_at.is_some_and(|named_at| now - named_at >= MIN_DURATION);
        if is_ended {
            self.buckets.swap_remove(&key);
        }
        is_ended
    }

    /// Records a request that a host, given by its number, sends to an endpoint.
    pub fn record(&mut self, now: Moment, key: EndpointKey, host: u32) {
        let is_remote = host != self.local;
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.take(now, is_remote);
        }
    }

    /// Records a request that this host sends to an endpoint.
    pub fn record_local(&mut self, now: Moment, key: EndpointKey) {
        self.record(now, key, self.local);
    }

    /// Returns whether an endpoint has a limit.
    pub fn contains(&self, key: EndpointKey) -> bool {
        self.buckets.contains_key(&key)
    }

    /// Returns whether this host may not send a request to an endpoint now.
    pub fn is_exhausted(&self, now: Moment, key: EndpointKey) -> bool {
        let bucket = self.buckets.get(&key);
        bucket.is_some_and(|bucket| !bucket.is_shared(now) || bucket.tokens_at(now) < 1.0)
    }

    /// Forgets limits of endpoints that have not been in use for long.
    pub fn retain(&mut self, now: Moment, is_in_use: impl Fn(EndpointKey) -> bool) {
        let is_recent = |bucket: &Bucket| now - bucket.named_at <= FORGET_AFTER;
        self.buckets
            .retain(|key, bucket| is_in_use(*key) || is_recent(bucket));
    }

    /// Summarises the limits of the endpoints that are in use.
    pub fn summarise(&self, now: Moment, is_in_use: impl Fn(EndpointKey) -> bool) -> Summary {
        let mut summary = Summary::default();
        for (_, bucket) in self.buckets.iter().filter(|(key, _)| is_in_use(**key)) {
            let rate = bucket.rate.per_second();
            let sharers = bucket.sharers.max(1);
            summary.endpoints += 1;
            summary.per_second += rate;
            if bucket.is_shared(now) {
                let unused = rate - bucket.remote_rate_at(now);
                summary.local_per_second += unused.max(rate / sharers as f64);
            }
            summary.age = summary.age.max(now - bucket.named_at);
            summary.sharers = summary.sharers.max(sharers);
        }
        summary
    }
}

impl Bucket {
    fn new(now: Moment, rate: Rate) -> Self {
        Self {
            rate,
            tokens: 0.0,
            refilled_at: now,
            remote_rate: 0.0,
            named_at: now,
            announced_at: Moment::ZERO,
            sharers: 1,
            is_sharer: true,
        }
    }

    fn tokens_at(&self, now: Moment) -> f64 {
        let rate = self.rate.per_second();
        let refilled = self.tokens + rate * (now - self.refilled_at).as_secs_f64();
        refilled.min(1.0 + BURST_SECONDS * rate)
    }

    fn remote_rate_at(&self, now: Moment) -> f64 {
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.remote_rate * (-elapsed / AVERAGING_SECONDS).exp()
    }

    fn refill(&mut self, now: Moment) {
        self.tokens = self.tokens_at(now);
        self.remote_rate = self.remote_rate_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn take(&mut self, now: Moment, is_remote: bool) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(self.max_debt());
        if is_remote {
            self.remote_rate += 1.0 / AVERAGING_SECONDS;
        }
    }

    fn max_debt(&self) -> f64 {
        -(MIN_SHARERS + MAX_DEBT_SECONDS * self.rate.per_second())
    }

    fn is_shared(&self, now: Moment) -> bool {
        let requests = Duration::from_secs_f64(STALE_AFTER_REQUESTS / self.rate.per_second());
        self.is_sharer || now - self.named_at > STALE_AFTER + requests
    }

    /// Decides which hosts share the endpoint: those with the highest hash of host and endpoint.
    fn share(&mut self, key: EndpointKey, local: u32, hosts: &[u32]) {
        let most = (MIN_SHARERS + SHARERS_PER_RATE * self.rate.per_second()) as usize;
        let rank = |host: u32| hash::mix(key.0 ^ hash::mix(u64::from(host)));
        let ahead = hosts.iter().filter(|host| rank(**host) > rank(local));
        self.is_sharer = ahead.count() < most;
        self.sharers = hosts.len().clamp(1, most);
    }
}
