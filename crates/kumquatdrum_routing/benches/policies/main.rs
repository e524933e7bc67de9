//! Compares the chosen policy with the baselines, on the same seeded arrivals.
//!
//! `cargo bench -p kumquatdrum_routing --bench policies [-- SEEDS [SCENARIO [POLICY [SKIP]]]]`, where `SKIP` seeds
//! are left out first

mod engine;
mod run;
mod trace;

use kumquatdrum_routing::policy::baseline::{Baseline, Choice};
use kumquatdrum_routing::policy::{Estimated, Policy};
use kumquatdrum_routing::{Router, Settings};

use run::{Conditions, DAEMONS, Outcome};
use trace::{Arrival, Mix};

const SECONDS: f64 = 240.0;
const WARM_UP: f64 = 40.0;
const THREADS: usize = 4;
const SHORT: u64 = 8_192;
const BANDS: [(&str, u64, u64); 4] = [
    ("<=8k", 0, SHORT),
    ("8k-32k", SHORT, 32_768),
    ("32k-100k", 32_768, 100_000),
    (">100k", 100_000, u64::MAX),
];

#[derive(Clone, Copy)]
enum Kind {
    Simple(Choice),
    /// The simple choice, with the chosen policy's priorities for the engine.
    Prioritised(Choice),
    Chosen,
}

const POLICIES: [(&str, Kind); 6] = [
    ("random", Kind::Simple(Choice::Random)),
    ("round robin", Kind::Simple(Choice::RoundRobin)),
    ("least outstanding", Kind::Simple(Choice::LeastOutstanding)),
    (
        "least outstanding, short first",
        Kind::Prioritised(Choice::LeastOutstanding),
    ),
    ("prefix only", Kind::Simple(Choice::PrefixOnly)),
    ("estimated", Kind::Chosen),
];

const SCENARIOS: [(&str, f64, Conditions); 4] = [
    (
        "load 0.7",
        0.7,
        Conditions {
            lag: 0.2,
            kill_at: None,
        },
    ),
    (
        "load 0.7, reports lag 2 s",
        0.7,
        Conditions {
            lag: 2.0,
            kill_at: None,
        },
    ),
    (
        "load 0.7, an engine killed",
        0.7,
        Conditions {
            lag: 0.2,
            kill_at: Some(120.0),
        },
    ),
    (
        "load 1.5",
        1.5,
        Conditions {
            lag: 0.2,
            kill_at: None,
        },
    ),
];

fn router(kind: Kind, seed: u64, daemon: usize) -> Router {
    let owners = (0..DAEMONS).map(|owner| owner.to_string());
    let settings = Settings::new(daemon.to_string(), owners);
    let seed = seed * 100 + daemon as u64;
    let policy: Box<dyn Policy> = match kind {
        Kind::Simple(choice) => Box::new(Baseline::new(choice, seed)),
        Kind::Prioritised(choice) => Box::new(Baseline::new(choice, seed).with_priorities()),
        Kind::Chosen => Box::new(Estimated::new(seed)),
    };
    Router::with_policy(settings, policy)
}

/// Figures of one run.
struct Figures {
    /// First-token seconds by band: median, p95, p99.
    bands: [[f64; 3]; 4],
    /// Requests a second that ended in time.
    goodput: f64,
    /// Their prompt tokens a second.
    token_goodput: f64,
    refused: f64,
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    let place = (sorted.len() as f64 * part).ceil() as usize;
    sorted
        .get(place.saturating_sub(1))
        .copied()
        .unwrap_or(f64::NAN)
}

fn figures(arrivals: &[Arrival], outcomes: &[Outcome]) -> Figures {
    let counted: Vec<(&Arrival, &Outcome)> = arrivals
        .iter()
        .zip(outcomes)
        .filter(|(arrival, _)| arrival.at >= WARM_UP)
        .collect();
    let of_band = |(_, from, to): (&str, u64, u64)| {
        let inside = counted
            .iter()
            .filter(|(arrival, _)| arrival.prompt > from && arrival.prompt <= to);
        // What got no first token and was not refused counts with the time it has waited.
        let mut times: Vec<f64> = inside
            .filter(|(_, outcome)| !outcome.is_refused)
            .map(|(arrival, outcome)| outcome.first_token.unwrap_or(SECONDS + 30.0 - arrival.at))
            .collect();
        times.sort_by(f64::total_cmp);
        [0.5, 0.95, 0.99].map(|part| quantile(&times, part))
    };
    let good = counted.iter().filter(|(arrival, outcome)| {
        outcome
            .end
            .is_some_and(|end| end <= arrival.deadline - arrival.at)
    });
    let span = SECONDS - WARM_UP;
    let (count, tokens) = good.fold((0.0, 0.0), |(count, tokens), (arrival, _)| {
        (count + 1.0, tokens + arrival.prompt as f64)
    });
    let refused = counted.iter().filter(|(_, outcome)| outcome.is_refused);
    Figures {
        bands: BANDS.map(of_band),
        goodput: count / span,
        token_goodput: tokens / span,
        refused: refused.count() as f64 / counted.len().max(1) as f64,
    }
}

/// Median with the lowest and the highest.
fn spread(values: impl Iterator<Item = f64>) -> String {
    let mut values: Vec<f64> = values.filter(|value| value.is_finite()).collect();
    values.sort_by(f64::total_cmp);
    match (values.first(), values.last()) {
        (Some(low), Some(high)) => {
            format!("{:.2} ({low:.2}-{high:.2})", quantile(&values, 0.5))
        }
        _ => "-".to_owned(),
    }
}

/// All requests, and the short ones alone, of one seed.
fn pair(mix: &Mix, scenario: (&str, f64, Conditions), kind: Kind, seed: u64) -> (Figures, Figures) {
    let arrivals = trace::trace(mix, scenario.1, SECONDS, seed);
    let short = arrivals.iter().filter(|arrival| arrival.prompt <= SHORT);
    let short: Vec<Arrival> = short.cloned().collect();
    let with = |arrivals: &[Arrival]| {
        let made = |daemon| router(kind, seed, daemon);
        let outcomes = run::run(mix, arrivals, scenario.2, made);
        figures(arrivals, &outcomes)
    };
    (with(&arrivals), with(&short))
}

fn all_seeds(
    mix: &Mix,
    scenario: (&str, f64, Conditions),
    kind: Kind,
    (skip, seeds): (u64, u64),
) -> Vec<(Figures, Figures)> {
    let seeds: Vec<u64> = (1 + skip..=skip + seeds).collect();
    std::thread::scope(|scope| {
        let share = |part: usize| {
            let mine = seeds.iter().skip(part).step_by(THREADS);
            let mine: Vec<u64> = mine.copied().collect();
            scope.spawn(move || {
                let runs = mine.into_iter().map(|seed| pair(mix, scenario, kind, seed));
                runs.collect::<Vec<_>>()
            })
        };
        let threads: Vec<_> = (0..THREADS).map(share).collect();
        let joined = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        joined
            .flat_map(|runs| runs.expect("a run panicked"))
            .collect()
    })
}

fn compare(mix: &Mix, scenario: (&str, f64, Conditions), seeds: (u64, u64), only: &str) {
    println!("\n### {}, {}\n", mix.name, scenario.0);
    let heads = BANDS.map(|(name, ..)| format!("{name} p50 | {name} p95 | {name} p99"));
    println!(
        "| policy | {} | short slowdown p50 | p95 | p99 | goodput req/s | k tokens/s | refused |",
        heads.join(" | ")
    );
    println!("|{}", " --- |".repeat(4 * 3 + 7));
    for (name, kind) in POLICIES {
        if !only.is_empty() && only != name {
            continue;
        }
        let pairs = all_seeds(mix, scenario, kind, seeds);
        let mut cells = Vec::new();
        for band in 0..BANDS.len() {
            for part in 0..3 {
                cells.push(spread(pairs.iter().map(|(all, _)| all.bands[band][part])));
            }
        }
        for part in 0..3 {
            let ratio =
                |(all, alone): &(Figures, Figures)| all.bands[0][part] / alone.bands[0][part];
            cells.push(spread(pairs.iter().map(ratio)));
        }
        cells.push(spread(pairs.iter().map(|(all, _)| all.goodput)));
        cells.push(spread(pairs.iter().map(|(all, _)| all.token_goodput / 1e3)));
        cells.push(spread(pairs.iter().map(|(all, _)| all.refused)));
        println!("| {name} | {} |", cells.join(" | "));
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1).filter(|word| word != "--bench");
    let seeds = arguments.next().and_then(|word| word.parse().ok());
    let only: Option<usize> = arguments.next().and_then(|word| word.parse().ok());
    let policy = arguments.next().unwrap_or_default();
    let skip = arguments.next().and_then(|word| word.parse().ok());
    let (skip, seeds) = (skip.unwrap_or(0), seeds.unwrap_or(10));
    println!("Seconds to the first token; median over {seeds} seeds (lowest-highest).");
    for mix in [&trace::TOONIKAART, &trace::TREASURY] {
        for (number, scenario) in SCENARIOS.into_iter().enumerate() {
            if only.is_none_or(|only| only == number) {
                compare(mix, scenario, (skip, seeds), &policy);
            }
        }
    }
}
