//! Claims of idempotency keys: at most one attempt runs for each key.

mod support;

use kumquatdrum_setup::claim::{Holder, MAX_CLAIMS, MAX_CLAIMS_PER_WORKSPACE};
use kumquatdrum_setup::{
    Action, AttemptStatus, Claim, ClaimAnswer, Digest, SettleAnswer, StateMachine,
};
use support::{claim, claim_all, claim_one, restored, settle_one, settlement};

fn held(claim: &Claim, settled: AttemptStatus) -> ClaimAnswer {
    ClaimAnswer::Held(Holder {
        host: claim.host.clone(),
        attempt: claim.attempt.clone(),
        settled,
    })
}

#[test]
fn one_of_two_claims_of_a_batch_is_granted() {
    let mut state = StateMachine::default();
    let first = claim("order", "h1", "1");
    let second = claim("order", "h2", "2");
    let other = claim("other", "h2", "3");
    let answers = claim_all(&mut state, 0, &[first.clone(), second, other]);
    let expected = [
        ClaimAnswer::Granted,
        held(&first, AttemptStatus::Running),
        ClaimAnswer::Granted,
    ];
    assert_eq!(answers, expected);
}

#[test]
fn keys_of_two_workspaces_are_independent() {
    let mut state = StateMachine::default();
    let first = claim("order", "h1", "1");
    let mut second = claim("order", "h1", "2");
    second.workspace = "other".into();
    let answers = claim_all(&mut state, 0, &[first, second]);
    assert_eq!(answers, [ClaimAnswer::Granted, ClaimAnswer::Granted]);
}

#[test]
fn a_repeated_claim_is_granted_until_its_attempt_is_settled() {
    let mut state = StateMachine::default();
    let first = claim("order", "h1", "1");
    assert_eq!(claim_one(&mut state, 0, &first), ClaimAnswer::Granted);
    assert_eq!(claim_one(&mut state, 0, &first), ClaimAnswer::Granted);
    settle_one(
        &mut state,
        0,
        settlement(&first, "h1", AttemptStatus::Finished),
    );
    let answer = claim_one(&mut state, 0, &first);
    assert_eq!(answer, held(&first, AttemptStatus::Finished));
}

#[test]
fn a_key_with_another_request_is_a_mismatch() {
    let mut state = StateMachine::default();
    let first = claim("order", "h1", "1");
    let mut second = claim("order", "h1", "2");
    second.fingerprint = Digest::of(b"two boxes");
    claim_one(&mut state, 0, &first);
    assert_eq!(claim_one(&mut state, 0, &second), ClaimAnswer::Mismatch);
    settle_one(
        &mut state,
        0,
        settlement(&first, "h1", AttemptStatus::NotRun),
    );
    assert_eq!(claim_one(&mut state, 0, &second), ClaimAnswer::Granted);
}

#[test]
fn an_attempt_that_never_ran_frees_its_key_once() {
    let mut state = StateMachine::default();
    let first = claim("order", "h1", "1");
    let second = claim("order", "h2", "2");
    claim_one(&mut state, 0, &first);
    let not_run = settlement(&first, "h1", AttemptStatus::NotRun);
    assert_eq!(
        settle_one(&mut state, 0, not_run.clone()),
        SettleAnswer::Settled
    );
    let mut state = restored(&state);
    assert_eq!(claim_one(&mut state, 0, &second), ClaimAnswer::Granted);
    // A delayed copy of the first attempt's claim or settlement doesn't affect the second attempt.
    assert_eq!(settle_one(&mut state, 0, not_run), SettleAnswer::NoClaim);
    assert_eq!(
        claim_one(&mut state, 0, &first),
        held(&second, AttemptStatus::Running)
    );
}

/// A delayed copy of a claim must not claim the key for an attempt that will never run.
#[test]
fn a_settled_attempt_is_not_granted_again() {
    let mut state = StateMachine::default();
    let first = claim("order", "h1", "1");
    claim_one(&mut state, 0, &first);
    settle_one(
        &mut state,
        0,
        settlement(&first, "h1", AttemptStatus::NotRun),
    );
    assert_eq!(
        claim_one(&mut state, 0, &first),
        held(&first, AttemptStatus::NotRun)
    );
}

#[test]
fn the_first_final_settlement_is_kept() {
    let mut state = StateMachine::default();
    let first = claim("order", "h1", "1");
    claim_one(&mut state, 0, &first);
    let mut settle = |settled| settle_one(&mut state, 0, settlement(&first, "h1", settled));
    let already_settled = |settled| {
        SettleAnswer::AlreadySettled(Holder {
            host: "h1".into(),
            attempt: "1".into(),
            settled,
        })
    };
    assert_eq!(settle(AttemptStatus::Running), SettleAnswer::Settled);
    assert_eq!(settle(AttemptStatus::Unknown), SettleAnswer::Settled);
    assert_eq!(
        settle(AttemptStatus::Running),
        already_settled(AttemptStatus::Unknown)
    );
    assert_eq!(settle(AttemptStatus::Finished), SettleAnswer::Settled);
    assert_eq!(settle(AttemptStatus::Finished), SettleAnswer::Settled);
    assert_eq!(
        settle(AttemptStatus::NotRun),
        already_settled(AttemptStatus::Finished)
    );
    assert_eq!(
        settle(AttemptStatus::Unknown),
        already_settled(AttemptStatus::Finished)
    );
}

/// The claim's host may be partitioned and still dispatch until the request's deadline.
#[test]
fn another_host_settles_as_not_run_only_after_the_deadline() {
    let mut state = StateMachine::default();
    let first = claim("order", "h1", "1");
    claim_one(&mut state, 0, &first);
    let not_run = settlement(&first, "h2", AttemptStatus::NotRun);
    let too_early = SettleAnswer::TooEarly { wait_ms: 1 };
    assert_eq!(settle_one(&mut state, 999, not_run.clone()), too_early);
    let mut state = restored(&state);
    let second = claim("order", "h2", "2");
    assert_eq!(
        claim_one(&mut state, 0, &second),
        held(&first, AttemptStatus::Running)
    );
    assert_eq!(settle_one(&mut state, 1, not_run), SettleAnswer::Settled);
    assert_eq!(claim_one(&mut state, 0, &second), ClaimAnswer::Granted);
}

#[test]
fn another_host_settles_as_unknown_at_once() {
    let mut state = StateMachine::default();
    let first = claim("order", "h1", "1");
    claim_all(&mut state, 0, &[first.clone(), claim("other", "h2", "2")]);
    let failed_host = "h1".into();
    let running: Vec<_> = state.claims().running_claims_of(&failed_host).collect();
    assert_eq!(running.len(), 1);
    assert_eq!(running[0].claim, first);
    let unknown = settlement(&first, "h2", AttemptStatus::Unknown);
    assert_eq!(settle_one(&mut state, 0, unknown), SettleAnswer::Settled);
    assert_eq!(state.claims().running_claims_of(&failed_host).count(), 0);
}

#[test]
fn a_running_claim_becomes_unknown_when_it_expires() {
    let mut state = StateMachine::default();
    let first = claim("order", "h1", "1");
    let second = claim("order", "h2", "2");
    claim_one(&mut state, 0, &first);
    let answer = claim_one(&mut state, 9_999, &second);
    assert_eq!(answer, held(&first, AttemptStatus::Running));
    let answer = claim_one(&mut state, 1, &second);
    assert_eq!(answer, held(&first, AttemptStatus::Unknown));
    let answer = claim_one(&mut state, 9_000, &second);
    assert_eq!(answer, ClaimAnswer::Granted);
    assert_eq!(state.claims().len(), 1);
}

/// Claims expire by elapsed time, so a replica with a wrong wall clock frees no key.
#[test]
fn a_jump_of_the_wall_clock_expires_no_claim() {
    let mut state = StateMachine::default();
    let first = claim("order", "h1", "1");
    claim_one(&mut state, 0, &first);
    let jump = kumquatdrum_setup::Stamp {
        unix_ms: u64::MAX,
        elapsed_ms: 1,
    };
    support::run(&mut state, jump, Action::Claims(Vec::new()));
    let answer = claim_one(&mut state, 0, &claim("order", "h2", "2"));
    assert_eq!(answer, held(&first, AttemptStatus::Running));
}

/// Claims `MAX_CLAIMS_PER_WORKSPACE` keys of a workspace.
fn fill_workspace(state: &mut StateMachine, workspace: &str) {
    let numbered = |number: usize| Claim {
        workspace: workspace.into(),
        ..claim(&number.to_string(), "h1", "1")
    };
    let claims: Vec<_> = (0..MAX_CLAIMS_PER_WORKSPACE).map(numbered).collect();
    let answers = claim_all(state, 0, &claims);
    assert!(answers.iter().all(|answer| *answer == ClaimAnswer::Granted));
}

#[test]
fn a_full_workspace_is_granted_no_claims_until_some_expire() {
    let mut state = StateMachine::default();
    let late = claim("late", "h1", "1");
    let other = Claim {
        workspace: "other".into(),
        ..late.clone()
    };
    let known = claim("0", "h1", "1");
    fill_workspace(&mut state, "salon");
    assert_eq!(claim_one(&mut state, 0, &late), ClaimAnswer::Full);
    assert_eq!(claim_one(&mut state, 0, &known), ClaimAnswer::Granted);
    assert_eq!(claim_one(&mut state, 0, &other), ClaimAnswer::Granted);
    for workspace in ["second", "third"] {
        fill_workspace(&mut state, workspace);
    }
    settle_one(
        &mut state,
        0,
        settlement(&known, "h1", AttemptStatus::Finished),
    );
    assert_eq!(claim_one(&mut state, 9_999, &late), ClaimAnswer::Full);
    assert_eq!(claim_one(&mut state, 1, &late), ClaimAnswer::Granted);
}

#[test]
fn the_table_is_limited_over_all_workspaces() {
    let mut state = StateMachine::default();
    for workspace in ["first", "second", "third", "fourth"] {
        fill_workspace(&mut state, workspace);
    }
    assert_eq!(state.claims().len(), MAX_CLAIMS);
    let late = claim("late", "h1", "1");
    assert_eq!(claim_one(&mut state, 0, &late), ClaimAnswer::Full);
}
