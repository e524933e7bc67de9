//! What callers get under heavy loads, played against a model of the engines.

mod model;

use model::load::{KINDS, Kind, LONGER, Prompt, draw_of};
use model::{Outcome, Scene, play};

const SHORT: usize = 0;
const LONG: usize = 1;
const LONGEST: usize = 2;
const SHORT_HEAVY: [[f64; 3]; 1] = [[2.5, 0.5, 0.05]];
const LONG_HEAVY: [[f64; 3]; 1] = [[0.35, 1.3, 2.8]];
const SWINGING: [[f64; 3]; 2] = [[0.35, 1.3, 2.8], [2.5, 0.5, 0.05]];

fn outcomes(seeds: u64, scale: f64, phases: &[[f64; 3]], engines: u64) -> Vec<Outcome> {
    outcomes_at(&KINDS, seeds, scale, phases, &Scene::of(engines))
}

fn outcomes_at(
    kinds: &[Kind; 3],
    seeds: u64,
    scale: f64,
    phases: &[[f64; 3]],
    scene: &Scene,
) -> Vec<Outcome> {
    let mut total = vec![Outcome::default(); 3];
    for seed in 0..seeds {
        let prompts: Vec<Prompt> = draw_of(kinds, seed, 30, scale, phases);
        for (sum, outcome) in total.iter_mut().zip(play(&prompts, scene)) {
            sum.add(outcome);
        }
    }
    total
}

#[track_caller]
fn at_least(outcome: &Outcome, share: f64) {
    assert!(
        outcome.share() >= share,
        "{:.3} of {} on time, {} refused, first at {:.0} ms (median) and {:.0} ms (95 in 100)",
        outcome.share(),
        outcome.asked,
        outcome.refused,
        outcome.first_at(0.5),
        outcome.first_at(0.95)
    );
}

#[test]
fn short_prompts_barely_notice_few_long_ones() {
    let outcomes = outcomes(3, 1.0, &SHORT_HEAVY, 23);
    at_least(&outcomes[SHORT], 0.96);
    at_least(&outcomes[LONG], 0.95);
}

#[test]
fn the_longest_start_early_where_they_are_most_of_the_work() {
    let outcomes = outcomes(3, 0.8, &LONG_HEAVY, 23);
    at_least(&outcomes[LONGEST], 0.80);
    at_least(&outcomes[LONG], 0.90);
    at_least(&outcomes[SHORT], 0.90);
}

#[test]
fn a_load_that_swings_leaves_no_length_behind() {
    let outcomes = outcomes(3, 1.0, &SWINGING, 23);
    at_least(&outcomes[SHORT], 0.85);
    at_least(&outcomes[LONG], 0.85);
    at_least(&outcomes[LONGEST], 0.70);
}

#[test]
fn fewer_engines_serve_a_load_to_their_measure() {
    let outcomes = outcomes(3, 0.5, &SWINGING, 14);
    at_least(&outcomes[SHORT], 0.90);
    at_least(&outcomes[LONG], 0.90);
    at_least(&outcomes[LONGEST], 0.70);
}

/// With every host packing the same engine, 0.86 of the short prompts were on time.
#[test]
fn many_hosts_that_place_at_once_do_not_meet_at_one_engine() {
    let scene = Scene {
        hosts: 28,
        view_ms: 8.0,
        slots: 12,
        ..Scene::of(26)
    };
    let outcomes = outcomes_at(&KINDS, 2, 0.9, &SHORT_HEAVY, &scene);
    at_least(&outcomes[SHORT], 0.95);
    at_least(&outcomes[LONG], 0.95);
}

/// Where it was read whatever it made pause, 0.946 of the short, 0.885 of the long and 0.729 of the
/// longest were on time.
#[test]
fn a_prompt_that_makes_more_answers_pause_than_it_gains_is_not_read() {
    let outcomes = outcomes_at(&LONGER, 3, 0.9, &SWINGING, &Scene::of(23));
    at_least(&outcomes[SHORT], 0.96);
    at_least(&outcomes[LONG], 0.95);
    at_least(&outcomes[LONGEST], 0.73);
}

/// Where short prompts went to the fullest engine wherever it stands, 0.67 of their answers came from
/// another data centre, and a cut broke them.
#[test]
fn short_answers_come_from_the_data_centre_of_their_host() {
    let scene = Scene {
        hosts: 6,
        view_ms: 4.0,
        data_centres: 3,
        ..Scene::of(18)
    };
    let outcomes = outcomes_at(&KINDS, 2, 0.7, &SWINGING, &scene);
    let short = &outcomes[SHORT];
    let far = short.far as f64 / short.asked as f64;
    assert!(far <= 0.05, "{far:.3} of the short answers are far");
    at_least(short, 0.95);
    at_least(&outcomes[LONG], 0.95);
}
