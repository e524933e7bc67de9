//! Propagation of endpoint updates: what hosts have to know at once directly to few hosts and through
//! relays to others, other announcements to control hosts alone.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use kumquatdrum_peer::Channel;
use kumquatdrum_registry::{Refresh, Update};
use kumquatdrum_types::{EndpointId, HostId};
use parking_lot::Mutex;
use slog::{info, warn};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::Gateway;
use crate::endpoints::Effect;
use crate::message::{Notice, Request, Response};

/// The timeout for other hosts to confirm that an endpoint is leaving. Endpoints wait a second for
/// the acknowledgement.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);
/// The timeout for hosts in a relay's data centre, and for those asked after the relay failed.
const LOCAL_CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);
/// The interval at which added endpoints are applied to the pool.
const ADDITION_INTERVAL: Duration = Duration::from_millis(20);
/// The interval at which any control host broadcasts added endpoints.
const BROADCAST_INTERVAL: Duration = Duration::from_millis(50);
/// The timeout for a control host to confirm a forwarded leave request, which waits for
/// [`CONFIRM_TIMEOUT`] there.
const FORWARDED_LEAVE_TIMEOUT: Duration = Duration::from_millis(800);
/// The timeout for a control host to confirm a departure.
const DEPARTURE_TIMEOUT: Duration = Duration::from_millis(300);
/// The delay before control hosts are asked again after none has confirmed a departure.
const DEPARTURE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The number of times that all control hosts are asked to broadcast a departure.
const MAX_DEPARTURE_ROUNDS: u32 = 5;
/// The timeout for a relay.
const RELAY_TIMEOUT: Duration = Duration::from_millis(350);

/// Endpoints that were added lately.
#[derive(Debug, Default)]
pub(super) struct Additions {
    /// Notified when endpoints were added that the pool does not have yet.
    endpoints_added: Notify,
    /// The updates to broadcast.
    unsent: Mutex<Vec<Update>>,
    has_unsent: Notify,
}

impl Gateway {
    /// Merges endpoint updates from another host.
    pub(crate) fn merge_endpoints(&self, updates: Vec<Update>, from: &str) {
        match self.endpoints.merge(updates, from) {
            Effect::Nothing => {}
            Effect::Added => self.added.endpoints_added.notify_one(),
            Effect::Changed => self.refresh_pool(),
        }
    }

    /// Applies added endpoints to the pool: the first at once, and those that follow closely together, as
    /// a thousand endpoints that start announce themselves within a second.
    pub(super) async fn apply_added_endpoints(self: Arc<Self>) {
        loop {
            self.added.endpoints_added.notified().await;
            self.refresh_pool();
            sleep(ADDITION_INTERVAL).await;
        }
    }

    /// Broadcasts an endpoint that is new, has ended a silence or was found to be leaving, with others that
    /// follow closely.
    pub(crate) fn broadcast_addition(&self, update: Update) {
        self.added.unsent.lock().push(update);
        self.added.has_unsent.notify_one();
    }

    /// Broadcasts added endpoints at an interval that grows with the control hosts, so that the messages
    /// which a host receives don't. Hosts also receive them with listings.
    pub(super) async fn broadcast_additions(self: Arc<Self>) {
        loop {
            self.added.has_unsent.notified().await;
            let updates = std::mem::take(&mut *self.added.unsent.lock());
            self.broadcast_endpoints(updates);
            let control_hosts = self.hosts.control_hosts().len() + 1;
            sleep(BROADCAST_INTERVAL * control_hosts as u32).await;
        }
    }

    /// Applies announcements of known endpoints that change nothing else. Returns whether all those
    /// endpoints are known.
    pub(super) fn refresh_endpoints(&self, refreshes: &[Refresh], from: &str) -> bool {
        let has_changed = self.endpoints.refresh(refreshes, from);
        if has_changed != Some(false) {
            self.refresh_pool();
        }
        has_changed.is_some()
    }

    /// Publishes announcements to the other control hosts. Other hosts receive them with listings.
    pub(super) fn publish_round(&self, updates: &[Update]) {
        if !updates.is_empty() {
            self.send_endpoints(updates, &self.hosts.control_hosts());
        }
    }

    /// Applies changed endpoints to the pool.
    pub(crate) fn refresh_pool(&self) {
        self.pool.refresh();
    }

    /// Sends endpoint updates to all hosts, best effort; hosts that miss them receive them with listings.
    pub(crate) fn broadcast_endpoints(&self, updates: Vec<Update>) {
        if updates.is_empty() {
            return;
        }
        let recipients = self.hosts.live_recipients();
        self.send_endpoints(&updates, &recipients.direct);
        for relay in recipients.relays {
            let to = &relay.primary;
            let hosts = relay.hosts.iter().filter(|host| *host != to);
            let notice = Notice::RelayEndpoints {
                updates: updates.clone(),
                hosts: hosts.cloned().collect(),
            };
            if let Some(bytes) = notice.encode(&self.logger) {
                self.client.send(to, Channel::Membership, bytes);
            }
        }
    }

    /// Tells control hosts of endpoints whose leaving this host has learned from a response.
    pub(super) async fn announce_departures(
        self: Arc<Self>,
        mut departures: mpsc::UnboundedReceiver<Update>,
    ) {
        while let Some(update) = departures.recv().await {
            self.refresh_pool();
            self.spawn(self.clone().announce_departure(update));
        }
    }

    /// Asks a control host to broadcast a departure, and the next one if it does not confirm this.
    async fn announce_departure(self: Arc<Self>, update: Update) {
        let endpoint = update.announcement.id.clone();
        let request = Request::Departure(update);
        for _ in 0..MAX_DEPARTURE_ROUNDS {
            for host in self.hosts.control_hosts() {
                let channel = Channel::Membership;
                let response = self.send_request(&host, channel, &request, DEPARTURE_TIMEOUT);
                if matches!(response.await, Some(Response::Taken)) {
                    return;
                }
            }
            sleep(DEPARTURE_RETRY_DELAY).await;
        }
        warn!(self.logger, "departure_unconfirmed"; "event" => "departure_unconfirmed",
            "endpoint" => endpoint.as_str());
    }

    /// Broadcasts an endpoint that another host has found to be leaving, unless this host knew.
    pub(crate) fn broadcast_departure(&self, update: Update, from: &str) {
        if self.endpoints.merge(vec![update.clone()], from) == Effect::Changed {
            self.refresh_pool();
            self.broadcast_addition(update);
        }
    }

    /// Sends endpoint updates directly to the given hosts.
    pub(crate) fn send_endpoints(&self, updates: &[Update], hosts: &[HostId]) {
        let notice = Notice::Endpoints(updates.to_vec());
        let Some(bytes) = notice.encode(&self.logger) else {
            return;
        };
        for host in hosts {
            self.client.send(host, Channel::Membership, bytes.clone());
        }
    }

    /// Deregisters an endpoint at its own request, and waits until other hosts confirm this or time out.
    /// Returns whether this host knows the endpoint.
    pub(crate) async fn leave_endpoint(
        self: &Arc<Self>,
        id: &EndpointId,
        incarnation: Option<u64>,
    ) -> bool {
        match self.endpoints.leave(id, incarnation) {
            Some(update) => {
                self.confirm_endpoints(vec![update]).await;
                true
            }
            None => self.endpoints.knows(id),
        }
    }

    /// Forwards a leave request for an endpoint that this host does not know. Returns whether a control
    /// host that knows it has accepted the request, or none knows it.
    pub(crate) async fn forward_leave(
        self: &Arc<Self>,
        id: &EndpointId,
        incarnation: Option<u64>,
    ) -> bool {
        let request = Request::Leave {
            endpoint: id.clone(),
            incarnation,
        };
        let hosts = self.hosts.control_hosts();
        let requests = hosts.iter().map(|host| {
            self.send_request(host, Channel::Membership, &request, FORWARDED_LEAVE_TIMEOUT)
        });
        let responses = join_all(requests).await;
        let is_taken = |response: &Option<Response>| matches!(response, Some(Response::Taken));
        let is_unknown = |response: &Option<Response>| matches!(response, Some(Response::Unknown));
        let is_accepted = responses.iter().any(is_taken) || responses.iter().all(is_unknown);
        info!(self.logger, "leave_forwarded"; "event" => "leave_forwarded",
            "endpoint" => id.as_str(), "accepted" => is_accepted,
            "knew" => responses.iter().filter(|it| is_taken(it)).count(), "of" => hosts.len());
        is_accepted
    }

    /// Sends endpoint updates to all hosts and waits until they confirm them or time out. A leave
    /// request is acknowledged only afterwards: hosts that confirmed it no longer use the endpoint.
    pub(crate) async fn confirm_endpoints(self: &Arc<Self>, updates: Vec<Update>) {
        self.refresh_pool();
        let recipients = self.hosts.live_recipients();
        let mut requests = JoinSet::new();
        let (gateway, direct_updates) = (self.clone(), updates.clone());
        let direct = async move {
            gateway
                .request_all(&direct_updates, recipients.direct, CONFIRM_TIMEOUT)
                .await
        };
        requests.spawn(direct);
        for relay in recipients.relays {
            let (gateway, updates) = (self.clone(), updates.clone());
            requests.spawn(async move {
                let remaining = gateway
                    .request_relay(&updates, relay.primary, relay.hosts)
                    .await;
                gateway
                    .request_all(&updates, remaining, LOCAL_CONFIRM_TIMEOUT)
                    .await
            });
        }
        while let Some(joined) = requests.join_next().await {
            match joined {
                Ok(unconfirmed) => unconfirmed.iter().for_each(|host| {
                    warn!(self.logger, "farewell_unconfirmed"; "event" => "farewell_unconfirmed",
                        "peer" => host.as_str());
                }),
                Err(error) => {
                    warn!(self.logger, "farewell_unconfirmed"; "event" => "farewell_unconfirmed",
                        "reason" => %error);
                }
            }
        }
    }

    /// Sends a control host's endpoint updates to hosts of the local data centre. Returns those
    /// that did not confirm them.
    pub(crate) async fn confirm_local(
        self: &Arc<Self>,
        updates: &[Update],
        hosts: Vec<HostId>,
    ) -> Vec<HostId> {
        self.request_all(updates, hosts, LOCAL_CONFIRM_TIMEOUT)
            .await
    }

    /// Sends endpoint updates through a relay. Returns the hosts to be asked directly.
    async fn request_relay(
        &self,
        updates: &[Update],
        relay: HostId,
        mut hosts: Vec<HostId>,
    ) -> Vec<HostId> {
        hosts.retain(|host| *host != relay);
        let request = Request::RelayEndpoints {
            updates: updates.to_vec(),
            hosts: hosts.clone(),
        };
        let response = self.send_request(&relay, Channel::Membership, &request, RELAY_TIMEOUT);
        match response.await {
            Some(Response::Taken) => Vec::new(),
            Some(Response::Unconfirmed(hosts)) => hosts,
            _ => {
                info!(self.logger, "relay_silent"; "event" => "relay_silent",
                    "peer" => relay.as_str(), "hosts" => hosts.len());
                hosts.push(relay);
                hosts
            }
        }
    }

    /// Sends endpoint updates to the given hosts. Returns those that did not confirm them.
    async fn request_all(
        self: &Arc<Self>,
        updates: &[Update],
        hosts: Vec<HostId>,
        limit: Duration,
    ) -> Vec<HostId> {
        let mut requests = JoinSet::new();
        for host in hosts {
            let gateway = self.clone();
            let request = Request::Endpoints(updates.to_vec());
            requests.spawn(async move {
                let response = gateway.send_request(&host, Channel::Membership, &request, limit);
                let is_taken = matches!(response.await, Some(Response::Taken));
                (!is_taken).then_some(host)
            });
        }
        let unconfirmed = requests.join_all().await;
        unconfirmed.into_iter().flatten().collect()
    }
}
