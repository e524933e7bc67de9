//! Handling of callers' requests: admission, forwarding to endpoints, and the response.

use std::convert::Infallible;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header, request};
use hyper::body::Incoming;
use kumquatdrum_process::random;
use kumquatdrum_quarantine::{Fingerprint, Identity};
use kumquatdrum_routes::{Delivery, Route};
use kumquatdrum_types::{Moment, ServiceName, WorkspaceName};
use slog::info;
use tokio::time::Instant;

use crate::Gateway;
use crate::backlog;
use crate::body::Body;
use crate::body_memory::Reservation;
use crate::listener::Progress;
use crate::problem::Problem;
use crate::protocol::{Metadata, PartId, Prompt};

mod attempt;
mod crash;
mod held;
mod receive;
mod resume;
mod run;
mod source;
mod stream;
mod unread;

use receive::Received;

/// The timeout of requests without a deadline header.
pub(crate) const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);
/// The maximum retry delay while a starting host does not know the active setup. It covers an
/// election and a hello exchange, since callers may retry only once.
const MAX_NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(2);

/// An admitted request with its complete body.
pub(crate) struct Call {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) metadata: Metadata,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) workspace: Option<WorkspaceName>,
    pub(crate) arrived: Moment,
    pub(crate) deadline: Moment,
    /// The caller's attempt id, for logs.
    pub(crate) attempt_id: String,
    identity: OnceLock<Identity>,
    /// Returned when the request has ended.
    _memory: Reservation,
    /// Whether the request is sent although it is blocked.
    is_probe: bool,
}

/// Handles one request from a caller.
pub async fn handle(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = gateway.clock.now();
    let work = gateway.drain.begin_work();
    let (head, mut body) = request.into_parts();
    let metadata = gateway.protocol.parse_request(&head.headers);
    let attempt_id = metadata.attempt_id.clone().unwrap_or_default();
    if let Some(progress) = head.extensions.get::<Progress>() {
        progress.record_id(&attempt_id);
    }
    let timeout = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT);
    gateway.wait_until_informed(arrived, metadata.timeout).await;
    let left = arrived + timeout - gateway.clock.now();
    let admission = admit(&gateway, &head, &metadata, left);
    let received = match admission {
        Ok(admission) => {
            receive::receive(&gateway, &head, &mut body, &metadata, admission, arrived).await
        }
        Err(problem) => Err(problem),
    };
    let mut response = match received {
        Ok(received) => {
            let mut call = received.into_call(&gateway, head, metadata, arrived);
            call.is_probe = call.try_probe();
            let stopped = gateway.shutdown.wait_for_giving_up();
            tokio::select! {
                biased;
                response = run::run(Arc::new(call), work) => response,
                () = stopped => end_with_host(&gateway, &attempt_id, arrived),
            }
        }
        Err(problem) => {
            let mut response = refuse(&gateway, &attempt_id, &problem, arrived);
            unread::discard(&gateway, &head, body, &mut response);
            response
        }
    };
    if gateway.drain.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// The settings of the active setup that apply to a request.
struct Admission {
    route: Route,
    service: ServiceName,
    workspace: Option<WorkspaceName>,
    max_body_bytes: usize,
}

fn admit(
    gateway: &Gateway,
    head: &request::Parts,
    metadata: &Metadata,
    left: Duration,
) -> Result<Admission, Problem> {
    let not_ready = Problem::NotReady {
        retry_after: backlog::retry_after(left, MAX_NOT_READY_RETRY_AFTER),
    };
    let Some(active_setup) = gateway.active_setup.current() else {
        return Err(not_ready);
    };
    let table = &active_setup.table;
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    // Without a majority of the control hosts, this host may have missed a newer setup.
    let has_majority = gateway.hosts.has_control_majority();
    let or_not_ready = |problem: Problem| {
        if has_majority {
            problem
        } else {
            not_ready.clone()
        }
    };
    let route = table.route(host, head.uri.path());
    let route = route.ok_or_else(|| or_not_ready(Problem::NoRoute))?;
    let needs_key = table.setup().workspaces.is_some() && !route.is_public;
    let workspace = metadata.key.as_deref().and_then(|key| table.workspace(key));
    if needs_key && workspace.is_none() {
        return Err(or_not_ready(Problem::UnknownKey));
    }
    let mut route = route.clone();
    if let Some(priority) = workspace.and_then(|workspace| workspace.priority) {
        route.priority = priority;
    }
    Ok(Admission {
        service: choose_service(&route),
        route,
        workspace: workspace.map(|workspace| workspace.name.clone()),
        max_body_bytes: table.setup().limits.body_bytes,
    })
}

/// Selects one of the route's services at random, by weight.
fn choose_service(route: &Route) -> ServiceName {
    let total: u64 = route
        .shares
        .iter()
        .map(|share| u64::from(share.weight))
        .sum();
    let mut drawn = random::number() % total.max(1);
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if drawn < weight {
            return share.service.clone();
        }
        drawn -= weight;
    }
    let last = route.shares.last();
    last.map_or_else(|| ServiceName::new(""), |share| share.service.clone())
}

impl Received {
    fn into_call(
        self,
        gateway: &Arc<Gateway>,
        head: request::Parts,
        metadata: Metadata,
        arrived: Moment,
    ) -> Call {
        Call {
            gateway: gateway.clone(),
            attempt_id: metadata.attempt_id.clone().unwrap_or_default(),
            head,
            body: self.body,
            metadata,
            route: self.admission.route,
            service: self.admission.service,
            workspace: self.admission.workspace,
            arrived,
            deadline: self.deadline,
            identity: OnceLock::new(),
            _memory: self.memory,
            is_probe: false,
        }
    }
}

fn refuse(
    gateway: &Gateway,
    attempt_id: &str,
    problem: &Problem,
    arrived: Moment,
) -> Response<Body> {
    gateway.metrics.ended.with_label_values(&["refused"]).inc();
    info!(gateway.logger, "request_refused"; "event" => "request_refused", "request" => attempt_id,
        "status" => problem.status().as_u16(), "reason" => %problem,
        "revision" => gateway.active_setup.revision(),
        "ms" => (gateway.clock.now() - arrived).as_millis() as u64);
    problem.response()
}

/// Returns the response to a request that an endpoint has not answered when this host ends.
fn end_with_host(gateway: &Gateway, attempt_id: &str, arrived: Moment) -> Response<Body> {
    let problem = Problem::Failed("this host stops".to_owned());
    let end = "stopped";
    gateway.metrics.ended.with_label_values(&[end]).inc();
    info!(gateway.logger, "request_ended"; "event" => "request_ended", "request" => attempt_id,
        "end" => end, "reason" => %problem,
        "ms" => (gateway.clock.now() - arrived).as_millis() as u64);
    problem.response()
}

impl Call {
    /// Returns whether the response is a stream of events.
    pub(crate) const fn is_stream(&self) -> bool {
        matches!(self.route.delivery, Delivery::Stream { .. })
    }

    /// Returns the maximum pause between events for which the response counts as on time.
    pub(crate) const fn max_pause(&self) -> Duration {
        match self.route.delivery {
            Delivery::Stream { max_pause, .. } => max_pause,
            Delivery::Safe | Delivery::Unsafe => Duration::MAX,
        }
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline - self.gateway.clock.now()
    }

    /// Returns the deadline on the runtime's clock.
    pub(crate) fn deadline_instant(&self) -> Instant {
        self.gateway.clock.instant(self.deadline)
    }

    /// Returns the request's identity across attempts and hosts. Computed on first use, since few
    /// requests need it.
    pub(crate) fn identity(&self) -> &Identity {
        self.identity.get_or_init(|| {
            let path = self.head.uri.path_and_query();
            let path = path.map_or(self.head.uri.path(), |path| path.as_str());
            let workspace = self.workspace.as_ref();
            let method = self.head.method.as_str();
            let request = Fingerprint::of(method, path, workspace, &self.body);
            let prompt = self.gateway.protocol.parse_prompt(&self.head.headers);
            let parts = prompt.shared_parts().iter();
            let parts = parts.map(|part| self.part_fingerprint(&prompt, *part));
            Identity::new(request, workspace, parts.collect())
        })
    }

    fn part_fingerprint(&self, prompt: &Prompt, part: PartId) -> Fingerprint {
        Fingerprint::of_part(self.service.as_str(), prompt.model.as_deref(), part.0)
    }

    /// Returns the part of the prompt that has a fingerprint.
    pub(crate) fn find_part(&self, fingerprint: Fingerprint) -> Option<PartId> {
        let prompt = self.gateway.protocol.parse_prompt(&self.head.headers);
        let mut parts = prompt.shared_parts().iter();
        let part = parts.find(|part| self.part_fingerprint(&prompt, **part) == fingerprint);
        part.copied()
    }

    /// Returns the time since the request arrived.
    pub(crate) fn elapsed(&self) -> Duration {
        self.gateway.clock.now() - self.arrived
    }
}
