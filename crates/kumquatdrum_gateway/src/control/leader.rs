//! Commands for the leader, whichever replica that is.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use kumquatdrum_peer::Channel;
use kumquatdrum_types::HostId;
use tokio::time::{Instant, sleep_until};

use super::search::{Pace, Search, Step};
use crate::Gateway;
use crate::message;
use crate::replica::Command;

/// The silence of a replica after which the next one is asked too, so that several frozen ones leave time
/// for the others.
const SILENCE: Duration = Duration::from_millis(150);
/// The delay before the replicas are asked again after none answered as the leader.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The result of a command sent to the leader.
pub(super) struct Reply {
    pub(super) response: message::Response,
    /// The host that answered as the leader, if any.
    pub(super) leader: Option<HostId>,
    /// The number of requests sent to replicas.
    pub(super) requests: u32,
    started: Instant,
}

impl Reply {
    pub(super) fn leader(&self) -> Option<&str> {
        self.leader.as_ref().map(HostId::as_str)
    }

    pub(super) fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

/// The limits on a command sent to the leader.
#[derive(Debug, Clone)]
pub(super) struct Limits {
    /// The timeout for a response from the leader.
    pub(super) time: Duration,
    /// The replica that is asked first, if it is known which one leads.
    pub(super) first: Option<HostId>,
}

impl Limits {
    pub(super) fn within(time: Duration) -> Self {
        Self { time, first: None }
    }
}

/// Sends a command to replicas until one answers as the leader or the time is over.
pub(super) async fn send(gateway: &Arc<Gateway>, command: &Command, limits: Limits) -> Reply {
    let started = Instant::now();
    let until = gateway.clock.now() + limits.time;
    let pace = Pace {
        silence: command.is_repeatable().then_some(SILENCE),
        retry: RETRY_DELAY,
    };
    let mut search = Search::new(pace, limits.first);
    let mut open = FuturesUnordered::new();
    let reply = |response, leader, requests| Reply {
        response,
        leader,
        requests,
        started,
    };
    loop {
        let now = gateway.clock.now();
        if now >= until {
            return reply(message::Response::Unavailable, None, search.requests());
        }
        let due = match search.step(now, || candidates(gateway)) {
            Step::Ask(host) => {
                open.push(ask(gateway, host, command, until - now));
                continue;
            }
            Step::Wait(due) => gateway.clock.instant(due.min(until)),
        };
        tokio::select! {
            Some((host, response)) = open.next() => {
                let now = gateway.clock.now();
                match response {
                    message::Response::NotLeader(leader) => search.refuse(now, &host, leader),
                    message::Response::Unavailable => search.refuse(now, &host, None),
                    response => return reply(response, Some(host), search.requests()),
                }
            }
            () = sleep_until(due) => {}
        }
    }
}

fn candidates(gateway: &Gateway) -> Vec<HostId> {
    let local = std::iter::once(gateway.hosts.local().id);
    local.chain(gateway.hosts.control_hosts()).collect()
}

async fn ask(
    gateway: &Gateway,
    host: HostId,
    command: &Command,
    limit: Duration,
) -> (HostId, message::Response) {
    let response = if host == gateway.hosts.local().id {
        gateway.send_command(command.clone()).await
    } else {
        ask_peer(gateway, &host, command, limit).await
    };
    (host, response)
}

async fn ask_peer(
    gateway: &Gateway,
    host: &HostId,
    command: &Command,
    limit: Duration,
) -> message::Response {
    let request = match command {
        Command::Apply(record) => message::Request::Apply(record.clone()),
        Command::Read => message::Request::Read,
        Command::Evacuations { includes_audit } => message::Request::ReadEvacuations {
            includes_audit: *includes_audit,
        },
        Command::Evacuate(change) => message::Request::Evacuate(change.clone()),
    };
    gateway
        .send_request(host, Channel::Control, &request, limit)
        .await
        .unwrap_or(message::Response::Unavailable)
}
