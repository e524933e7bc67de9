//! The schedule of a host's requests to control hosts: hellos, listings of hosts, and all endpoints.
//!
//! A state machine without clock and network. A host sends hellos to a few control hosts, its contacts,
//! so that what hosts and control hosts spend on hellos doesn't grow with the number of control hosts.
//! Each has a schedule of its own with at most one hello in flight, so that one that doesn't answer
//! delays nothing, and another control host becomes a contact in its place until it answers again.
//! Control hosts send hellos to all control hosts. Hellos to a control host that has not answered request
//! the control hosts alone. All endpoints are requested from one control host at a time that
//! has answered, and not again while its answer is under way: with hundreds of hosts that start at
//! once, answers take seconds, and requests that are repeated earlier overload control hosts.

mod choice;
mod listing;
mod request;

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{HostId, Moment, hash};

pub use self::request::{ContactRequest, EndpointsReply, Hello, Lists, Reply, Target};

/// The time after which contacts without endpoints are asked again if too few have sent any. Endpoints
/// count as silent later than that.
const EMPTY_RETRY_DELAY: Duration = Duration::from_secs(3);
/// The interval between hellos to a control host of the local data centre. A host that was cut off
/// learns of the active setup within this time of its return.
const HELLO_INTERVAL: Duration = Duration::from_millis(500);
/// The interval between hellos to a control host of another data centre, except those of control
/// hosts. Two of these hellos fit into the silence after which a host counts as lost.
const REMOTE_HELLO_INTERVAL: Duration = Duration::from_secs(1);
/// The delay after a hello that was not answered, or by a control host without a setup.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// The number of hellos in a row after [`RETRY_DELAY`] that a control host doesn't answer. Afterwards,
/// the usual interval applies, but not before the first answer of any control host: a host that knows
/// none can serve nothing, however long control hosts take to start.
const MAX_QUICK_RETRIES: u32 = 30;
/// The number of hellos after [`RETRY_DELAY`] to a control host without a setup. It sends its setup to
/// the hosts that it knows once it has one.
const MAX_SETUP_RETRIES: u32 = 3;
/// How long after the first answer the preferred source of all hosts and endpoints is awaited, so that
/// hosts that start at once spread over the control hosts.
const SOURCE_WAIT: Duration = Duration::from_millis(40);
/// The factor by which [`RETRY_DELAY`] grows at most for requests for all endpoints, as control hosts
/// refuse them while too many hosts start.
const MAX_ENDPOINT_RETRY_FACTOR: u32 = 5;
/// The number of contacts that send all endpoints to a host, and then their changes. A second one makes
/// up for a first that lost its disk. A control host requests them from all others.
const ENDPOINT_SOURCES: usize = 2;
/// The time after which a control host that has had all endpoints once looks for no further source. By
/// then endpoints have announced themselves again.
const MAX_ENDPOINT_DURATION: Duration = Duration::from_secs(10);
/// The timeout for the first answer, a listing or all endpoints. It covers the requests of other hosts
/// that start as well. A lost connection is noticed earlier.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout for a hello without lists to a control host that has answered. Hosts count as lost
/// after 2 s without hellos, so a longer wait for a slow answer would make them lost.
const LIGHT_TIMEOUT: Duration = Duration::from_secs(1);

/// Decides which control host is sent what, and when.
///
/// ```
/// use kumquatdrum_gateway::contact::{Schedule, Target};
/// use kumquatdrum_types::{HostId, Moment};
///
/// let now = Moment::from_millis(100);
/// let mut schedule = Schedule::new(now, HostId::new("10.0.0.9"), false);
/// let seed = Target { host: HostId::new("10.0.0.1"), is_remote: false };
/// schedule.set_targets([seed]);
/// assert_eq!(schedule.poll(now).len(), 1);
/// assert!(schedule.poll(now).is_empty(), "one hello is in flight");
/// ```
#[derive(Debug)]
pub struct Schedule {
    local: HostId,
    is_control: bool,
    started: Moment,
    contacts: IndexMap<HostId, Contact>,
    first_answer: Option<Moment>,
    listing: Listing,
    endpoints: Endpoints,
    last_hello: u64,
    /// The places of the contacts in the order of preference.
    order: Vec<usize>,
    /// When the contacts are to be chosen again if nothing is recorded before.
    reconsider_at: Moment,
}

/// The listings of this host. Control hosts request one with each hello instead.
#[derive(Debug, Default)]
struct Listing {
    /// The control host that was last asked, and when.
    asked: Option<(HostId, Moment)>,
    is_in_flight: bool,
    is_received: bool,
    /// Whether the last result was a missing listing.
    is_missing: bool,
}

#[derive(Debug, Default)]
struct Endpoints {
    is_in_flight: bool,
    /// The number of answers with endpoints.
    received: usize,
    /// The control hosts that have sent endpoints.
    sources: Vec<HostId>,
    /// When changes were last requested of each.
    changes_requested: IndexMap<HostId, Moment>,
    /// When changes were last received.
    changes_received: Moment,
    /// The control hosts that knew none.
    empty: Vec<HostId>,
    /// When the first of these answered.
    empty_since: Moment,
    /// The control hosts that have refused or not answered since all were last asked.
    passed: Vec<HostId>,
    /// The number of requests without endpoints since the last answer.
    failed: u32,
    /// The end of the pause after a request without an answer.
    resume_at: Moment,
}

#[derive(Debug)]
struct Contact {
    is_remote: bool,
    /// Whether hellos are sent to it.
    is_active: bool,
    /// When the next hello is due.
    due: Moment,
    /// The hello without a listing in flight, and when it was sent.
    hello: Option<(u64, Moment)>,
    /// The hello with a listing in flight, which no other hello waits for.
    listing: Option<u64>,
    /// Whether the last hello was answered.
    is_answering: bool,
    /// When a hello was last answered.
    answered: Option<Moment>,
    /// The number of hellos without an answer since the last answer.
    missing: u32,
    setup_retries: u32,
    /// When a listing was last requested.
    listed: Moment,
}

impl Contact {
    fn interval(&self, is_control: bool) -> Duration {
        if self.is_remote && !is_control {
            REMOTE_HELLO_INTERVAL
        } else {
            HELLO_INTERVAL
        }
    }
}

impl Schedule {
    /// Creates the schedule of a host that starts now.
    pub fn new(now: Moment, local: HostId, is_control: bool) -> Self {
        Self {
            local,
            is_control,
            started: now,
            contacts: IndexMap::new(),
            first_answer: None,
            listing: Listing::default(),
            endpoints: Endpoints::default(),
            last_hello: 0,
            order: Vec::new(),
            reconsider_at: Moment::ZERO,
        }
    }

    /// Replaces the control hosts. A new contact is sent a hello at once.
    pub fn set_targets(&mut self, targets: impl IntoIterator<Item = Target>) {
        let targets: Vec<Target> = targets.into_iter().collect();
        let known = self.contacts.iter();
        let known = known.map(|(host, contact)| (host, contact.is_remote));
        if known.eq(targets
            .iter()
            .map(|target| (&target.host, target.is_remote)))
        {
            return;
        }
        let mut known = std::mem::take(&mut self.contacts);
        for Target { host, is_remote } in targets {
            let mut contact = known.swap_remove(&host).unwrap_or(Contact {
                is_remote,
                is_active: false,
                due: Moment::ZERO,
                hello: None,
                listing: None,
                is_answering: false,
                answered: None,
                missing: 0,
                setup_retries: 0,
                listed: Moment::ZERO,
            });
            contact.is_remote = is_remote;
            self.contacts.insert(host, contact);
        }
        for (host, _) in known {
            if self.is_listing_awaited_from(&host) {
                self.listing.is_in_flight = false;
            }
        }
        self.order = self.sorted_places();
        self.reconsider_at = Moment::ZERO;
    }

    /// Returns the requests to send now.
    pub fn poll(&mut self, now: Moment) -> Vec<ContactRequest> {
        let mut requests = Vec::new();
        self.choose_contacts(now);
        if let Some(from) = self.endpoint_source(now) {
            self.endpoints.is_in_flight = true;
            requests.push(ContactRequest::Endpoints { from });
        }
        self.expedite_listing(now);
        let due = self.contacts.iter();
        let due = due.filter(|(_, contact)| {
            contact.is_active && contact.hello.is_none() && contact.due <= now
        });
        let due: Vec<HostId> = due.map(|(host, _)| host.clone()).collect();
        for to in due {
            let requests_listing = self.is_listing_due(now, &to);
            if requests_listing {
                self.listing.asked = Some((to.clone(), now));
                self.listing.is_in_flight = true;
            }
            let requests_changes = requests_listing && self.is_change_due(now, &to);
            if requests_changes {
                self.endpoints.changes_requested.insert(to.clone(), now);
            }
            let Some(contact) = self.contacts.get_mut(&to) else {
                continue;
            };
            self.last_hello += 1;
            if requests_listing {
                contact.listed = now;
                contact.listing = Some(self.last_hello);
                contact.due = now + contact.interval(self.is_control);
            } else {
                contact.hello = Some((self.last_hello, now));
                let slow_at = contact.slow_at().unwrap_or(Moment::NEVER);
                self.reconsider_at = self.reconsider_at.min(slow_at);
            }
            let timeout = if contact.answered.is_some() && !requests_listing {
                LIGHT_TIMEOUT
            } else {
                RESPONSE_TIMEOUT
            };
            let lists = match contact.answered {
                _ if requests_listing => Lists::Hosts,
                None => Lists::ControlHosts,
                Some(_) => Lists::None,
            };
            requests.push(ContactRequest::Hello(Hello {
                number: self.last_hello,
                sent: now,
                to,
                lists,
                requests_changes,
                timeout,
            }));
        }
        requests
    }

    /// Returns when to poll next if nothing is recorded before.
    pub fn next_due(&self, now: Moment) -> Option<Moment> {
        let idle = self.contacts.values();
        let idle = idle.filter(|contact| contact.is_active && contact.hello.is_none());
        let due = idle.map(|contact| contact.due);
        let slow_at = self.contacts.values().filter_map(Contact::slow_at);
        let source_wait = self.first_answer.map(|at| at + SOURCE_WAIT);
        let resume_at = (!self.endpoints.is_in_flight).then_some(self.endpoints.resume_at);
        let others = source_wait.into_iter().chain(resume_at);
        let others = others.chain(self.overdue_at()).chain(slow_at);
        due.chain(others.filter(|at| *at > now)).min()
    }

    /// Records the result of a hello.
    pub fn record_hello(&mut self, now: Moment, hello: &Hello, reply: Reply) {
        let Some(contact) = self.contacts.get_mut(&hello.to) else {
            return;
        };
        let requests_listing = hello.lists == Lists::Hosts;
        let is_awaited = if requests_listing {
            let listing = &mut contact.listing;
            listing.take_if(|number| *number == hello.number).is_some()
        } else {
            let sent = &mut contact.hello;
            sent.take_if(|(number, _)| *number == hello.number)
                .is_some()
        };
        if !is_awaited {
            return;
        }
        self.reconsider_at = Moment::ZERO;
        let interval = contact.interval(self.is_control);
        let is_quick = match reply {
            Reply::Missing => {
                contact.missing += 1;
                contact.missing <= MAX_QUICK_RETRIES || self.first_answer.is_none()
            }
            Reply::Welcome { has_setup, .. } => {
                contact.missing = 0;
                contact.setup_retries += u32::from(!has_setup);
                !has_setup && contact.setup_retries <= MAX_SETUP_RETRIES
            }
        };
        let quick = now + RETRY_DELAY;
        contact.due = match (requests_listing, is_quick) {
            (false, false) => quick.max(hello.sent + interval),
            (false, true) => quick,
            (true, false) => contact.due,
            (true, true) => contact.due.min(quick),
        };
        if reply != Reply::Missing {
            contact.is_answering = contact.is_active;
            contact.answered = Some(now);
            self.first_answer.get_or_insert(now);
        } else if contact.answered.is_none_or(|at| at <= hello.sent) {
            contact.is_answering = false;
        }
        if hello.requests_changes && reply != Reply::Missing {
            self.endpoints.changes_received = now;
        }
        if matches!(
            reply,
            Reply::Welcome {
                lacks_endpoints: true,
                ..
            }
        ) {
            self.endpoints.sources.retain(|source| *source != hello.to);
        }
        if requests_listing {
            self.listing.is_received |= reply != Reply::Missing;
            self.listing.is_missing = reply == Reply::Missing;
            if self.is_listing_awaited_from(&hello.to) {
                self.listing.is_in_flight = false;
            }
        }
    }

    /// Records the result of a request for all endpoints.
    pub fn record_endpoints(&mut self, now: Moment, from: &HostId, reply: EndpointsReply) {
        let endpoints = &mut self.endpoints;
        endpoints.is_in_flight = false;
        match reply {
            EndpointsReply::Received { is_empty } => {
                endpoints.failed = 0;
                endpoints.received += usize::from(!is_empty);
                if is_empty && endpoints.empty.is_empty() {
                    endpoints.empty_since = now;
                }
                let answered = if is_empty {
                    &mut endpoints.empty
                } else {
                    &mut endpoints.sources
                };
                answered.push(from.clone());
            }
            EndpointsReply::Refused | EndpointsReply::Missing => {
                endpoints.failed += 1;
                let delay = RETRY_DELAY * endpoints.failed.min(MAX_ENDPOINT_RETRY_FACTOR);
                endpoints.resume_at = now + delay;
                endpoints.passed.push(from.clone());
            }
        }
        self.reconsider_at = Moment::ZERO;
        self.choose_contacts(now);
    }

    /// Returns whether no control host has answered yet.
    pub fn is_searching(&self) -> bool {
        self.first_answer.is_none()
    }

    /// Returns whether no contact answers.
    pub fn is_isolated(&self) -> bool {
        !self.contacts.values().any(|contact| contact.is_answering)
    }

    /// Returns whether a control host has sent endpoints, or all contacts know none.
    pub fn has_initial_endpoints(&self) -> bool {
        let endpoints = &self.endpoints;
        let mut asked = self.contacts.iter();
        let is_empty = |(host, contact): (&HostId, &Contact)| {
            !contact.is_active || contact.missing > 0 || endpoints.empty.contains(host)
        };
        endpoints.received > 0 || (!endpoints.empty.is_empty() && asked.all(is_empty))
    }

    /// Returns whether the listing in flight, if any, is the one requested from a control host.
    fn is_listing_awaited_from(&self, host: &HostId) -> bool {
        let asked = self.listing.asked.as_ref();
        asked.is_some_and(|(asked, _)| asked == host)
    }

    /// Returns the control host to request all endpoints from.
    fn endpoint_source(&mut self, now: Moment) -> Option<HostId> {
        let endpoints = &self.endpoints;
        // Once there were two sources, one is enough to receive changes from.
        let most = match endpoints.received {
            _ if self.is_control => usize::MAX,
            0..ENDPOINT_SOURCES => ENDPOINT_SOURCES,
            _ => 1,
        };
        let sources = endpoints.sources.len();
        let is_old = now - self.started >= MAX_ENDPOINT_DURATION;
        let is_over = self.is_control && sources > 0 && is_old;
        let is_enough = sources >= most && !self.lacks_source(now);
        if endpoints.is_in_flight || is_enough || is_over || now < endpoints.resume_at {
            return None;
        }
        if now - self.endpoints.empty_since >= EMPTY_RETRY_DELAY {
            self.endpoints.empty.clear();
        }
        let endpoints = &self.endpoints;
        let answered = [&endpoints.sources[..], &endpoints.empty].concat();
        let asked = [&answered[..], &endpoints.passed].concat();
        if self
            .contacts
            .iter()
            .any(|(host, contact)| contact.is_answering && !asked.contains(host))
        {
            return self.source(now, &asked);
        }
        // All that answer were asked: those that failed to send them are asked again.
        self.endpoints.passed.clear();
        self.source(now, &answered)
    }

    /// Returns the preferred control host that answers and is not in `asked`: one of the local data
    /// centre if possible. Hosts spread over those that are equally near.
    fn source(&self, now: Moment, asked: &[HostId]) -> Option<HostId> {
        let first_answer = self.first_answer?;
        let rank = |(host, contact): &(&HostId, &Contact)| {
            let weight = hash::pair(self.local.as_str(), host.as_str());
            (contact.is_remote, weight)
        };
        let others = self.contacts.iter();
        let others = others.filter(|(host, contact)| contact.is_active && !asked.contains(host));
        let answering = others.clone().filter(|(_, contact)| contact.is_answering);
        let preferred = others.min_by_key(rank)?;
        let best = answering.min_by_key(rank)?;
        let is_due = best.0 == preferred.0 || now >= first_answer + SOURCE_WAIT;
        is_due.then(|| best.0.clone())
    }
}
