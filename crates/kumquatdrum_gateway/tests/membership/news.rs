//! How soon hosts know of departures and evacuations while a data centre is cut off, in virtual time.
//!
//! Guards against news that only the host which accepted it can send, and that hosts which it can't connect
//! to learn late or not at all.

use crate::fleet::cut::Cut;
use crate::fleet::{Fleet, Size};

/// The time from a leave request to the end of the drain time after its acknowledgement: 0.6 s and 2 s,
/// less 0.5 s for a request in transit.
const DEPARTURE_KNOWN_MS: u64 = 2_100;
/// The time in which a host in touch knows of an evacuation.
const EVACUATION_KNOWN_MS: u64 = 2_000;
const STEP_MS: u64 = 50;

const FEW: Size = Size {
    entry: 6,
    control: 3,
};
const SOME: Size = Size {
    entry: 60,
    control: 6,
};
const MANY: Size = Size {
    entry: 984,
    control: 25,
};

fn start(size: Size, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(size, seed, 0);
    fleet.run_until(4_000);
    fleet
}

/// Runs until no host is unaware of the news, and returns how long that took.
fn run_until_known(
    fleet: &mut Fleet,
    most_ms: u64,
    what: &str,
    unaware: impl Fn(&Fleet) -> usize,
) -> u64 {
    let mut passed = 0;
    while unaware(fleet) > 0 {
        assert!(passed < most_ms, "{what}: {} unaware", unaware(fleet));
        fleet.run_for(STEP_MS);
        passed += STEP_MS;
    }
    passed
}

/// Plays a leave request at a control host within the cut and one outside, and an evacuation from outside
/// with a restart in it. Returns the longest times until the hosts in touch knew.
fn play(size: Size, cut: Cut, seed: u64) -> (u64, u64) {
    let (mut departure_ms, mut evacuation_ms) = (0, 0);
    for at in [0, 1] {
        let what = format!("{size:?}, {cut:?}, seed {seed}, accepted by host {at}");
        let mut fleet = start(size, seed);
        fleet.cut_by(0, cut);
        fleet.run_for(seed * 170 % 1_000);
        fleet.leave(at);
        let unaware = |fleet: &Fleet| fleet.unaware_of_departure(at).len();
        let passed = run_until_known(&mut fleet, DEPARTURE_KNOWN_MS, &what, unaware);
        departure_ms = departure_ms.max(passed);
        if at == 0 {
            continue;
        }
        fleet.evacuate(at, 1);
        let unaware = |fleet: &Fleet| fleet.unaware_of_evacuations(at, 1).len();
        let passed = run_until_known(&mut fleet, EVACUATION_KNOWN_MS, &what, unaware);
        evacuation_ms = evacuation_ms.max(passed);
        for entry in 0..5 {
            let entry = fleet.entry(entry);
            fleet.kill(entry);
            fleet.restart(entry);
        }
        let passed = run_until_known(&mut fleet, EVACUATION_KNOWN_MS, &what, unaware);
        evacuation_ms = evacuation_ms.max(passed);
    }
    (departure_ms, evacuation_ms)
}

fn play_all(size: Size, seeds: u64) {
    let (mut departure_ms, mut evacuation_ms) = (0, 0);
    for cut in Cut::all() {
        for seed in 0..seeds {
            let (departure, evacuation) = play(size, cut, seed);
            departure_ms = departure_ms.max(departure);
            evacuation_ms = evacuation_ms.max(evacuation);
        }
    }
    println!("{size:?}: departures {departure_ms} ms, evacuations {evacuation_ms} ms at most");
}

#[test]
fn departures_and_evacuations_are_known_in_time_in_any_cut() {
    play_all(FEW, 3);
    play_all(SOME, 1);
}

/// The same with a thousand hosts, with `--release`.
#[test]
#[ignore = "takes minutes"]
fn departures_and_evacuations_are_known_in_time_among_a_thousand_hosts() {
    play_all(MANY, 1);
}
