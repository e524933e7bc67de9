//! Helpers that create commands and run them on a state.

#![allow(dead_code, reason = "each test file uses some of these")]

use kumquatdrum_setup::{
    Action, Answer, ApplyAnswer, ApplyRequest, AttemptStatus, Claim, ClaimAnswer, Command, Digest,
    Preparation, SettleAnswer, Settlement, Stamp, StateMachine,
};
use kumquatdrum_types::Version;

pub const START_MS: u64 = 1_800_000_000_000;

/// Returns the text of a declaration that differs by `level`.
pub fn text(level: u8) -> String {
    format!(r#"{{"priorities": [{{"name": "card", "level": {level}, "aging_ms": 5}}]}}"#)
}

pub fn request(operator: &str, base: u64, level: u8) -> ApplyRequest {
    ApplyRequest::new(operator, Version(base), text(level))
}

pub fn stamp(elapsed_ms: u64) -> Stamp {
    Stamp {
        unix_ms: START_MS,
        elapsed_ms,
    }
}

pub fn run(state: &mut StateMachine, stamp: Stamp, action: Action) -> Answer {
    let index = state.applied() + 1;
    state.apply(index, &Command { stamp, action })
}

/// Applies a request at `unix_ms` as a leader with this state would, and returns the answer.
pub fn apply_at(state: &mut StateMachine, unix_ms: u64, request: &ApplyRequest) -> ApplyAnswer {
    let stamp = Stamp {
        unix_ms,
        elapsed_ms: 0,
    };
    match state.prepare(request) {
        Preparation::Answered(answer) => answer,
        Preparation::Propose(action) => match run(state, stamp, action) {
            Answer::Apply(answer) => answer,
            other => panic!("not an apply's answer: {other:?}"),
        },
    }
}

pub fn apply(state: &mut StateMachine, request: &ApplyRequest) -> ApplyAnswer {
    apply_at(state, START_MS, request)
}

pub fn accepted(version: u64) -> ApplyAnswer {
    ApplyAnswer::Accepted {
        version: Version(version),
    }
}

pub fn conflict(current: u64) -> ApplyAnswer {
    ApplyAnswer::Conflict {
        current: Version(current),
    }
}

pub fn claim(key: &str, host: &str, attempt: &str) -> Claim {
    Claim {
        workspace: "salon".into(),
        key: key.into(),
        fingerprint: Digest::of(key.as_bytes()),
        host: host.into(),
        attempt: attempt.into(),
        deadline_ms: 1_000,
        retain_ms: 9_000,
    }
}

pub fn settlement(claim: &Claim, by: &str, settled: AttemptStatus) -> Settlement {
    Settlement {
        workspace: claim.workspace.clone(),
        key: claim.key.clone(),
        attempt: claim.attempt.clone(),
        by: by.into(),
        settled,
    }
}

pub fn claim_all(state: &mut StateMachine, elapsed_ms: u64, claims: &[Claim]) -> Vec<ClaimAnswer> {
    match run(state, stamp(elapsed_ms), Action::Claims(claims.to_vec())) {
        Answer::Claims(answers) => answers,
        other => panic!("not claims' answers: {other:?}"),
    }
}

pub fn claim_one(state: &mut StateMachine, elapsed_ms: u64, claim: &Claim) -> ClaimAnswer {
    claim_all(state, elapsed_ms, std::slice::from_ref(claim)).remove(0)
}

pub fn settle_one(
    state: &mut StateMachine,
    elapsed_ms: u64,
    settlement: Settlement,
) -> SettleAnswer {
    match run(state, stamp(elapsed_ms), Action::Settle(vec![settlement])) {
        Answer::Settle(mut answers) => answers.remove(0),
        other => panic!("not settlements' answers: {other:?}"),
    }
}

/// Returns the state of a replica that was restored from a snapshot.
pub fn restored(state: &StateMachine) -> StateMachine {
    StateMachine::restore(&state.encode()).expect("the snapshot can be restored")
}
