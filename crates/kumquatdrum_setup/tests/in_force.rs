//! What a daemon without a disk keeps: only upwards, only whole.

mod support;

use std::time::Duration;

use kumquatdrum_setup::in_force::{Offer, Taken};
use kumquatdrum_setup::{Digest, InForce, Stamper, Standing, State};
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
fn only_higher_versions_are_taken() {
    let mut in_force = InForce::default();
    assert_eq!(in_force.offer(&offer(5, &text(1))), Taken::Taken);
    assert_eq!(in_force.offer(&offer(5, &text(1))), Taken::Known);
    assert_eq!(in_force.offer(&offer(4, &text(2))), Taken::Older);
    assert_eq!(in_force.offer(&offer(5, &text(2))), Taken::Diverged);
    assert_eq!(in_force.version(), Version(5));
    assert_eq!(*in_force.shown().text, *text(1));
    assert_eq!(in_force.offer(&offer(9, &text(3))), Taken::Taken);
    assert_eq!(
        in_force.index().priority("card").expect("a priority").level,
        3
    );
}

#[test]
fn what_a_replica_offers_is_taken() {
    let mut state = State::default();
    let mut in_force = InForce::default();
    assert_eq!(in_force.offer(&state.offer()), Taken::Known);
    apply(&mut state, &request("a", 0, 1));
    assert_eq!(in_force.offer(&state.offer()), Taken::Taken);
    assert_eq!(*in_force.offered(), state.offer());
}

#[test]
fn damaged_and_unreadable_offers_change_nothing() {
    let mut in_force = InForce::default();
    in_force.offer(&offer(1, &text(1)));
    let mut damaged = offer(2, &text(2));
    damaged.text = text(3).into();
    assert_eq!(in_force.offer(&damaged), Taken::Damaged);
    let unreadable = offer(3, r#"{"of_a_later_release": []}"#);
    assert!(matches!(in_force.offer(&unreadable), Taken::Unreadable(_)));
    assert_eq!(in_force.version(), Version(1));
    assert_eq!(in_force.unreadable(), Some(Version(3)));
    assert_eq!(in_force.offer(&offer(4, &text(4))), Taken::Taken);
    assert_eq!(in_force.unreadable(), None);
}

/// Another release's check may be stricter. What was accepted is in force all the same.
#[test]
fn an_accepted_version_is_not_checked_again() {
    let mut in_force = InForce::default();
    let text = r#"{"priorities": [{"name": "card", "level": 1, "aging_ms": 0}]}"#;
    assert!(kumquatdrum_declaration::parse_and_check(text).is_err());
    assert_eq!(in_force.offer(&offer(1, text)), Taken::Taken);
}

#[test]
fn it_says_since_when_no_majority_spoke() {
    let mut in_force = InForce::default();
    let unheard = Standing::LastKnown {
        as_of_unix_ms: None,
    };
    assert_eq!(in_force.standing(), unheard);
    assert_eq!(in_force.silence(Moment::from_millis(9)), None);
    in_force.heard_majority(Moment::from_millis(10), START_MS);
    let heard = Standing::LastKnown {
        as_of_unix_ms: Some(START_MS),
    };
    assert_eq!(in_force.shown().standing, heard);
    let silence = in_force.silence(Moment::from_millis(60));
    assert_eq!(silence, Some(Duration::from_millis(50)));
}

#[test]
fn stamps_lose_no_part_of_a_millisecond() {
    let mut stamper = Stamper::default();
    let mut elapsed = 0;
    for micros in (0..=10_000).step_by(300) {
        elapsed += stamper.stamp(Moment { micros }, START_MS).elapsed_ms;
    }
    assert_eq!(elapsed, 9);
}
