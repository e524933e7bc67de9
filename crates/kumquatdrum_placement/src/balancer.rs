//! Balances requests over the endpoints of a plain service.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::Moment;

use crate::reachability::{DataCentreKey, Reachability};
use crate::{Durations, EndpointKey, Failure, Health, Job, Limits};

/// How long a reported load is used: roughly the run time of a plain request.
const REPORT_EXPIRY: Duration = Duration::from_millis(250);

/// Chooses endpoints by requests in flight from this host, reported load and health.
#[derive(Debug, Default)]
pub struct Balancer {
    endpoints: IndexMap<EndpointKey, Endpoint>,
    reachability: Reachability,
    limits: Limits,
    rotation: usize,
    whole_answers: Durations,
    streams: Durations,
}

#[derive(Debug)]
struct Endpoint {
    data_centre: DataCentreKey,
    slots: u32,
    in_flight: u32,
    reported_load: u32,
    reported_at: Moment,
    health: Health,
    is_usable: bool,
}

impl Balancer {
    /// Replaces the set of usable endpoints, each with its number of slots.
    pub fn set_endpoints(
        &mut self,
        usable: impl IntoIterator<Item = (EndpointKey, DataCentreKey, u32)>,
    ) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.is_usable = false;
        }
        for (key, data_centre, slots) in usable {
            let endpoint = self.endpoints.entry(key);
            let endpoint = endpoint.or_insert_with(|| Endpoint::new(data_centre));
            endpoint.data_centre = data_centre;
            endpoint.slots = slots.max(1);
            endpoint.is_usable = true;
        }
        self.endpoints
            .retain(|_, endpoint| endpoint.is_usable || endpoint.in_flight > 0);
    }

    /// Returns the limits of the endpoints.
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the limits of the endpoints.
    pub const fn limits_mut(&mut self) -> &mut Limits {
        &mut self.limits
    }

    /// Returns whether an endpoint that is not in `excluded` has reached its limit.
    pub fn has_exhausted(&self, now: Moment, excluded: &[EndpointKey]) -> bool {
        let usable = self.endpoints.iter();
        let mut usable =
            usable.filter(|(key, endpoint)| endpoint.is_usable && !excluded.contains(key));
        usable.any(|(key, _)| self.limits.is_exhausted(now, *key))
    }

    /// Chooses the least loaded endpoint that is not in `excluded` and has not reached its limit,
    /// and counts the request as in flight.
    pub fn choose(&mut self, now: Moment, excluded: &[EndpointKey]) -> Option<EndpointKey> {
        self.rotation = self.rotation.wrapping_add(1);
        let count = self.endpoints.len().max(1);
        let is_usable = |(_, (key, endpoint)): &(usize, (&EndpointKey, &Endpoint))| {
            endpoint.is_usable && !excluded.contains(key) && !self.limits.is_exhausted(now, **key)
        };
        let order = |(index, (_, endpoint)): &(usize, (&EndpointKey, &Endpoint))| {
            let is_unreachable = self.reachability.is_unreachable(now, endpoint.data_centre);
            let is_ejected = is_unreachable || endpoint.health.is_ejected(now);
            let load = (endpoint.load(now) * 1e3) as u64;
            (is_ejected, load, (index + self.rotation) % count)
        };
        let best = self.endpoints.iter().enumerate().filter(is_usable);
        let key = best.min_by_key(order).map(|(_, (key, _))| *key)?;
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.in_flight += 1;
        }
        self.limits.record_local(now, key);
        Some(key)
    }

    /// Records that a request sent to the endpoint has ended.
    pub fn record_end(&mut self, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Records how long a complete answer of any endpoint took. `is_streamed` states whether it was a
    /// stream of events.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// let mut balancer = kumquatdrum_placement::Balancer::default();
    /// balancer.record_duration(false, Duration::from_secs(3));
    /// ```
    pub fn record_duration(&mut self, is_streamed: bool, duration: Duration) {
        if is_streamed {
            self.streams.record(duration);
        } else {
            self.whole_answers.record(duration);
        }
    }

    /// Returns how long the answer to a job takes at most, by the last answers of its kind. Without any,
    /// a whole answer is expected by the time when it is due, and the duration of a stream is unknown.
    ///
    /// ```
    /// use std::time::Duration;
    /// use kumquatdrum_placement::{Balancer, Job, JobId};
    /// use kumquatdrum_types::Moment;
    ///
    /// let job = Job {
    ///     id: JobId { host: 1, number: 1 },
    ///     prompt_tokens: 0,
    ///     answer_tokens: 0,
    ///     max_pause: Duration::MAX,
    ///     arrived: Moment::from_millis(1_000),
    ///     due: Moment::from_millis(1_300),
    ///     deadline: Moment::from_millis(9_000),
    ///     excluded: Vec::new(),
    ///     first: None,
    ///     is_resumed: false,
    /// };
    /// let mut balancer = Balancer::default();
    /// assert_eq!(balancer.longest_duration(&job), Some(Duration::from_millis(300)));
    /// balancer.record_duration(false, Duration::from_secs(3));
    /// assert_eq!(balancer.longest_duration(&job), Some(Duration::from_secs(3)));
    /// ```
    pub fn longest_duration(&self, job: &Job) -> Option<Duration> {
        if job.is_streamed() {
            self.streams.longest()
        } else {
            let longest = self.whole_answers.longest();
            longest.or(Some(job.due - job.arrived))
        }
    }

    /// Records a success of the endpoint and the load it reported, if any.
    pub fn record_success(&mut self, now: Moment, key: EndpointKey, load: Option<u32>) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.health.record_success();
            self.reachability.record_success(endpoint.data_centre);
            if let Some(load) = load {
                endpoint.reported_load = load;
                endpoint.reported_at = now;
            }
        }
    }

    /// Forgets the failures of all endpoints, which the path to them explains.
    pub fn forget_failures(&mut self) {
        self.reachability = Reachability::default();
        for endpoint in self.endpoints.values_mut() {
            endpoint.health = Health::default();
        }
    }

    /// Records a failure; returns whether it ejects the endpoint.
    pub fn record_failure(&mut self, now: Moment, key: EndpointKey, failure: Failure) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return false;
        };
        self.reachability
            .record_failure(now, endpoint.data_centre, failure);
        endpoint.health.record_failure(now, failure)
    }
}

impl Endpoint {
    /// Returns an idle endpoint that is not usable yet.
    fn new(data_centre: DataCentreKey) -> Self {
        Self {
            data_centre,
            slots: 1,
            in_flight: 0,
            reported_load: 0,
            reported_at: Moment::ZERO,
            health: Health::default(),
            is_usable: false,
        }
    }

    /// Returns the requests per slot plus the health penalty.
    fn load(&self, now: Moment) -> f64 {
        let is_fresh = now - self.reported_at <= REPORT_EXPIRY && self.reported_at > Moment::ZERO;
        let reported_load = if is_fresh { self.reported_load } else { 0 };
        let requests = self.in_flight.max(reported_load) + u32::from(self.in_flight > 0);
        f64::from(requests) / f64::from(self.slots) + self.health.penalty_ms(now) / 100.0
    }
}
