//! Checks of callers' keys. No message repeats a malformed digest, because it may be the key.

use kumquatdrum_types::digest;

use super::{Findings, find_duplicates, places};
use crate::{Declaration, Key, pointer};

pub(super) fn check(declaration: &Declaration, findings: &mut Findings) {
    let mut digests: Vec<(String, &Key)> = Vec::new();
    for (place, workspace) in places("/workspaces", &declaration.workspaces) {
        let place = pointer::join(&place, "keys");
        findings.push_if(
            workspace.keys.is_empty(),
            || place.clone(),
            "is empty, so nobody could call for this workspace",
        );
        for (place, key) in places(&place, &workspace.keys) {
            digests.push((pointer::join(&place, "sha256"), key));
        }
    }
    for (place, key) in &digests {
        findings.push_if(
            !digest::is_hex(&key.sha256),
            || place.clone(),
            "must be a SHA-256 digest in 64 lower-case hexadecimal digits",
        );
    }
    let digests = digests.into_iter().map(|(place, key)| (place, &key.sha256));
    find_duplicates(digests, findings);
}
