//! Models: what must be there for engines to load and serve them.

use super::{Findings, places};
use crate::{Declaration, Model, pointer};

const EMPTY: &str = "must not be empty";
const ZERO: &str = "must be at least 1";

pub(super) fn check(declaration: &Declaration, findings: &mut Findings) {
    for (place, model) in places("/models", &declaration.models) {
        amounts(findings, &place, model);
        versions(findings, &place, model);
    }
}

fn amounts(findings: &mut Findings, place: &str, model: &Model) {
    let amounts = [
        ("memory_bytes_per_token", model.memory_bytes_per_token),
        ("replicas", u64::from(model.replicas)),
        ("max_prompt_tokens", model.max_prompt_tokens),
        ("bytes_per_token_milli", model.bytes_per_token_milli),
    ];
    for (field, amount) in amounts {
        findings.push_if(amount == 0, || pointer::join(place, field), ZERO);
    }
}

fn versions(findings: &mut Findings, place: &str, model: &Model) {
    let is_empty = model.version.is_empty();
    findings.push_if(is_empty, || pointer::join(place, "version"), EMPTY);
    for (place, adapter) in places(&pointer::join(place, "adapters"), &model.adapters) {
        let is_empty = adapter.version.is_empty();
        findings.push_if(is_empty, || pointer::join(&place, "version"), EMPTY);
    }
}
