//! Tells which endpoints are cold, from their announcements, responses and failures.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::{Moment, ServiceName};

use crate::{DataCentreKey, EndpointKey};

/// The time between two signs of this host's activity above which it was suspended. A busy host
/// refreshes its endpoints every 1.3 s at most.
const SUSPENDED_AFTER: Duration = Duration::from_secs(3);
/// The least time by which an announcement must be later than an event to be made after it. It
/// covers the transit of announcements, by which they seem to be later than they are.
const TRANSIT_MARGIN: Duration = Duration::from_millis(100);
/// The time after its start in which a host learns of the endpoints that were there before.
const STARTING_TIME: Duration = Duration::from_secs(10);
/// How long an endpoint that is no longer announced is remembered. An incarnation that returns after
/// a network partition has not started anew.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// The time for which a host knows all hosts before it sends requests to cold endpoints. Other hosts
/// learn of it meanwhile: hellos are sent every second at least, listings requested twice a second.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The time without a majority of the control hosts after which a host sends no requests to cold
/// endpoints. It ends before the majority forgets the host, which takes 20 s.
const MAX_ISOLATION: Duration = Duration::from_secs(15);
/// The time in which a host that was isolated for longer learns of the hosts that it has forgotten,
/// from each control host in turn.
const RESETTLE_TIME: Duration = Duration::from_secs(8);

/// The reason why an endpoint is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its announcement says so.
    Announced,
    /// One of its responses says so.
    Responded,
    /// It has started.
    Started,
    /// It failed and has not announced itself since.
    Failed,
    /// The evacuation of its data centre has ended.
    Returned,
    /// This host was suspended and has not heard from it since, or its last announcement was too old
    /// when this host started.
    Unheard,
    /// It is silent, while at least half of the endpoints of its service are not.
    Silent,
}

/// That an endpoint is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Status {
    /// The reason that holds for the longest time.
    pub reason: Reason,
    /// The end of the cold time. `None` if it ends with an announcement of the endpoint.
    pub end: Option<Moment>,
}

/// What is known of an endpoint at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assessment {
    /// That the endpoint is cold; `None` if it is warm.
    pub status: Option<Status>,
    /// Whether the endpoint has turned cold or warm since the last assessment.
    pub has_turned: bool,
    /// Whether the endpoint has just appeared, so that this host has sent it no requests.
    pub is_new: bool,
}

/// The newest announcement of an endpoint's incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sighting {
    /// The incarnation's key.
    pub key: EndpointKey,
    /// The endpoint's data centre.
    pub data_centre: DataCentreKey,
    /// When the announcement was made.
    pub made_at: Moment,
    /// How long the endpoint was to stay cold then.
    pub warming: Duration,
}

/// The cold endpoints of all services, as known to one host.
#[derive(Debug)]
pub struct Tracker {
    /// The age above which an endpoint's last announcement makes it silent.
    max_silence: Duration,
    /// Announcements made before do not show that an endpoint is warm.
    heard_after: Moment,
    /// The services whose endpoints have been seen.
    services: IndexSet<ServiceName>,
    endpoints: IndexMap<EndpointKey, Endpoint>,
    /// When the evacuations of data centres ended.
    returned: IndexMap<DataCentreKey, Moment>,
    membership: Membership,
    started_at: Moment,
    /// Whether this host has settled once. Endpoints that appeared earlier were there when it started.
    has_settled: bool,
}

#[derive(Debug)]
struct Endpoint {
    sighting: Sighting,
    cold_start: Duration,
    /// Whether at least half of the service's endpoints are not silent. Otherwise the network or the
    /// control hosts are more likely at fault than the endpoints.
    has_heard_most: bool,
    seen_at: Moment,
    /// When the incarnation appeared. `None` if it was there when this host started.
    appeared_at: Option<Moment>,
    failed_at: Option<Moment>,
    /// When a response said that the endpoint is cold, and until when.
    responded: Option<(Moment, Moment)>,
    /// Whether the endpoint was cold when it was last assessed. `None` before.
    was_cold: Option<bool>,
}

/// When this host was last active, shared by the tasks that place requests.
///
/// ```
/// use kumquatdrum_placement::cold::Activity;
/// # use kumquatdrum_types::Moment;
/// # use std::time::Duration;
///
/// let (start, second) = (Moment::from_millis(60_000), Duration::from_secs(1));
/// let activity = Activity::new(start);
/// assert!(activity.record(start + second));
/// // The host was suspended, until it has refreshed what it knows.
/// assert!(!activity.record(start + second * 20));
/// assert!(!activity.record(start + second * 20));
/// activity.resume(start + second * 20);
/// assert!(activity.record(start + second * 21));
/// ```
#[derive(Debug)]
pub struct Activity {
    active_micros: AtomicU64,
}

impl Activity {
    /// Creates the state of a host that starts.
    pub const fn new(now: Moment) -> Self {
        Self {
            active_micros: AtomicU64::new(now.micros),
        }
    }

    /// Records that this host is active, unless it was suspended and has not resumed yet. Returns
    /// whether it was recorded.
    pub fn record(&self, now: Moment) -> bool {
        let is_suspended = self.is_suspended(now);
        if !is_suspended {
            self.resume(now);
        }
        !is_suspended
    }

    /// Returns whether this host was suspended and has not resumed yet.
    pub fn is_suspended(&self, now: Moment) -> bool {
        let micros = self.active_micros.load(Ordering::Acquire);
        now - Moment { micros } > SUSPENDED_AFTER
    }

    /// Records that this host is active with what it has refreshed since it was suspended.
    pub fn resume(&self, now: Moment) {
        self.active_micros.fetch_max(now.micros, Ordering::AcqRel);
    }
}

/// What a host knows of the other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Membership {
    Unknown,
    /// All hosts are known to this one, and it to them from the second time on.
    Known {
        confirmed_at: Moment,
        settled_at: Moment,
    },
    /// This host was isolated for long.
    Isolated,
}

impl Tracker {
    /// Creates the state of a host that starts, whose endpoints are silent if their last announcement
    /// is older than `max_silence`. Until they are, it trusts what control hosts remember: an endpoint
    /// that was restarted meanwhile refuses requests to its earlier incarnation.
    pub fn new(now: Moment, max_silence: Duration) -> Self {
        Self {
            max_silence,
            heard_after: now.saturating_sub(max_silence),
            services: IndexSet::new(),
            endpoints: IndexMap::new(),
            returned: IndexMap::new(),
            membership: Membership::Unknown,
            started_at: now,
            has_settled: false,
        }
    }

    /// Records that this host was suspended, so that what it knows of endpoints is out of date.
    pub fn resume(&mut self, now: Moment) {
        self.heard_after = now;
    }

    /// Returns whether this host may send requests to cold endpoints, as it knows all hosts that do.
    /// `is_complete` states whether it has a listing of all hosts and contact to a majority of the
    /// control hosts.
    ///
    /// ```
    /// use kumquatdrum_placement::cold::Tracker;
    /// # use kumquatdrum_types::Moment;
    /// # use std::time::Duration;
    ///
    /// let second = Duration::from_secs(1);
    /// let start = Moment::from_millis(60_000);
    /// let mut tracker = Tracker::new(start, second * 4);
    /// assert!(!tracker.settle(start, true));
    /// assert!(tracker.settle(start + second * 2, true));
    /// // A short isolation changes nothing.
    /// assert!(tracker.settle(start + second * 10, false));
    /// assert!(!tracker.settle(start + second * 20, false));
    /// ```
    pub fn settle(&mut self, now: Moment, is_complete: bool) -> bool {
        self.membership = match self.membership {
            Membership::Unknown if is_complete => Membership::Known {
                confirmed_at: now,
                settled_at: now + SETTLE_TIME,
            },
            Membership::Known { confirmed_at, .. } if now - confirmed_at > MAX_ISOLATION => {
                Membership::Isolated
            }
            Membership::Known { settled_at, .. } if is_complete => Membership::Known {
                confirmed_at: now,
                settled_at,
            },
            Membership::Isolated if is_complete => Membership::Known {
                confirmed_at: now,
                settled_at: now + RESETTLE_TIME,
            },
            // Until this host has settled, the time starts again when it is not known to others.
            Membership::Known {
                confirmed_at,
                settled_at,
            } if confirmed_at < settled_at => Membership::Known {
                confirmed_at,
                settled_at: settled_at.max(now + SETTLE_TIME),
            },
            membership => membership,
        };
        let is_settled = matches!(self.membership, Membership::Known { confirmed_at, settled_at }
            if confirmed_at >= settled_at);
        self.has_settled |= is_settled;
        is_settled
    }

    /// Records the endpoints of a service that are known now.
    pub fn update(
        &mut self,
        now: Moment,
        service: &ServiceName,
        cold_start: Duration,
        sightings: &[Sighting],
    ) {
        let is_silent = |sighting: &Sighting| now - sighting.made_at > self.max_silence;
        let fresh = sightings.iter().filter(|sighting| !is_silent(sighting));
        let has_heard_most = fresh.count() * 2 >= sightings.len();
        let is_starting = !self.has_settled || now - self.started_at < STARTING_TIME;
        let was_there = self.services.insert(service.clone()) || is_starting;
        for sighting in sightings {
            let endpoint = self.endpoints.entry(sighting.key);
            let endpoint = endpoint.or_insert_with(|| Endpoint {
                sighting: *sighting,
                cold_start,
                has_heard_most,
                seen_at: now,
                appeared_at: (!was_there).then_some(now),
                failed_at: None,
                responded: None,
                was_cold: None,
            });
            endpoint.sighting = *sighting;
            endpoint.cold_start = cold_start;
            endpoint.has_heard_most = has_heard_most;
            endpoint.seen_at = now;
        }
        self.endpoints
            .retain(|_, endpoint| now - endpoint.seen_at <= FORGET_AFTER);
    }

    /// Records that an endpoint could not be connected to, or broke a connection.
    pub fn record_failure(&mut self, now: Moment, key: EndpointKey) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.failed_at = Some(now);
        }
    }

    /// Forgets the failures of endpoints, which the path to them explains.
    pub fn forget_failures(&mut self, keys: impl IntoIterator<Item = EndpointKey>) {
        for key in keys {
            if let Some(endpoint) = self.endpoints.get_mut(&key) {
                endpoint.failed_at = None;
            }
        }
    }

    /// Records that a response of an endpoint says how long it will be cold.
    pub fn record_response(&mut self, now: Moment, key: EndpointKey, left: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(&key) {
            endpoint.responded = Some((now, now + left));
        }
    }

    /// Records that the endpoints of a data centre get requests again after an evacuation.
    pub fn record_return(&mut self, now: Moment, data_centre: DataCentreKey) {
        self.returned.insert(data_centre, now);
    }

    /// Tells whether an endpoint is cold.
    pub fn assess(&mut self, now: Moment, key: EndpointKey) -> Assessment {
        let Some(endpoint) = self.endpoints.get_mut(&key) else {
            return Assessment {
                status: None,
                has_turned: false,
                is_new: false,
            };
        };
        let returned_at = self.returned.get(&endpoint.sighting.data_centre);
        let is_silent = now - endpoint.sighting.made_at > self.max_silence;
        let status = endpoint.status(now, self.heard_after, returned_at.copied(), is_silent);
        let was_cold = endpoint.was_cold.replace(status.is_some());
        Assessment {
            status,
            has_turned: was_cold.unwrap_or(false) != status.is_some(),
            is_new: was_cold.is_none() && endpoint.appeared_at.is_some(),
        }
    }
}

impl Endpoint {
    fn status(
        &self,
        now: Moment,
        heard_after: Moment,
        returned_at: Option<Moment>,
        is_silent: bool,
    ) -> Option<Status> {
        let Sighting {
            made_at, warming, ..
        } = self.sighting;
        let has_spoken_since = |since: Moment| made_at > since + TRANSIT_MARGIN;
        let is_warm_since = |since: Moment| warming.is_zero() && has_spoken_since(since);
        let ends_at = |reason, end: Moment| Status {
            reason,
            end: Some(end),
        };
        let lasts = |reason| Status { reason, end: None };
        let cold_start = self.cold_start;
        let announced = ends_at(Reason::Announced, made_at + warming);
        let started = self.appeared_at;
        let started = started.map(|at| ends_at(Reason::Started, at + cold_start));
        let responded = self.responded.filter(|(at, _)| !is_warm_since(*at));
        let responded = responded.map(|(_, until)| ends_at(Reason::Responded, until));
        let failed = self.failed_at.filter(|at| !has_spoken_since(*at));
        // If no announcements arrive, none can end the cold time.
        let failed = failed.filter(|at| self.has_heard_most || now < *at + cold_start);
        let failed = failed.map(|_| lasts(Reason::Failed));
        let returned = returned_at.filter(|at| !is_warm_since(*at));
        let returned = returned.map(|at| ends_at(Reason::Returned, at + cold_start));
        let is_unheard = made_at < heard_after && now < heard_after + cold_start;
        let unheard = is_unheard.then(|| lasts(Reason::Unheard));
        let silent = is_silent && self.has_heard_most;
        let silent = silent.then(|| lasts(Reason::Silent));
        let reasons = [Some(announced), started, responded, failed];
        let reasons = reasons.into_iter().chain([returned, unheard, silent]);
        let in_force = reasons
            .flatten()
            .filter(|status| status.end.is_none_or(|end| now < end));
        in_force.max_by_key(|status| status.end.unwrap_or(Moment::NEVER))
    }
}
