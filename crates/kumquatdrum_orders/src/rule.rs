//! What an engine should have loaded, and the next step to it.

use kumquatdrum_declaration::{Index, Model};
use kumquatdrum_types::EndpointId;

use crate::endpoint::Endpoint;
use crate::{Action, Adapter, Report, Role};

/// The model that an engine should serve: that of its service.
pub fn target<'a>(index: &'a Index, id: &EndpointId, endpoint: &Endpoint) -> Option<&'a Model> {
    let declared = index.endpoint(id.as_str());
    let service = declared.map_or(&endpoint.service, |declared| &declared.service);
    index.model_of(index.service(service.as_str())?)
}

/// Whether an engine refuses old fencing numbers. One that isn't declared counts as ignoring them.
pub fn checks_fencing(index: &Index, id: &EndpointId) -> bool {
    index
        .endpoint(id.as_str())
        .is_some_and(|declared| declared.checks_fencing)
}

/// The next step from a report to a model; none where it is as declared, or loads. `engaged`
/// counts the engines that serve the model or may soon.
pub fn next_step(report: &Report, model: &Model, engaged: impl Fn() -> u32) -> Option<Action> {
    match report.role {
        Role::Loading => None,
        _ if !has_weights(report, model) => Some(Action::LoadModel {
            model: model.name.clone(),
            version: model.version.clone(),
        }),
        Role::Standby if engaged() < model.replicas => Some(Action::ChangeRole {
            role: Role::Serving,
        }),
        _ => missing(report, model).or_else(|| surplus(report, model)),
    }
}

fn has_weights(report: &Report, model: &Model) -> bool {
    report.model.as_ref() == Some(&model.name) && report.version.as_ref() == Some(&model.version)
}

fn missing(report: &Report, model: &Model) -> Option<Action> {
    let declared = model.adapters.iter().map(|adapter| Adapter {
        name: adapter.name.clone(),
        version: adapter.version.clone(),
    });
    declared
        .into_iter()
        .find(|adapter| !report.adapters.contains(adapter))
        .map(Action::LoadAdapter)
}

fn surplus(report: &Report, model: &Model) -> Option<Action> {
    let is_declared = |name: &str| model.adapters.iter().any(|adapter| adapter.name == name);
    let held = report.adapters.iter();
    held.map(|adapter| &adapter.name)
        .find(|name| !is_declared(name))
        .map(|name| Action::UnloadAdapter { name: name.clone() })
}
