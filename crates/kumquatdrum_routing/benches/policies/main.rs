//! Compares the default policy with the baselines on the same seeded arrivals.
//!
//! `cargo bench -p kumquatdrum_routing --bench policies [-- SEEDS [SCENARIO [POLICY [SKIP]]]]`,
//! where the first `SKIP` seeds are left out

mod engine;
mod run;
mod trace;

use kumquatdrum_routing::policy::baseline::{Baseline, Strategy};
use kumquatdrum_routing::policy::{Latency, Policy};
use kumquatdrum_routing::{Router, Settings};

use run::{Conditions, DAEMONS, Outcome};
use trace::{Arrival, Mix};

const SECONDS: f64 = 240.0;
const WARM_UP: f64 = 40.0;
const THREADS: usize = 4;
const SHORT_TOKENS: u64 = 8_192;
const BANDS: [(&str, u64, u64); 4] = [
    ("<=8k", 0, SHORT_TOKENS),
    ("8k-32k", SHORT_TOKENS, 32_768),
    ("32k-100k", 32_768, 100_000),
    (">100k", 100_000, u64::MAX),
];

#[derive(Clone, Copy)]
enum Kind {
    Baseline(Strategy),
    /// A baseline with the engine priorities of the default policy.
    BaselineWithPriorities(Strategy),
    Default,
}

const POLICIES: [(&str, Kind); 6] = [
    ("random", Kind::Baseline(Strategy::Random)),
    ("round robin", Kind::Baseline(Strategy::RoundRobin)),
    (
        "least outstanding",
        Kind::Baseline(Strategy::LeastOutstanding),
    ),
    (
        "least outstanding, short first",
        Kind::BaselineWithPriorities(Strategy::LeastOutstanding),
    ),
    ("prefix only", Kind::Baseline(Strategy::PrefixOnly)),
    ("estimated", Kind::Default),
];

const SCENARIOS: [(&str, f64, Conditions); 4] = [
    (
        "load 0.7",
        0.7,
        Conditions {
            report_delay: 0.2,
            kill_at: None,
        },
    ),
    (
        "load 0.7, reports lag 2 s",
        0.7,
        Conditions {
            report_delay: 2.0,
            kill_at: None,
        },
    ),
    (
        "load 0.7, an engine killed",
        0.7,
        Conditions {
            report_delay: 0.2,
            kill_at: Some(120.0),
        },
    ),
    (
        "load 1.5",
        1.5,
        Conditions {
            report_delay: 0.2,
            kill_at: None,
        },
    ),
];

fn router(kind: Kind, seed: u64, daemon: usize) -> Router {
    let owners = (0..DAEMONS).map(|owner| owner.to_string());
    let settings = Settings::new(daemon.to_string(), owners);
    let seed = seed * 100 + daemon as u64;
    let policy: Box<dyn Policy> = match kind {
        Kind::Baseline(strategy) => Box::new(Baseline::new(strategy, seed)),
        Kind::BaselineWithPriorities(strategy) => {
            Box::new(Baseline::new(strategy, seed).with_priorities())
        }
        Kind::Default => Box::new(Latency::new(seed)),
    };
    Router::with_policy(settings, policy)
}

/// The results of one run.
struct Metrics {
    /// Seconds to first token by band: median, p95, p99.
    bands: [[f64; 3]; 4],
    /// Requests per second that finished in time.
    goodput: f64,
    /// Prompt tokens per second of requests that finished in time.
    token_goodput: f64,
    refused: f64,
}

fn quantile(sorted: &[f64], share: f64) -> f64 {
    let index = (sorted.len() as f64 * share).ceil() as usize;
    sorted
        .get(index.saturating_sub(1))
        .copied()
        .unwrap_or(f64::NAN)
}

fn measure(arrivals: &[Arrival], outcomes: &[Outcome]) -> Metrics {
    let measured: Vec<(&Arrival, &Outcome)> = arrivals
        .iter()
        .zip(outcomes)
        .filter(|(arrival, _)| arrival.at >= WARM_UP)
        .collect();
    let band_quantiles = |(_, from, to): (&str, u64, u64)| {
        let in_band = measured
            .iter()
            .filter(|(arrival, _)| arrival.prompt_tokens > from && arrival.prompt_tokens <= to);
        // A request without a first token that was not refused counts with its waiting time.
        let mut times: Vec<f64> = in_band
            .filter(|(_, outcome)| !outcome.is_refused)
            .map(|(arrival, outcome)| outcome.first_token.unwrap_or(SECONDS + 30.0 - arrival.at))
            .collect();
        times.sort_by(f64::total_cmp);
        [0.5, 0.95, 0.99].map(|share| quantile(&times, share))
    };
    let in_time = measured.iter().filter(|(arrival, outcome)| {
        outcome
            .end
            .is_some_and(|end| end <= arrival.deadline - arrival.at)
    });
    let duration = SECONDS - WARM_UP;
    let (count, tokens) = in_time.fold((0.0, 0.0), |(count, tokens), (arrival, _)| {
        (count + 1.0, tokens + arrival.prompt_tokens as f64)
    });
    let refused = measured.iter().filter(|(_, outcome)| outcome.is_refused);
    Metrics {
        bands: BANDS.map(band_quantiles),
        goodput: count / duration,
        token_goodput: tokens / duration,
        refused: refused.count() as f64 / measured.len().max(1) as f64,
    }
}

/// Formats the median with the lowest and highest value.
fn format_range(values: impl Iterator<Item = f64>) -> String {
    let mut values: Vec<f64> = values.filter(|value| value.is_finite()).collect();
    values.sort_by(f64::total_cmp);
    match (values.first(), values.last()) {
        (Some(low), Some(high)) => {
            format!("{:.2} ({low:.2}-{high:.2})", quantile(&values, 0.5))
        }
        _ => "-".to_owned(),
    }
}

/// Runs one seed with all requests, and with the short ones alone.
fn run_seed(
    mix: &Mix,
    scenario: (&str, f64, Conditions),
    kind: Kind,
    seed: u64,
) -> (Metrics, Metrics) {
    let arrivals = trace::generate(mix, scenario.1, SECONDS, seed);
    let short = arrivals
        .iter()
        .filter(|arrival| arrival.prompt_tokens <= SHORT_TOKENS);
    let short: Vec<Arrival> = short.cloned().collect();
    let run_arrivals = |arrivals: &[Arrival]| {
        let make_router = |daemon| router(kind, seed, daemon);
        let outcomes = run::run(mix, arrivals, scenario.2, make_router);
        measure(arrivals, &outcomes)
    };
    (run_arrivals(&arrivals), run_arrivals(&short))
}

fn run_all_seeds(
    mix: &Mix,
    scenario: (&str, f64, Conditions),
    kind: Kind,
    (skip, seeds): (u64, u64),
) -> Vec<(Metrics, Metrics)> {
    let seeds: Vec<u64> = (1 + skip..=skip + seeds).collect();
    std::thread::scope(|scope| {
        let spawn = |thread: usize| {
            let thread_seeds = seeds.iter().skip(thread).step_by(THREADS);
            let thread_seeds: Vec<u64> = thread_seeds.copied().collect();
            scope.spawn(move || {
                let runs = thread_seeds
                    .into_iter()
                    .map(|seed| run_seed(mix, scenario, kind, seed));
                runs.collect::<Vec<_>>()
            })
        };
        let threads: Vec<_> = (0..THREADS).map(spawn).collect();
        let joined = threads.into_iter().map(std::thread::ScopedJoinHandle::join);
        joined
            .flat_map(|runs| runs.expect("a run panicked"))
            .collect()
    })
}

fn compare(mix: &Mix, scenario: (&str, f64, Conditions), seeds: (u64, u64), policy: &str) {
    println!("\n### {}, {}\n", mix.name, scenario.0);
    let headers = BANDS.map(|(name, ..)| format!("{name} p50 | {name} p95 | {name} p99"));
    println!(
        "| policy | {} | short slowdown p50 | p95 | p99 | goodput req/s | k tokens/s | refused |",
        headers.join(" | ")
    );
    println!("|{}", " --- |".repeat(4 * 3 + 7));
    for (name, kind) in POLICIES {
        if !policy.is_empty() && policy != name {
            continue;
        }
        let pairs = run_all_seeds(mix, scenario, kind, seeds);
        let mut cells = Vec::new();
        for band in 0..BANDS.len() {
            for quantile in 0..3 {
                cells.push(format_range(
                    pairs.iter().map(|(all, _)| all.bands[band][quantile]),
                ));
            }
        }
        for quantile in 0..3 {
            let ratio = |(all, short_only): &(Metrics, Metrics)| {
                all.bands[0][quantile] / short_only.bands[0][quantile]
            };
            cells.push(format_range(pairs.iter().map(ratio)));
        }
        cells.push(format_range(pairs.iter().map(|(all, _)| all.goodput)));
        cells.push(format_range(
            pairs.iter().map(|(all, _)| all.token_goodput / 1e3),
        ));
        cells.push(format_range(pairs.iter().map(|(all, _)| all.refused)));
        println!("| {name} | {} |", cells.join(" | "));
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1).filter(|word| word != "--bench");
    let seeds = arguments.next().and_then(|word| word.parse().ok());
    let scenario_number: Option<usize> = arguments.next().and_then(|word| word.parse().ok());
    let policy = arguments.next().unwrap_or_default();
    let skip = arguments.next().and_then(|word| word.parse().ok());
    let (skip, seeds) = (skip.unwrap_or(0), seeds.unwrap_or(10));
    println!("Seconds to the first token; median over {seeds} seeds (lowest-highest).");
    for mix in [&trace::TOONIKAART, &trace::TREASURY] {
        for (number, scenario) in SCENARIOS.into_iter().enumerate() {
            if scenario_number.is_none_or(|wanted| wanted == number) {
                compare(mix, scenario, (skip, seeds), &policy);
            }
        }
    }
}
