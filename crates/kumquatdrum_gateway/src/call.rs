//! A caller's request: who may send it, where it goes, and what becomes of it.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header, request};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use kumquatdrum_process::random;
use kumquatdrum_routes::{Kind, Route};
use kumquatdrum_types::{Moment, ServiceName, WorkspaceName};
use slog::info;
use tokio::time::{Instant, timeout_at};

use crate::Gateway;
use crate::body::Body;
use crate::problem::Problem;
use crate::protocol::Ask;

mod attempt;
mod flow;
mod run;

/// How long a caller waits that doesn't say, where its route doesn't either.
const PATIENCE: Duration = Duration::from_secs(60);

/// A request that may be sent.
pub(crate) struct Call {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) ask: Ask,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    pub(crate) workspace: Option<WorkspaceName>,
    pub(crate) arrived: Moment,
    pub(crate) deadline: Moment,
    /// The caller's name for it, for logs.
    pub(crate) name: String,
}

/// Answers one request.
pub async fn handle(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let arrived = gateway.clock.now();
    let work = gateway.drain.begin_work();
    let (head, body) = request.into_parts();
    let ask = gateway.protocol.ask(&head.headers);
    let name = ask.attempt.clone().unwrap_or_default();
    gateway.informed(ask.patience).await;
    let admitted = admit(&gateway, &head, &ask);
    let mut response = match admitted {
        Ok(admitted) => {
            let call = receive(&gateway, head, body, ask, admitted, arrived).await;
            match call {
                Ok(call) => run::run(Arc::new(call), work).await,
                Err(problem) => refuse(&gateway, &name, &problem, arrived),
            }
        }
        Err(problem) => refuse(&gateway, &name, &problem, arrived),
    };
    if gateway.drain.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// What the setup in force says of a request.
struct Admitted {
    route: Route,
    service: ServiceName,
    workspace: Option<WorkspaceName>,
    body_bytes: usize,
}

fn admit(gateway: &Gateway, head: &request::Parts, ask: &Ask) -> Result<Admitted, Problem> {
    let in_force = gateway.in_force.current().ok_or(Problem::Unsure)?;
    let table = &in_force.table;
    let host = head.headers.get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    // A host that is cut off can't tell what has been added since.
    let is_sure = gateway.hosts.hears_majority();
    let unless_sure = |problem: Problem| if is_sure { problem } else { Problem::Unsure };
    let route = table.route(host, head.uri.path());
    let route = route.ok_or_else(|| unless_sure(Problem::NoRoute))?;
    let needs_key = table.setup().workspaces.is_some() && !route.public;
    let workspace = ask.key.as_deref().and_then(|key| table.workspace(key));
    if needs_key && workspace.is_none() {
        return Err(unless_sure(Problem::UnknownKey));
    }
    let mut route = route.clone();
    if let Some(priority) = workspace.and_then(|workspace| workspace.priority) {
        route.priority = priority;
    }
    Ok(Admitted {
        service: choose_service(&route),
        route,
        workspace: workspace.map(|workspace| workspace.name.clone()),
        body_bytes: table.setup().limits.body_bytes,
    })
}

/// One of the route's services, by their weights.
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

async fn receive(
    gateway: &Arc<Gateway>,
    head: request::Parts,
    body: Incoming,
    ask: Ask,
    admitted: Admitted,
    arrived: Moment,
) -> Result<Call, Problem> {
    let patience = ask.patience.unwrap_or(PATIENCE);
    let deadline = arrived + patience.min(admitted.route.timeout);
    let limited = Limited::new(body, admitted.body_bytes).collect();
    let until = gateway.clock.instant(deadline);
    let body = match timeout_at(until, limited).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(Problem::TooLarge),
        Ok(Err(error)) => return Err(Problem::Unreadable(error.to_string())),
        Err(_) => {
            return Err(Problem::Refused {
                reason: "the body did not arrive in time",
                retry_after: Duration::ZERO,
            });
        }
    };
    gateway.fleet.requested(&admitted.service);
    Ok(Call {
        gateway: gateway.clone(),
        name: ask.attempt.clone().unwrap_or_default(),
        head,
        body,
        ask,
        route: admitted.route,
        service: admitted.service,
        workspace: admitted.workspace,
        arrived,
        deadline,
    })
}

fn refuse(gateway: &Gateway, name: &str, problem: &Problem, arrived: Moment) -> Response<Body> {
    gateway.meters.ended.with_label_values(&["refused"]).inc();
    info!(gateway.logger, "request_refused"; "event" => "request_refused", "request" => name,
        "status" => problem.status().as_u16(), "reason" => %problem,
        "revision" => gateway.in_force.revision(),
        "ms" => (gateway.clock.now() - arrived).as_millis() as u64);
    problem.response()
}

impl Call {
    /// Whether the answer is a series of events.
    pub(crate) const fn is_stream(&self) -> bool {
        matches!(self.route.kind, Kind::Stream { .. })
    }

    /// The longest pause between events that the caller bears.
    pub(crate) const fn pause(&self) -> Duration {
        match self.route.kind {
            Kind::Stream { pause, .. } => pause,
            Kind::Safe | Kind::Unsafe => Duration::MAX,
        }
    }

    /// What is left of the caller's patience.
    pub(crate) fn left(&self) -> Duration {
        self.deadline - self.gateway.clock.now()
    }

    /// The deadline on the runtime's clock.
    pub(crate) fn until(&self) -> Instant {
        self.gateway.clock.instant(self.deadline)
    }

    /// How long ago the caller came.
    pub(crate) fn age(&self) -> Duration {
        self.gateway.clock.now() - self.arrived
    }
}
