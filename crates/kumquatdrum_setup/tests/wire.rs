//! What passes between hosts survives the encoding that they use.

mod support;

use std::fmt::Debug;

use kumquatdrum_setup::control::Page;
use kumquatdrum_setup::{
    ApplyAnswer, ClaimAnswer, Failure, Selector, SettleAnswer, Settled, Standing, State,
};
use kumquatdrum_types::{Finding, Version};
use serde::Serialize;
use serde::de::DeserializeOwned;
use support::{apply, claim, request, settlement};

fn passes<T: Debug + PartialEq + Serialize + DeserializeOwned>(value: &T) {
    let bytes = postcard::to_stdvec(value).expect("an encoding");
    assert_eq!(postcard::from_bytes::<T>(&bytes).as_ref(), Ok(value));
}

#[test]
fn requests_and_answers_pass() {
    let mut state = State::default();
    apply(&mut state, &request("a", 0, 1));
    let as_of_unix_ms = Some(9);
    let standing = Standing::LastKnown { as_of_unix_ms };
    let (previous, entries) = state.trail().page(1, 9);
    passes(&Page {
        previous,
        entries: entries.to_vec(),
        next: Some(2),
        standing,
    });
    passes(&state.show(Selector::At(7), standing));
    passes(&state.offer());
    passes(&request("a", 0, 1));
    passes(&support::accepted(1));
    let findings = vec![Finding::new("/models", "is wrong")];
    passes(&ApplyAnswer::Refused { findings });
    passes(&Failure::NotCurrent { leader: None });
    let claim = claim("k", "h", "1");
    passes(&claim);
    passes(&settlement(&claim, "h", Settled::Finished));
    passes(&[ClaimAnswer::Granted, ClaimAnswer::Full]);
    passes(&SettleAnswer::TooEarly { wait_ms: 3 });
    passes(&Selector::Version(Version(3)));
}
