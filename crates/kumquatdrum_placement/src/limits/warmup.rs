//! Limits of cold endpoints, which hold without messages between hosts.
//!
//! Rendezvous hashing selects the few hosts that may send to a cold endpoint. Each of them leaves
//! a time between its requests that keeps all of them together within the rate. As no host needs to
//! know what others send, the limit also holds in a network partition. `docs/design/cold.md` derives
//! the bound.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{Moment, hash};

use super::Summary;
use crate::{EndpointKey, Rate};

/// The longest usual time from an announcement until all hosts know it: the round in which a control
/// host publishes it (1 s), and a hello to the control hosts (1 s), for a host that missed it.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);
/// The estimate that follows if an expected announcement is overdue.
const OVERDUE_NEWS: Duration = Duration::from_millis(250);
/// The expected time until a host knows all hosts.
const EXPECTED_SETTLING: Duration = Duration::from_millis(1_500);
/// How long the last request to an endpoint is remembered after the endpoint was cold.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The requests that cold endpoints of a service may get from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allowance {
    rate: Rate,
    max_sharers: usize,
}

impl Allowance {
    /// Returns the allowance of at most `rate * overage + slack` requests in any second. If one host
    /// alone would send more at the rate, none sends any.
    ///
    /// ```
    /// use kumquatdrum_placement::{Allowance, Rate};
    ///
    /// let rate = Rate::new(14.0).expect("a rate");
    /// assert_eq!(Allowance::new(rate, 1.5, 5.0).max_sharers(), 12);
    /// ```
    pub fn new(rate: Rate, overage: f64, slack: f64) -> Self {
        // In a second, each sharer sends one request more than its part of the rate.
        let spare = (overage - 1.0) * rate.per_second() + slack;
        let allowed = rate.per_second() * overage + slack;
        let may_send = 1.0 + rate.per_second().floor() <= allowed;
        Self {
            rate,
            max_sharers: (spare as usize).max(usize::from(may_send)),
        }
    }

    /// Returns the most hosts that may send requests to one cold endpoint.
    pub const fn max_sharers(&self) -> usize {
        self.max_sharers
    }
}

/// The cold endpoints of a service, and when this host may send requests to them.
#[derive(Debug, Default)]
pub struct Warmups {
    allowance: Option<Allowance>,
    local: u32,
    /// The hosts that may send requests to endpoints, including this one. `None` while this host
    /// does not know all of them.
    hosts: Option<Vec<u32>>,
    /// When this host came to know all hosts. It has sent nothing to endpoints that it learned of
    /// later.
    settled_at: Moment,
    endpoints: IndexMap<EndpointKey, Warmup>,
    announcement_interval: Duration,
}

/// An endpoint that is cold, or was recently.
#[derive(Debug)]
struct Warmup {
    /// The end of the cold time. `None` while it depends on the endpoint's next announcement.
    end: Option<Moment>,
    /// When the endpoint turned cold.
    began_at: Moment,
    /// The last request of this host, or an earlier time from which the next one is counted.
    sent_at: Moment,
    /// The part of this host, if it is a sharer.
    share: Option<Share>,
}

#[derive(Debug, Clone, Copy)]
struct Share {
    /// The number of sharers that precede this host.
    ahead: usize,
    sharers: usize,
    /// The least time between two requests of this host.
    interval: Duration,
}

impl Warmups {
    /// Sets the requests that cold endpoints may get; with `None` they are not limited.
    pub fn set_allowance(&mut self, allowance: Option<Allowance>) {
        if self.allowance == allowance {
            return;
        }
        self.allowance = allowance;
        if allowance.is_none() {
            self.endpoints.clear();
        }
        self.share_all();
    }

    /// Sets the interval at which endpoints announce themselves, for estimates of the time until they
    /// do.
    pub const fn set_announcement_interval(&mut self, interval: Duration) {
        self.announcement_interval = interval;
    }

    /// Returns whether cold endpoints are limited.
    pub const fn is_enabled(&self) -> bool {
        self.allowance.is_some()
    }

    /// Sets the hosts that send requests to endpoints, including this one and lost ones that may
    /// return. `None` if this host does not know all of them, which keeps it from sending.
    pub fn set_hosts(&mut self, now: Moment, local: u32, hosts: Option<Vec<u32>>) {
        if self.local == local && self.hosts == hosts {
            return;
        }
        if self.hosts.is_none() && hosts.is_some() {
            self.settled_at = now;
        }
        self.local = local;
        self.hosts = hosts;
        self.share_all();
    }

    /// Records that an endpoint is cold until `end`, or with `None` until further notice. `is_new`
    /// states that this host has not sent any request to the endpoint.
    ///
    /// ```
    /// use kumquatdrum_placement::{Allowance, EndpointKey, Rate, Warmups};
    /// # use kumquatdrum_types::Moment;
    /// # use std::time::Duration;
    ///
    /// let (key, now) = (EndpointKey(1), Moment::from_millis(9_000));
    /// let mut warmups = Warmups::default();
    /// warmups.set_allowance(Rate::new(14.0).map(|rate| Allowance::new(rate, 1.5, 5.0)));
    /// warmups.begin(now, key, Some(now + Duration::from_secs(30)), false);
    /// // Another host may have to send instead.
    /// assert!(warmups.is_exhausted(now + Duration::from_secs(1), key));
    /// warmups.set_hosts(now, 1, Some(vec![1]));
    /// assert!(!warmups.is_exhausted(now + Duration::from_secs(1), key));
    /// ```
    pub fn begin(&mut self, now: Moment, key: EndpointKey, end: Option<Moment>, is_new: bool) {
        let Some(allowance) = self.allowance else {
            return;
        };
        if let Some(warmup) = self.endpoints.get_mut(&key) {
            if !warmup.is_cold(now) {
                warmup.began_at = now;
                warmup.sent_at = now;
            }
            warmup.end = end;
            return;
        }
        let share = self.share(key, allowance);
        let sent_at = match share {
            // The first requests of the sharers follow each other at the rate.
            Some(share) if is_new => {
                let delay = share
                    .interval
                    .mul_f64(share.ahead as f64 / share.sharers as f64);
                (now + delay)
                    .saturating_sub(share.interval)
                    .max(self.settled_at)
            }
            _ => now,
        };
        let warmup = Warmup {
            end,
            began_at: now,
            sent_at,
            share,
        };
        self.endpoints.insert(key, warmup);
    }

    /// Records that an endpoint is not cold.
    pub fn end(&mut self, now: Moment, key: EndpointKey) {
        if let Some(warmup) = self.endpoints.get_mut(&key)
            && warmup.is_cold(now)
        {
            warmup.end = Some(now);
        }
    }

    /// Returns whether an endpoint is cold.
    pub fn is_cold(&self, now: Moment, key: EndpointKey) -> bool {
        self.endpoints
            .get(&key)
            .is_some_and(|warmup| warmup.is_cold(now))
    }

    /// Returns whether an endpoint is cold and this host may not send a request to it now.
    pub fn is_exhausted(&self, now: Moment, key: EndpointKey) -> bool {
        let warmup = self.endpoints.get(&key);
        warmup.is_some_and(|warmup| warmup.is_cold(now) && !warmup.has_token(now))
    }

    /// Returns whether a request to an endpoint might have gone to a cold one otherwise: the endpoint
    /// is not cold, and this host may not send a request to some cold endpoint now.
    pub fn is_moved(&self, now: Moment, key: EndpointKey) -> bool {
        let mut warmups = self.endpoints.values();
        let is_any_exhausted = warmups.any(|warmup| warmup.is_cold(now) && !warmup.has_token(now));
        is_any_exhausted && !self.is_cold(now, key)
    }

    /// Returns the number of cold endpoints.
    pub fn count_cold(&self, now: Moment) -> usize {
        let warmups = self.endpoints.values();
        warmups.filter(|warmup| warmup.is_cold(now)).count()
    }

    /// Records a request that a host, given by its number, sends to an endpoint.
    pub(super) fn record(&mut self, now: Moment, key: EndpointKey, host: u32) {
        if host == self.local {
            self.record_local(now, key);
        }
    }

    /// Records a request that this host sends to an endpoint.
    pub(super) fn record_local(&mut self, now: Moment, key: EndpointKey) {
        if let Some(warmup) = self.endpoints.get_mut(&key) {
            warmup.sent_at = warmup.sent_at.max(now);
        }
    }

    /// Forgets endpoints that are not in use and not cold, or have not been for long.
    pub(super) fn retain(&mut self, now: Moment, is_in_use: impl Fn(EndpointKey) -> bool) {
        self.endpoints.retain(|key, warmup| match warmup.end {
            Some(end) => now - end <= FORGET_AFTER,
            None => is_in_use(*key),
        });
    }

    /// Adds the cold endpoints that are in use to a summary.
    pub(super) fn summarise(
        &self,
        now: Moment,
        is_in_use: impl Fn(EndpointKey) -> bool,
        summary: &mut Summary,
    ) {
        let Some(allowance) = self.allowance else {
            return;
        };
        let expected_news = self.announcement_interval + PROPAGATION_TIME;
        let cold = self.endpoints.iter();
        let cold = cold.filter(|(key, warmup)| warmup.is_cold(now) && is_in_use(**key));
        for (_, warmup) in cold {
            summary.endpoints += 1;
            summary.per_second += allowance.rate.per_second();
            // A host that doesn't know all hosts soon will.
            let settles = self.hosts.is_none().then_some(EXPECTED_SETTLING);
            let held_for = [
                summary.held_for,
                Some(warmup.expected_end(now, expected_news)),
                settles,
            ];
            summary.held_for = held_for.into_iter().flatten().min();
            if let Some(share) = warmup.share {
                let next = (warmup.sent_at + share.interval - now).as_secs_f64();
                let earliest = summary.seconds_to_next;
                summary.seconds_to_next = Some(earliest.map_or(next, |known| known.min(next)));
                summary.local_per_second += 1.0 / share.interval.as_secs_f64();
                summary.sharers = summary.sharers.max(share.sharers);
            }
        }
    }

    fn share_all(&mut self) {
        let Some(allowance) = self.allowance else {
            return;
        };
        let keys: Vec<EndpointKey> = self.endpoints.keys().copied().collect();
        for key in keys {
            let share = self.share(key, allowance);
            if let Some(warmup) = self.endpoints.get_mut(&key) {
                warmup.share = share;
            }
        }
    }

    /// Returns this host's part in the requests to an endpoint, if it is one of the hosts with the
    /// highest hash of host and endpoint.
    fn share(&self, key: EndpointKey, allowance: Allowance) -> Option<Share> {
        let hosts = self.hosts.as_ref()?;
        let rank = |host: u32| hash::mix(key.0 ^ hash::mix(u64::from(host)));
        let local = rank(self.local);
        let ahead = hosts.iter().filter(|host| rank(**host) > local).count();
        let sharers = hosts.len().max(1).min(allowance.max_sharers);
        let seconds = sharers as f64 / allowance.rate.per_second();
        let interval = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        (ahead < sharers).then_some(Share {
            ahead,
            sharers,
            interval,
        })
    }
}

impl Warmup {
    fn is_cold(&self, now: Moment) -> bool {
        self.end.is_none_or(|end| now < end)
    }

    /// Returns the time until the expected end of the cold time, of which there is news within the
    /// given time. Late news may still come in time for a job, so jobs wait on while they have time.
    fn expected_end(&self, now: Moment, expected_news: Duration) -> Duration {
        match self.end {
            Some(end) => end - now,
            None => (self.began_at + expected_news - now).max(OVERDUE_NEWS),
        }
    }

    fn has_token(&self, now: Moment) -> bool {
        self.share
            .is_some_and(|share| now - self.sent_at >= share.interval)
    }
}
