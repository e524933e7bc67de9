//! Requests to control hosts: hellos, listings of hosts, and all endpoints for a host that has just
//! started. [`Schedule`] decides what is sent when.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kumquatdrum_peer::{Channel, Pace};
use kumquatdrum_registry::Update;
use kumquatdrum_types::{Checkpoint, HostId};
use slog::info;
use tokio::task::JoinSet;
use tokio::time::{interval, sleep_until};

use super::Gateway;
use crate::contact::{
    self, ContactRequest, EndpointsReply, Lists, RESPONSE_TIMEOUT, Reply, Schedule,
};
use crate::message::{EndpointSelection, Hello, Request, Response, Selection};

/// The interval at which silent hosts and old entries are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(500);
/// The interval at which a control host marks silent hosts as lost, as others wait for its word.
const CONTROL_EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// The approximate size of an endpoint in a response.
const ESTIMATED_UPDATE_BYTES: usize = 120;

/// The result of a request to a control host.
enum Outcome {
    Hello(contact::Hello, Reply),
    Endpoints(HostId, EndpointsReply),
}

impl Outcome {
    /// Returns the outcome of a request whose task has panicked.
    fn missing(request: ContactRequest) -> Self {
        match request {
            ContactRequest::Hello(hello) => Self::Hello(hello, Reply::Missing),
            ContactRequest::Endpoints { from } => Self::Endpoints(from, EndpointsReply::Missing),
        }
    }
}

/// What a hello contained that its answer is applied by.
struct Sent {
    /// The checkpoint of the evidence.
    evidence: Checkpoint,
    /// When it was sent, in milliseconds of a clock that counts suspensions.
    at_ms: u64,
    endpoints: EndpointSelection,
}

/// The answer to a hello.
enum Answer {
    Welcome {
        has_setup: bool,
        /// Whether it contained no endpoints.
        is_empty: bool,
        /// Whether all endpoints are to be requested again.
        lacks_endpoints: bool,
    },
    Refused,
    Missing,
}

impl From<Answer> for Reply {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Welcome {
                has_setup,
                lacks_endpoints,
                ..
            } => Self::Welcome {
                has_setup,
                lacks_endpoints,
            },
            Answer::Refused | Answer::Missing => Self::Missing,
        }
    }
}

impl Gateway {
    /// Sends hellos to control hosts, and requests what a host that starts needs.
    pub(super) async fn contact_control_hosts(self: Arc<Self>) {
        let local = self.hosts.local();
        let mut schedule = Schedule::new(self.clock.now(), local.id, local.is_control);
        let mut requests = JoinSet::new();
        let mut in_flight = HashMap::new();
        let mut contacts = Vec::new();
        let mut expiry = interval(EXPIRY_INTERVAL);
        let mut control_expiry = interval(CONTROL_EXPIRY_INTERVAL);
        loop {
            let targets = self.hosts.contact_targets();
            let pace = match () {
                () if schedule.is_searching() => Pace::Quick,
                () if local.is_control || schedule.is_isolated() => Pace::Slowing,
                () => Pace::Single,
            };
            for target in &targets {
                self.client.set_pace(&target.host, pace);
            }
            schedule.set_targets(targets);
            let now = self.clock.now();
            for order in schedule.poll(now) {
                let task = requests.spawn(self.clone().execute(order.clone()));
                in_flight.insert(task.id(), order);
            }
            self.record_contacts(&mut contacts, schedule.active_contacts());
            let next = schedule.next_due(now).unwrap_or(now + EXPIRY_INTERVAL);
            tokio::select! {
                Some(outcome) = requests.join_next_with_id(), if !requests.is_empty() => {
                    let now = self.clock.now();
                    let (id, outcome) = match outcome {
                        Ok((id, outcome)) => (id, Some(outcome)),
                        Err(error) => {
                            info!(self.logger, "request_ended_early";
                                "event" => "request_ended_early", "reason" => %error);
                            (error.id(), None)
                        }
                    };
                    let request = in_flight.remove(&id);
                    match outcome.or_else(|| request.map(Outcome::missing)) {
                        Some(Outcome::Hello(hello, reply)) => schedule.record_hello(now, &hello, reply),
                        Some(Outcome::Endpoints(from, reply)) => {
                            schedule.record_endpoints(now, &from, reply);
                        }
                        None => {}
                    }
                    self.startup
                        .has_initial_endpoints
                        .store(schedule.has_initial_endpoints(), Ordering::Release);
                    self.update_readiness();
                }
                _ = expiry.tick() => self.expire(),
                _ = control_expiry.tick(), if local.is_control => self.hosts.expire_silent(),
                () = sleep_until(self.clock.instant(next)) => {}
            }
        }
    }

    /// Logs and counts the control hosts that this host sends hellos to, if they have changed.
    fn record_contacts<'a>(
        &self,
        known: &mut Vec<HostId>,
        contacts: impl Iterator<Item = &'a HostId> + Clone,
    ) {
        if contacts.clone().eq(known.iter()) {
            return;
        }
        *known = contacts.cloned().collect();
        let names: Vec<&str> = known.iter().map(HostId::as_str).collect();
        info!(self.logger, "contacts_changed"; "event" => "contacts_changed",
            "contacts" => names.join(","));
        self.metrics.contacts.set(known.len() as i64);
    }

    /// Returns all endpoints for a host that starts, unless too many have been sent lately. Control
    /// hosts are few and inform all others, so they are never refused.
    pub(super) fn all_endpoints(&self, is_control: bool) -> Option<Vec<Update>> {
        let updates = self.endpoints.all_updates();
        if is_control {
            return Some(updates);
        }
        let bytes = updates.len() * ESTIMATED_UPDATE_BYTES;
        let mut allowance = self.startup.allowance.lock();
        allowance
            .try_take(self.clock.now(), bytes)
            .then_some(updates)
    }

    fn expire(&self) {
        self.hosts.expire_silent();
        self.evacuations
            .retain_hosts(|host| self.hosts.is_known(host));
        self.quarantine.expire();
        self.pool.refresh();
        if let Some(broadcaster) = &self.broadcaster {
            broadcaster.refresh();
        }
        self.update_readiness();
    }

    async fn execute(self: Arc<Self>, order: ContactRequest) -> Outcome {
        match order {
            ContactRequest::Hello(hello) => {
                let hosts = match hello.lists {
                    Lists::None => Selection::Nothing,
                    Lists::ControlHosts => Selection::ControlHosts,
                    Lists::Hosts => self.hosts.listing_selection(&hello.to),
                };
                let endpoints = self.endpoints.selection(&hello.to, hello.requests_changes);
                let answer = self
                    .exchange(&hello.to, hosts, endpoints, hello.timeout)
                    .await;
                Outcome::Hello(hello, answer.into())
            }
            ContactRequest::Endpoints { from } => {
                let (hosts, endpoints) = (Selection::Nothing, EndpointSelection::All);
                let answer = self
                    .exchange(&from, hosts, endpoints, RESPONSE_TIMEOUT)
                    .await;
                let reply = match answer {
                    Answer::Welcome { is_empty, .. } => EndpointsReply::Received { is_empty },
                    Answer::Refused => EndpointsReply::Refused,
                    Answer::Missing => EndpointsReply::Missing,
                };
                info!(self.logger, "endpoints_requested"; "event" => "endpoints_requested",
                    "from" => from.as_str(), "reply" => ?reply,
                    "elapsed_ms" => self.uptime().as_millis() as u64);
                Outcome::Endpoints(from, reply)
            }
        }
    }

    /// Sends a hello and applies the response.
    pub(super) async fn exchange_hello(
        self: &Arc<Self>,
        to: &HostId,
        hosts: Selection,
        endpoints: EndpointSelection,
    ) -> Reply {
        let answer = self.exchange(to, hosts, endpoints, RESPONSE_TIMEOUT);
        answer.await.into()
    }

    async fn exchange(
        self: &Arc<Self>,
        to: &HostId,
        hosts: Selection,
        endpoints: EndpointSelection,
        limit: Duration,
    ) -> Answer {
        let (evidence, known_evidence) = self.quarantine.outgoing(to);
        let sent = Sent {
            evidence: evidence.checkpoint,
            at_ms: self.evacuations.suspension().tick(),
            endpoints,
        };
        let request = Request::Hello(Hello {
            host: self.hosts.local(),
            revision: self.active_setup.revision(),
            endpoints,
            hosts,
            evidence,
            known_evidence,
            evacuations: self.evacuations.report_to(self.evacuations.version_of(to)),
        });
        let response = self.send_request(to, Channel::Membership, &request, limit);
        match response.await {
            Some(response) => self.apply_welcome(response, &sent),
            None => Answer::Missing,
        }
    }

    /// Applies the response to a hello.
    fn apply_welcome(self: &Arc<Self>, response: Response, sent: &Sent) -> Answer {
        let Response::Welcome {
            host,
            is_reachable,
            hosts,
            has_majority,
            revision,
            endpoints,
            refreshes,
            endpoints_version,
            evidence,
            evacuations,
        } = response
        else {
            return match response {
                Response::Unavailable => Answer::Refused,
                _ => Answer::Missing,
            };
        };
        let is_empty = endpoints.is_empty();
        let (id, boot) = (host.id.clone(), host.boot);
        self.hosts.record_contact(host);
        self.update_subscription(&id, is_reachable);
        self.hosts.record_majority(&id, has_majority);
        self.observe_evacuations(&id, &evacuations);
        if evacuations.is_current {
            self.evacuations.suspension().record_news(sent.at_ms);
        }
        self.distributor.observe_revision(&id, revision);
        if let Some(listing) = hosts {
            self.hosts.merge_listing(&id, listing);
        }
        self.merge_endpoints(endpoints, id.as_str());
        self.endpoints.record_departures(&id, endpoints_version);
        let lacks_endpoints = match sent.endpoints {
            EndpointSelection::All | EndpointSelection::Since(_) => {
                let is_complete = self.refresh_endpoints(&refreshes, id.as_str());
                let version = endpoints_version.filter(|_| is_complete);
                self.endpoints.record_version(&id, version);
                version.is_none()
            }
            EndpointSelection::Departures(_) => false,
        };
        self.quarantine
            .record_exchange(&id, boot, sent.evidence, evidence);
        Answer::Welcome {
            has_setup: revision > 0,
            is_empty,
            lacks_endpoints,
        }
    }

    /// Trusts the setup once this host has the newest known one and all endpoints of a control host,
    /// while in contact with a majority of the control hosts.
    pub(super) fn update_readiness(&self) {
        let has_endpoints = self.startup.has_initial_endpoints.load(Ordering::Acquire)
            || self.hosts.control_hosts().is_empty();
        if has_endpoints && self.hosts.has_control_majority() && !self.distributor.is_behind() {
            self.startup
                .has_confirmed_setup
                .store(true, Ordering::Release);
        }
    }
}
