//! Callers' keys. No message shows what stands in the place of a digest: it may be the key.

use super::{Findings, duplicates, places};
use crate::{Declaration, Key, pointer};

const DIGITS: usize = 64;

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
            !is_digest(&key.sha256),
            || place.clone(),
            "must be a SHA-256 digest in 64 lower-case hexadecimal digits",
        );
    }
    let digests = digests.into_iter().map(|(place, key)| (place, &key.sha256));
    duplicates(digests, findings);
}

fn is_digest(text: &str) -> bool {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == DIGITS && text.bytes().all(is_digit)
}
