//! What other hosts say to this one.

use std::sync::{Arc, Weak};

use bytes::Bytes;
use kumquatdrum_consensus::Message;
use kumquatdrum_peer::{Answer as Reply, Channel, Error, Handler, Identity};
use slog::warn;

use crate::Gateway;
use crate::message::{Answer, Notice, Question};
use crate::replica::Ask;

/// Takes what other hosts say.
pub struct Inbox {
    gateway: Weak<Gateway>,
}

impl Inbox {
    /// An inbox of a gateway.
    pub fn new(gateway: &Arc<Gateway>) -> Self {
        Self {
            gateway: Arc::downgrade(gateway),
        }
    }
}

impl Handler for Inbox {
    fn deliver(&self, from: &Identity, channel: Channel, body: Bytes) {
        let Some(gateway) = self.gateway.upgrade() else {
            return;
        };
        if channel == Channel::Consensus {
            match postcard::from_bytes::<Message>(&body) {
                Ok(message) => gateway.replica_message(message),
                Err(error) => unreadable(&gateway, from, &error),
            }
            return;
        }
        match postcard::from_bytes::<Notice>(&body) {
            Ok(Notice::Endpoints(updates)) => {
                gateway.take_endpoints(updates, from.host.as_str());
            }
            Ok(Notice::RelayEndpoints { updates, hosts }) => {
                gateway.relay_endpoints(&updates, &hosts);
                gateway.take_endpoints(updates, from.host.as_str());
            }
            Err(error) => unreadable(&gateway, from, &error),
        }
    }

    fn answer(&self, from: &Identity, _channel: Channel, body: Bytes) -> Reply<'_> {
        let from = from.clone();
        Box::pin(async move {
            let gateway = self
                .gateway
                .upgrade()
                .ok_or_else(|| Error::Handler("this host is stopping".to_owned()))?;
            let question = postcard::from_bytes::<Question>(&body).map_err(|error| {
                unreadable(&gateway, &from, &error);
                Error::Handler(error.to_string())
            })?;
            let answer = reply(&gateway, &from, question).await;
            let bytes = postcard::to_stdvec(&answer);
            bytes
                .map(Bytes::from)
                .map_err(|error| Error::Handler(error.to_string()))
        })
    }
}

async fn reply(gateway: &Arc<Gateway>, from: &Identity, question: Question) -> Answer {
    match question {
        Question::Hello {
            host,
            revision,
            is_new,
            hosts,
        } => gateway.welcome(host, revision, is_new, hosts),
        Question::Fetch { above } if gateway.spread.add(&from.host, above) => Answer::Taken,
        Question::Fetch { .. } => Answer::Unavailable,
        Question::Record(record) => {
            gateway.take_record(&record, from.host.as_str(), false);
            Answer::Taken
        }
        Question::Endpoints(updates) => {
            gateway.take_endpoints(updates, from.host.as_str());
            Answer::Taken
        }
        Question::RelayEndpoints { updates, hosts } => {
            gateway.take_endpoints(updates.clone(), from.host.as_str());
            match gateway.confirm_near(&updates, hosts).await {
                unconfirmed if unconfirmed.is_empty() => Answer::Taken,
                unconfirmed => Answer::Unconfirmed(unconfirmed),
            }
        }
        Question::Apply(record) => gateway.ask_replica(Ask::Apply(record)).await,
        Question::Read => gateway.ask_replica(Ask::Read).await,
    }
}

fn unreadable(gateway: &Gateway, from: &Identity, error: &postcard::Error) {
    warn!(gateway.logger, "message_unreadable"; "event" => "message_unreadable",
        "from" => from.host.as_str(), "reason" => %error);
}
