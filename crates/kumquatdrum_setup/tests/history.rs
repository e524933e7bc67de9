//! Reading versions by number and by time, their size, and the detection of damaged snapshots.

mod support;

use kumquatdrum_setup::history::{EMPTY_TEXT, MAX_DELTAS_PER_KEYFRAME};
use kumquatdrum_setup::snapshot::RestoreError;
use kumquatdrum_setup::{Digest, Selector, Standing, StateMachine};
use kumquatdrum_types::Version;
use support::{START_MS, apply_at, restored};

/// Returns a declaration of `priorities` items, of which item `changed` has the given aging time.
fn large_text(priorities: usize, changed: usize, aging_ms: usize) -> String {
    let item = |number: usize| {
        let aging_ms = if number == changed { aging_ms } else { 5 };
        format!("{{\"name\": \"päev-{number}\", \"level\": 1, \"aging_ms\": {aging_ms}}}")
    };
    let items: Vec<_> = (0..priorities).map(item).collect();
    format!("{{\"priorities\": [\n{}\n]}}\n", items.join(",\n")).replace("päev", "day")
}

/// Returns a state to which each text was applied as a version.
fn state_with_versions(texts: &[String]) -> StateMachine {
    let mut state = StateMachine::default();
    for (base, text) in (0..).zip(texts) {
        let request = kumquatdrum_setup::ApplyRequest::new("a", Version(base), text.as_str());
        let answer = apply_at(&mut state, START_MS + 1_000 * (base + 1), &request);
        assert_eq!(answer, support::accepted(base + 1));
    }
    state
}

#[test]
fn each_version_is_read_back_byte_for_byte() {
    let count = MAX_DELTAS_PER_KEYFRAME + 300;
    let texts: Vec<_> = (0..count)
        .map(|n| large_text(5 + n % 3, n * 7 % 5, n + 10))
        .collect();
    let state = state_with_versions(&texts);
    for state in [restored(&state), state] {
        assert_eq!(
            state.history().text(Version(0)).as_deref(),
            Some(EMPTY_TEXT)
        );
        // Every eleventh version, and all around the second keyframe.
        let around_keyframe = MAX_DELTAS_PER_KEYFRAME - 2..MAX_DELTAS_PER_KEYFRAME + 5;
        let is_read =
            |number: &usize| number.is_multiple_of(11) || around_keyframe.contains(number);
        for number in (1..=count).filter(is_read) {
            let text = &texts[number - 1];
            let read = state.history().text(Version(number as u64));
            assert_eq!(read.as_deref(), Some(text.as_str()), "version {number}");
        }
        assert!(state.history().text(Version(count as u64 + 1)).is_none());
        assert!(state.history().text(Version(u64::MAX)).is_none());
    }
}

#[test]
fn a_time_selects_the_version_in_force_at_it() {
    let texts: Vec<_> = (0..3).map(|n| large_text(2, 0, n + 10)).collect();
    let state = state_with_versions(&texts);
    let at = |unix_ms| {
        let shown = state.show(Selector::At(unix_ms), Standing::Confirmed);
        shown.expect("the version exists").version.0
    };
    assert_eq!(at(0), 0);
    assert_eq!(at(START_MS + 999), 0);
    assert_eq!(at(START_MS + 1_000), 1);
    assert_eq!(at(START_MS + 2_999), 2);
    assert_eq!(at(u64::MAX), 3);
    let shown = state.show(Selector::Version(Version(2)), Standing::Confirmed);
    let shown = shown.expect("version 2");
    assert_eq!(*shown.text, *texts[1]);
    assert_eq!(shown.digest, Digest::of(texts[1].as_bytes()));
    assert_eq!(shown.accepted_unix_ms, START_MS + 2_000);
    assert!(
        state
            .show(Selector::Version(Version(4)), Standing::Confirmed)
            .is_none()
    );
}

/// The clock of a new leader may be behind that of its predecessor.
#[test]
fn times_of_versions_never_decrease() {
    let mut state = StateMachine::default();
    apply_at(&mut state, START_MS, &support::request("a", 0, 1));
    apply_at(&mut state, START_MS - 50, &support::request("a", 1, 2));
    let accepted = state.history().record(Version(2)).expect("version 2");
    assert_eq!(accepted.unix_ms, START_MS);
    assert_eq!(state.history().version_at(START_MS), Version(2));
}

#[test]
fn the_size_of_a_version_depends_on_its_change() {
    let base = large_text(400, 0, 10);
    let texts: Vec<_> = (0..60).map(|n| large_text(400, n, 10 + n)).collect();
    let one = state_with_versions(std::slice::from_ref(&base))
        .encode()
        .len();
    let all = state_with_versions(&texts).encode().len();
    // Each change affects two adjacent items of about 50 bytes in a text of 20 kB; its version and
    // audit entry also contain digests and names.
    let each = (all - one) / 59;
    assert!(base.len() > 15_000, "{}", base.len());
    assert!(each < 500, "{each} bytes per version");
}

#[test]
fn a_changed_or_truncated_snapshot_is_rejected() {
    let bytes = state_with_versions(&[large_text(3, 0, 77), large_text(3, 0, 78)]).encode();
    for position in 1..bytes.len() {
        let mut changed = bytes.clone();
        changed[position] ^= 1;
        let error = StateMachine::restore(&changed).expect_err("a byte was changed");
        assert!(matches!(error, RestoreError::Digest), "{position}: {error}");
    }
    for length in 0..bytes.len() {
        assert!(StateMachine::restore(&bytes[..length]).is_err(), "{length}");
    }
    let mut other = bytes.clone();
    other[0] = 200;
    let error = StateMachine::restore(&other).expect_err("the format is unknown");
    assert!(matches!(error, RestoreError::Format(200)), "{error}");
}
