//! Reports outcomes per prompt class under mixed loads of short and long prompts.
//!
//! `cargo bench --package kumquatdrum_placement --bench policy`

#[path = "../tests/model/mod.rs"]
mod model;

use model::workload::{self, LONGER_PROMPT_CLASSES, PROMPT_CLASSES, generate_from};
use model::{Outcome, Scenario};

/// Alternating long-heavy and short-heavy phases.
const ALTERNATING: [[f64; 3]; 2] = [[0.35, 1.3, 2.8], [2.5, 0.5, 0.05]];
const SEEDS: u64 = 6;
const SECONDS: u64 = 40;
/// The value of an answer in time, by class; a late one counts a quarter.
const VALUES: [f64; 3] = [1.3, 4.2, 21.0];
const NAMES: [&str; 3] = ["short", "long", "longest"];
/// Engines, load scale (1 is the load of 23 engines), hosts that place prompts, the delay of
/// updates between hosts in milliseconds, and prompt classes.
const SCENARIOS: [(u64, f64, usize, f64, &[workload::Class; 3]); 9] = [
    (23, 1.0, 1, 0.0, &PROMPT_CLASSES),
    (23, 0.8, 1, 0.0, &PROMPT_CLASSES),
    (14, 0.6, 1, 0.0, &PROMPT_CLASSES),
    (7, 0.25, 1, 0.0, &PROMPT_CLASSES),
    (23, 0.8, 8, 4.0, &PROMPT_CLASSES),
    (78, 2.7, 85, 8.0, &PROMPT_CLASSES),
    (23, 0.8, 8, 4.0, &LONGER_PROMPT_CLASSES),
    (78, 2.7, 85, 8.0, &LONGER_PROMPT_CLASSES),
    // More short prompts than slots after each turn of the load.
    (42, 2.05, 27, 8.0, &PROMPT_CLASSES),
];
/// Slots of an engine in scenarios with many hosts.
const SLOTS: u32 = 12;

fn main() {
    for (engines, scale, hosts, propagation_ms, classes) in SCENARIOS {
        let scenario = Scenario {
            hosts,
            propagation_ms,
            slots: if hosts > 1 { SLOTS } else { 16 },
            ..Scenario::of(engines)
        };
        let mut total = vec![Outcome::default(); PROMPT_CLASSES.len()];
        for seed in 0..SEEDS {
            let prompts = generate_from(classes, seed, SECONDS, scale, &ALTERNATING);
            for (sum, outcome) in total.iter_mut().zip(model::simulate(&prompts, &scenario)) {
                sum.add(outcome);
            }
        }
        println!(
            "{engines} engines, load {scale}, {hosts} hosts: value {:.3}",
            value_ratio(&total)
        );
        for (name, outcome) in NAMES.iter().zip(&total) {
            println!(
                "  {name:8} requests {:5} on time {:.3} refused {:3} first token late {:4} paused {:4} first token ms {:5.0} {:5.0} {:5.0}",
                outcome.requests,
                outcome.on_time_share(),
                outcome.refused,
                outcome.late_first_token,
                outcome.paused,
                outcome.first_token_quantile(0.5),
                outcome.first_token_quantile(0.95),
                outcome.first_token_quantile(0.99),
            );
        }
    }
}

fn value_ratio(outcomes: &[Outcome]) -> f64 {
    let (mut achieved, mut maximum) = (0.0, 0.0);
    for (outcome, value) in outcomes.iter().zip(VALUES) {
        let late = outcome.requests - outcome.refused - outcome.on_time;
        achieved += value * (outcome.on_time as f64 + late as f64 / 4.0);
        maximum += value * outcome.requests as f64;
    }
    achieved / maximum
}
