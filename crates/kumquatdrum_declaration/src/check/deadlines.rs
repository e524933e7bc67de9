//! Checks of deadlines and their caps.

use super::{Findings, places};
use crate::{Declaration, pointer};

const MAX_DEADLINE_MS: u64 = 24 * 60 * 60 * 1_000;

pub(super) fn check(declaration: &Declaration, findings: &mut Findings) {
    for (place, service) in places("/services", &declaration.services) {
        let default = || pointer::join(&place, "deadline_ms");
        let cap = || pointer::join(&place, "deadline_cap_ms");
        findings.push_if(service.deadline_ms == 0, default, "must be at least 1");
        findings.push_if(
            service.deadline_ms > service.deadline_cap_ms,
            default,
            "must not exceed deadline_cap_ms",
        );
        findings.push_if(service.deadline_cap_ms == 0, cap, "must be at least 1");
        findings.push_if(
            service.deadline_cap_ms > MAX_DEADLINE_MS,
            cap,
            "must not exceed one day (86400000)",
        );
    }
}
