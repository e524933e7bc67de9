//! Validation of setups.

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::Finding;

use crate::{Route, Setup};

/// Returns every error in a setup with its place; empty for a valid setup.
///
/// ```
/// use kumquatdrum_routes::{Setup, validate};
///
/// assert!(validate(&Setup::default()).is_empty());
/// ```
pub fn validate(setup: &Setup) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut host_prefixes = IndexSet::new();
    for (number, route) in setup.routes.iter().enumerate() {
        validate_route(setup, number, route, &mut findings);
        if !host_prefixes.insert((route.host.to_ascii_lowercase(), &route.prefix)) {
            let message = "another route has the same host and prefix";
            findings.push(Finding::new(format!("/routes/{number}"), message));
        }
    }
    validate_keys(setup, &mut findings);
    findings
}

fn validate_route(setup: &Setup, number: usize, route: &Route, findings: &mut Vec<Finding>) {
    let place = |field: &str| format!("/routes/{number}/{field}");
    for share in &route.shares {
        if !setup.services.contains_key(&share.service) {
            let message = format!("unknown service {}", share.service);
            findings.push(Finding::new(place("service"), message));
        }
    }
    if route.shares.iter().all(|share| share.weight == 0) {
        findings.push(Finding::new(place("weight"), "the weights add up to 0"));
    }
    if route.timeout.is_zero() {
        findings.push(Finding::new(place("timeout"), "must be above 0"));
    }
}

fn validate_keys(setup: &Setup, findings: &mut Vec<Finding>) {
    let mut holders = IndexMap::new();
    for (number, workspace) in setup.workspaces.iter().flatten().enumerate() {
        for key in &workspace.keys {
            let holder = holders.insert(key, number);
            if holder.is_some_and(|holder| holder != number) {
                let message = "shares a key with another workspace";
                findings.push(Finding::new(format!("/workspaces/{number}"), message));
            }
        }
    }
}
