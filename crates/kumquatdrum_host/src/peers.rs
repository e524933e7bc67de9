//! Handler of messages and requests from other daemons.

use std::sync::Arc;

use bytes::Bytes;

use kumquatdrum_peer::{Channel, Error, Handler, Identity, ResponseFuture};
use kumquatdrum_setup::Failure;
use slog::warn;

use crate::control;
use crate::members::Members;
use crate::quarantine::Exchanger;
use crate::quota::Quota;

/// Passes messages and requests of other daemons to the host's components.
pub struct Inbox {
    /// This host's replica, if it has one.
    pub replica: Option<control::Handle>,
    /// The hosts and endpoints known to this host.
    pub members: Arc<Members>,
    /// The workspaces' limits.
    pub quota: Arc<Quota>,
    /// The exchange of evidence against requests that crash endpoints.
    pub exchanger: Arc<Exchanger>,
    /// The logger of events.
    pub logger: slog::Logger,
}

impl Inbox {
    fn log_decode_error(&self, from: &Identity, channel: Channel, error: &postcard::Error) {
        warn!(self.logger, ""; "event" => "peer_message_not_decoded", "from" => %from.host,
            "channel" => channel.name(), "reason" => %error);
    }
}

impl Handler for Inbox {
    fn deliver(&self, from: &Identity, channel: Channel, body: Bytes) {
        let result = match (channel, &self.replica) {
            (Channel::Consensus, Some(replica)) => {
                postcard::from_bytes(&body).map(|message| replica.deliver(message))
            }
            (Channel::Membership, _) => self.members.handle_membership_message(from, &body),
            (Channel::Limits, _) => self.quota.handle_message(&from.host, &body),
            (Channel::Quarantine, _) => self.exchanger.handle_message(from, &body),
            (Channel::Setup, _) => self.members.handle_setup_message(from, &body),
            _ => Ok(()),
        };
        if let Err(error) = result {
            self.log_decode_error(from, channel, &error);
        }
    }

    fn answer(&self, from: &Identity, channel: Channel, body: Bytes) -> ResponseFuture<'_> {
        let request = match (channel, postcard::from_bytes(&body)) {
            (Channel::Control, Ok(request)) => request,
            (_, Ok(_)) => {
                return Box::pin(async { Err(Error::Handler("no such question".into())) });
            }
            (_, Err(error)) => {
                self.log_decode_error(from, channel, &error);
                return Box::pin(async move { Err(Error::Handler(error.to_string())) });
            }
        };
        Box::pin(async move {
            let outcome = match &self.replica {
                Some(replica) => replica.request(request).await,
                None => Err(Failure::NotLeader { leader: None }),
            };
            let body = postcard::to_allocvec(&outcome);
            body.map(Bytes::from)
                .map_err(|error| Error::Handler(error.to_string()))
        })
    }
}
