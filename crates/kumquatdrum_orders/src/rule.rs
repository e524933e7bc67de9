//! The declared model of an engine and the next action towards it.

use kumquatdrum_declaration::{Index, Model};
use kumquatdrum_types::EndpointId;

use crate::endpoint::Endpoint;
use crate::{Action, Adapter, Report, Role};

/// Returns the model that an engine should serve: that of its service.
pub fn target<'a>(index: &'a Index, id: &EndpointId, endpoint: &Endpoint) -> Option<&'a Model> {
    let declared = index.endpoint(id.as_str());
    let service = declared.map_or(&endpoint.service, |declared| &declared.service);
    index.model_of(index.service(service.as_str())?)
}

/// Returns whether an engine refuses old fencing tokens; `false` for undeclared engines.
pub fn checks_fencing(index: &Index, id: &EndpointId) -> bool {
    index
        .endpoint(id.as_str())
        .is_some_and(|declared| declared.checks_fencing)
}

/// Returns the next action that brings an engine to its declared model; `None` if it is as
/// declared or loading. `count_active` counts the engines that serve the model or may soon.
pub fn next_action(
    report: &Report,
    model: &Model,
    count_active: impl Fn() -> u32,
) -> Option<Action> {
    match report.role {
        Role::Loading => None,
        _ if !has_declared_weights(report, model) => Some(Action::LoadModel {
            model: model.name.clone(),
            version: model.version.clone(),
        }),
        Role::Standby if count_active() < model.replicas => Some(Action::ChangeRole {
            role: Role::Serving,
        }),
        _ => load_missing_adapter(report, model).or_else(|| unload_surplus_adapter(report, model)),
    }
}

fn has_declared_weights(report: &Report, model: &Model) -> bool {
    report.model.as_ref() == Some(&model.name) && report.version.as_ref() == Some(&model.version)
}

fn load_missing_adapter(report: &Report, model: &Model) -> Option<Action> {
    let declared = model.adapters.iter().map(|adapter| Adapter {
        name: adapter.name.clone(),
        version: adapter.version.clone(),
    });
    declared
        .into_iter()
        .find(|adapter| !report.adapters.contains(adapter))
        .map(Action::LoadAdapter)
}

fn unload_surplus_adapter(report: &Report, model: &Model) -> Option<Action> {
    let is_declared = |name: &str| model.adapters.iter().any(|adapter| adapter.name == name);
    let held = report.adapters.iter();
    held.map(|adapter| &adapter.name)
        .find(|name| !is_declared(name))
        .map(|name| Action::UnloadAdapter { name: name.clone() })
}
