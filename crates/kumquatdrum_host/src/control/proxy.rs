//! Forwards control requests to the leading replica.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_peer::{Channel, Client};
use kumquatdrum_setup::claim::Holder;
use kumquatdrum_setup::control::{Page, ResponseFuture, Status};
use kumquatdrum_setup::{
    ApplyAnswer, ApplyRequest, Claim, ClaimAnswer, Control, Digest, Failure, Revision, Selector,
    SettleAnswer, Settlement, Standing,
};
use kumquatdrum_types::{HostId, IdempotencyKey, Version, WorkspaceName};
use parking_lot::Mutex;
use tokio::time::{Instant, sleep};

use super::request::Outcome;
use super::{Handle, Request, Response};
use crate::in_force::Store;
use crate::members::Members;

/// The timeouts of a request.
#[derive(Debug, Clone, Copy)]
struct Timeouts {
    /// The timeout of one attempt at one replica.
    attempt: Duration,
    /// The timeout of all attempts together.
    total: Duration,
}

/// The timeouts of operators' requests and of settlements, long enough to outlast an election.
const OPERATOR_TIMEOUTS: Timeouts = Timeouts {
    attempt: Duration::from_millis(1_500),
    total: Duration::from_secs(5),
};
/// The timeouts of claims and key lookups, which are shorter because callers can retry.
const CALLER_TIMEOUTS: Timeouts = Timeouts {
    attempt: Duration::from_millis(700),
    total: Duration::from_millis(1_500),
};
/// The delay before the replicas are tried again after all have failed.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Forwards requests to the leading replica.
pub struct Proxy {
    host: HostId,
    replicas: Vec<HostId>,
    local: Option<Handle>,
    client: Arc<Client>,
    in_force: Arc<Store>,
    members: Arc<Members>,
    leader: Mutex<Option<HostId>>,
}

impl Proxy {
    /// Creates a proxy to replicas on these hosts; `local` is this host's own replica.
    pub fn new(
        host: HostId,
        replicas: Vec<HostId>,
        local: Option<Handle>,
        client: Arc<Client>,
        in_force: Arc<Store>,
        members: Arc<Members>,
    ) -> Self {
        Self {
            host,
            replicas,
            local,
            client,
            in_force,
            members,
            leader: Mutex::new(None),
        }
    }

    /// Tries the replicas until one responds as the leader or the time is up. Retries are safe
    /// because all requests are idempotent. Returns [`Failure::Unknown`] if an attempt may have
    /// taken effect.
    async fn request(&self, request: Request) -> Outcome {
        let is_claim = matches!(request, Request::Claim(_) | Request::Key(..));
        if is_claim && self.members.is_cut_off() {
            return Err(Failure::Unavailable);
        }
        let timeouts = if is_claim {
            CALLER_TIMEOUTS
        } else {
            OPERATOR_TIMEOUTS
        };
        let until = Instant::now() + timeouts.total;
        let mut failure = Failure::Unavailable;
        loop {
            for host in self.candidates() {
                match self.request_from(&host, &request, timeouts.attempt).await {
                    Ok(response) => {
                        *self.leader.lock() = Some(host);
                        return Ok(response);
                    }
                    Err(Failure::NotLeader { leader }) => {
                        let hint = leader.filter(|leader| *leader != host);
                        let is_new = hint.is_some() && *self.leader.lock() != hint;
                        if is_new {
                            *self.leader.lock() = hint;
                            break;
                        }
                    }
                    Err(Failure::NoSuchVersion) => return Err(Failure::NoSuchVersion),
                    Err(Failure::Unknown) => failure = Failure::Unknown,
                    Err(Failure::Unavailable) => {}
                }
            }
            if Instant::now() + RETRY_INTERVAL >= until {
                return Err(failure);
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Returns the hosts to try, the presumed leader first.
    fn candidates(&self) -> Vec<HostId> {
        let leader = self.leader.lock().clone();
        let others = self.replicas.iter();
        let others = others.filter(|host| Some(*host) != leader.as_ref());
        leader.iter().chain(others).cloned().collect()
    }

    async fn request_from(&self, host: &HostId, request: &Request, limit: Duration) -> Outcome {
        match &self.local {
            Some(local) if *host == self.host => {
                let outcome = tokio::time::timeout(limit, local.request(request.clone())).await;
                outcome.unwrap_or(Err(Failure::Unknown))
            }
            _ => self.request_from_peer(host, request, limit).await,
        }
    }

    async fn request_from_peer(
        &self,
        host: &HostId,
        request: &Request,
        limit: Duration,
    ) -> Outcome {
        let body = postcard::to_allocvec(request).map_err(|_| Failure::Unavailable)?;
        let response = self
            .client
            .ask(host, Channel::Control, body.into(), limit)
            .await;
        match response {
            Ok(body) => postcard::from_bytes::<Outcome>(&body).unwrap_or(Err(Failure::Unknown)),
            Err(error) if error.is_unsent() => Err(Failure::Unavailable),
            Err(_) => Err(Failure::Unknown),
        }
    }

    fn last_known(&self) -> Option<Revision> {
        let current = self.in_force.current()?;
        Some(Revision {
            version: current.offer.version,
            digest: current.offer.digest,
            accepted_unix_ms: current.offer.accepted_unix_ms,
            standing: self.standing(),
            text: Arc::clone(&current.offer.text),
        })
    }

    fn standing(&self) -> Standing {
        Standing::LastKnown {
            as_of_unix_ms: self.members.last_majority_unix_ms(),
        }
    }

    async fn show_current(&self, selector: Selector) -> Result<Revision, Failure> {
        match self.request(Request::Show(selector)).await {
            Ok(Response::Show(shown)) => Ok(shown),
            Ok(_) => Err(Failure::Unavailable),
            Err(Failure::NoSuchVersion) => Err(Failure::NoSuchVersion),
            Err(failure) => self.show_last_known(selector).ok_or(failure),
        }
    }

    /// Returns the version in force on this host, for use without a majority.
    fn show_last_known(&self, selector: Selector) -> Option<Revision> {
        let shown = self.last_known()?;
        match selector {
            Selector::Current => Some(shown),
            Selector::Version(version) if version == shown.version => Some(shown),
            Selector::Version(_) | Selector::At(_) => None,
        }
    }

    async fn gather_status(&self) -> Status {
        let node = match &self.local {
            Some(local) => local.status().await,
            None => None,
        };
        let current = self.in_force.current();
        let leader = node
            .as_ref()
            .and_then(|node| node.leader.as_ref())
            .map(|leader| leader.host.clone());
        Status {
            host: self.host.clone(),
            data_centre: self.members.data_centre().clone(),
            version: current
                .as_ref()
                .map_or(Version(0), |current| current.offer.version),
            digest: current.map_or(Digest::of(b""), |current| current.offer.digest),
            standing: self.standing(),
            leader: leader.or_else(|| self.leader.lock().clone()),
            hosts: self.members.host_statuses(node.as_ref(), &self.replicas),
            endpoints: self.members.endpoint_statuses(),
            cut_off: self.members.unreachable_data_centres(),
        }
    }
}

/// Awaits a response and unwraps the expected variant.
macro_rules! expect {
    ($response:expr, $variant:path) => {
        Box::pin(async move {
            match $response.await? {
                $variant(answer) => Ok(answer),
                _ => Err(Failure::Unavailable),
            }
        })
    };
}

impl Control for Proxy {
    fn apply(&self, request: ApplyRequest) -> ResponseFuture<'_, ApplyAnswer> {
        expect!(self.request(Request::Apply(request)), Response::Apply)
    }

    fn show(&self, selector: Selector) -> ResponseFuture<'_, Revision> {
        Box::pin(self.show_current(selector))
    }

    fn audit(&self, from: u64, limit: usize) -> ResponseFuture<'_, Page> {
        let limit = limit as u64;
        expect!(
            self.request(Request::Audit { from, limit }),
            Response::Audit
        )
    }

    fn status(&self) -> ResponseFuture<'_, Status> {
        Box::pin(async move { Ok(self.gather_status().await) })
    }

    fn claim(&self, claims: Vec<Claim>) -> ResponseFuture<'_, Vec<ClaimAnswer>> {
        expect!(self.request(Request::Claim(claims)), Response::Claim)
    }

    fn settle(&self, settlements: Vec<Settlement>) -> ResponseFuture<'_, Vec<SettleAnswer>> {
        expect!(self.request(Request::Settle(settlements)), Response::Settle)
    }

    fn key(
        &self,
        workspace: &WorkspaceName,
        key: &IdempotencyKey,
    ) -> ResponseFuture<'_, Option<Holder>> {
        let request = Request::Key(workspace.clone(), key.clone());
        expect!(self.request(request), Response::Key)
    }
}
