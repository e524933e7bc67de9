//! What callers get under loads of short and of long prompts, by length.
//!
//! `cargo bench --package kumquatdrum_placement --bench policy`

#[path = "../tests/model/mod.rs"]
mod model;

use model::load::{KINDS, Kind, LONGER, draw_of};
use model::{Outcome, Scene};

/// Long-heavy and short-heavy phases, by turns.
const SWINGING: [[f64; 3]; 2] = [[0.35, 1.3, 2.8], [2.5, 0.5, 0.05]];
const SEEDS: u64 = 6;
const SECONDS: u64 = 40;
/// What an answer on time is worth, by kind; a late one is worth a quarter.
const WORTH: [f64; 3] = [1.3, 4.2, 21.0];
const NAMES: [&str; 3] = ["short", "long", "longest"];
/// Engines, the share of the load of 23 engines, hosts that place prompts, how long what one does
/// stays unknown to the others, in milliseconds, and the kinds of prompts.
const FLEETS: [(u64, f64, usize, f64, &[Kind; 3]); 8] = [
    (23, 1.0, 1, 0.0, &KINDS),
    (23, 0.8, 1, 0.0, &KINDS),
    (14, 0.6, 1, 0.0, &KINDS),
    (7, 0.25, 1, 0.0, &KINDS),
    (23, 0.8, 8, 4.0, &KINDS),
    (78, 2.7, 85, 8.0, &KINDS),
    (23, 0.8, 8, 4.0, &LONGER),
    (78, 2.7, 85, 8.0, &LONGER),
];
/// Slots of an engine where many hosts place.
const SLOTS: u32 = 12;

fn main() {
    for (engines, scale, hosts, view_ms, kinds) in FLEETS {
        let scene = Scene {
            hosts,
            view_ms,
            slots: if hosts > 1 { SLOTS } else { 16 },
            ..Scene::of(engines)
        };
        let mut total = vec![Outcome::default(); KINDS.len()];
        for seed in 0..SEEDS {
            let prompts = draw_of(kinds, seed, SECONDS, scale, &SWINGING);
            for (sum, outcome) in total.iter_mut().zip(model::play(&prompts, &scene)) {
                sum.add(outcome);
            }
        }
        println!(
            "{engines} engines, load {scale}, {hosts} hosts: worth {:.3}",
            worth(&total)
        );
        for (name, outcome) in NAMES.iter().zip(&total) {
            println!(
                "  {name:8} asked {:5} on time {:.3} refused {:3} first late {:4} paused {:4} first ms {:5.0} {:5.0} {:5.0}",
                outcome.asked,
                outcome.share(),
                outcome.refused,
                outcome.first_late,
                outcome.paused,
                outcome.first_at(0.5),
                outcome.first_at(0.95),
                outcome.first_at(0.99),
            );
        }
    }
}

fn worth(outcomes: &[Outcome]) -> f64 {
    let (mut earned, mut owed) = (0.0, 0.0);
    for (outcome, worth) in outcomes.iter().zip(WORTH) {
        let late = outcome.asked - outcome.refused - outcome.on_time;
        earned += worth * (outcome.on_time as f64 + late as f64 / 4.0);
        owed += worth * outcome.asked as f64;
    }
    earned / owed
}
