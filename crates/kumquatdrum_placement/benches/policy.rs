//! What callers get under loads of short and of long prompts, by length.
//!
//! `cargo bench --package kumquatdrum_placement --bench policy`

#[path = "../tests/model/mod.rs"]
mod model;

use model::load::draw;

/// Short-heavy and long-heavy phases, by turns.
const SWINGING: [[f64; 3]; 2] = [[0.35, 1.3, 2.8], [2.5, 0.5, 0.05]];
const SEEDS: u64 = 6;

fn main() {
    for (name, engines, scale) in [
        ("23 engines", 23, 1.0),
        ("23, scale .8", 23, 0.8),
        ("14 engines", 14, 0.6),
    ] {
        let mut total = vec![(0usize, 0usize, 0usize, 0usize, 0usize); 3];
        let mut worth = 0.0;
        for seed in 0..SEEDS {
            let prompts = draw(seed, 40, scale, &SWINGING);
            let outcomes = model::play(&prompts, engines);
            for (sum, outcome) in total.iter_mut().zip(&outcomes) {
                sum.0 += outcome.asked;
                sum.1 += outcome.on_time;
                sum.2 += outcome.refused;
                sum.3 += outcome.first_late;
                sum.4 += outcome.paused;
            }
            let value = [1.3, 4.2, 21.0];
            let earned: f64 = outcomes
                .iter()
                .zip(value)
                .map(|(o, v)| {
                    v * (o.on_time as f64 + 0.25 * (o.asked - o.refused - o.on_time) as f64)
                })
                .sum();
            let owed: f64 = outcomes
                .iter()
                .zip(value)
                .map(|(o, v)| v * o.asked as f64)
                .sum();
            worth += earned / owed / SEEDS as f64;
        }
        println!("{name}: worth {worth:.3}");
        for (kind, t) in ["short", "long", "longest"].iter().zip(&total) {
            println!(
                "  {kind:8} asked {:5} on time {:.3} refused {} first late {} paused {}",
                t.0,
                t.1 as f64 / t.0 as f64,
                t.2,
                t.3,
                t.4
            );
        }
    }
}
