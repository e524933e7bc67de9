//! Handling of messages from other hosts.

use std::sync::{Arc, Weak};

use bytes::Bytes;
use futures::stream::{self, StreamExt};
use kumquatdrum_consensus::Message;
use kumquatdrum_peer::{Channel, Error, Handler, Identity, Parts, ResponseFuture};
use kumquatdrum_types::HostId;
use slog::warn;

use crate::Gateway;
use crate::message::{Notice, Request, Response};
use crate::replica::Command;

/// Handles messages from other hosts.
pub struct Inbox {
    gateway: Weak<Gateway>,
}

impl Inbox {
    /// Creates an inbox for a gateway.
    pub fn new(gateway: &Arc<Gateway>) -> Self {
        Self {
            gateway: Arc::downgrade(gateway),
        }
    }
}

impl Handler for Inbox {
    fn deliver(&self, from: &Identity, channel: Channel, body: Bytes) {
        if let Some(gateway) = self.gateway.upgrade() {
            deliver(&gateway, &from.host, channel, &body);
        }
    }

    fn answer(&self, from: &Identity, _channel: Channel, body: Bytes) -> ResponseFuture<'_> {
        let from = from.clone();
        Box::pin(async move {
            let gateway = self
                .gateway
                .upgrade()
                .ok_or_else(|| Error::Handler("this host is stopping".to_owned()))?;
            let request = postcard::from_bytes::<Request>(&body).map_err(|error| {
                log_unreadable(&gateway, &from.host, &error);
                Error::Handler(error.to_string())
            })?;
            let response = handle_request(&gateway, &from, request).await;
            let bytes = postcard::to_stdvec(&response);
            bytes
                .map(Bytes::from)
                .map_err(|error| Error::Handler(error.to_string()))
        })
    }

    fn exchange(&self, from: &Identity, channel: Channel, body: Bytes) -> Parts {
        match self.gateway.upgrade() {
            Some(gateway) if channel == Channel::Requests => {
                gateway.relay_server.clone().serve(from, &body)
            }
            Some(gateway) => gateway.subscribe(&from.host, channel),
            None => stream::empty().boxed(),
        }
    }
}

/// Handles a one-way message from another host.
pub(crate) fn deliver(gateway: &Gateway, from: &HostId, channel: Channel, body: &[u8]) {
    if channel == Channel::Consensus {
        match postcard::from_bytes::<Message>(body) {
            Ok(message) => gateway.deliver_to_replica(message),
            Err(error) => log_unreadable(gateway, from, &error),
        }
        return;
    }
    match postcard::from_bytes::<Notice>(body) {
        Ok(Notice::Endpoints(updates)) => {
            gateway.merge_endpoints(updates, from.as_str());
        }
        Ok(Notice::RelayEndpoints { updates, hosts }) => {
            gateway.send_endpoints(&updates, &hosts);
            gateway.merge_endpoints(updates, from.as_str());
        }
        Ok(Notice::Revision(revision)) => {
            gateway.distributor.observe_revision(from, revision);
        }
        Ok(Notice::Received(revision)) => {
            gateway.distributor.finish_answer(from, revision);
        }
        Err(error) => log_unreadable(gateway, from, &error),
    }
}

async fn handle_request(gateway: &Arc<Gateway>, from: &Identity, request: Request) -> Response {
    match request {
        Request::Hello(hello) => gateway.answer_hello(hello),
        Request::Fetch { above } => gateway.answer_fetch(&from.host, above),
        Request::Record(record) => {
            gateway.offer_record(&record, from.host.as_str(), false);
            Response::Taken
        }
        Request::Endpoints(updates) => {
            gateway.merge_endpoints(updates, from.host.as_str());
            Response::Taken
        }
        Request::RelayEndpoints { updates, hosts } => {
            gateway.merge_endpoints(updates.clone(), from.host.as_str());
            match gateway.confirm_local(&updates, hosts).await {
                unconfirmed if unconfirmed.is_empty() => Response::Taken,
                unconfirmed => Response::Unconfirmed(unconfirmed),
            }
        }
        Request::Departure(update) => {
            gateway.broadcast_departure(update, from.host.as_str());
            Response::Taken
        }
        Request::Leave {
            endpoint,
            incarnation,
        } => {
            if gateway.leave_endpoint(&endpoint, incarnation).await {
                Response::Taken
            } else {
                Response::Unknown
            }
        }
        Request::Check(endpoint) => gateway.answer_check(&endpoint).await,
        Request::Apply(record) => gateway.send_command(Command::Apply(record)).await,
        Request::Read => gateway.send_command(Command::Read).await,
        Request::Evacuations(evacuations) => {
            gateway
                .take_evacuations(&evacuations, from.host.as_str())
                .await
        }
        Request::ReadEvacuations { includes_audit } => {
            let command = Command::Evacuations { includes_audit };
            gateway.send_command(command).await
        }
        Request::ReadProgress => {
            let mut progress = gateway.evacuations.progress();
            progress.retain(|it| gateway.hosts.hears(&it.host));
            Response::Progress(progress)
        }
        Request::Evacuate(change) => gateway.send_command(Command::Evacuate(change)).await,
    }
}

fn log_unreadable(gateway: &Gateway, from: &HostId, error: &postcard::Error) {
    warn!(gateway.logger, "message_unreadable"; "event" => "message_unreadable",
        "from" => from.as_str(), "reason" => %error);
}
