//! The token bucket of one limited endpoint, on one host.

use std::time::Duration;

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
/// The time without news after which all hosts share an endpoint, to learn whether the limit holds:
/// this long, and the time that this many requests take.
const STALE_AFTER: Duration = Duration::from_secs(10);
const STALE_AFTER_REQUESTS: f64 = 2.0;

#[derive(Debug)]
pub(super) struct Bucket {
    pub(super) rate: Rate,
    /// The requests that may be sent; negative after too many.
    tokens: f64,
    refilled_at: Moment,
    /// The average requests per second of other hosts.
    remote_rate: f64,
    pub(super) named_at: Moment,
    pub(super) announced_at: Moment,
    pub(super) sharers: usize,
    is_sharer: bool,
}

impl Bucket {
    pub(super) const fn new(now: Moment, rate: Rate) -> Self {
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

    pub(super) fn tokens_at(&self, now: Moment) -> f64 {
        let rate = self.rate.per_second();
        let refilled = self.tokens + rate * (now - self.refilled_at).as_secs_f64();
        refilled.min(1.0 + BURST_SECONDS * rate)
    }

    fn remote_rate_at(&self, now: Moment) -> f64 {
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.remote_rate * (-elapsed / AVERAGING_SECONDS).exp()
    }

    /// Returns the requests per second that other hosts leave to this one.
    pub(super) fn local_rate_at(&self, now: Moment) -> f64 {
        let rate = self.rate.per_second();
        let unused = rate - self.remote_rate_at(now);
        unused.max(rate / self.sharers as f64)
    }

    /// Returns the seconds until this host may send a request. All hosts' tokens pay a debt off;
    /// the token for the request itself comes at this host's part of the rate.
    pub(super) fn seconds_to_next(&self, now: Moment) -> f64 {
        let tokens = self.tokens_at(now);
        let debt = (-tokens).max(0.0);
        let missing = 1.0 - tokens.clamp(0.0, 1.0);
        debt / self.rate.per_second() + missing / self.local_rate_at(now)
    }

    pub(super) fn refill(&mut self, now: Moment) {
        self.tokens = self.tokens_at(now);
        self.remote_rate = self.remote_rate_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    pub(super) fn take(&mut self, now: Moment, is_remote: bool) {
        self.refill(now);
        self.tokens = (self.tokens - 1.0).max(self.max_debt());
        if is_remote {
            self.remote_rate += 1.0 / AVERAGING_SECONDS;
        }
    }

    fn max_debt(&self) -> f64 {
        -(MIN_SHARERS + MAX_DEBT_SECONDS * self.rate.per_second())
    }

    pub(super) fn is_shared(&self, now: Moment) -> bool {
        let requests = Duration::from_secs_f64(STALE_AFTER_REQUESTS / self.rate.per_second());
        self.is_sharer || now - self.named_at > STALE_AFTER + requests
    }

    /// Decides which hosts share the endpoint: those with the highest hash of host and endpoint.
    pub(super) fn share(&mut self, key: EndpointKey, local: u32, hosts: &[u32]) {
        let most = (MIN_SHARERS + SHARERS_PER_RATE * self.rate.per_second()) as usize;
        let rank = |host: u32| hash::mix(key.0 ^ hash::mix(u64::from(host)));
        let ahead = hosts.iter().filter(|host| rank(**host) > rank(local));
        self.is_sharer = ahead.count() < most;
        self.sharers = hosts.len().clamp(1, most);
    }
}
