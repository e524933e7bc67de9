//! Checks whether an endpoint accepts connections, by this host and by others.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_peer::Channel;
use kumquatdrum_process::liveness::{self, Liveness};
use kumquatdrum_registry::Announcement;
use tokio::task::JoinSet;

use super::Gateway;
use crate::message::{Request, Response};
use crate::relay::Incarnation;

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

    /// Answers another host's question whether an endpoint accepts connections.
    pub(crate) async fn answer_check(&self, endpoint: &Incarnation) -> Response {
        let Some(endpoint) = self.endpoints.find(&endpoint.id, endpoint.started) else {
            return Response::Unavailable;
        };
        match liveness::check(endpoint.address).await {
            Liveness::Listening => Response::Listening(true),
            Liveness::Refusing => Response::Listening(false),
            Liveness::Unknown => Response::Unavailable,
        }
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
