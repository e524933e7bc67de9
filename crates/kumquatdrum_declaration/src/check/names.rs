//! Checks that names are well-formed and unique in their list.

use super::{Findings, find_duplicates, places};
use crate::{Declaration, pointer};

const MAX_NAME_BYTES: usize = 128;

pub(super) fn check(declaration: &Declaration, findings: &mut Findings) {
    check_list(findings, "/workspaces", &declaration.workspaces, |item| {
        item.name.as_str()
    });
    check_list(findings, "/services", &declaration.services, |item| {
        item.name.as_str()
    });
    check_list(findings, "/models", &declaration.models, |item| {
        item.name.as_str()
    });
    check_list(findings, "/priorities", &declaration.priorities, |item| {
        &item.name
    });
    check_list(findings, "/endpoints", &declaration.endpoints, |item| {
        item.name.as_str()
    });
    for (place, model) in places("/models", &declaration.models) {
        let place = pointer::join(&place, "adapters");
        check_list(findings, &place, &model.adapters, |item| &item.name);
    }
    for (place, endpoint) in places("/endpoints", &declaration.endpoints) {
        let place = pointer::join(&place, "data_centre");
        check_form(findings, place, endpoint.data_centre.as_str());
    }
}

fn check_list<T>(findings: &mut Findings, place: &str, items: &[T], name: impl Fn(&T) -> &str) {
    let names =
        || places(place, items).map(|(place, item)| (pointer::join(&place, "name"), name(item)));
    for (place, name) in names() {
        check_form(findings, place, name);
    }
    find_duplicates(names(), findings);
}

/// Checks that a name needs no quoting in paths, headers, metrics and logs.
fn check_form(findings: &mut Findings, place: String, name: &str) {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_plain) {
        let message =
            format!("must be 1 to {MAX_NAME_BYTES} of the characters a-z, A-Z, 0-9, -, _ and .");
        findings.push(place, message);
    }
}
