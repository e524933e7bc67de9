//! Admission of requests from the callers' listener.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use kumquatdrum_caller::Admission;
use kumquatdrum_caller::admission::{BoxFuture, Caller, Exchange, KeyState, Problem, Submission};
use kumquatdrum_daemon::admission;
use kumquatdrum_daemon::lifecycle::Policy;
use kumquatdrum_declaration::{Index, Service, Workspace};
use kumquatdrum_process::sockets::Connections;
use kumquatdrum_routing as routing;
use kumquatdrum_setup::{Claim, Digest};
use kumquatdrum_types::{AttemptId, IdempotencyKey, Refusal, RequestId, WorkspaceName};
use slog::warn;
use tokio::sync::mpsc;

use crate::context::Context;
use crate::in_force::Current;
use crate::key::Key;
use crate::request::{Driver, Job};

/// The number of replies buffered for a slow caller.
const REPLY_BUFFER: usize = 256;
/// The maximum number of attempts per request, including the first.
const MAX_ATTEMPTS: u32 = 3;
/// How long the outcome of a keyed request is kept after its deadline.
const KEY_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Admits the requests of one host.
pub struct Frontend {
    context: Arc<Context>,
    connections: OnceLock<Connections>,
}

impl Frontend {
    /// Creates a frontend of the host.
    pub const fn new(context: Arc<Context>) -> Self {
        Self {
            context,
            connections: OnceLock::new(),
        }
    }

    /// Sets the port of the callers' listener, which enables [`Admission::is_connected`].
    pub fn set_port(&self, port: u16) {
        let _ = self.connections.set(Connections::on_port(port));
    }

    fn current(&self, request: Option<&RequestId>) -> Result<Arc<Current>, Problem> {
        let refuse = || self.refuse(Refusal::NoDeclaration, request);
        self.context.in_force.current().ok_or_else(refuse)
    }

    fn refuse(&self, refusal: Refusal, request: Option<&RequestId>) -> Problem {
        let code = kumquatdrum_caller::admission::code(refusal);
        self.context
            .metrics
            .refused
            .with_label_values(&[&code])
            .inc();
        Problem::refused(refusal, None, request.cloned())
    }

    fn admit(&self, caller: Caller, submission: Submission) -> Result<Job, Problem> {
        let current = self.current(Some(&caller.request))?;
        let index = &current.index;
        let refuse = |refusal| self.refuse(refusal, Some(&caller.request));
        let workspace = index.workspace(caller.workspace.as_str());
        let workspace = workspace.ok_or_else(|| refuse(Refusal::Unauthorized))?;
        let service = index
            .service_for(workspace, &submission.service)
            .filter(|service| index.model_of(service).is_some() == submission.is_model_request)
            .ok_or_else(|| refuse(Refusal::UnknownService))?;
        let deadline = admission::resolve_deadline(service, submission.deadline);
        let prompt_tokens = Self::estimate_prompt_tokens(index, service, &submission);
        let model = index.model_of(service);
        if model.is_some_and(|model| prompt_tokens > model.max_prompt_tokens) {
            return Err(refuse(Refusal::PromptTooLong));
        }
        let routing = self.build_routing(
            &caller,
            &submission,
            index,
            workspace,
            prompt_tokens,
            deadline,
        )?;
        let policy = Policy {
            deadline: routing.deadline,
            is_idempotent: admission::is_idempotent(
                service,
                &submission.method,
                &submission.path,
                submission.is_idempotent,
            ),
            has_key: submission.key.is_some(),
            is_resumable: submission.is_model_request,
            is_streamed: submission.is_streamed || !submission.is_model_request,
            max_attempts: MAX_ATTEMPTS,
        };
        let tokens = prompt_tokens + routing.expected_output_tokens;
        let admitted = self.context.quota.admit(&workspace.name, tokens);
        let permit = admitted.map_err(|refused| {
            let mut problem = refuse(refused.reason);
            problem.retry_after_ms = Some(refused.retry_after.as_millis() as u64);
            problem
        })?;
        let key = submission
            .key
            .as_ref()
            .map(|key| self.build_key(&caller, &submission, key, service, deadline));
        Ok(Job {
            service: service.name.clone(),
            workspace: workspace.name.clone(),
            request: caller.request,
            routing,
            policy,
            key,
            allocation: caller.allocation,
            work: self.context.drain.begin_work(),
            permit,
            submission,
        })
    }

    fn estimate_prompt_tokens(index: &Index, service: &Service, submission: &Submission) -> u64 {
        let counted = submission.prompt_tokens.unwrap_or_default();
        match index.model_of(service) {
            _ if counted > 0 => counted,
            Some(model) => {
                admission::estimate_tokens(submission.prompt.len(), model.bytes_per_token_milli)
            }
            None => 0,
        }
    }

    fn build_routing(
        &self,
        caller: &Caller,
        submission: &Submission,
        index: &Index,
        workspace: &Workspace,
        prompt_tokens: u64,
        deadline: Duration,
    ) -> Result<routing::Request, Problem> {
        let priority_name = submission
            .priority
            .as_deref()
            .or(workspace.priority.as_deref());
        let priority = match priority_name.map(|name| index.priority(name)) {
            None => routing::Priority::default(),
            Some(Some(priority)) => routing::Priority {
                // Higher levels go first in the router, lower ones in the declaration.
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
            expected_output_tokens: submission
                .max_tokens
                .unwrap_or(admission::DEFAULT_OUTPUT_TOKENS),
            prefix: hash_prefix(submission),
            deadline: self.context.clock.now() + deadline,
            excluded: Vec::new(),
            kind: if submission.is_model_request {
                routing::RequestKind::Model
            } else {
                routing::RequestKind::Plain
            },
        })
    }

    fn build_key(
        &self,
        caller: &Caller,
        submission: &Submission,
        key: &str,
        service: &Service,
        deadline: Duration,
    ) -> Key {
        let parts = [
            service.name.as_str().as_bytes(),
            submission.method.as_bytes(),
            submission.path.as_bytes(),
            &submission.body,
        ];
        let claim = Claim {
            workspace: caller.workspace.clone(),
            key: IdempotencyKey::new(key),
            fingerprint: Digest::of_parts(&parts),
            host: self.context.settings.host.clone(),
            attempt: AttemptId::new(caller.request.as_str()),
            deadline_ms: deadline.as_millis() as u64,
            retain_ms: KEY_RETENTION.as_millis() as u64,
        };
        Key {
            claim,
            service: service.name.clone(),
            is_resumable: submission.is_model_request,
        }
    }
}

impl Admission for Frontend {
    fn authenticate(&self, bearer: Option<&str>) -> Result<Caller, Problem> {
        let request = self.context.next_request_id();
        let current = self.current(Some(&request))?;
        let workspace = bearer.and_then(|key| current.index.workspace_by_key(key));
        let Some(workspace) = workspace else {
            warn!(self.context.logger, ""; "event" => "caller_refused", "request" => %request,
                "has_key" => bearer.is_some());
            return Err(self.refuse(Refusal::Unauthorized, Some(&request)));
        };
        Ok(Caller {
            allocation: self.context.body_budget.allocate(&workspace.name),
            workspace: workspace.name.clone(),
            body_limit: self.context.settings.limits.body_bytes,
            workspace_limit: workspace.limits.body_bytes,
            request,
        })
    }

    fn submit(&self, caller: Caller, submission: Submission) -> Result<Exchange, Problem> {
        let job = self.admit(caller, submission)?;
        let request = job.request.clone();
        let (sender, replies) = mpsc::channel(REPLY_BUFFER);
        let driver = Driver::new(Arc::clone(&self.context), job, sender);
        self.context.requests.spawn(driver.run());
        Ok(Exchange { request, replies })
    }

    fn resolve_refusal<'a>(
        &'a self,
        workspace: &'a WorkspaceName,
        key: &'a str,
        problem: Problem,
    ) -> BoxFuture<'a, Problem> {
        Box::pin(async move {
            let key = IdempotencyKey::new(key);
            crate::key::reconcile_problem(&self.context, workspace, &key, problem).await
        })
    }

    fn is_connected(&self, caller: SocketAddr) -> bool {
        let connections = self.connections.get();
        connections.is_none_or(|connections| connections.is_open(caller))
    }

    fn key_state<'a>(
        &'a self,
        bearer: Option<&'a str>,
        key: &'a str,
    ) -> BoxFuture<'a, Result<KeyState, Problem>> {
        Box::pin(async move {
            let caller = self.authenticate(bearer)?;
            let key = IdempotencyKey::new(key);
            let found = self.context.control.key(&caller.workspace, &key).await;
            let holder =
                found.map_err(|_| self.refuse(Refusal::ClaimUnavailable, Some(&caller.request)))?;
            Ok(KeyState {
                key: key.to_string(),
                state: holder
                    .as_ref()
                    .map_or_else(|| "never_seen".to_owned(), state_name),
                host: holder.map(|holder| holder.host.to_string()),
            })
        })
    }
}

fn hash_prefix(submission: &Submission) -> Vec<routing::BlockHash> {
    let blocks =
        kumquatdrum_daemon::prefix::hash_blocks(&submission.body[submission.prompt.clone()]);
    blocks.into_iter().map(routing::BlockHash).collect()
}

fn state_name(holder: &kumquatdrum_setup::claim::Holder) -> String {
    match serde_json::to_value(holder.settled) {
        Ok(serde_json::Value::String(name)) => name,
        _ => "unknown".to_owned(),
    }
}
