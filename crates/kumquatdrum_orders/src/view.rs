//! Queries on the reconciler's state of engines and models.

use indexmap::IndexSet;
use kumquatdrum_declaration::Model;
use kumquatdrum_types::{EndpointId, ModelName, Moment};

use crate::endpoint::Endpoint;
use crate::{Action, Reconciler, Report, rule};

impl Reconciler {
    /// Returns whether orders of earlier leaders can no longer take effect at an engine.
    pub(crate) fn is_takeover_complete(
        &self,
        now: Moment,
        id: &EndpointId,
        endpoint: &Endpoint,
    ) -> bool {
        match (&self.term, self.index()) {
            (Some(_), Some(index)) if rule::checks_fencing(index, id) => endpoint.is_fenced,
            (Some(term), Some(_)) => now >= term.started_at + self.settings.takeover_wait(),
            _ => false,
        }
    }

    /// Returns an engine's report if it is still valid.
    pub(crate) fn valid_report<'a>(
        &self,
        now: Moment,
        endpoint: &'a Endpoint,
    ) -> Option<&'a Report> {
        let (report, at) = endpoint.report.as_ref()?;
        let is_valid = now - *at <= self.settings.report_validity;
        (is_valid && endpoint.is_present && endpoint.pending_order.is_none()).then_some(report)
    }

    /// Counts the replicas that serve a model, and those of them at the declared version.
    pub(crate) fn count_serving(&self, model: &Model) -> (u32, u32) {
        let is_serving = |endpoint: &&Endpoint| endpoint.is_serving(model.name.as_str());
        let is_current = |endpoint: &&Endpoint| {
            let report = endpoint.report.as_ref();
            report.is_some_and(|(report, _)| report.version.as_ref() == Some(&model.version))
        };
        let all = self.endpoints.values().filter(is_serving);
        let current = all.clone().filter(is_current);
        (all.count() as u32, current.count() as u32)
    }

    /// Counts the engines of a model that serve or may soon serve: all but those known to be on
    /// standby.
    fn count_active(&self, model: &Model) -> u32 {
        let is_active = |(id, endpoint): &(&EndpointId, &Endpoint)| {
            let target = self
                .index()
                .and_then(|index| rule::target(index, id, endpoint));
            let is_assigned = target.is_some_and(|target| target.name == model.name);
            is_assigned && endpoint.is_present && !endpoint.is_standby()
        };
        self.endpoints.iter().filter(is_active).count() as u32
    }

    /// Returns the next action for an engine, whether or not it can be ordered now.
    pub(crate) fn next_action(
        &self,
        id: &EndpointId,
        endpoint: &Endpoint,
    ) -> Option<(&Model, Action)> {
        let model = rule::target(self.index()?, id, endpoint)?;
        let (report, _) = endpoint.report.as_ref()?;
        let action = rule::next_action(report, model, || self.count_active(model))?;
        Some((model, action))
    }

    /// Returns the models with an engine that isn't as declared.
    pub(crate) fn changing_models(&self) -> IndexSet<ModelName> {
        let mut models = IndexSet::new();
        for (id, endpoint) in &self.endpoints {
            let differs = endpoint.is_loading() || self.next_action(id, endpoint).is_some();
            if differs {
                models.extend(self.models_of(id, endpoint).cloned());
            }
        }
        models
    }

    /// Returns the model that an engine should serve and the one that it has loaded, if any.
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
        let loaded = report.and_then(|(report, _)| report.model.as_ref());
        target.into_iter().chain(loaded)
    }

    /// Returns the time after which an order to an engine must not be sent.
    pub(crate) fn send_until(&self, id: &EndpointId) -> Moment {
        let Some((term, index)) = self.term.as_ref().zip(self.index()) else {
            return Moment::ZERO;
        };
        if rule::checks_fencing(index, id) {
            return Moment::NEVER;
        }
        let reserve = self.settings.delivery_timeout + self.settings.drift_margin();
        let lease = term.lease_until.unwrap_or(Moment::ZERO);
        Moment::ZERO + (lease - (Moment::ZERO + reserve))
    }

    /// Returns the declared model that loses a serving replica by an action.
    fn displaced_model<'a>(
        &self,
        endpoint: &'a Endpoint,
        action: &Action,
    ) -> Option<&'a ModelName> {
        let (report, _) = endpoint.report.as_ref()?;
        let model = report.model.as_ref()?;
        let is_declared = self.index()?.model(model.as_str()).is_some();
        let is_load = matches!(action, Action::LoadModel { .. });
        (is_load && is_declared && endpoint.is_serving(model.as_str())).then_some(model)
    }

    /// Returns whether an action takes down the last engine that is known to serve its model.
    pub(crate) fn is_last_replica(
        &self,
        now: Moment,
        id: &EndpointId,
        endpoint: &Endpoint,
        action: &Action,
    ) -> bool {
        let Some(model) = self.displaced_model(endpoint, action) else {
            return false;
        };
        let is_remaining = |(other, state): (&EndpointId, &Endpoint)| {
            other != id
                && !state.is_loading()
                && state.is_serving(model.as_str())
                && self.valid_report(now, state).is_some()
                && self.is_takeover_complete(now, other, state)
        };
        !self.endpoints.iter().any(is_remaining)
    }

    /// Returns whether another replica of the model that an action takes down is already loading.
    pub(crate) fn is_other_replica_loading(
        &self,
        id: &EndpointId,
        endpoint: &Endpoint,
        action: &Action,
    ) -> bool {
        let Some(model) = self.displaced_model(endpoint, action) else {
            return false;
        };
        let mut others = self.endpoints.iter().filter(|(other, _)| *other != id);
        others.any(|(other, state)| {
            state.is_present
                && state.is_loading()
                && self
                    .models_of(other, state)
                    .any(|other_model| other_model == model)
        })
    }
}
