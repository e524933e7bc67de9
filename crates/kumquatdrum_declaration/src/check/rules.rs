//! Rules of which calls may be repeated: their form, and that each can decide something.

use super::{Findings, duplicates, places};
use crate::idempotency::is_regular;
use crate::{Declaration, Rule, pointer};

pub(super) fn check(declaration: &Declaration, findings: &mut Findings) {
    for (place, service) in places("/services", &declaration.services) {
        let list = pointer::join(&place, "rules");
        for (position, (place, rule)) in places(&list, &service.rules).enumerate() {
            form(findings, &place, rule);
            reach(findings, &place, rule, &service.rules[..position]);
        }
    }
}

fn form(findings: &mut Findings, place: &str, rule: &Rule) {
    let list = pointer::join(place, "methods");
    for (place, method) in places(&list, &rule.methods) {
        let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
        findings.push_if(!is_method, || place, "must be an HTTP method in upper case");
    }
    duplicates(places(&list, &rule.methods), findings);
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
        !is_regular(prefix),
        place,
        "must have no empty or dot segments and no needless percent encoding, or it never matches",
    );
}

/// The first rule that matches decides, so one that an earlier rule covers never does.
fn reach(findings: &mut Findings, place: &str, rule: &Rule, earlier: &[Rule]) {
    let covering = earlier.iter().position(|other| covers(other, rule));
    if let Some(position) = covering {
        let message = format!("never matches, as rule {position} before it covers it");
        findings.push(place.to_owned(), message);
    }
}

fn covers(earlier: &Rule, later: &Rule) -> bool {
    let takes = |method: &String| earlier.methods.contains(method);
    let takes_methods = match (earlier.methods.is_empty(), later.methods.is_empty()) {
        (true, _) => true,
        (false, true) => false,
        (false, false) => later.methods.iter().all(takes),
    };
    takes_methods && later.path_prefix.starts_with(&earlier.path_prefix)
}
