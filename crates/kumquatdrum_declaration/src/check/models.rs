//! Checks of the fields that engines need to load and serve a model.

use super::{Findings, places};
use crate::{Declaration, Model, pointer};

const EMPTY: &str = "must not be empty";
const ZERO: &str = "must be at least 1";

pub(super) fn check(declaration: &Declaration, findings: &mut Findings) {
    for (place, model) in places("/models", &declaration.models) {
        check_amounts(findings, &place, model);
        check_versions(findings, &place, model);
    }
}

fn check_amounts(findings: &mut Findings, place: &str, model: &Model) {
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

fn check_versions(findings: &mut Findings, place: &str, model: &Model) {
    let is_empty = model.version.is_empty();
    findings.push_if(is_empty, || pointer::join(place, "version"), EMPTY);
    for (place, adapter) in places(&pointer::join(place, "adapters"), &model.adapters) {
        let is_empty = adapter.version.is_empty();
        findings.push_if(is_empty, || pointer::join(&place, "version"), EMPTY);
    }
}
