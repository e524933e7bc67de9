//! What became of one request, and why.

use std::fmt;

use serde_json::{Value, json};

use crate::logs::Line;

/// How long before a request's end what its host believed is looked at, in seconds.
const BEFORE: f64 = 10.0;
/// Keys that every line has, or that the story tells otherwise.
const KNOWN: [&str; 5] = ["time", "level", "host", "event", "request"];

/// What became of one request.
#[derive(Debug)]
pub struct Story {
    id: String,
    lines: Vec<Line>,
    /// What changed the beliefs of the request's hosts shortly before its end.
    beliefs: Vec<Line>,
}

impl Story {
    /// The story of a request, from the lines of all hosts.
    pub fn of(id: &str, all: Vec<Line>) -> Self {
        let (mut lines, others): (Vec<Line>, Vec<Line>) =
            all.into_iter().partition(|line| line.get("request") == id);
        lines.sort_by(|one, other| one.time.total_cmp(&other.time));
        let end = lines.last().map_or(0.0, |line| line.time);
        let hosts: Vec<&str> = lines.iter().map(|line| line.get("host")).collect();
        let mut beliefs: Vec<Line> = others
            .into_iter()
            .filter(|line| hosts.contains(&line.get("host")) && is_belief(line.event()))
            .filter(|line| line.time <= end && line.time >= end - BEFORE)
            .collect();
        beliefs.sort_by(|one, other| one.time.total_cmp(&other.time));
        Self {
            id: id.to_owned(),
            lines,
            beliefs,
        }
    }

    /// No log knows the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Why it ended as it did, where the lines tell.
    pub fn cause(&self) -> String {
        let Some(end) = self.lines.iter().rev().find(|line| is_end(line.event())) else {
            return "its end is in none of the logs: its host was lost, or its caller left"
                .to_owned();
        };
        let reason = end.get("reason");
        match (end.event(), end.get("end")) {
            ("request_refused", _) => {
                let revision = end.get("revision");
                format!("not sent: {reason} (this host goes by revision {revision})")
            }
            (_, "streamed" | "answered") => format!("answered: {reason}"),
            _ => match self.last_failure() {
                Some(attempt) => format!(
                    "{reason}; the last endpoint, {} at {}, {}: {}",
                    attempt.get("endpoint"),
                    attempt.get("address"),
                    attempt.get("outcome"),
                    attempt.get("reason")
                ),
                None => format!("sent to no endpoint: {reason}"),
            },
        }
    }

    fn last_failure(&self) -> Option<&Line> {
        let failed = |line: &&Line| {
            line.event() == "attempt" && !matches!(line.get("outcome"), "began" | "answered")
        };
        self.lines.iter().rev().find(failed)
    }

    /// The story as JSON.
    pub fn json(&self) -> Value {
        json!({
            "request": self.id,
            "cause": self.cause(),
            "lines": self.lines.iter().map(|line| &line.pairs).collect::<Vec<_>>(),
            "beliefs": self.beliefs.iter().map(|line| &line.pairs).collect::<Vec<_>>(),
        })
    }
}

fn is_end(event: &str) -> bool {
    matches!(event, "request_ended" | "request_refused")
}

fn is_belief(event: &str) -> bool {
    matches!(
        event,
        "started"
            | "stopping"
            | "setup_in_force"
            | "host_lost"
            | "host_back"
            | "endpoint_known"
            | "endpoint_left"
            | "endpoint_displaced"
            | "endpoint_ejected"
            | "helper_failed"
            | "reloaded"
    )
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.id)?;
        let start = self.lines.first().map_or(0.0, |line| line.time);
        for line in &self.lines {
            write_line(f, line, start)?;
        }
        writeln!(f, "cause: {}", self.cause())?;
        if !self.beliefs.is_empty() {
            writeln!(f, "what its host learnt before:")?;
        }
        for line in &self.beliefs {
            write_line(f, line, start)?;
        }
        Ok(())
    }
}

fn write_line(f: &mut fmt::Formatter<'_>, line: &Line, start: f64) -> fmt::Result {
    let offset = line.time - start;
    write!(f, "  {offset:+.3} s {} {}", line.get("host"), line.event())?;
    for (key, value) in &line.pairs {
        if !KNOWN.contains(&key.as_str()) {
            write!(f, " {key}={value}")?;
        }
    }
    writeln!(f)
}
