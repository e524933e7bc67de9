//! The report of a replay: counts, violations, first-token times by prompt length, slowdown.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::client::Identity;
use crate::counters::Counts;
use crate::latency::{Quantiles, Ratio, Recorder};
use crate::outcome::{Observation, Outcome, Violation, judge};
use crate::replay::{Baseline, Options, is_short};
use crate::trace::{Entry, Expectation};

/// Lower ends of the bands of prompt length, in tokens.
const BANDS: [u64; 6] = [0, 2_000, 8_000, 32_000, 100_000, 400_000];
/// Violations that are listed one by one; beyond it they are only counted.
const LISTED: usize = 20;

/// One answer of a replay.
#[derive(Debug, Clone)]
pub struct Record {
    /// The line of the trace, from 0.
    pub index: usize,
    /// By what stand-ins count the request.
    pub identity: Identity,
    /// What its caller saw.
    pub seen: Observation,
}

/// What a replay showed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests sent.
    pub requests: u64,
    /// Requests that weren't refused.
    pub admitted: u64,
    /// Whole answers.
    pub finished: u64,
    /// Requests that ran and did not finish.
    pub failed: u64,
    /// Requests whose caller was told that nothing ran.
    pub not_run: u64,
    /// Requests whose fate their caller couldn't learn.
    pub unknown: u64,
    /// Answers to another request.
    pub crossed: u64,
    /// Answers after their deadline.
    pub late: u64,
    /// What stand-ins counted, where their counts were read.
    pub counted: Option<Counted>,
    /// Errors by code.
    pub codes: IndexMap<String, u64>,
    /// Answers that violate their stated outcome or their time.
    pub violations: u64,
    /// The first violations.
    pub listed: Vec<Finding>,
    /// First-token times of completions by prompt length.
    pub first_token: Vec<Band>,
    /// What short requests suffer, where a baseline was taken.
    pub slowdown: Option<Slowdown>,
    /// How long the replay took.
    pub elapsed_ms: u64,
}

/// What stand-ins counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counted {
    /// Requests not to be repeated that ran more than once.
    pub run_twice: u64,
    /// Requests that may be repeated and ran more than once.
    pub repeated: u64,
    /// Requests that ran though their caller was told that nothing ran.
    pub ran_though_not_run: u64,
}

/// One violation, with its place in the trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// The line of the trace, from 0.
    pub line: usize,
    /// What is wrong.
    pub violation: Violation,
    /// The stated outcome.
    pub expected: Expectation,
    /// How it ended.
    pub outcome: Outcome,
    /// The error's code.
    pub code: Option<String>,
}

/// First-token times of one band of prompt lengths.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Band {
    /// The shortest prompt, in the trace's tokens.
    pub from_tokens: u64,
    /// The shortest prompt that is too long for it; none for the last band.
    pub to_tokens: Option<u64>,
    /// First-token times of whole answers.
    #[serde(flatten)]
    pub quantiles: Quantiles,
}

/// First-token times of short requests with and without long ones present.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slowdown {
    /// The longest prompt of a short request, in the trace's tokens.
    pub short_limit: u64,
    /// With the whole trace.
    pub with_long: Quantiles,
    /// Without longer requests, or on the idle system.
    pub baseline: Quantiles,
    /// The former over the latter.
    pub ratio: Option<Ratio>,
}

impl Report {
    pub(crate) fn new(
        trace: &[Entry],
        records: &[Record],
        options: &Options,
        counts: Option<&Counts>,
        baseline: Option<&Vec<Record>>,
        elapsed: Duration,
    ) -> Self {
        let count = |outcome: Outcome| {
            let same = records
                .iter()
                .filter(|record| record.seen.outcome == outcome);
            same.count() as u64
        };
        let findings = findings(trace, records, options.slack);
        let is_late = |finding: &&Finding| finding.violation == Violation::Late;
        Self {
            requests: records.len() as u64,
            admitted: records.len() as u64 - count(Outcome::NotRun),
            finished: count(Outcome::Finished),
            failed: count(Outcome::Failed),
            not_run: count(Outcome::NotRun),
            unknown: count(Outcome::Unknown),
            crossed: count(Outcome::Crossed),
            late: findings.iter().filter(is_late).count() as u64,
            counted: counts.map(|counts| counted(trace, records, counts)),
            codes: codes(records),
            violations: findings.len() as u64,
            listed: findings.into_iter().take(LISTED).collect(),
            first_token: bands(trace, records),
            slowdown: baseline.map(|baseline| slowdown(trace, records, baseline, options)),
            elapsed_ms: elapsed.as_millis() as u64,
        }
    }

    /// Whether every stated outcome was met, nothing ran twice, and no "not run" had run.
    pub fn passed(&self) -> bool {
        let counted = self.counted.unwrap_or_default();
        self.violations == 0 && counted.run_twice == 0 && counted.ran_though_not_run == 0
    }
}

fn findings(trace: &[Entry], records: &[Record], slack: Duration) -> Vec<Finding> {
    let mut findings = Vec::new();
    for record in records {
        let entry = &trace[record.index];
        let found = judge(entry, &record.seen, slack);
        findings.extend(found.into_iter().map(|violation| Finding {
            line: record.index,
            violation,
            expected: entry.expect,
            outcome: record.seen.outcome,
            code: record.seen.code.clone(),
        }));
    }
    findings
}

fn codes(records: &[Record]) -> IndexMap<String, u64> {
    let mut codes = IndexMap::new();
    for code in records.iter().filter_map(|record| record.seen.code.clone()) {
        *codes.entry(code).or_default() += 1;
    }
    codes.sort_unstable_keys();
    codes
}

/// A request and its resends count as one request.
fn counted(trace: &[Entry], records: &[Record], counts: &Counts) -> Counted {
    let mut told_otherwise: IndexMap<usize, bool> = IndexMap::new();
    for record in records {
        let original = trace[record.index].resend_of.unwrap_or(record.index);
        let other = record.seen.outcome != Outcome::NotRun;
        *told_otherwise.entry(original).or_default() |= other;
    }
    let mut counted = Counted::default();
    for record in records {
        let entry = &trace[record.index];
        match counts.runs(&record.identity) {
            _ if entry.resend_of.is_some() => {}
            0 => {}
            _ if !told_otherwise[&record.index] => counted.ran_though_not_run += 1,
            1 => {}
            _ if entry.idempotent => counted.repeated += 1,
            _ => counted.run_twice += 1,
        }
    }
    counted
}

fn bands(trace: &[Entry], records: &[Record]) -> Vec<Band> {
    let mut recorders = vec![Recorder::default(); BANDS.len()];
    for record in records {
        let entry = &trace[record.index];
        let band = BANDS.partition_point(|from| *from <= entry.prompt_tokens) - 1;
        match record.seen.first_token {
            Some(latency) if !entry.is_plain() && record.seen.outcome == Outcome::Finished => {
                recorders[band].record(latency);
            }
            _ => {}
        }
    }
    let ends = BANDS.iter().skip(1).map(|end| Some(*end)).chain([None]);
    BANDS
        .iter()
        .zip(ends)
        .zip(recorders)
        .map(|((from, to), recorder)| Band {
            from_tokens: *from,
            to_tokens: to,
            quantiles: recorder.quantiles(),
        })
        .collect()
}

fn slowdown(
    trace: &[Entry],
    records: &[Record],
    baseline: &[Record],
    options: &Options,
) -> Slowdown {
    let quantiles = |records: &[Record]| {
        let mut recorder = Recorder::default();
        let short = records.iter().filter(|record| {
            is_short(&trace[record.index], options.short_limit)
                && record.seen.outcome == Outcome::Finished
        });
        short
            .filter_map(|record| record.seen.first_token)
            .for_each(|latency| recorder.record(latency));
        recorder.quantiles()
    };
    let with_long = quantiles(records);
    let mut baseline = quantiles(baseline);
    if let Baseline::IdleProbe(_) = options.baseline {
        baseline.p95_us = baseline.p50_us;
        baseline.p99_us = baseline.p50_us;
    }
    Slowdown {
        short_limit: options.short_limit,
        ratio: with_long.over(&baseline),
        with_long,
        baseline,
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counted = self.counted.unwrap_or_default();
        let rows = [
            ("requests", self.requests),
            ("admitted", self.admitted),
            ("finished", self.finished),
            ("failed", self.failed),
            ("not run", self.not_run),
            ("unknown", self.unknown),
            ("crossed", self.crossed),
            ("late", self.late),
            ("violations", self.violations),
        ];
        for (name, count) in rows {
            writeln!(f, "{name:<20}{count:>8}")?;
        }
        if self.counted.is_some() {
            writeln!(f, "{:<20}{:>8}", "run twice", counted.run_twice)?;
            writeln!(
                f,
                "{:<20}{:>8}",
                "ran, told not run", counted.ran_though_not_run
            )?;
            writeln!(f, "{:<20}{:>8}", "repeated (allowed)", counted.repeated)?;
        }
        for (code, count) in &self.codes {
            writeln!(f, "  {code:<28}{count:>8}")?;
        }
        writeln!(f, "\nfirst token, ms")?;
        writeln!(
            f,
            "{:<20}{:>8} {:>10} {:>10} {:>10}",
            "prompt tokens", "count", "p50", "p95", "p99"
        )?;
        for band in self
            .first_token
            .iter()
            .filter(|band| band.quantiles.count > 0)
        {
            writeln!(f, "{:<20}{}", band.to_string(), band.quantiles)?;
        }
        if let Some(slowdown) = &self.slowdown {
            writeln!(f, "\n{slowdown}")?;
        }
        for finding in &self.listed {
            writeln!(f, "{finding}")?;
        }
        let verdict = if self.passed() { "passed" } else { "failed" };
        write!(
            f,
            "\n{verdict} in {:.1} s",
            self.elapsed_ms as f64 / 1_000.0
        )
    }
}

impl fmt::Display for Band {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.to_tokens {
            Some(to) => write!(f, "{} to {to}", self.from_tokens),
            None => write!(f, "{} and more", self.from_tokens),
        }
    }
}

impl fmt::Display for Slowdown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "short requests, up to {} tokens", self.short_limit)?;
        writeln!(f, "{:<20}{}", "with long ones", self.with_long)?;
        writeln!(f, "{:<20}{}", "baseline", self.baseline)?;
        match &self.ratio {
            Some(ratio) => write!(f, "slowdown: {ratio}"),
            None => write!(f, "slowdown: not measured, as no short request finished"),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}: {:?}, expected {:?}, was {:?}",
            self.line + 1,
            self.violation,
            self.expected,
            self.outcome
        )?;
        match &self.code {
            Some(code) => write!(f, " ({code})"),
            None => Ok(()),
        }
    }
}
