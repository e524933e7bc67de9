//! Subscriptions to the messages of control hosts that can't connect to this host.
//!
//! A cut may refuse connections in one direction only. Replicas get votes and acknowledgements, and control
//! hosts endpoint updates, over the connections that they have opened themselves.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use indexmap::IndexMap;
use kumquatdrum_peer::{Channel, Error, Parts};
use kumquatdrum_types::HostId;
use parking_lot::Mutex;
use slog::info;
use tokio::sync::oneshot;

use super::Gateway;
use crate::inbox;

/// The channels that are subscribed to.
const CHANNELS: [Channel; 2] = [Channel::Consensus, Channel::Membership];
/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The subscriptions of this host.
#[derive(Debug, Default)]
pub(super) struct Subscriptions {
    /// The subscriptions by the host that sends the messages. Dropping a sender ends one.
    open: Mutex<IndexMap<HostId, oneshot::Sender<()>>>,
}

impl Gateway {
    /// Returns the messages on a channel to a host that this one can't connect to.
    pub(crate) fn subscribe(&self, host: &HostId, channel: Channel) -> Parts {
        self.client.subscribe(host, channel)
    }

    /// Subscribes to the messages of a control host that can't connect to this one, until it can.
    pub(super) fn update_subscription(self: &Arc<Self>, from: &HostId, is_reachable: bool) {
        let mut open = self.subscriptions.open.lock();
        match open.get(from) {
            Some(_) if is_reachable => {
                open.swap_remove(from);
            }
            None if !is_reachable && self.hosts.local().is_control => {
                let (sender, ended) = oneshot::channel();
                open.insert(from.clone(), sender);
                self.spawn(self.clone().receive_messages(from.clone(), ended));
            }
            _ => {}
        }
    }

    /// Ends all subscriptions.
    pub(super) fn end_subscriptions(&self) {
        self.subscriptions.open.lock().clear();
    }

    /// Receives the messages of a host until `ended` resolves or the connection is lost.
    async fn receive_messages(self: Arc<Self>, from: HostId, ended: oneshot::Receiver<()>) {
        info!(self.logger, "subscribed"; "event" => "subscribed", "peer" => from.as_str());
        let receive = |channel| self.receive_channel(&from, channel);
        let reason = tokio::select! {
            _ = ended => None,
            received = futures::future::try_join_all(CHANNELS.map(receive)) => {
                self.subscriptions.open.lock().swap_remove(&from);
                received.err().map(|error| error.to_string())
            }
        };
        info!(self.logger, "unsubscribed"; "event" => "unsubscribed", "peer" => from.as_str(),
            "reason" => reason);
    }

    async fn receive_channel(&self, from: &HostId, channel: Channel) -> Result<(), Error> {
        let request = self
            .client
            .exchange(from, channel, Bytes::new(), CONNECT_TIMEOUT);
        let mut messages = request.await?;
        while let Some(body) = messages.next().await? {
            inbox::deliver(self, from, channel, &body);
        }
        Ok(())
    }
}
