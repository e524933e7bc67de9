//! Lost requests by cause and length of the prompt.

use std::fmt;

use indexmap::IndexMap;
use serde_json::{Value, json};

use super::cause::{self, Cause};
use crate::logs::Line;

/// Prompts by their tokens, as the metrics of first tokens part them.
const KINDS: [&str; 4] = ["none", "short", "long", "longest"];

/// Requests of one span of time.
#[derive(Debug, Default)]
struct Span {
    asked: [usize; KINDS.len()],
    lost: IndexMap<Cause, [usize; KINDS.len()]>,
}

/// Requests by span, the earliest first.
#[derive(Debug)]
pub struct Table {
    /// By seconds since the first line.
    spans: IndexMap<u64, Span>,
    every: u32,
}

impl Table {
    /// Counts the requests of all lines, together or in spans of `every` seconds.
    pub fn of(mut lines: Vec<Line>, every: u32) -> Self {
        lines.sort_by(|one, other| one.time.total_cmp(&other.time));
        let start = lines.first().map_or(0.0, |line| line.time);
        let mut requests: IndexMap<String, Vec<Line>> = IndexMap::new();
        for line in lines {
            let id = line.get("request").to_owned();
            if !id.is_empty() {
                requests.entry(id).or_default().push(line);
            }
        }
        let mut spans: IndexMap<u64, Span> = IndexMap::new();
        for lines in requests.values() {
            let second = lines.first().map_or(0.0, |line| line.time - start) as u64;
            let span = second - second.checked_rem(every.into()).unwrap_or(second);
            spans.entry(span).or_default().add(lines);
        }
        spans.sort_keys();
        Self { spans, every }
    }

    /// No line is one of a request.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// The table as JSON: spans with their causes, and numbers by length.
    pub fn json(&self) -> Value {
        let spans = self.spans.iter().map(|(second, span)| {
            let lost = span.lost.iter();
            let lost = lost.map(|(cause, counts)| (cause.to_string(), named(counts)));
            let lost: serde_json::Map<String, Value> = lost.collect();
            json!({ "second": second, "asked": named(&span.asked), "lost": lost })
        });
        json!({ "every": self.every, "spans": spans.collect::<Vec<_>>() })
    }
}

impl Span {
    fn add(&mut self, lines: &[Line]) {
        let kind = kind(lines);
        self.asked[kind] += 1;
        if let Some(cause) = cause::of(lines) {
            self.lost.entry(cause).or_default()[kind] += 1;
        }
        self.lost.sort_unstable_keys();
    }
}

/// Where in [`KINDS`] a request belongs, by what any of its lines tells of its prompt.
fn kind(lines: &[Line]) -> usize {
    let prompt = lines.iter().rev().find_map(|line| line.number("prompt"));
    match prompt.unwrap_or(0.0) {
        prompt if prompt <= 0.0 => 0,
        prompt if prompt < 10_000.0 => 1,
        prompt if prompt < 100_000.0 => 2,
        _ => 3,
    }
}

fn named(counts: &[usize; KINDS.len()]) -> Value {
    let pairs = KINDS.iter().zip(counts);
    let pairs = pairs.map(|(kind, count)| ((*kind).to_owned(), json!(count)));
    Value::Object(pairs.collect())
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (second, span) in &self.spans {
            if self.every > 0 {
                writeln!(f, "from second {second}")?;
            }
            row(f, "prompts", &KINDS)?;
            row(f, "asked", &span.asked)?;
            for (cause, counts) in &span.lost {
                row(f, &cause.to_string(), counts)?;
            }
        }
        Ok(())
    }
}

fn row(f: &mut fmt::Formatter<'_>, name: &str, cells: &[impl fmt::Display]) -> fmt::Result {
    write!(f, "{name:36}")?;
    for cell in cells {
        write!(f, " {cell:>8}")?;
    }
    writeln!(f)
}
