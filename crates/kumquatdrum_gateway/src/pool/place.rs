//! Places a job on an endpoint, by the kind of service.

use std::sync::Arc;

use kumquatdrum_fanout::Urgency;
use kumquatdrum_placement::{Decision, Diagnostics, Job, Plan, Refusal};
use slog::info;

use super::hold::{is_any_held, without};
use super::{Pick, Policy, Pool, Prefiller, Rejection, Service, State};
use crate::holds::Purpose;
use crate::message::Event;
use crate::protocol::Helper;

impl Pool {
    /// Picks an endpoint, or `None` if all endpoints have reached their limits or are held back.
    /// Leaving endpoints serve what the others can't.
    pub(super) fn try_pick(
        self: &Arc<Self>,
        service: &Arc<Service>,
        request: &str,
        job: &Job,
    ) -> Result<Option<Pick>, Rejection> {
        self.note_activity();
        let mut state = service.state.lock();
        let held = self.dependencies.holds.held(state.directory.keys());
        let avoided = self.avoided(&state, job, &held);
        let is_held = is_any_held(&held, job);
        let staying = without(job, avoided.iter().chain(state.leaving.keys()));
        let picked = self.pick_among(service, &mut state, (request, &staying), is_held);
        if state.leaving.is_empty()
            || !matches!(
                picked,
                Ok(None) | Err(Rejection::NoEndpoint | Rejection::TooLarge)
            )
        {
            return picked;
        }
        let too_early = self.leaves_too_early(&state, job);
        let last_resort = without(job, avoided.iter().chain(&too_early));
        match self.pick_among(service, &mut state, (request, &last_resort), is_held) {
            Ok(Some(mut pick)) => {
                pick.purpose = Purpose::LastResort;
                Ok(Some(pick))
            }
            _ => picked,
        }
    }

    /// Picks an endpoint that the job doesn't exclude. `is_held` states whether another one is held
    /// back from it.
    fn pick_among(
        self: &Arc<Self>,
        service: &Arc<Service>,
        state: &mut State,
        (request, job): (&str, &Job),
        is_held: bool,
    ) -> Result<Option<Pick>, Rejection> {
        let picked = match state.policy {
            Policy::Engines(_) => self.pick_engine(service, state, (request, job), is_held),
            Policy::Plain(_) => self.pick_plain(service, state, job, is_held),
        };
        if let Ok(Some(pick)) = &picked {
            self.count_moved(state, pick.key);
        }
        picked
    }

    /// Picks an engine, see [`Self::pick_among`].
    fn pick_engine(
        self: &Arc<Self>,
        service: &Arc<Service>,
        state: &mut State,
        (request, job): (&str, &Job),
        is_held: bool,
    ) -> Result<Option<Pick>, Rejection> {
        let now = self.dependencies.clock.now();
        if is_held && !state.can_hold(job) {
            return Err(Rejection::TooLarge);
        }
        let Policy::Engines(planner) = &mut state.policy else {
            return Err(Rejection::NoEndpoint);
        };
        let (plan, diagnostics) = match planner.place(now, job) {
            Decision::Send(plan, diagnostics) => (plan, diagnostics),
            Decision::Wait(waiter) => return Err(Rejection::NoCapacity(waiter)),
            Decision::Expired => return Err(Rejection::Expired),
            Decision::TooCostly(refusal) => {
                self.log_refusal(request, job, &refusal);
                return Err(Rejection::TooCostly);
            }
            Decision::TooLarge | Decision::NoEngine if is_held => return Ok(None),
            Decision::TooLarge => return Err(Rejection::TooLarge),
            Decision::Limited => return Ok(None),
            Decision::NoEngine => return Err(Rejection::NoEndpoint),
        };
        self.dependencies.holds.admit(plan.first);
        let pick = self.dispatch(service, state, (request, job), plan, &diagnostics)?;
        Ok(Some(pick))
    }

    /// Picks an endpoint of a plain service, see [`Self::pick_among`].
    fn pick_plain(
        self: &Arc<Self>,
        service: &Arc<Service>,
        state: &mut State,
        job: &Job,
        is_held: bool,
    ) -> Result<Option<Pick>, Rejection> {
        let now = self.dependencies.clock.now();
        let Policy::Plain(balancer) = &mut state.policy else {
            return Err(Rejection::NoEndpoint);
        };
        let Some(key) = balancer.choose(now, &job.excluded) else {
            return if is_held || balancer.has_exhausted(now, &job.excluded) {
                Ok(None)
            } else {
                Err(Rejection::NoEndpoint)
            };
        };
        self.dependencies.holds.admit(key);
        let is_limited = balancer.limits().contains(key);
        let endpoint = state.directory.get(&key).cloned();
        let endpoint = endpoint.ok_or(Rejection::NoEndpoint)?;
        if is_limited {
            let event = Event::Taken(service.name.clone(), key, self.dependencies.number);
            self.broadcast(event, Urgency::Urgent);
        }
        Ok(Some(Pick {
            pool: self.clone(),
            service: service.clone(),
            endpoint,
            key,
            prefillers: Vec::new(),
            purpose: Purpose::Work,
            job: None,
            urgency: Urgency::Usual,
            picked_at: now,
        }))
    }

    fn dispatch(
        self: &Arc<Self>,
        service: &Arc<Service>,
        state: &State,
        (request, job): (&str, &Job),
        plan: Plan,
        diagnostics: &Diagnostics,
    ) -> Result<Pick, Rejection> {
        let endpoint = state.directory.get(&plan.first).cloned();
        let endpoint = endpoint.ok_or(Rejection::NoEndpoint)?;
        let helpers = plan.helpers.iter().enumerate();
        let helpers = helpers.filter_map(|(place, part)| {
            let helper = state.directory.get(&part.endpoint)?;
            let name = || format!("{:x}-{:x}-{place}", plan.job.host, plan.job.number);
            Some(Prefiller {
                endpoint: helper.clone(),
                key: part.endpoint,
                reserved_tokens: u64::from(part.reserved_tokens),
                helper: Helper {
                    address: helper.address,
                    reservation: (part.reserved_tokens > 0).then(name),
                },
            })
        });
        info!(self.dependencies.logger, "placed"; "event" => "placed", "request" => request,
            "endpoint" => endpoint.id.as_str(), "prompt" => job.prompt_tokens,
            "readers" => plan.helpers.len() + 1, "helpers" => helper_names(state, &plan),
            "part_ms" => format!("{:.1}", plan.part_ms),
            "engines" => diagnostics.engines, "backlog_ms" => format!("{:.1}", diagnostics.backlog_ms),
            "writers" => diagnostics.decodes, "pass_ms" => format!("{:.1}", diagnostics.pass_ms),
            "waited_ms" => (self.dependencies.clock.now() - job.arrived).as_millis() as u64);
        let urgency = urgency(&plan);
        let pick = Pick {
            pool: self.clone(),
            service: service.clone(),
            endpoint,
            key: plan.first,
            prefillers: helpers.collect(),
            purpose: Purpose::Work,
            job: Some(plan.job),
            urgency,
            picked_at: self.dependencies.clock.now(),
        };
        self.broadcast(Event::Sent(service.name.clone(), plan), urgency);
        Ok(pick)
    }

    fn log_refusal(&self, request: &str, job: &Job, refusal: &Refusal) {
        info!(self.dependencies.logger, "too_costly"; "event" => "too_costly",
            "request" => request, "prompt" => job.prompt_tokens, "harm" => ?refusal.harm,
            "engines" => refusal.engines, "ready" => refusal.ready,
            "part_ms" => format!("{:.1}", refusal.part_ms),
            "left_ms" => (job.due - self.dependencies.clock.now()).as_millis() as u64);
    }
}

/// Returns the urgency of events about a plan.
fn urgency(plan: &Plan) -> Urgency {
    if plan.has_long_prefill() {
        Urgency::Urgent
    } else {
        Urgency::Usual
    }
}

/// Returns the ids of a plan's helpers, for logs.
fn helper_names(state: &State, plan: &Plan) -> String {
    let helpers = plan.helpers.iter();
    let helpers = helpers.filter_map(|part| state.directory.get(&part.endpoint));
    let names: Vec<&str> = helpers.map(|helper| helper.id.as_str()).collect();
    names.join(",")
}
