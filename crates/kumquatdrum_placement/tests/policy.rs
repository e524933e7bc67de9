//! Outcomes under heavy load, simulated on a model of the engines.

mod model;

use model::workload::{self, LONGER_PROMPT_CLASSES, PROMPT_CLASSES, Prompt, generate_from};
use model::{Outcome, Scenario, simulate};

const SHORT: usize = 0;
const LONG: usize = 1;
const LONGEST: usize = 2;
const SHORT_HEAVY: [[f64; 3]; 1] = [[2.5, 0.5, 0.05]];
const LONG_HEAVY: [[f64; 3]; 1] = [[0.35, 1.3, 2.8]];
const ALTERNATING: [[f64; 3]; 2] = [[0.35, 1.3, 2.8], [2.5, 0.5, 0.05]];

fn run(seeds: u64, scale: f64, phases: &[[f64; 3]], engines: u64) -> Vec<Outcome> {
    run_scenario(
        &PROMPT_CLASSES,
        seeds,
        scale,
        phases,
        &Scenario::of(engines),
    )
}

fn run_scenario(
    classes: &[workload::Class; 3],
    seeds: u64,
    scale: f64,
    phases: &[[f64; 3]],
    scenario: &Scenario,
) -> Vec<Outcome> {
    let mut total = vec![Outcome::default(); 3];
    for seed in 0..seeds {
        let prompts: Vec<Prompt> = generate_from(classes, seed, 30, scale, phases);
        for (sum, outcome) in total.iter_mut().zip(simulate(&prompts, scenario)) {
            sum.add(outcome);
        }
    }
    total
}

#[track_caller]
fn assert_on_time(outcome: &Outcome, min_share: f64) {
    assert!(
        outcome.on_time_share() >= min_share,
        "{:.3} of {} on time, {} refused, first token after {:.0} ms (median) and {:.0} ms (95th percentile)",
        outcome.on_time_share(),
        outcome.requests,
        outcome.refused,
        outcome.first_token_quantile(0.5),
        outcome.first_token_quantile(0.95)
    );
}

#[test]
fn few_long_prompts_barely_delay_short_ones() {
    let outcomes = run(3, 1.0, &SHORT_HEAVY, 23);
    assert_on_time(&outcomes[SHORT], 0.96);
    assert_on_time(&outcomes[LONG], 0.95);
}

#[test]
fn the_longest_prompts_start_in_time_when_they_dominate_the_load() {
    let outcomes = run(3, 0.8, &LONG_HEAVY, 23);
    assert_on_time(&outcomes[LONGEST], 0.80);
    assert_on_time(&outcomes[LONG], 0.90);
    assert_on_time(&outcomes[SHORT], 0.90);
}

#[test]
fn an_alternating_load_starves_no_prompt_class() {
    let outcomes = run(3, 1.0, &ALTERNATING, 23);
    assert_on_time(&outcomes[SHORT], 0.85);
    assert_on_time(&outcomes[LONG], 0.85);
    assert_on_time(&outcomes[LONGEST], 0.70);
}

#[test]
fn fewer_engines_serve_a_proportional_load() {
    let outcomes = run(3, 0.5, &ALTERNATING, 14);
    assert_on_time(&outcomes[SHORT], 0.90);
    assert_on_time(&outcomes[LONG], 0.90);
    assert_on_time(&outcomes[LONGEST], 0.70);
}

/// Guards against hosts that all choose the same engine for short prompts.
#[test]
fn prompts_placed_by_many_hosts_are_answered_in_time() {
    let scenario = Scenario {
        hosts: 28,
        propagation_ms: 8.0,
        slots: 12,
        ..Scenario::of(26)
    };
    let outcomes = run_scenario(&PROMPT_CLASSES, 2, 0.9, &SHORT_HEAVY, &scenario);
    assert_on_time(&outcomes[SHORT], 0.95);
    assert_on_time(&outcomes[LONG], 0.95);
}

/// Guards against long prefills that delay more answers than the prompt is worth.
#[test]
fn prompts_that_occupy_all_engines_starve_no_prompt_class() {
    let outcomes = run_scenario(
        &LONGER_PROMPT_CLASSES,
        3,
        0.9,
        &ALTERNATING,
        &Scenario::of(23),
    );
    assert_on_time(&outcomes[SHORT], 0.96);
    assert_on_time(&outcomes[LONG], 0.95);
    assert_on_time(&outcomes[LONGEST], 0.73);
}

/// Guards against streams that a partition between data centres would break.
#[test]
fn short_prompts_are_answered_from_the_local_data_centre() {
    let scenario = Scenario {
        hosts: 6,
        propagation_ms: 4.0,
        data_centres: 3,
        ..Scenario::of(18)
    };
    let outcomes = run_scenario(&PROMPT_CLASSES, 2, 0.7, &ALTERNATING, &scenario);
    let short = &outcomes[SHORT];
    let remote = short.remote as f64 / short.requests as f64;
    assert!(
        remote <= 0.05,
        "{remote:.3} of the short answers come from another data centre"
    );
    assert_on_time(short, 0.95);
    assert_on_time(&outcomes[LONG], 0.95);
}

/// Guards against hosts that all send their waiting prompts to the slot that becomes free next: more
/// short prompts come than there are slots for, and first tokens wait on the engines.
#[test]
fn more_short_prompts_than_slots_are_answered_in_time_as_far_as_there_are_slots() {
    let scenario = Scenario {
        hosts: 27,
        propagation_ms: 8.0,
        slots: 12,
        ..Scenario::of(42)
    };
    let outcomes = run_scenario(&PROMPT_CLASSES, 4, 2.05, &ALTERNATING, &scenario);
    assert_on_time(&outcomes[SHORT], 0.75);
    assert_on_time(&outcomes[LONG], 0.90);
    let refused = outcomes[SHORT].refused as f64 / outcomes[SHORT].requests as f64;
    assert!(
        refused <= 0.05,
        "{refused:.3} of the short prompts are refused"
    );
}
