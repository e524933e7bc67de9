//! The state machine that gives the orders.

use std::sync::Arc;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_declaration::{Declaration, Index};
use kumquatdrum_types::{BootId, EndpointId, ModelName, Moment, ServiceName, Version};

use crate::bucket::Bucket;
use crate::endpoint::{Attempt, Endpoint, Question};
use crate::{
    Action, Answer, Event, Input, Leadership, Order, OrderId, Output, Record, Report, Settings,
    rule,
};

/// A leader with something to do looks again after this.
const LOOK_AGAIN: Duration = Duration::from_millis(100);
/// An order that is withheld for this long is written down.
const WITHHELD_LONG: Duration = Duration::from_secs(10);

#[derive(Debug)]
pub(crate) struct Leading {
    term: u64,
    pub(crate) since: Moment,
    pub(crate) lease_until: Option<Moment>,
    store: Bucket,
    sequence: u64,
}

/// An order that could be given now.
#[derive(Debug)]
struct Candidate {
    /// Replicas serving the model, then those at its version too, in thousandths of the declared.
    need: (u64, u64),
    endpoint: EndpointId,
    action: Action,
}

/// Compares the declaration with what engines report and gives orders for the difference.
///
/// It decides on a tick, on an answer and where leadership is told, which must be several times
/// within a lease. Each [`Output::Send`] must be answered by one [`Input::Answered`], and each [`Output::Probe`] by
/// one [`Input::Reported`], within bounded time.
#[derive(Debug)]
pub struct Reconciler {
    pub(crate) settings: Settings,
    declared: Option<(Version, Index)>,
    pub(crate) endpoints: IndexMap<EndpointId, Endpoint>,
    pub(crate) leading: Option<Leading>,
    /// The term in which an engine has told of a later leader.
    deposed: Option<u64>,
}

impl Reconciler {
    /// A reconciler that leads nothing yet.
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
            leading: None,
            deposed: None,
        }
    }

    /// Takes an input in and says what is to be done.
    pub fn step(&mut self, now: Moment, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        // Announcements and reports come in great numbers; what follows from them waits.
        let decides = matches!(
            input,
            Input::Leadership(_) | Input::Answered(..) | Input::Tick
        );
        match input {
            Input::Declared(version, declaration) => self.declare(version, declaration),
            Input::Announced {
                endpoint,
                boot,
                service,
            } => self.announced(now, endpoint, boot, service),
            Input::Gone(endpoint) => self.gone(&endpoint),
            Input::Reported(endpoint, report) => {
                self.reported(now, &endpoint, report, &mut outputs);
            }
            Input::Leadership(leadership) => self.leadership(now, leadership),
            Input::Answered(id, answer) => self.answered(now, id, answer, &mut outputs),
            Input::Tick => {}
        }
        if decides {
            self.decide(now, &mut outputs);
        }
        outputs
    }

    fn declare(&mut self, version: Version, declaration: Arc<Declaration>) {
        let known = self.declared.as_ref().map(|(known, _)| *known);
        if known.is_none_or(|known| known < version) {
            self.declared = Some((version, Index::new(declaration)));
        }
    }

    fn announced(&mut self, now: Moment, id: EndpointId, boot: BootId, service: ServiceName) {
        match self.endpoints.get_mut(&id) {
            Some(known) if known.boot > boot => {}
            Some(known) if known.boot < boot => known.reboot(now, boot, service),
            Some(known) => {
                known.is_present = true;
                known.service = service;
            }
            None => {
                self.endpoints.insert(id, Endpoint::new(now, boot, service));
            }
        }
    }

    fn gone(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.is_present = false;
        }
    }

    fn leadership(&mut self, now: Moment, leadership: Option<Leadership>) {
        match (leadership, &mut self.leading) {
            (None, _) => self.leading = None,
            (Some(proved), Some(leading)) if leading.term == proved.term => {
                leading.lease_until = proved.lease_until;
            }
            (Some(proved), _) => self.take_over(now, proved),
        }
    }

    fn take_over(&mut self, now: Moment, proved: Leadership) {
        self.leading = Some(Leading {
            term: proved.term,
            since: now,
            lease_until: proved.lease_until,
            store: Bucket::new(now, self.settings.loads_per_minute),
            sequence: 0,
        });
        for endpoint in self.endpoints.values_mut() {
            endpoint.start_over(now);
        }
    }

    fn reported(
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
        let Some(question) = endpoint.question.take() else {
            return;
        };
        match report {
            _ if question.is_void => {}
            Some(report) if report.boot == endpoint.boot => {
                endpoint.failed_questions = 0;
                endpoint.ask_at = now + settings.idle_interval;
                outputs.extend(take_report(endpoint, &report));
                endpoint.report = Some((report, question.asked_at));
            }
            _ => {
                endpoint.report = None;
                endpoint.failed_questions += 1;
                endpoint.ask_at = now + settings.backoff(endpoint.failed_questions);
            }
        }
    }

    fn answered(&mut self, now: Moment, id: OrderId, answer: Answer, outputs: &mut Vec<Output>) {
        let awaits = |endpoint: &Endpoint| endpoint.pending.as_ref().is_some_and(|o| o.id == id);
        let found = self.endpoints.iter_mut().find(|(_, e)| awaits(e));
        let Some((name, endpoint)) = found else {
            return;
        };
        let Some(order) = endpoint.pending.take() else {
            return;
        };
        let is_current = self.leading.as_ref().is_some_and(|l| l.term == id.fencing);
        endpoint.report = None;
        endpoint.ask_at = now;
        if let Some(last) = &mut endpoint.last {
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
                endpoint.is_away = false;
                outputs.push(record(Event::Refused(reason)));
            }
            Answer::Lost { reason } => {
                // It may still arrive; a report that is asked for before then proves nothing.
                endpoint.ask_at = now + self.settings.delivery_timeout;
                outputs.push(record(Event::Lost(reason)));
            }
            Answer::NotSent => {
                endpoint.is_away = false;
                outputs.push(record(Event::NotSent));
            }
            Answer::Fenced { current } => {
                endpoint.is_away = false;
                self.deposed = self.deposed.max(Some(id.fencing));
                outputs.push(record(Event::SteppedDown(current)));
            }
        }
    }

    fn decide(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        self.endpoints
            .retain(|_, endpoint| endpoint.is_present || !endpoint.is_idle());
        let deposed = self.deposed;
        let leads = |leading: &Leading| Some(leading.term) > deposed;
        if self.declared.is_none() || !self.leading.as_ref().is_some_and(leads) {
            return;
        }
        let changing = self.changing();
        self.fence(now, outputs);
        self.ask(now, &changing, outputs);
        while let Some(candidate) = self.most_needed(now) {
            self.send(now, candidate.endpoint, candidate.action, outputs);
        }
        self.withhold(now, outputs);
        outputs.push(Output::Wake(self.next_look(now, &changing)));
    }

    fn next_look(&self, now: Moment, changing: &IndexSet<ModelName>) -> Moment {
        let asks = self.endpoints.values().map(|endpoint| endpoint.ask_at);
        let next = asks.min().unwrap_or(Moment::NEVER);
        let soon = now + LOOK_AGAIN;
        if changing.is_empty() {
            next.max(soon)
        } else {
            soon
        }
    }

    pub(crate) fn index(&self) -> Option<&Index> {
        self.declared.as_ref().map(|(_, index)| index)
    }

    /// Tells engines that check it the new fencing number before anything else.
    fn fence(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Some((_, index)) = &self.declared else {
            return;
        };
        let is_due = |(id, endpoint): &(&EndpointId, &Endpoint)| {
            rule::checks_fencing(index, id)
                && !endpoint.is_fenced
                && endpoint.is_present
                && endpoint.is_idle()
                && may_try(now, endpoint, &Action::Fence)
        };
        let due = self.endpoints.iter().filter(is_due);
        let due: Vec<_> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.send(now, id, Action::Fence, outputs);
        }
    }

    fn ask(&mut self, now: Moment, changing: &IndexSet<ModelName>, outputs: &mut Vec<Output>) {
        let under_way = self.endpoints.values().filter(|e| e.question.is_some());
        let room = self.settings.questions.saturating_sub(under_way.count());
        let is_old = |endpoint: &Endpoint| match &endpoint.report {
            Some((_, at)) => now - *at >= self.settings.busy_interval,
            None => false,
        };
        let is_due = |(id, endpoint): &(&EndpointId, &Endpoint)| {
            let is_changing = |model: &ModelName| changing.contains(model);
            let is_wanted = endpoint.ask_at <= now
                || (is_old(endpoint) && self.models_of(id, endpoint).any(is_changing));
            is_wanted
                && endpoint.is_present
                && endpoint.is_idle()
                && self.is_taken_over(now, id, endpoint)
        };
        let mut due: Vec<_> = self.endpoints.iter().filter(is_due).collect();
        due.sort_by_key(|(_, endpoint)| endpoint.report.as_ref().map(|(_, at)| *at));
        let due = due.into_iter().take(room).map(|(id, _)| id.clone());
        let due: Vec<EndpointId> = due.collect();
        for id in due {
            self.endpoints[&id].question = Some(Question {
                asked_at: now,
                is_void: false,
            });
            outputs.push(Output::Probe(id));
        }
    }

    /// The order that helps the model with the fewest serving replicas, among those that may be
    /// given now.
    fn most_needed(&self, now: Moment) -> Option<Candidate> {
        let candidates = self.endpoints.iter();
        let candidates = candidates.filter_map(|(id, e)| self.candidate(now, id, e));
        candidates.min_by_key(|candidate| candidate.need)
    }

    fn candidate(&self, now: Moment, id: &EndpointId, endpoint: &Endpoint) -> Option<Candidate> {
        self.recent(now, endpoint)?;
        let (model, action) = self.step_of(id, endpoint)?;
        let may = endpoint.is_idle()
            && self.is_taken_over(now, id, endpoint)
            && may_try(now, endpoint, &action)
            && self.send_until(id) >= now
            && (!action.loads() || self.leading.as_ref()?.store.is_free(now))
            && !self.is_last(now, id, endpoint, &action)
            && !self.is_other_changing(id, endpoint, &action);
        let (serving, current) = self.serving(model);
        let share = |count: u32| u64::from(count) * 1_000 / u64::from(model.replicas.max(1));
        may.then(|| Candidate {
            need: (share(serving), share(current)),
            endpoint: id.clone(),
            action,
        })
    }

    fn send(&mut self, now: Moment, id: EndpointId, action: Action, outputs: &mut Vec<Output>) {
        let send_until = self.send_until(&id);
        let Some(leading) = &mut self.leading else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        leading.sequence += 1;
        if action.loads() {
            leading.store.take(now);
        }
        let order = Order {
            id: OrderId {
                fencing: leading.term,
                sequence: leading.sequence,
            },
            endpoint: id,
            boot: endpoint.boot,
            action,
            send_until,
        };
        let again = endpoint.last.as_ref();
        let again = again.filter(|last| last.order.action == order.action && !last.is_done);
        endpoint.last = Some(Attempt {
            order: order.clone(),
            count: again.map_or(1, |last| last.count + 1),
            retry_at: now,
            is_done: false,
        });
        endpoint.is_away = matches!(order.action, Action::LoadModel { .. });
        endpoint.pending = Some(order.clone());
        if order.action != Action::Fence {
            outputs.push(audit(Event::Sent, &order));
        }
        outputs.push(Output::Send(order));
    }

    /// Writes down, once, what has been withheld for long.
    fn withhold(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let is_withheld = |id: &EndpointId, endpoint: &Endpoint| {
            let action = self.step_of(id, endpoint).map(|(_, action)| action)?;
            self.is_last(now, id, endpoint, &action).then_some(action)
        };
        let withheld = self.endpoints.iter().map(|(id, e)| is_withheld(id, e));
        let withheld: Vec<_> = withheld.collect();
        for ((id, endpoint), action) in self.endpoints.iter_mut().zip(withheld) {
            let Some(action) = action else {
                let is_known = endpoint.report.is_some();
                endpoint.withheld_since = endpoint.withheld_since.filter(|_| !is_known);
                endpoint.withheld_told &= !is_known;
                continue;
            };
            let since = *endpoint.withheld_since.get_or_insert(now);
            if now - since >= WITHHELD_LONG && !endpoint.withheld_told {
                endpoint.withheld_told = true;
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

/// Whether the wait after an order's last failure is over.
fn may_try(now: Moment, endpoint: &Endpoint, action: &Action) -> bool {
    let last = endpoint.last.as_ref();
    let mut last = last
        .filter(|last| last.order.action == *action && !last.is_done)
        .into_iter();
    last.all(|last| now >= last.retry_at)
}

fn take_report(endpoint: &mut Endpoint, report: &Report) -> Option<Output> {
    endpoint.is_away &= report.role == crate::Role::Loading;
    let last = endpoint.last.as_mut()?;
    let is_done = !last.is_done && last.order.action.is_done(report);
    last.is_done |= is_done;
    is_done.then(|| audit(Event::Done, &last.order))
}

fn audit(event: Event, order: &Order) -> Output {
    Output::Audit(Record {
        event,
        endpoint: order.endpoint.clone(),
        order: Some(order.id),
        action: order.action.clone(),
    })
}
