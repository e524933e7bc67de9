//! Names: their form, and that none stands twice in its list.

use super::{Findings, duplicates, places};
use crate::{Declaration, pointer};

const MAX_BYTES: usize = 128;

pub(super) fn check(declaration: &Declaration, findings: &mut Findings) {
    list(findings, "/workspaces", &declaration.workspaces, |item| {
        item.name.as_str()
    });
    list(findings, "/services", &declaration.services, |item| {
        item.name.as_str()
    });
    list(findings, "/models", &declaration.models, |item| {
        item.name.as_str()
    });
    list(findings, "/priorities", &declaration.priorities, |item| {
        &item.name
    });
    list(findings, "/endpoints", &declaration.endpoints, |item| {
        item.name.as_str()
    });
    for (place, model) in places("/models", &declaration.models) {
        let place = pointer::join(&place, "adapters");
        list(findings, &place, &model.adapters, |item| &item.name);
    }
    for (place, endpoint) in places("/endpoints", &declaration.endpoints) {
        let place = pointer::join(&place, "data_centre");
        form(findings, place, endpoint.data_centre.as_str());
    }
}

fn list<T>(findings: &mut Findings, place: &str, items: &[T], name: impl Fn(&T) -> &str) {
    let names =
        || places(place, items).map(|(place, item)| (pointer::join(&place, "name"), name(item)));
    for (place, name) in names() {
        form(findings, place, name);
    }
    duplicates(names(), findings);
}

/// Names go into paths, headers, metrics and logs, so they keep to what needs no quoting there.
fn form(findings: &mut Findings, place: String, name: &str) {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_BYTES || !name.chars().all(is_plain) {
        let message =
            format!("must be 1 to {MAX_BYTES} of the characters a-z, A-Z, 0-9, -, _ and .");
        findings.push(place, message);
    }
}
