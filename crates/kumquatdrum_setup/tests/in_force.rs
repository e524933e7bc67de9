//! A host without a replica accepts only higher and intact versions.

mod support;

use std::time::Duration;

use kumquatdrum_setup::in_force::{Offer, Outcome};
use kumquatdrum_setup::{Digest, Setup, Stamper, Standing, StateMachine};
use kumquatdrum_types::{Moment, Version};
use support::{START_MS, apply, request, text};

fn offer(version: u64, text: &str) -> Offer {
    Offer {
        version: Version(version),
        digest: Digest::of(text.as_bytes()),
        accepted_unix_ms: START_MS,
        text: text.into(),
    }
}

#[test]
fn only_higher_versions_are_accepted() {
    let mut in_force = Setup::default();
    assert_eq!(in_force.accept(&offer(5, &text(1))), Outcome::Accepted);
    assert_eq!(in_force.accept(&offer(5, &text(1))), Outcome::AlreadyActive);
    assert_eq!(in_force.accept(&offer(4, &text(2))), Outcome::Outdated);
    assert_eq!(in_force.accept(&offer(5, &text(2))), Outcome::Diverged);
    assert_eq!(in_force.version(), Version(5));
    assert_eq!(*in_force.revision().text, *text(1));
    assert_eq!(in_force.accept(&offer(9, &text(3))), Outcome::Accepted);
    assert_eq!(
        in_force
            .index()
            .priority("card")
            .expect("the priority exists")
            .level,
        3
    );
}

#[test]
fn the_offer_of_a_replica_is_accepted() {
    let mut state = StateMachine::default();
    let mut in_force = Setup::default();
    assert_eq!(in_force.accept(&state.offer()), Outcome::AlreadyActive);
    apply(&mut state, &request("a", 0, 1));
    assert_eq!(in_force.accept(&state.offer()), Outcome::Accepted);
    assert_eq!(*in_force.current_offer(), state.offer());
}

#[test]
fn corrupted_and_unreadable_offers_have_no_effect() {
    let mut in_force = Setup::default();
    in_force.accept(&offer(1, &text(1)));
    let mut corrupted = offer(2, &text(2));
    corrupted.text = text(3).into();
    assert_eq!(in_force.accept(&corrupted), Outcome::Corrupted);
    let unreadable = offer(3, r#"{"of_a_later_release": []}"#);
    assert!(matches!(
        in_force.accept(&unreadable),
        Outcome::Unreadable(_)
    ));
    assert_eq!(in_force.version(), Version(1));
    assert_eq!(in_force.unreadable_version(), Some(Version(3)));
    assert_eq!(in_force.accept(&offer(4, &text(4))), Outcome::Accepted);
    assert_eq!(in_force.unreadable_version(), None);
}

/// An accepted version is in force even if this release's check is stricter.
#[test]
fn an_accepted_version_is_not_checked_again() {
    let mut in_force = Setup::default();
    let text = r#"{"priorities": [{"name": "card", "level": 1, "aging_ms": 0}]}"#;
    assert!(kumquatdrum_declaration::parse_and_check(text).is_err());
    assert_eq!(in_force.accept(&offer(1, text)), Outcome::Accepted);
}

#[test]
fn the_last_contact_with_a_majority_is_reported() {
    let mut in_force = Setup::default();
    let without_contact = Standing::LastKnown {
        as_of_unix_ms: None,
    };
    assert_eq!(in_force.standing(), without_contact);
    assert_eq!(in_force.time_since_majority(Moment::from_millis(9)), None);
    in_force.record_majority_contact(Moment::from_millis(10), START_MS);
    let with_contact = Standing::LastKnown {
        as_of_unix_ms: Some(START_MS),
    };
    assert_eq!(in_force.revision().standing, with_contact);
    let elapsed = in_force.time_since_majority(Moment::from_millis(60));
    assert_eq!(elapsed, Some(Duration::from_millis(50)));
}

#[test]
fn stamps_carry_over_fractions_of_a_millisecond() {
    let mut stamper = Stamper::default();
    let mut elapsed = 0;
    for micros in (0..=10_000).step_by(300) {
        elapsed += stamper.stamp(Moment { micros }, START_MS).elapsed_ms;
    }
    assert_eq!(elapsed, 9);
}
