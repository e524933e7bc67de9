//! How what endpoints say reaches all hosts: directly in the own data centre, by a relay in others.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_peer::Channel;
use kumquatdrum_registry::Update;
use kumquatdrum_types::HostId;
use slog::{info, warn};
use tokio::task::JoinSet;

use super::Gateway;
use crate::broadcast::RelayPath;
use crate::message::{Answer, Notice, Question};

/// How long other hosts may take to confirm that they know who leaves. An endpoint waits a
/// second for its acknowledgement.
const CONFIRMED: Duration = Duration::from_millis(600);
/// How long hosts near a relay may take: the rest is for those that have to be asked without it.
const CONFIRMED_NEAR: Duration = Duration::from_millis(250);
/// How long a relay may take.
const RELAYED: Duration = Duration::from_millis(350);

impl Gateway {
    /// Another host tells of endpoints.
    pub(crate) fn take_endpoints(&self, updates: Vec<Update>, from: &str) {
        if self.endpoints.merge(updates, from) {
            self.endpoints_changed();
        }
    }

    /// What is known of endpoints has changed.
    pub(crate) fn endpoints_changed(&self) {
        self.fleet.refresh();
    }

    /// Tells all hosts of endpoints. What is lost comes with a later round.
    pub(crate) fn push_endpoints(&self, updates: Vec<Update>, path: RelayPath) {
        if updates.is_empty() {
            return;
        }
        let audience = self.hosts.live_audience();
        self.relay_endpoints(&updates, &audience.direct);
        for relay in audience.relays {
            let to = match path {
                RelayPath::Primary => &relay.primary,
                RelayPath::Secondary => &relay.secondary,
            };
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

    /// Tells these hosts of endpoints.
    pub(crate) fn relay_endpoints(&self, updates: &[Update], hosts: &[HostId]) {
        let notice = Notice::Endpoints(updates.to_vec());
        let Some(bytes) = notice.encode(&self.logger) else {
            return;
        };
        for host in hosts {
            self.client.send(host, Channel::Membership, bytes.clone());
        }
    }

    /// Has all hosts take what endpoints have said, and confirm that. The acknowledgement of a
    /// farewell is a promise of all hosts, so it waits for them.
    pub(crate) async fn confirm(self: &Arc<Self>, updates: Vec<Update>) {
        self.endpoints_changed();
        let audience = self.hosts.live_audience();
        let mut asked = JoinSet::new();
        let (gateway, near) = (self.clone(), updates.clone());
        let direct = async move { gateway.ask_all(&near, audience.direct, CONFIRMED).await };
        asked.spawn(direct);
        for relay in audience.relays {
            let (gateway, updates) = (self.clone(), updates.clone());
            asked.spawn(async move {
                let left = gateway
                    .ask_relay(&updates, relay.primary, relay.hosts)
                    .await;
                gateway.ask_all(&updates, left, CONFIRMED_NEAR).await
            });
        }
        while let Some(joined) = asked.join_next().await {
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

    /// Has hosts near this one take what a control host says of endpoints; returns those that have
    /// not confirmed that.
    pub(crate) async fn confirm_near(
        self: &Arc<Self>,
        updates: &[Update],
        hosts: Vec<HostId>,
    ) -> Vec<HostId> {
        self.ask_all(updates, hosts, CONFIRMED_NEAR).await
    }

    /// Asks a relay, and returns the hosts that have to be asked without it.
    async fn ask_relay(
        &self,
        updates: &[Update],
        relay: HostId,
        mut hosts: Vec<HostId>,
    ) -> Vec<HostId> {
        hosts.retain(|host| *host != relay);
        let question = Question::RelayEndpoints {
            updates: updates.to_vec(),
            hosts: hosts.clone(),
        };
        let answer = self.ask(&relay, Channel::Membership, &question, RELAYED);
        match answer.await {
            Some(Answer::Taken) => Vec::new(),
            Some(Answer::Unconfirmed(hosts)) => hosts,
            _ => {
                info!(self.logger, "relay_silent"; "event" => "relay_silent",
                    "peer" => relay.as_str(), "hosts" => hosts.len());
                hosts.push(relay);
                hosts
            }
        }
    }

    /// Has these hosts take what endpoints have said; returns those that have not confirmed that.
    async fn ask_all(
        self: &Arc<Self>,
        updates: &[Update],
        hosts: Vec<HostId>,
        limit: Duration,
    ) -> Vec<HostId> {
        let mut asked = JoinSet::new();
        for host in hosts {
            let gateway = self.clone();
            let question = Question::Endpoints(updates.to_vec());
            asked.spawn(async move {
                let answer = gateway.ask(&host, Channel::Membership, &question, limit);
                let is_taken = matches!(answer.await, Some(Answer::Taken));
                (!is_taken).then_some(host)
            });
        }
        let answers = asked.join_all().await;
        answers.into_iter().flatten().collect()
    }
}
