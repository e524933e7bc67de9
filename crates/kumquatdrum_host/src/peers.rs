//! What arrives from other daemons, handed to the part that it is for.

use std::sync::Arc;

use bytes::Bytes;

use kumquatdrum_peer::{Answer, Channel, Error, Handler, Identity};
use kumquatdrum_setup::Failure;
use slog::warn;

use crate::control;
use crate::members::Members;
use crate::quota::Quota;

/// The handler of one host.
pub struct Inbox {
    /// This host's replica, where it keeps one.
    pub replica: Option<control::Handle>,
    /// Hosts and endpoints.
    pub members: Arc<Members>,
    /// The workspaces' limits.
    pub quota: Arc<Quota>,
    /// Where events go.
    pub logger: slog::Logger,
}

impl Inbox {
    fn not_decoded(&self, from: &Identity, channel: Channel, error: &postcard::Error) {
        warn!(self.logger, ""; "event" => "peer_message_not_decoded", "from" => %from.host,
            "channel" => channel.name(), "reason" => %error);
    }
}

impl Handler for Inbox {
    fn deliver(&self, from: &Identity, channel: Channel, body: Bytes) {
        let taken = match (channel, &self.replica) {
            (Channel::Consensus, Some(replica)) => {
                postcard::from_bytes(&body).map(|message| replica.message(message))
            }
            (Channel::Membership, _) => self.members.members_message(from, &body),
            (Channel::Limits, _) => self.quota.message(&from.host, &body),
            (Channel::Setup, _) => self.members.setup_message(from, &body),
            _ => Ok(()),
        };
        if let Err(error) = taken {
            self.not_decoded(from, channel, &error);
        }
    }

    fn answer(&self, from: &Identity, channel: Channel, body: Bytes) -> Answer<'_> {
        let question = match (channel, postcard::from_bytes(&body)) {
            (Channel::Control, Ok(question)) => question,
            (_, Ok(_)) => {
                return Box::pin(async { Err(Error::Handler("no such question".into())) });
            }
            (_, Err(error)) => {
                self.not_decoded(from, channel, &error);
                return Box::pin(async move { Err(Error::Handler(error.to_string())) });
            }
        };
        Box::pin(async move {
            let outcome = match &self.replica {
                Some(replica) => replica.ask(question).await,
                None => Err(Failure::NotLeader { leader: None }),
            };
            let body = postcard::to_allocvec(&outcome);
            body.map(Bytes::from)
                .map_err(|error| Error::Handler(error.to_string()))
        })
    }
}
