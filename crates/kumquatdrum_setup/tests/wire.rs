//! Types sent between hosts round-trip through their encoding.

mod support;

use std::fmt::Debug;

use kumquatdrum_setup::control::Page;
use kumquatdrum_setup::{
    ApplyAnswer, AttemptStatus, ClaimAnswer, Failure, Selector, SettleAnswer, Standing,
    StateMachine,
};
use kumquatdrum_types::{Finding, Version};
use serde::Serialize;
use serde::de::DeserializeOwned;
use support::{apply, claim, request, settlement};

fn assert_round_trip<T: Debug + PartialEq + Serialize + DeserializeOwned>(value: &T) {
    let bytes = postcard::to_stdvec(value).expect("the value can be encoded");
    assert_eq!(postcard::from_bytes::<T>(&bytes).as_ref(), Ok(value));
}

#[test]
fn requests_and_answers_round_trip() {
    let mut state = StateMachine::default();
    apply(&mut state, &request("a", 0, 1));
    let as_of_unix_ms = Some(9);
    let standing = Standing::LastKnown { as_of_unix_ms };
    let (previous, entries) = state.trail().page(1, 9);
    assert_round_trip(&Page {
        previous,
        entries: entries.to_vec(),
        next: Some(2),
        standing,
    });
    assert_round_trip(&state.show(Selector::At(7), standing));
    assert_round_trip(&state.offer());
    assert_round_trip(&request("a", 0, 1));
    assert_round_trip(&support::accepted(1));
    let findings = vec![Finding::new("/models", "is wrong")];
    assert_round_trip(&ApplyAnswer::Refused { findings });
    assert_round_trip(&Failure::NotLeader { leader: None });
    let claim = claim("k", "h", "1");
    assert_round_trip(&claim);
    assert_round_trip(&settlement(&claim, "h", AttemptStatus::Finished));
    assert_round_trip(&[ClaimAnswer::Granted, ClaimAnswer::Full]);
    assert_round_trip(&SettleAnswer::TooEarly { wait_ms: 3 });
    assert_round_trip(&Selector::Version(Version(3)));
}
