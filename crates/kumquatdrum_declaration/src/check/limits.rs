//! Checks of workspaces' weights and limits, which must not be zero.

use super::{Findings, places};
use crate::{Declaration, Limits, pointer};

const ZERO_LIMIT: &str = "must be at least 1; leave a limit out where none is meant";

pub(super) fn check(declaration: &Declaration, findings: &mut Findings) {
    for (place, workspace) in places("/workspaces", &declaration.workspaces) {
        findings.push_if(
            workspace.weight == 0,
            || pointer::join(&place, "weight"),
            "must be at least 1",
        );
        check_limits(
            findings,
            &pointer::join(&place, "limits"),
            &workspace.limits,
        );
    }
}

fn check_limits(findings: &mut Findings, place: &str, limits: &Limits) {
    let all = [
        ("requests_per_second", limits.requests_per_second),
        ("tokens_per_second", limits.tokens_per_second),
        ("concurrency", limits.concurrency.map(u64::from)),
        ("body_bytes", limits.body_bytes),
    ];
    for (field, limit) in all {
        findings.push_if(limit == Some(0), || pointer::join(place, field), ZERO_LIMIT);
    }
}
