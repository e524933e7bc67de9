//! Checks whether an endpoint accepts connections, by this host and by others.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_peer::Channel;
use kumquatdrum_process::liveness::{self, Liveness};
use kumquatdrum_registry::Announcement;
use kumquatdrum_types::ServiceName;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::Gateway;
use crate::message::{Request, Response};
use crate::relay::Incarnation;

/// How long a doubt about the path delays a check.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(300);
/// The timeout for another host's check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// The number of hosts that are asked.
const MAX_HOSTS: usize = 2;

impl Gateway {
    /// Returns whether an endpoint accepts connections of this host or of another one.
    pub(crate) async fn is_listening(self: &Arc<Self>, endpoint: &Announcement) -> bool {
        liveness::check(endpoint.address).await == Liveness::Listening
            || self.checks(endpoint).await.contains(&true)
    }

    /// Returns whether an endpoint refuses connections, so that it does not go on with an answer. One that
    /// has announced that it leaves may end its answers after its listener.
    pub(crate) async fn is_gone(self: &Arc<Self>, endpoint: &Announcement) -> bool {
        let known = self.endpoints.find(&endpoint.id, endpoint.started);
        let is_leaving = known.is_some_and(|endpoint| endpoint.leaving);
        !is_leaving
            && liveness::check(endpoint.address).await == Liveness::Refusing
            && self.is_down_elsewhere(endpoint).await
    }

    /// Returns whether an endpoint that refuses connections of this host refuses those of others. If no
    /// host answers, this host's word holds unless its path is in doubt.
    pub(crate) async fn is_down_elsewhere(self: &Arc<Self>, endpoint: &Announcement) -> bool {
        let checks = self.checks(endpoint).await;
        self.settle(&endpoint.service).await;
        let paths = self.upstream.paths();
        match checks.as_slice() {
            _ if paths.is_cut(&endpoint.service) => false,
            [] => !paths.is_in_doubt(&endpoint.service),
            checks => !checks.contains(&true),
        }
    }

    /// Answers another host's question whether an endpoint accepts connections.
    pub(crate) async fn answer_check(&self, endpoint: &Incarnation) -> Response {
        let Some(endpoint) = self.endpoints.find(&endpoint.id, endpoint.started) else {
            return Response::Unavailable;
        };
        let liveness = liveness::check(endpoint.address).await;
        if liveness == Liveness::Refusing {
            self.settle(&endpoint.service).await;
        }
        match liveness {
            Liveness::Listening => Response::Listening(true),
            Liveness::Refusing if self.upstream.paths().is_cut(&endpoint.service) => {
                Response::Unavailable
            }
            Liveness::Refusing => Response::Listening(false),
            Liveness::Unknown => Response::Unavailable,
        }
    }

    /// Waits for probes to tell whether this host's path to a service is at fault.
    async fn settle(&self, service: &ServiceName) {
        let settled = self.upstream.paths().wait_until_settled(service);
        let _ = timeout(SETTLE_TIMEOUT, settled).await;
    }

    /// Asks hosts, one of another data centre if possible, whether an endpoint accepts connections.
    async fn checks(self: &Arc<Self>, endpoint: &Announcement) -> Vec<bool> {
        let mut candidates = self.hosts.relay_candidates();
        candidates.sort_by_key(|candidate| !candidate.is_remote);
        let mut checks = JoinSet::new();
        for candidate in candidates.into_iter().take(MAX_HOSTS) {
            let gateway = self.clone();
            let request = Request::Check(Incarnation {
                id: endpoint.id.clone(),
                started: endpoint.started,
            });
            checks.spawn(async move {
                let channel = Channel::Requests;
                let response =
                    gateway.send_request(&candidate.id, channel, &request, CHECK_TIMEOUT);
                match response.await {
                    Some(Response::Listening(is_listening)) => Some(is_listening),
                    _ => None,
                }
            });
        }
        let answers = checks.join_all().await;
        answers.into_iter().flatten().collect()
    }
}
