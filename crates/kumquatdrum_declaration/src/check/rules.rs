//! Checks that idempotency rules are well-formed and can match.

use super::{Findings, find_duplicates, places};
use crate::idempotency::is_normalised;
use crate::{Declaration, Rule, pointer};

pub(super) fn check(declaration: &Declaration, findings: &mut Findings) {
    for (place, service) in places("/services", &declaration.services) {
        let list = pointer::join(&place, "rules");
        for (position, (place, rule)) in places(&list, &service.rules).enumerate() {
            check_form(findings, &place, rule);
            check_reachable(findings, &place, rule, &service.rules[..position]);
        }
    }
}

fn check_form(findings: &mut Findings, place: &str, rule: &Rule) {
    let list = pointer::join(place, "methods");
    for (place, method) in places(&list, &rule.methods) {
        let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
        findings.push_if(!is_method, || place, "must be an HTTP method in upper case");
    }
    find_duplicates(places(&list, &rule.methods), findings);
    let prefix = &rule.path_prefix;
    let place = || pointer::join(place, "path_prefix");
    findings.push_if(
        !(prefix.is_empty() || prefix.starts_with('/')),
        place,
        "must start with /, or it never matches",
    );
    findings.push_if(
        prefix.contains(['?', '#']) || prefix.contains(char::is_whitespace),
        place,
        "must be a path without a query, or it never matches",
    );
    findings.push_if(
        !is_normalised(prefix),
        place,
        "must have no empty or dot segments and no needless percent encoding, or it never matches",
    );
}

/// Checks that no earlier rule covers this one, as the first match decides.
fn check_reachable(findings: &mut Findings, place: &str, rule: &Rule, earlier: &[Rule]) {
    let covering = earlier.iter().position(|other| covers(other, rule));
    if let Some(position) = covering {
        let message = format!("never matches, as rule {position} before it covers it");
        findings.push(place.to_owned(), message);
    }
}

fn covers(earlier: &Rule, later: &Rule) -> bool {
    let covers_method = |method: &String| earlier.methods.contains(method);
    let covers_methods = match (earlier.methods.is_empty(), later.methods.is_empty()) {
        (true, _) => true,
        (false, true) => false,
        (false, false) => later.methods.iter().all(covers_method),
    };
    covers_methods && later.path_prefix.starts_with(&earlier.path_prefix)
}
