//! Prints the size of snapshots and the time to encode and restore them and to read versions back,
//! after a history of changes that each set one workspace's weight.
//!
//! `cargo run --release -p kumquatdrum_setup --example sizes -- WORKSPACES CHANGES`

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use kumquatdrum_setup::{
    Action, Answer, ApplyRequest, Claim, Command, Digest, Preparation, Stamp, StateMachine,
};
use kumquatdrum_types::{Version, digest};

const DEFAULT_WORKSPACE_COUNT: usize = 1_600;
const DEFAULT_CHANGE_COUNT: usize = 2_100;
const CLAIM_COUNT: usize = 100_000;
const RETAIN_MINUTES: u64 = 60;

/// Returns a declaration of workspaces with these keys and weights.
fn declaration_text(workspaces: &[(String, u64)]) -> String {
    let mut text = String::from("{\"workspaces\": [\n");
    for (number, (key, weight)) in workspaces.iter().enumerate() {
        let comma = if number == 0 { "" } else { ",\n" };
        let _ = write!(
            text,
            "{comma}{{\"name\": \"workspace-{number:04}\", \"keys\": [{{\"sha256\": \"{key}\"}}], \
             \"weight\": {weight}, \"limits\": {{\"concurrency\": 64}}}}"
        );
    }
    text.push_str("\n]}\n");
    text
}

/// Applies a request and returns the time to prepare and to apply it.
fn apply(state: &mut StateMachine, request: &ApplyRequest) -> [Duration; 2] {
    let start = Instant::now();
    let Preparation::Propose(action) = state.prepare(request) else {
        panic!("the request is a resend")
    };
    let prepared = start.elapsed();
    let stamp = Stamp::default();
    let start = Instant::now();
    let answer = state.apply(state.applied() + 1, &Command { stamp, action });
    let applied = start.elapsed();
    assert!(matches!(answer, Answer::Apply(_)));
    [prepared, applied]
}

fn claim(number: usize) -> Claim {
    Claim {
        workspace: format!("workspace-{:04}", number % 10).as_str().into(),
        key: format!("6f1e2c7a-0000-4000-8000-{number:012}")
            .as_str()
            .into(),
        fingerprint: Digest::of(&number.to_be_bytes()),
        host: "hall-ringtee-1".into(),
        attempt: format!("hall-ringtee-1-{number}").as_str().into(),
        deadline_ms: 20_000,
        retain_ms: RETAIN_MINUTES * 60_000,
    }
}

fn print_snapshot(label: &str, state: &StateMachine) {
    let start = Instant::now();
    let bytes = state.encode();
    let encode_time = start.elapsed();
    let start = Instant::now();
    let restored = StateMachine::restore(&bytes).expect("the snapshot can be restored");
    let restore_time = start.elapsed();
    assert!(restored == *state);
    println!(
        "{label}: {} bytes, encode {encode_time:?}, restore {restore_time:?}",
        bytes.len()
    );
}

fn print_changes(workspaces: usize, changes: usize) {
    let key = |number: usize| (digest::hex(&number.to_be_bytes()), 1);
    let mut items: Vec<_> = (0..workspaces).map(key).collect();
    let mut state = StateMachine::default();
    let mut times = [Duration::ZERO; 2];
    for version in 0..changes {
        items[version * 7 % workspaces].1 = 2 + version as u64 % 70;
        let request = ApplyRequest::new(
            "operator",
            Version(version as u64),
            declaration_text(&items),
        );
        let [prepared, applied] = apply(&mut state, &request);
        times[0] += prepared;
        times[1] += applied;
        if [1, changes / 10, changes].contains(&(version + 1)) {
            println!("text: {} bytes", request.text.len());
            print_snapshot(&format!("after {} changes", version + 1), &state);
        }
    }
    let [prepared, applied] = times.map(|time| time / changes as u32);
    println!("prepare {prepared:?}, apply {applied:?} a change on average");
    let start = Instant::now();
    let versions = (1..=changes)
        .step_by(97)
        .map(|version| Version(version as u64));
    let reads = versions
        .filter_map(|version| state.history().text(version))
        .count() as u32;
    println!(
        "read back: {:?} a version on average",
        start.elapsed() / reads
    );
}

fn print_claims() {
    let mut state = StateMachine::default();
    let claims = (0..CLAIM_COUNT).map(claim).collect();
    let command = Command {
        stamp: Stamp::default(),
        action: Action::Claims(claims),
    };
    println!(
        "{CLAIM_COUNT} claims in one entry: {} bytes",
        command.encode().len()
    );
    let start = Instant::now();
    state.apply(1, &command);
    println!("{CLAIM_COUNT} claims: {:?}", start.elapsed());
    print_snapshot(&format!("{CLAIM_COUNT} claims"), &state);
}

fn main() {
    let mut sizes = std::env::args()
        .skip(1)
        .map(|text| text.parse().expect("a whole number"));
    let workspaces = sizes.next().unwrap_or(DEFAULT_WORKSPACE_COUNT);
    print_changes(workspaces, sizes.next().unwrap_or(DEFAULT_CHANGE_COUNT));
    print_claims();
}
