//! Applies are conditional on their base, and each resend gets the same answer.

mod support;

use kumquatdrum_setup::{
    Action, ApplyAnswer, ApplyId, ApplyRequest, Command, Outcome, Preparation, StateMachine,
};
use kumquatdrum_types::Version;
use support::{accepted, apply, conflict, request, restored, stamp, text};

#[test]
fn an_apply_is_accepted_only_on_the_current_version() {
    let mut state = StateMachine::default();
    assert_eq!(apply(&mut state, &request("a", 0, 1)), accepted(1));
    assert_eq!(apply(&mut state, &request("b", 0, 2)), conflict(1));
    assert_eq!(apply(&mut state, &request("b", 1, 2)), accepted(2));
    assert_eq!(&**state.history().current_text(), text(2));
}

#[test]
fn a_resend_gets_the_first_answer_and_has_no_effect() {
    let mut state = StateMachine::default();
    let first = request("a", 0, 1);
    assert_eq!(apply(&mut state, &first), accepted(1));
    for version in 1..20 {
        apply(&mut state, &request("b", version, version as u8 + 1));
    }
    let mut successor = restored(&state);
    assert_eq!(apply(&mut successor, &first), accepted(1));
    assert_eq!(successor, state);
}

/// Two leaders may receive the same apply and propose it before either applies it.
#[test]
fn an_apply_that_is_in_the_log_twice_is_accepted_once() {
    let mut state = StateMachine::default();
    let first = request("a", 0, 1);
    let Preparation::Propose(action) = state.prepare(&first) else {
        panic!("the request is a resend")
    };
    assert_eq!(apply(&mut state, &first), accepted(1));
    assert_eq!(apply(&mut state, &request("b", 1, 2)), accepted(2));
    let trail = state.trail().clone();
    let answer = support::run(&mut state, stamp(0), action);
    assert_eq!(answer, kumquatdrum_setup::Answer::Apply(accepted(1)));
    assert_eq!(state.current_version(), Version(2));
    assert_eq!(*state.trail(), trail);
}

/// An apply that was answered with a conflict must not be accepted by a delayed copy.
#[test]
fn an_apply_with_a_future_base_is_not_accepted_later() {
    let mut state = StateMachine::default();
    let premature = request("a", 1, 7);
    assert_eq!(apply(&mut state, &premature), conflict(0));
    assert_eq!(apply(&mut state, &request("b", 0, 1)), accepted(1));
    let mut state = restored(&state);
    assert_eq!(apply(&mut state, &premature), conflict(1));
    let mut again = premature;
    again.apply_id = ApplyId::new("once more");
    assert_eq!(apply(&mut state, &again), accepted(2));
}

#[test]
fn an_id_identifies_one_apply() {
    let mut state = StateMachine::default();
    let with_id = |base, level| ApplyRequest {
        apply_id: ApplyId::new("change-7"),
        ..request("a", base, level)
    };
    assert_eq!(apply(&mut state, &with_id(0, 1)), accepted(1));
    let taken = ApplyAnswer::IdTaken {
        version: Version(1),
    };
    assert_eq!(apply(&mut state, &with_id(1, 2)), taken);
    assert_eq!(apply(&mut state, &with_id(0, 1)), accepted(1));
    assert_eq!(state.current_version(), Version(1));
}

#[test]
fn a_refused_declaration_is_recorded_without_its_text() {
    let mut state = StateMachine::default();
    let text = r#"{"workspaces": [{"name": "a", "keys": [{"sha256": "plain-secret"}]}]}"#;
    let refused = ApplyRequest::new("a", Version(0), text);
    let Preparation::Propose(action) = state.prepare(&refused) else {
        panic!("the request is a resend")
    };
    let command = Command {
        stamp: stamp(0),
        action: action.clone(),
    };
    let contains = |bytes: &[u8]| bytes.windows(12).any(|window| window == b"plain-secret");
    assert!(!contains(&command.encode()));
    assert!(matches!(action, Action::RefusedApply(_)));
    let ApplyAnswer::Refused { findings } = apply(&mut state, &refused) else {
        panic!("the declaration has no findings")
    };
    assert_eq!(findings[0].place, "/workspaces/0/keys/0/sha256");
    assert!(!contains(&state.encode()));
    assert_eq!(state.current_version(), Version(0));
    let (_, entries) = state.trail().page(1, 9);
    assert_eq!(entries[0].record.outcome, Outcome::Refused);
    assert_eq!(entries[0].record.places, ["/workspaces/0/keys/0/sha256"]);
}

#[test]
fn a_log_entry_is_applied_once() {
    let mut state = StateMachine::default();
    let action = Action::Claims(vec![support::claim("k", "h", "1")]);
    let command = Command {
        stamp: stamp(5),
        action,
    };
    state.apply(4, &command);
    let before = state.clone();
    for index in [4, 3] {
        let answer = state.apply(index, &command);
        assert_eq!(answer, kumquatdrum_setup::Answer::AlreadyApplied);
    }
    assert_eq!(state, before);
    state.skip(9);
    assert_eq!(state.applied(), 9);
}

#[test]
fn commands_of_other_formats_are_rejected() {
    let command = Command {
        stamp: stamp(5),
        action: Action::Claims(Vec::new()),
    };
    let mut bytes = command.encode();
    assert_eq!(
        Command::decode(&bytes).expect("the command can be decoded"),
        command
    );
    bytes[0] = 9;
    let error = Command::decode(&bytes).expect_err("the format is unknown");
    assert_eq!(error.to_string(), "command format 9 is not known");
    assert!(Command::decode(&[]).is_err());
    assert!(Command::decode(&command.encode()[..2]).is_err());
}
