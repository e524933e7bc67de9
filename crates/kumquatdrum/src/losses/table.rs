//! Counts lost requests, which were late, refused or cut, by cause and prompt length.

use std::fmt;

use indexmap::IndexMap;
use serde_json::{Value, json};

use super::cause::{self, Cause, Starts};
use crate::logs::Line;

/// Classes of prompt length, as in the metrics of the first token.
const PROMPT_CLASSES: [&str; 4] = ["none", "short", "long", "longest"];

/// Request counts of one span of time, by prompt class.
#[derive(Debug, Default)]
struct Span {
    total: [usize; PROMPT_CLASSES.len()],
    lost: IndexMap<Cause, [usize; PROMPT_CLASSES.len()]>,
}

/// Request counts by span, the earliest first.
#[derive(Debug)]
pub struct Table {
    /// Keyed by the span's start, in seconds since the first line.
    spans: IndexMap<u64, Span>,
    span_seconds: u32,
}

impl Table {
    /// Counts the requests of all lines in spans of `span_seconds`, or together if that is 0.
    pub fn from_lines(mut lines: Vec<Line>, span_seconds: u32) -> Self {
        lines.sort_by(|one, other| one.time.total_cmp(&other.time));
        let start = lines.first().map_or(0.0, |line| line.time);
        let starts = Starts::from_lines(&lines);
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
            let span = second - second.checked_rem(span_seconds.into()).unwrap_or(second);
            spans.entry(span).or_default().add(lines, &starts);
        }
        spans.sort_keys();
        Self {
            spans,
            span_seconds,
        }
    }

    /// Returns whether no line belongs to a request.
    pub fn is_empty(&self) -> bool {
        self.spans.is_empty()
    }

    /// Returns the table as JSON: for each span, the counts by cause and prompt class.
    pub fn to_json(&self) -> Value {
        let spans = self.spans.iter().map(|(second, span)| {
            let lost = span.lost.iter();
            let lost = lost.map(|(cause, counts)| (cause.to_string(), counts_by_class(counts)));
            let lost: serde_json::Map<String, Value> = lost.collect();
            json!({ "second": second, "asked": counts_by_class(&span.total), "lost": lost })
        });
        json!({ "every": self.span_seconds, "spans": spans.collect::<Vec<_>>() })
    }
}

impl Span {
    fn add(&mut self, lines: &[Line], starts: &Starts) {
        let class = prompt_class(lines);
        self.total[class] += 1;
        if let Some(cause) = cause::classify(lines, starts) {
            self.lost.entry(cause).or_default()[class] += 1;
        }
        self.lost.sort_unstable_keys();
    }
}

/// Returns the index into [`PROMPT_CLASSES`] for the prompt length that a request's lines state.
fn prompt_class(lines: &[Line]) -> usize {
    let prompt = lines.iter().rev().find_map(|line| line.number("prompt"));
    match prompt.unwrap_or(0.0) {
        prompt if prompt <= 0.0 => 0,
        prompt if prompt < 10_000.0 => 1,
        prompt if prompt < 100_000.0 => 2,
        _ => 3,
    }
}

fn counts_by_class(counts: &[usize; PROMPT_CLASSES.len()]) -> Value {
    let pairs = PROMPT_CLASSES.iter().zip(counts);
    let pairs = pairs.map(|(class, count)| ((*class).to_owned(), json!(count)));
    Value::Object(pairs.collect())
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (second, span) in &self.spans {
            if self.span_seconds > 0 {
                writeln!(f, "from second {second}")?;
            }
            write_row(f, "prompts", &PROMPT_CLASSES)?;
            write_row(f, "asked", &span.total)?;
            for (cause, counts) in &span.lost {
                write_row(f, &cause.to_string(), counts)?;
            }
        }
        Ok(())
    }
}

fn write_row(f: &mut fmt::Formatter<'_>, name: &str, cells: &[impl fmt::Display]) -> fmt::Result {
    write!(f, "{name:36}")?;
    for cell in cells {
        write!(f, " {cell:>8}")?;
    }
    writeln!(f)
}
