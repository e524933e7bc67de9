//! What the reconciler can tell of engines and models at a moment.

use indexmap::IndexSet;
use kumquatdrum_declaration::Model;
use kumquatdrum_types::{EndpointId, ModelName, Moment};

use crate::endpoint::Endpoint;
use crate::{Action, Reconciler, Report, rule};

impl Reconciler {
    /// Whether a predecessor's orders can't take effect at an engine any more.
    pub(crate) fn is_taken_over(&self, now: Moment, id: &EndpointId, endpoint: &Endpoint) -> bool {
        match (&self.leading, self.index()) {
            (Some(_), Some(index)) if rule::checks_fencing(index, id) => endpoint.is_fenced,
            (Some(leading), Some(_)) => now >= leading.since + self.settings.takeover_wait(),
            _ => false,
        }
    }

    /// A report that is recent enough to build on.
    pub(crate) fn recent<'a>(&self, now: Moment, endpoint: &'a Endpoint) -> Option<&'a Report> {
        let (report, at) = endpoint.report.as_ref()?;
        let is_recent = now - *at <= self.settings.report_validity;
        (is_recent && endpoint.is_present && endpoint.pending.is_none()).then_some(report)
    }

    /// Replicas that serve a model, and those of them at the declared version.
    pub(crate) fn serving(&self, model: &Model) -> (u32, u32) {
        let serves = |endpoint: &&Endpoint| endpoint.serves(model.name.as_str());
        let is_current = |endpoint: &&Endpoint| {
            let report = endpoint.report.as_ref();
            report.is_some_and(|(report, _)| report.version.as_ref() == Some(&model.version))
        };
        let all = self.endpoints.values().filter(serves);
        let current = all.clone().filter(is_current);
        (all.count() as u32, current.count() as u32)
    }

    /// Engines of a model but for those that surely stand by: an engine that loads, is being
    /// called in or has not reported yet may serve soon.
    fn engaged(&self, model: &Model) -> u32 {
        let is_engaged = |(id, endpoint): &(&EndpointId, &Endpoint)| {
            let target = self
                .index()
                .and_then(|index| rule::target(index, id, endpoint));
            let is_own = target.is_some_and(|target| target.name == model.name);
            is_own && endpoint.is_present && !endpoint.stands_by()
        };
        self.endpoints.iter().filter(is_engaged).count() as u32
    }

    /// The next step of an engine, whatever stands in its way.
    pub(crate) fn step_of(&self, id: &EndpointId, endpoint: &Endpoint) -> Option<(&Model, Action)> {
        let model = rule::target(self.index()?, id, endpoint)?;
        let (report, _) = endpoint.report.as_ref()?;
        let action = rule::next_step(report, model, || self.engaged(model))?;
        Some((model, action))
    }

    /// Models whose engines aren't all as declared; their engines are asked more often.
    pub(crate) fn changing(&self) -> IndexSet<ModelName> {
        let mut models = IndexSet::new();
        for (id, endpoint) in &self.endpoints {
            let differs = endpoint.is_changing() || self.step_of(id, endpoint).is_some();
            if differs {
                models.extend(self.models_of(id, endpoint).cloned());
            }
        }
        models
    }

    /// The model that an engine should serve, and that which it has.
    pub(crate) fn models_of<'a>(
        &'a self,
        id: &EndpointId,
        endpoint: &'a Endpoint,
    ) -> impl Iterator<Item = &'a ModelName> {
        let target = self
            .index()
            .and_then(|index| rule::target(index, id, endpoint));
        let target = target.map(|model| &model.name);
        let report = endpoint.report.as_ref();
        let held = report.and_then(|(report, _)| report.model.as_ref());
        target.into_iter().chain(held)
    }

    /// Until when an order to an engine may be sent.
    pub(crate) fn send_until(&self, id: &EndpointId) -> Moment {
        let Some((leading, index)) = self.leading.as_ref().zip(self.index()) else {
            return Moment::ZERO;
        };
        if rule::checks_fencing(index, id) {
            return Moment::NEVER;
        }
        let reserve = self.settings.delivery_timeout + self.settings.drift_margin();
        let lease = leading.lease_until.unwrap_or(Moment::ZERO);
        Moment::ZERO + (lease - (Moment::ZERO + reserve))
    }

    /// The declared model that an order takes a replica of away.
    fn taken_away<'a>(&self, endpoint: &'a Endpoint, action: &Action) -> Option<&'a ModelName> {
        let (report, _) = endpoint.report.as_ref()?;
        let model = report.model.as_ref()?;
        let is_declared = self.index()?.model(model.as_str()).is_some();
        let is_load = matches!(action, Action::LoadModel { .. });
        (is_load && is_declared && endpoint.serves(model.as_str())).then_some(model)
    }

    /// Whether no other engine surely serves what an order takes away.
    pub(crate) fn is_last(
        &self,
        now: Moment,
        id: &EndpointId,
        endpoint: &Endpoint,
        action: &Action,
    ) -> bool {
        let Some(model) = self.taken_away(endpoint, action) else {
            return false;
        };
        let remains = |(other, state): (&EndpointId, &Endpoint)| {
            other != id
                && !state.is_changing()
                && state.serves(model.as_str())
                && self.recent(now, state).is_some()
                && self.is_taken_over(now, other, state)
        };
        !self.endpoints.iter().any(remains)
    }

    /// Whether another replica of what an order takes away is being changed already.
    pub(crate) fn is_other_changing(
        &self,
        id: &EndpointId,
        endpoint: &Endpoint,
        action: &Action,
    ) -> bool {
        let Some(model) = self.taken_away(endpoint, action) else {
            return false;
        };
        let mut others = self.endpoints.iter().filter(|(other, _)| *other != id);
        others.any(|(other, state)| {
            state.is_present
                && state.is_changing()
                && self.models_of(other, state).any(|held| held == model)
        })
    }
}
