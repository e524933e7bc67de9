//! Limits that endpoints name on the requests from all hosts together.
//!
//! Every host keeps a token bucket for each limited endpoint and takes a token for each request
//! that any host sends, as hosts tell each other what they send. Requests that hosts send at the
//! same moment, before they have heard of each other's, overdraw the bucket by at most one for each
//! other host. The debt delays later requests, so such requests don't add up. To bound the debt with
//! hundreds of hosts, only a few of them share an endpoint while it is limited.
//!
//! The limits of cold endpoints, see [`Warmups`], hold at the same time.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::Moment;

use crate::{EndpointKey, Rate};

mod bucket;
mod summary;
mod warmup;

use bucket::Bucket;
pub use summary::{Place, Summary};
pub use warmup::{Allowance, Warmups};

/// The interval at which a limit that does not change is announced to other hosts.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// The time for which a limit holds although a response names none: responses overtake each other.
const MIN_DURATION: Duration = Duration::from_millis(500);
/// The time without news after which the limit of an endpoint that is not in use is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The limits of one service's endpoints.
#[derive(Debug, Default)]
pub struct Limits {
    buckets: IndexMap<EndpointKey, Bucket>,
    local: u32,
    /// The hosts that accept callers, including this one; empty if not known.
    hosts: Vec<u32>,
    warmups: Warmups,
}

impl Limits {
    /// Returns the cold endpoints.
    pub const fn warmups(&self) -> &Warmups {
        &self.warmups
    }

    /// Returns the cold endpoints.
    pub const fn warmups_mut(&mut self) -> &mut Warmups {
        &mut self.warmups
    }

    /// Sets the hosts that accept callers, among them this one, by their numbers.
    pub fn set_hosts(&mut self, local: u32, hosts: impl IntoIterator<Item = u32>) {
        let hosts: Vec<u32> = hosts.into_iter().collect();
        if self.local == local && self.hosts == hosts {
            return;
        }
        self.local = local;
        self.hosts = hosts;
        for (key, bucket) in &mut self.buckets {
            bucket.share(*key, local, &self.hosts);
        }
    }

    /// Returns whether no endpoint names a limit.
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
            ..
        } = self;
        let bucket = buckets.entry(key).or_insert_with(|| Bucket::new(now, rate));
        let is_changed = bucket.rate != rate || bucket.announced_at == Moment::ZERO;
        let is_news = is_changed || now - bucket.announced_at >= ANNOUNCEMENT_INTERVAL;
        bucket.refill(now);
        bucket.named_at = now;
        if is_changed {
            bucket.rate = rate;
            bucket.share(key, *local, hosts);
        }
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
        self.warmups.record(now, key, host);
    }

    /// Records a request that this host sends to an endpoint.
    pub fn record_local(&mut self, now: Moment, key: EndpointKey) {
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.take(now, false);
        }
        self.warmups.record_local(now, key);
    }

    /// Returns whether an endpoint names a limit.
    pub fn contains(&self, key: EndpointKey) -> bool {
        self.buckets.contains_key(&key)
    }

    /// Returns whether this host may not send a request to an endpoint now.
    pub fn is_exhausted(&self, now: Moment, key: EndpointKey) -> bool {
        let bucket = self.buckets.get(&key);
        bucket.is_some_and(|bucket| !bucket.is_shared(now) || bucket.tokens_at(now) < 1.0)
            || self.warmups.is_exhausted(now, key)
    }

    /// Forgets limits of endpoints that have not been in use for long.
    pub fn retain(&mut self, now: Moment, is_in_use: impl Fn(EndpointKey) -> bool) {
        let is_recent = |bucket: &Bucket| now - bucket.named_at <= FORGET_AFTER;
        self.buckets
            .retain(|key, bucket| is_in_use(*key) || is_recent(bucket));
        self.warmups.retain(now, is_in_use);
    }

    /// Summarises the limits of the endpoints that are in use.
    pub fn summarise(&self, now: Moment, is_in_use: impl Fn(EndpointKey) -> bool) -> Summary {
        let mut summary = Summary::default();
        for (_, bucket) in self.buckets.iter().filter(|(key, _)| is_in_use(**key)) {
            summary.endpoints += 1;
            summary.per_second += bucket.rate.per_second();
            if bucket.is_shared(now) {
                let next = bucket.seconds_to_next(now);
                let earliest = summary.seconds_to_next;
                summary.seconds_to_next = Some(earliest.map_or(next, |known| known.min(next)));
                summary.local_per_second += bucket.local_rate_at(now);
            }
            summary.age = summary.age.max(now - bucket.named_at);
            summary.sharers = summary.sharers.max(bucket.sharers);
        }
        self.warmups.summarise(now, is_in_use, &mut summary);
        summary
    }
}
