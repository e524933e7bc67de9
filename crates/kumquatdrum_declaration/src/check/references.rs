//! Checks that references name an item of the file.

use super::{Findings, find_duplicates, places};
use crate::{Declaration, ServiceKind, pointer};

pub(super) fn check(declaration: &Declaration, findings: &mut Findings) {
    check_workspaces(declaration, findings);
    check_services(declaration, findings);
    check_endpoints(declaration, findings);
}

fn check_workspaces(declaration: &Declaration, findings: &mut Findings) {
    for (place, workspace) in places("/workspaces", &declaration.workspaces) {
        let list = pointer::join(&place, "services");
        for (place, name) in places(&list, &workspace.services) {
            let is_known = declaration
                .services
                .iter()
                .any(|service| service.name == *name);
            findings.push_if(!is_known, || place, "names no service of the file");
        }
        find_duplicates(places(&list, &workspace.services), findings);
        let is_known = |name: &String| declaration.priorities.iter().any(|item| item.name == *name);
        findings.push_if(
            !workspace.priority.iter().all(is_known),
            || pointer::join(&place, "priority"),
            "names no priority of the file",
        );
    }
}

fn check_services(declaration: &Declaration, findings: &mut Findings) {
    for (place, service) in places("/services", &declaration.services) {
        let is_known = match &service.kind {
            ServiceKind::Plain {} => true,
            ServiceKind::Model { model } => {
                declaration.models.iter().any(|item| item.name == *model)
            }
        };
        let place = || format!("{place}/kind/model/model");
        findings.push_if(!is_known, place, "names no model of the file");
    }
}

fn check_endpoints(declaration: &Declaration, findings: &mut Findings) {
    for (place, endpoint) in places("/endpoints", &declaration.endpoints) {
        let is_known = declaration
            .services
            .iter()
            .any(|service| service.name == endpoint.service);
        let place = || pointer::join(&place, "service");
        findings.push_if(!is_known, place, "names no service of the file");
    }
}
