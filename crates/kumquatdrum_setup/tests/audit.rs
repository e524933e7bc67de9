//! The audit trail records each attempt, and its verification detects any change.

mod support;

use kumquatdrum_setup::audit::{Entry, Violation, verify};
use kumquatdrum_setup::{ApplyRequest, Digest, Outcome, StateMachine};
use kumquatdrum_types::Version;
use support::{apply, request, text};

fn state_with_attempts() -> StateMachine {
    let mut state = StateMachine::default();
    apply(&mut state, &request("a", 0, 1));
    apply(&mut state, &request("b", 0, 2));
    apply(&mut state, &ApplyRequest::new("c", Version(1), "[]"));
    apply(&mut state, &request("a", 1, 3));
    apply(&mut state, &request("a", 2, 4));
    state
}

#[test]
fn each_attempt_has_an_entry() {
    let state = state_with_attempts();
    let (previous, entries) = state.trail().page(1, usize::MAX);
    let outcomes: Vec<_> = entries.iter().map(|entry| entry.record.outcome).collect();
    let expected = [
        Outcome::Accepted(Version(1)),
        Outcome::Conflict(Version(1)),
        Outcome::Refused,
        Outcome::Accepted(Version(2)),
        Outcome::Accepted(Version(3)),
    ];
    assert_eq!(outcomes, expected);
    assert_eq!(entries[3].record.places, ["/priorities/card/level"]);
    assert_eq!(entries[3].record.content, Digest::of(text(3).as_bytes()));
    assert_eq!(verify(previous, entries), Ok(state.trail().head()));
}

#[test]
fn pages_verify_by_themselves() {
    let state = state_with_attempts();
    let mut from = 1;
    let mut head = Digest::default();
    while from <= state.trail().len() {
        let (previous, entries) = state.trail().page(from, 2);
        assert_eq!(previous, head);
        head = verify(previous, entries).expect("the page is intact");
        from += entries.len() as u64;
    }
    assert_eq!(head, state.trail().head());
    assert!(state.trail().page(6, 2).1.is_empty());
    assert!(state.trail().page(u64::MAX, 2).1.is_empty());
}

#[test]
fn the_first_broken_link_is_found() {
    let state = state_with_attempts();
    let (_, entries) = state.trail().page(1, usize::MAX);
    let broken = |change: &dyn Fn(&mut Vec<Entry>)| {
        let mut entries = entries.to_vec();
        change(&mut entries);
        verify(Digest::default(), &entries).expect_err("the trail was changed")
    };
    let digest = |sequence| Violation::Digest { sequence };
    assert_eq!(broken(&|e| e[1].record.operator = "x".into()), digest(2));
    assert_eq!(broken(&|e| e[2].record.at_unix_ms += 1), digest(3));
    assert_eq!(
        broken(&|e| e[3].record.outcome = Outcome::Refused),
        digest(4)
    );
    assert_eq!(broken(&|e| e[3].record.places.clear()), digest(4));
    assert_eq!(broken(&|e| e[4].digest = Digest::of(b"x")), digest(5));
    let gap = |expected, found| Violation::Sequence { expected, found };
    assert_eq!(broken(&|e| drop(e.remove(0))), gap(1, 2));
    assert_eq!(broken(&|e| drop(e.remove(2))), gap(3, 4));
    assert_eq!(broken(&|e| e.swap(1, 2)), gap(2, 3));
    // A removed entry breaks the chain even if the later ones are renumbered.
    let renumbered = |e: &mut Vec<Entry>| {
        e.remove(2);
        e[2].record.sequence = 3;
    };
    assert_eq!(broken(&renumbered), digest(3));
}

/// The documentation defines the digest's input, so that auditors can use other tools.
#[test]
fn the_chain_can_be_recomputed_from_the_export() {
    let state = state_with_attempts();
    let (_, entries) = state.trail().page(1, usize::MAX);
    let mut previous = "0".repeat(64);
    for entry in entries {
        let exported = serde_json::to_value(entry).expect("the entry can be exported");
        let line = format!("{previous}\n{}", exported["record"]);
        previous = kumquatdrum_types::digest::hex(line.as_bytes());
        assert_eq!(exported["digest"], previous.as_str());
    }
}
