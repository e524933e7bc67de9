//! Checks that each priority has an aging time, so that its requests don't starve.

use super::{Findings, places};
use crate::{Declaration, pointer};

pub(super) fn check(declaration: &Declaration, findings: &mut Findings) {
    for (place, priority) in places("/priorities", &declaration.priorities) {
        let place = || pointer::join(&place, "aging_ms");
        findings.push_if(priority.aging_ms == 0, place, "must be at least 1");
    }
}
