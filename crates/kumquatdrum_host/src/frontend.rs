//! The daemon as the callers' listener sees it.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use kumquatdrum_caller::Admission;
use kumquatdrum_caller::admission::{Answer, Ask, Caller, Exchange, KeyState, Problem};
use kumquatdrum_daemon::admission;
use kumquatdrum_daemon::flight::Plan;
use kumquatdrum_declaration::{Index, Service, Workspace};
use kumquatdrum_process::sockets::Connections;
use kumquatdrum_routing as routing;
use kumquatdrum_setup::{Claim, Digest};
use kumquatdrum_types::{AttemptId, IdempotencyKey, Refusal, RequestId, WorkspaceName};
use slog::warn;
use tokio::sync::mpsc;

use crate::in_force::Current;
use crate::key::Key;
use crate::request::{Driver, Order};
use crate::shell::Shell;

/// Replies that wait for a slow caller.
const REPLIES: usize = 256;
/// Attempts of one request, the first included.
const ATTEMPTS: u32 = 3;
/// How long the outcome of a keyed request is kept after its deadline.
const RETAIN: Duration = Duration::from_secs(24 * 3_600);

/// The frontend of one host.
pub struct Frontend {
    shell: Arc<Shell>,
    connections: OnceLock<Connections>,
}

impl Frontend {
    /// A frontend to the host.
    pub const fn new(shell: Arc<Shell>) -> Self {
        Self {
            shell,
            connections: OnceLock::new(),
        }
    }

    /// The listener is open on this port.
    pub fn opened(&self, port: u16) {
        let _ = self.connections.set(Connections::on_port(port));
    }

    fn current(&self, request: Option<&RequestId>) -> Result<Arc<Current>, Problem> {
        let refuse = || self.refuse(Refusal::NoDeclaration, request);
        self.shell.in_force.current().ok_or_else(refuse)
    }

    fn refuse(&self, refusal: Refusal, request: Option<&RequestId>) -> Problem {
        let code = kumquatdrum_caller::admission::code(refusal);
        self.shell.metrics.refused.with_label_values(&[&code]).inc();
        Problem::refused(refusal, None, request.cloned())
    }

    fn order(&self, caller: Caller, ask: Ask) -> Result<Order, Problem> {
        let current = self.current(Some(&caller.request))?;
        let index = &current.index;
        let refuse = |refusal| self.refuse(refusal, Some(&caller.request));
        let workspace = index.workspace(caller.workspace.as_str());
        let workspace = workspace.ok_or_else(|| refuse(Refusal::Unauthorized))?;
        let service = index
            .service_for(workspace, &ask.service)
            .filter(|service| index.model_of(service).is_some() == ask.model)
            .ok_or_else(|| refuse(Refusal::UnknownService))?;
        let deadline = admission::deadline(service, ask.deadline);
        let prompt_tokens = Self::prompt_tokens(index, service, &ask);
        let model = index.model_of(service);
        if model.is_some_and(|model| prompt_tokens > model.max_prompt_tokens) {
            return Err(refuse(Refusal::PromptTooLong));
        }
        let routing = self.routing(&caller, &ask, index, workspace, prompt_tokens, deadline)?;
        let plan = Plan {
            deadline: routing.deadline,
            idempotent: admission::idempotent(service, &ask.method, &ask.path, ask.idempotent),
            keyed: ask.key.is_some(),
            resumable: ask.model,
            streamed: ask.stream || !ask.model,
            attempts: ATTEMPTS,
        };
        let tokens = prompt_tokens + routing.expected_output_tokens;
        let admitted = self.shell.quota.admit(&workspace.name, tokens);
        let permit = admitted.map_err(|refused| {
            let mut problem = refuse(refused.reason);
            problem.retry_after_ms = Some(refused.retry_after.as_millis() as u64);
            problem
        })?;
        let key = ask
            .key
            .as_ref()
            .map(|key| self.key(&caller, &ask, key, service, deadline));
        Ok(Order {
            service: service.name.clone(),
            workspace: workspace.name.clone(),
            request: caller.request,
            routing,
            plan,
            key,
            hold: caller.hold,
            work: self.shell.drain.begin_work(),
            permit,
            ask,
        })
    }

    fn prompt_tokens(index: &Index, service: &Service, ask: &Ask) -> u64 {
        let counted = ask.prompt_tokens.unwrap_or_default();
        match index.model_of(service) {
            _ if counted > 0 => counted,
            Some(model) => admission::tokens(ask.prompt.len(), model.bytes_per_token_milli),
            None => 0,
        }
    }

    fn routing(
        &self,
        caller: &Caller,
        ask: &Ask,
        index: &Index,
        workspace: &Workspace,
        prompt_tokens: u64,
        deadline: Duration,
    ) -> Result<routing::Request, Problem> {
        let named = ask.priority.as_deref().or(workspace.priority.as_deref());
        let priority = match named.map(|name| index.priority(name)) {
            None => routing::Priority::default(),
            Some(Some(priority)) => routing::Priority {
                // The router serves higher levels first, the file's lower ones go first.
                level: u8::MAX - priority.level,
                aging: Duration::from_millis(priority.aging_ms),
            },
            Some(None) => {
                return Err(self
                    .refuse(Refusal::BadRequest, Some(&caller.request))
                    .with_message("header x-priority names no declared priority"));
            }
        };
        Ok(routing::Request {
            id: caller.request.clone(),
            workspace: workspace.name.clone(),
            weight: workspace.weight,
            priority,
            prompt_tokens,
            expected_output_tokens: ask.max_tokens.unwrap_or(admission::USUAL_OUTPUT_TOKENS),
            prefix: prefix(ask),
            deadline: self.shell.clock.now() + deadline,
            excluded: Vec::new(),
            kind: if ask.model {
                routing::RequestKind::Model
            } else {
                routing::RequestKind::Plain
            },
        })
    }

    fn key(
        &self,
        caller: &Caller,
        ask: &Ask,
        key: &str,
        service: &Service,
        deadline: Duration,
    ) -> Key {
        let parts = [
            service.name.as_str().as_bytes(),
            ask.method.as_bytes(),
            ask.path.as_bytes(),
            &ask.body,
        ];
        let claim = Claim {
            workspace: caller.workspace.clone(),
            key: IdempotencyKey::new(key),
            fingerprint: Digest::of_parts(&parts),
            host: self.shell.settings.host.clone(),
            attempt: AttemptId::new(caller.request.as_str()),
            deadline_ms: deadline.as_millis() as u64,
            retain_ms: RETAIN.as_millis() as u64,
        };
        Key {
            claim,
            service: service.name.clone(),
            resumable: ask.model,
        }
    }
}

impl Admission for Frontend {
    fn open(&self, bearer: Option<&str>) -> Result<Caller, Problem> {
        let request = self.shell.name();
        let current = self.current(Some(&request))?;
        let workspace = bearer.and_then(|key| current.index.caller(key));
        let Some(workspace) = workspace else {
            warn!(self.shell.logger, ""; "event" => "caller_refused", "request" => %request,
                "has_key" => bearer.is_some());
            return Err(self.refuse(Refusal::Unauthorized, Some(&request)));
        };
        Ok(Caller {
            hold: self.shell.bodies.hold(&workspace.name),
            workspace: workspace.name.clone(),
            body_limit: self.shell.settings.limits.body_bytes,
            workspace_limit: workspace.limits.body_bytes,
            request,
        })
    }

    fn enter(&self, caller: Caller, ask: Ask) -> Result<Exchange, Problem> {
        let order = self.order(caller, ask)?;
        let request = order.request.clone();
        let (sender, replies) = mpsc::channel(REPLIES);
        let driver = Driver::new(Arc::clone(&self.shell), order, sender);
        self.shell.requests.spawn(driver.run());
        Ok(Exchange { request, replies })
    }

    fn refused<'a>(
        &'a self,
        workspace: &'a WorkspaceName,
        key: &'a str,
        problem: Problem,
    ) -> Answer<'a, Problem> {
        Box::pin(async move {
            let key = IdempotencyKey::new(key);
            crate::key::checked(&self.shell, workspace, &key, problem).await
        })
    }

    fn is_here(&self, caller: SocketAddr) -> bool {
        let connections = self.connections.get();
        connections.is_none_or(|connections| connections.is_open(caller))
    }

    fn key_state<'a>(
        &'a self,
        bearer: Option<&'a str>,
        key: &'a str,
    ) -> Answer<'a, Result<KeyState, Problem>> {
        Box::pin(async move {
            let caller = self.open(bearer)?;
            let key = IdempotencyKey::new(key);
            let found = self.shell.control.key(&caller.workspace, &key).await;
            let held =
                found.map_err(|_| self.refuse(Refusal::ClaimUnavailable, Some(&caller.request)))?;
            Ok(KeyState {
                key: key.to_string(),
                state: held
                    .as_ref()
                    .map_or_else(|| "never_seen".to_owned(), state_name),
                host: held.map(|held| held.host.to_string()),
            })
        })
    }
}

fn prefix(ask: &Ask) -> Vec<routing::BlockHash> {
    let blocks = kumquatdrum_daemon::prefix::blocks(&ask.body[ask.prompt.clone()]);
    blocks.into_iter().map(routing::BlockHash).collect()
}

fn state_name(held: &kumquatdrum_setup::claim::Holder) -> String {
    match serde_json::to_value(held.settled) {
        Ok(serde_json::Value::String(name)) => name,
        _ => "unknown".to_owned(),
    }
}
