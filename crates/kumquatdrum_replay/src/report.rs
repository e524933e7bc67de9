//! The report of a replay: counts, violations, latencies by prompt length, and slowdown.

use std::fmt;
use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::client::Identity;
use crate::counters::Counts;
use crate::latency::{Quantiles, Ratio, Recorder};
use crate::outcome::{Observation, Outcome, Violation, find_violations};
use crate::replay::{Baseline, Options, is_short};
use crate::trace::{Entry, Expectation};

/// Lower bounds of the prompt length bands.
const BAND_STARTS_TOKENS: [u64; 6] = [0, 2_000, 8_000, 32_000, 100_000, 400_000];
/// Maximum number of violations that are listed; further ones are only counted.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// The observation of one request of a replay.
#[derive(Debug, Clone)]
pub struct Record {
    /// Line of the trace, counted from 0.
    pub index: usize,
    /// Key by which stand-ins count the request.
    pub identity: Identity,
    /// What the caller observed.
    pub observation: Observation,
}

/// Results of a replay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Number of requests sent.
    pub requests: u64,
    /// Requests that weren't reported as not run.
    pub admitted: u64,
    /// Complete answers.
    pub finished: u64,
    /// Requests that ran and didn't finish.
    pub failed: u64,
    /// Requests reported as not run.
    pub not_run: u64,
    /// Requests with an unknown outcome.
    pub unknown: u64,
    /// Answers that belong to another request or are wrong.
    pub crossed: u64,
    /// Answers that ended after the deadline.
    pub late: u64,
    /// Comparison with the stand-ins' counts, if they were read.
    pub counted: Option<Discrepancies>,
    /// Errors by code.
    pub codes: IndexMap<String, u64>,
    /// Number of violations.
    pub violations: u64,
    /// First violations.
    pub listed: Vec<Finding>,
    /// First-token times of completions, by prompt length.
    pub first_token: Vec<Band>,
    /// Slowdown of short requests, if a baseline was measured.
    pub slowdown: Option<Slowdown>,
    /// Duration of the replay.
    pub elapsed_ms: u64,
}

/// Discrepancies between the stand-ins' counts and the answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Discrepancies {
    /// Non-idempotent requests that ran more than once.
    pub run_twice: u64,
    /// Idempotent requests that ran more than once.
    pub repeated: u64,
    /// Requests that ran although they were reported as not run.
    pub ran_though_not_run: u64,
}

/// A violation and its line of the trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Line of the trace, counted from 0.
    pub line: usize,
    /// Violation.
    pub violation: Violation,
    /// Expected outcome.
    pub expected: Expectation,
    /// Observed outcome.
    pub outcome: Outcome,
    /// Error code, if any.
    pub code: Option<String>,
}

/// First-token times of the requests in one range of prompt lengths.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Band {
    /// Lower bound of the range, inclusive, in unscaled tokens.
    pub from_tokens: u64,
    /// Upper bound of the range, exclusive; `None` for the last one.
    pub to_tokens: Option<u64>,
    /// First-token times of complete answers.
    #[serde(flatten)]
    pub quantiles: Quantiles,
}

/// First-token times of short requests, with and without concurrent long requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slowdown {
    /// Maximum prompt length of a short request, in unscaled tokens.
    pub short_limit: u64,
    /// First-token times during the replay of the whole trace.
    pub with_long: Quantiles,
    /// First-token times of the baseline.
    pub baseline: Quantiles,
    /// `with_long` divided by `baseline`.
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
            let matching = records
                .iter()
                .filter(|record| record.observation.outcome == outcome);
            matching.count() as u64
        };
        let findings = collect_findings(trace, records, options.slack);
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
            counted: counts.map(|counts| compare_counts(trace, records, counts)),
            codes: count_codes(records),
            violations: findings.len() as u64,
            listed: findings.into_iter().take(MAX_LISTED_VIOLATIONS).collect(),
            first_token: first_token_bands(trace, records),
            slowdown: baseline.map(|baseline| compute_slowdown(trace, records, baseline, options)),
            elapsed_ms: elapsed.as_millis() as u64,
        }
    }

    /// Returns whether there is no violation, and no discrepancy except repeated idempotent
    /// requests.
    pub fn passed(&self) -> bool {
        let counted = self.counted.unwrap_or_default();
        self.violations == 0 && counted.run_twice == 0 && counted.ran_though_not_run == 0
    }
}

fn collect_findings(trace: &[Entry], records: &[Record], slack: Duration) -> Vec<Finding> {
    let mut findings = Vec::new();
    for record in records {
        let entry = &trace[record.index];
        let found = find_violations(entry, &record.observation, slack);
        findings.extend(found.into_iter().map(|violation| Finding {
            line: record.index,
            violation,
            expected: entry.expect,
            outcome: record.observation.outcome,
            code: record.observation.code.clone(),
        }));
    }
    findings
}

fn count_codes(records: &[Record]) -> IndexMap<String, u64> {
    let mut codes = IndexMap::new();
    for code in records
        .iter()
        .filter_map(|record| record.observation.code.clone())
    {
        *codes.entry(code).or_default() += 1;
    }
    codes.sort_unstable_keys();
    codes
}

/// Compares the stand-ins' counts with the answers; a request and its resends count as one.
fn compare_counts(trace: &[Entry], records: &[Record], counts: &Counts) -> Discrepancies {
    let mut may_have_run: IndexMap<usize, bool> = IndexMap::new();
    for record in records {
        let original = trace[record.index].resend_of.unwrap_or(record.index);
        let has_possibly_run = record.observation.outcome != Outcome::NotRun;
        *may_have_run.entry(original).or_default() |= has_possibly_run;
    }
    let mut discrepancies = Discrepancies::default();
    for record in records {
        let entry = &trace[record.index];
        match counts.runs(&record.identity) {
            _ if entry.resend_of.is_some() => {}
            0 => {}
            _ if !may_have_run[&record.index] => discrepancies.ran_though_not_run += 1,
            1 => {}
            _ if entry.idempotent => discrepancies.repeated += 1,
            _ => discrepancies.run_twice += 1,
        }
    }
    discrepancies
}

fn first_token_bands(trace: &[Entry], records: &[Record]) -> Vec<Band> {
    let mut recorders = vec![Recorder::default(); BAND_STARTS_TOKENS.len()];
    for record in records {
        let entry = &trace[record.index];
        let band = BAND_STARTS_TOKENS.partition_point(|from| *from <= entry.prompt_tokens) - 1;
        match record.observation.first_token {
            Some(latency)
                if !entry.is_plain() && record.observation.outcome == Outcome::Finished =>
            {
                recorders[band].record(latency);
            }
            _ => {}
        }
    }
    let ends = BAND_STARTS_TOKENS
        .iter()
        .skip(1)
        .map(|end| Some(*end))
        .chain([None]);
    BAND_STARTS_TOKENS
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

fn compute_slowdown(
    trace: &[Entry],
    records: &[Record],
    baseline: &[Record],
    options: &Options,
) -> Slowdown {
    let quantiles = |records: &[Record]| {
        let mut recorder = Recorder::default();
        let short = records.iter().filter(|record| {
            is_short(&trace[record.index], options.short_limit)
                && record.observation.outcome == Outcome::Finished
        });
        short
            .filter_map(|record| record.observation.first_token)
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
        ratio: with_long.ratio_to(&baseline),
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
