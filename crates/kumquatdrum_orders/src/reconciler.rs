//! The state machine that issues the orders.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_declaration::{Declaration, Index};
use kumquatdrum_types::{BootId, EndpointId, ModelName, Moment, ServiceName, Version};

use crate::bucket::Bucket;
use crate::endpoint::{Attempt, Endpoint, Probe};
use crate::{
    Action, Answer, Event, Input, Leadership, Order, OrderId, Output, Record, Report, Settings,
    rule,
};

/// The interval of reconciliation while a model differs from its declaration; the minimum
/// interval otherwise.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long an order is withheld before this is logged.
const WITHHELD_LOG_DELAY: Duration = Duration::from_secs(10);

/// The state of one term of leadership.
#[derive(Debug)]
pub(crate) struct Term {
    number: u64,
    pub(crate) started_at: Moment,
    pub(crate) lease_until: Option<Moment>,
    load_bucket: Bucket,
    last_sequence: u64,
}

/// An order that can be issued now.
#[derive(Debug)]
struct Candidate {
    /// Serving replicas of the model, then those at its version, in thousandths of the declared
    /// replicas. The lowest goes first.
    serving_share: (u64, u64),
    endpoint: EndpointId,
    action: Action,
}

/// Compares the declaration with the engines' reports and issues orders for the difference.
///
/// Orders are issued on [`Input::Tick`], [`Input::Answered`] and [`Input::Leadership`]; the last
/// must come several times within a lease. Each [`Output::Send`] must be answered by one
/// [`Input::Answered`], and each [`Output::Probe`] by one [`Input::Reported`], within bounded time.
#[derive(Debug)]
pub struct Reconciler {
    pub(crate) settings: Settings,
    declared: Option<(Version, Index)>,
    pub(crate) endpoints: IndexMap<EndpointId, Endpoint>,
    pub(crate) term: Option<Term>,
    /// The last term in which an engine answered with a higher fencing token.
    superseded_term: Option<u64>,
}

impl Reconciler {
    /// Creates a reconciler that isn't the leader.
    ///
    /// ```
    /// use kumquatdrum_orders::{Input, Reconciler, Settings};
    /// use kumquatdrum_types::Moment;
    /// let mut reconciler = Reconciler::new(Settings::default());
    /// assert!(reconciler.step(Moment::ZERO, Input::Tick).is_empty());
    /// ```
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            declared: None,
            endpoints: IndexMap::new(),
            term: None,
            superseded_term: None,
        }
    }

    /// Handles an input and returns the work that follows from it.
    pub fn step(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        // Announcements and reports are frequent, so they don't trigger a reconciliation.
        let is_trigger = matches!(
            input,
            Input::Leadership(_) | Input::Answered(..) | Input::Tick
        );
        match input {
            Input::Declared(version, declaration) => self.declare(version, declaration),
            Input::Announced {
                endpoint,
                boot,
                service,
            } => self.handle_announcement(now, endpoint, boot, service),
            Input::Gone(endpoint) => self.handle_departure(&endpoint),
            Input::Reported(endpoint, report) => {
                self.handle_report(now, &endpoint, report, &mut outputs);
            }
            Input::Leadership(leadership) => self.update_leadership(now, leadership),
            Input::Answered(id, answer) => self.handle_answer(now, id, answer, &mut outputs),
            Input::Tick => {}
        }
        if is_trigger {
            self.reconcile(now, &mut outputs);
        }
        outputs
    }

    fn declare(&mut self, version: Version, declaration: Arc<Declaration>) {
        let known = self.declared.as_ref().map(|(known, _)| *known);
        if known.is_none_or(|known| known < version) {
            self.declared = Some((version, Index::new(declaration)));
        }
    }

    fn handle_announcement(
        &mut self,
        now: Moment,
        id: EndpointId,
        boot: BootId,
        service: ServiceName,
    ) {
        match self.endpoints.get_mut(&id) {
            Some(known) if known.boot > boot => {}
            Some(known) if known.boot < boot => known.reset_for_boot(now, boot, service),
            Some(known) => {
                known.is_present = true;
                known.service = service;
            }
            None => {
                self.endpoints.insert(id, Endpoint::new(now, boot, service));
            }
        }
    }

    fn handle_departure(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.is_present = false;
        }
    }

    fn update_leadership(&mut self, now: Moment, leadership: Option<Leadership>) {
        match (leadership, &mut self.term) {
            (None, _) => self.term = None,
            (Some(proved), Some(term)) if term.number == proved.term => {
                term.lease_until = proved.lease_until;
            }
            (Some(proved), _) => self.take_over(now, proved),
        }
    }

    fn take_over(&mut self, now: Moment, proved: Leadership) {
        self.term = Some(Term {
            number: proved.term,
            started_at: now,
            lease_until: proved.lease_until,
            load_bucket: Bucket::new(now, self.settings.loads_per_minute),
            last_sequence: 0,
        });
        for endpoint in self.endpoints.values_mut() {
            endpoint.reset(now);
        }
    }

    fn handle_report(
        &mut self,
        now: Moment,
        id: &EndpointId,
        report: Option<Report>,
        outputs: &mut Vec<Output>,
    ) {
        let settings = &self.settings;
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return;
        };
        let Some(probe) = endpoint.probe.take() else {
            return;
        };
        match report {
            _ if probe.is_stale => {}
            Some(report) if report.boot == endpoint.boot => {
                endpoint.failed_probes = 0;
                endpoint.next_probe_at = now + settings.idle_probe_interval;
                outputs.extend(apply_report(endpoint, &report));
                endpoint.report = Some((report, probe.sent_at));
            }
            _ => {
                endpoint.report = None;
                endpoint.failed_probes += 1;
                endpoint.next_probe_at = now + settings.backoff(endpoint.failed_probes);
            }
        }
    }

    fn handle_answer(
        &mut self,
        now: Moment,
        id: OrderId,
        answer: Answer,
        outputs: &mut Vec<Output>,
    ) {
        let awaits =
            |endpoint: &Endpoint| endpoint.pending_order.as_ref().is_some_and(|o| o.id == id);
        let found = self.endpoints.iter_mut().find(|(_, e)| awaits(e));
        let Some((name, endpoint)) = found else {
            return;
        };
        let Some(order) = endpoint.pending_order.take() else {
            return;
        };
        let is_current = self
            .term
            .as_ref()
            .is_some_and(|term| term.number == id.fencing);
        endpoint.report = None;
        endpoint.next_probe_at = now;
        if let Some(last) = &mut endpoint.last_attempt {
            last.retry_at = now + self.settings.backoff(last.count);
        }
        let record = |event: Event| {
            Output::Audit(Record {
                event,
                endpoint: name.clone(),
                order: Some(id),
                action: order.action.clone(),
            })
        };
        match answer {
            Answer::Accepted if order.action == Action::Fence => {
                endpoint.is_fenced = is_current && order.boot == endpoint.boot;
            }
            Answer::Accepted => {}
            Answer::Refused { reason } => {
                endpoint.is_load_ordered = false;
                outputs.push(record(Event::Refused(reason)));
            }
            Answer::Lost { reason } => {
                // The order may still arrive; an earlier report wouldn't show its effect.
                endpoint.next_probe_at = now + self.settings.delivery_timeout;
                outputs.push(record(Event::Lost(reason)));
            }
            Answer::NotSent => {
                endpoint.is_load_ordered = false;
                outputs.push(record(Event::NotSent));
            }
            Answer::Fenced { current } => {
                endpoint.is_load_ordered = false;
                self.superseded_term = self.superseded_term.max(Some(id.fencing));
                outputs.push(record(Event::SteppedDown(current)));
            }
        }
    }

    fn reconcile(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        self.endpoints
            .retain(|_, endpoint| endpoint.is_present || !endpoint.is_idle());
        let superseded_term = self.superseded_term;
        let is_leading = |term: &Term| Some(term.number) > superseded_term;
        if self.declared.is_none() || !self.term.as_ref().is_some_and(is_leading) {
            return;
        }
        let changing = self.changing_models();
        self.send_fences(now, outputs);
        self.send_probes(now, &changing, outputs);
        while let Some(candidate) = self.next_candidate(now) {
            self.send_order(now, candidate.endpoint, candidate.action, outputs);
        }
        self.log_withheld(now, outputs);
        outputs.push(Output::Wake(self.next_wake(now, &changing)));
    }

    fn next_wake(&self, now: Moment, changing: &IndexSet<ModelName>) -> Moment {
        let due_times = self
            .endpoints
            .values()
            .map(|endpoint| endpoint.next_probe_at);
        let next = due_times.min().unwrap_or(Moment::NEVER);
        let soon = now + RECHECK_INTERVAL;
        if changing.is_empty() {
            next.max(soon)
        } else {
            soon
        }
    }

    pub(crate) fn index(&self) -> Option<&Index> {
        self.declared.as_ref().map(|(_, index)| index)
    }

    /// Sends the new fencing token to engines that check it, ahead of any other order.
    fn send_fences(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Some((_, index)) = &self.declared else {
            return;
        };
        let is_due = |(id, endpoint): &(&EndpointId, &Endpoint)| {
            rule::checks_fencing(index, id)
                && !endpoint.is_fenced
                && endpoint.is_present
                && endpoint.is_idle()
                && can_retry(now, endpoint, &Action::Fence)
        };
        let due = self.endpoints.iter().filter(is_due);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.send_order(now, id, Action::Fence, outputs);
        }
    }

    fn send_probes(
        &mut self,
        now: Moment,
        changing: &IndexSet<ModelName>,
        outputs: &mut Vec<Output>,
    ) {
        let in_flight = self.endpoints.values().filter(|e| e.probe.is_some());
        let capacity = self.settings.max_probes.saturating_sub(in_flight.count());
        let is_old = |endpoint: &Endpoint| match &endpoint.report {
            Some((_, at)) => now - *at >= self.settings.changing_probe_interval,
            None => false,
        };
        let is_due = |(id, endpoint): &(&EndpointId, &Endpoint)| {
            let is_changing = |model: &ModelName| changing.contains(model);
            let is_wanted = endpoint.next_probe_at <= now
                || (is_old(endpoint) && self.models_of(id, endpoint).any(is_changing));
            is_wanted
                && endpoint.is_present
                && endpoint.is_idle()
                && self.is_takeover_complete(now, id, endpoint)
        };
        let mut due: Vec<_> = self.endpoints.iter().filter(is_due).collect();
        due.sort_by_key(|(_, endpoint)| endpoint.report.as_ref().map(|(_, at)| *at));
        let due = due.into_iter().take(capacity).map(|(id, _)| id.clone());
        let due: Vec<EndpointId> = due.collect();
        for id in due {
            self.endpoints[&id].probe = Some(Probe {
                sent_at: now,
                is_stale: false,
            });
            outputs.push(Output::Probe(id));
        }
    }

    /// Returns the order for the model with the lowest share of serving replicas, among those that
    /// can be issued now.
    fn next_candidate(&self, now: Moment) -> Option<Candidate> {
        let candidates = self.endpoints.iter();
        let candidates = candidates.filter_map(|(id, e)| self.find_candidate(now, id, e));
        candidates.min_by_key(|candidate| candidate.serving_share)
    }

    fn find_candidate(
        &self,
        now: Moment,
        id: &EndpointId,
        endpoint: &Endpoint,
    ) -> Option<Candidate> {
        self.valid_report(now, endpoint)?;
        let (model, action) = self.next_action(id, endpoint)?;
        let can_issue = endpoint.is_idle()
            && self.is_takeover_complete(now, id, endpoint)
            && can_retry(now, endpoint, &action)
            && self.send_until(id) >= now
            && (!action.is_load() || self.term.as_ref()?.load_bucket.has_token(now))
            && !self.is_last_replica(now, id, endpoint, &action)
            && !self.is_other_replica_loading(id, endpoint, &action);
        let (serving, current) = self.count_serving(model);
        let share = |count: u32| u64::from(count) * 1_000 / u64::from(model.replicas.max(1));
        can_issue.then(|| Candidate {
            serving_share: (share(serving), share(current)),
            endpoint: id.clone(),
            action,
        })
    }

    fn send_order(
        &mut self,
        now: Moment,
        id: EndpointId,
        action: Action,
        outputs: &mut Vec<Output>,
    ) {
        let send_until = self.send_until(&id);
        let Some(term) = &mut self.term else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        term.last_sequence += 1;
        if action.is_load() {
            term.load_bucket.take_token(now);
        }
        let order = Order {
            id: OrderId {
                fencing: term.number,
                sequence: term.last_sequence,
            },
            endpoint: id,
            boot: endpoint.boot,
            action,
            send_until,
        };
        let previous = endpoint.last_attempt.as_ref();
        let previous = previous.filter(|last| last.order.action == order.action && !last.is_done);
        endpoint.last_attempt = Some(Attempt {
            order: order.clone(),
            count: previous.map_or(1, |last| last.count + 1),
            retry_at: now,
            is_done: false,
        });
        endpoint.is_load_ordered = matches!(order.action, Action::LoadModel { .. });
        endpoint.pending_order = Some(order.clone());
        if order.action != Action::Fence {
            outputs.push(audit_record(Event::Sent, &order));
        }
        outputs.push(Output::Send(order));
    }

    /// Logs each order that has been withheld for long, once.
    fn log_withheld(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let is_withheld = |id: &EndpointId, endpoint: &Endpoint| {
            let action = self.next_action(id, endpoint).map(|(_, action)| action)?;
            self.is_last_replica(now, id, endpoint, &action)
                .then_some(action)
        };
        let withheld = self.endpoints.iter().map(|(id, e)| is_withheld(id, e));
        let withheld: Vec<_> = withheld.collect();
        for ((id, endpoint), action) in self.endpoints.iter_mut().zip(withheld) {
            let Some(action) = action else {
                let is_known = endpoint.report.is_some();
                endpoint.withheld_since = endpoint.withheld_since.filter(|_| !is_known);
                endpoint.is_withheld_logged &= !is_known;
                continue;
            };
            let since = *endpoint.withheld_since.get_or_insert(now);
            if now - since >= WITHHELD_LOG_DELAY && !endpoint.is_withheld_logged {
                endpoint.is_withheld_logged = true;
                outputs.push(Output::Audit(Record {
                    event: Event::Withheld,
                    endpoint: id.clone(),
                    order: None,
                    action,
                }));
            }
        }
    }
}

/// Returns whether the backoff after an action's last failure is over.
fn can_retry(now: Moment, endpoint: &Endpoint, action: &Action) -> bool {
    let last = endpoint.last_attempt.as_ref();
    let mut last = last
        .filter(|last| last.order.action == *action && !last.is_done)
        .into_iter();
    last.all(|last| now >= last.retry_at)
}

fn apply_report(endpoint: &mut Endpoint, report: &Report) -> Option<Output> {
    endpoint.is_load_ordered &= report.role == crate::Role::Loading;
    let last = endpoint.last_attempt.as_mut()?;
    let is_done = !last.is_done && last.order.action.is_done(report);
    last.is_done |= is_done;
    is_done.then(|| audit_record(Event::Done, &last.order))
}

fn audit_record(event: Event, order: &Order) -> Output {
    Output::Audit(Record {
        event,
        endpoint: order.endpoint.clone(),
        order: Some(order.id),
        action: order.action.clone(),
    })
}
