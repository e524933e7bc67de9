//! The timeline of one request and the cause of its outcome.

use std::fmt;

use serde_json::{Value, json};

use crate::logs::Line;

/// Period before a request's end in which the state changes of its hosts are shown.
const LOOKBACK_SECONDS: f64 = 10.0;
/// The event that a connection has ended with a request in it.
const CONNECTION_ENDED: &str = "connection_ended";
/// Keys that are not printed as pairs, as every line has them or they are printed elsewhere.
const OMITTED_KEYS: [&str; 5] = ["time", "level", "host", "event", "request"];

/// The log lines of one request, and the state changes of its hosts shortly before its end.
#[derive(Debug)]
pub struct Timeline {
    id: String,
    lines: Vec<Line>,
    state_changes: Vec<Line>,
}

impl Timeline {
    /// Selects the lines that concern a request from the lines of all hosts.
    pub fn from_lines(id: &str, all: Vec<Line>) -> Self {
        let (mut lines, others): (Vec<Line>, Vec<Line>) =
            all.into_iter().partition(|line| line.get("request") == id);
        lines.sort_by(|one, other| one.time.total_cmp(&other.time));
        let end = lines.last().map_or(0.0, |line| line.time);
        let hosts: Vec<&str> = lines.iter().map(|line| line.get("host")).collect();
        let mut state_changes: Vec<Line> = others
            .into_iter()
            .filter(|line| hosts.contains(&line.get("host")) && is_state_change(line.event()))
            .filter(|line| line.time <= end && line.time >= end - LOOKBACK_SECONDS)
            .collect();
        state_changes.sort_by(|one, other| one.time.total_cmp(&other.time));
        Self {
            id: id.to_owned(),
            lines,
            state_changes,
        }
    }

    /// Returns whether no log contains the request.
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Describes why the request ended as it did.
    pub fn cause(&self) -> String {
        let mut from_last = self.lines.iter().rev();
        let Some(end) = from_last.clone().find(|line| is_end(line.event())) else {
            return match from_last.find(|line| line.event() == CONNECTION_ENDED) {
                Some(line) => describe_connection(line),
                None => {
                    "no log contains the end of the request; its host may have failed".to_owned()
                }
            };
        };
        let outcome = self.outcome(end);
        match self.lost_answer() {
            Some(line) => format!("{outcome}; {}", describe_connection(line)),
            None => outcome,
        }
    }

    /// Describes how the host ended the request.
    fn outcome(&self, end: &Line) -> String {
        let reason = end.get("reason");
        match (end.event(), end.get("end")) {
            ("request_refused", _) => {
                let revision = end.get("revision");
                format!("not sent: {reason} (the host was at revision {revision})")
            }
            ("request_panicked", _) => "answered 500: the host failed internally".to_owned(),
            (_, "streamed" | "answered") => format!("answered: {reason}"),
            _ => match self.last_failure() {
                Some(attempt) => format!(
                    "{reason}; last failed attempt: endpoint {} at {}, {}: {}",
                    attempt.get("endpoint"),
                    attempt.get("address"),
                    attempt.get("outcome"),
                    attempt.get("reason")
                ),
                None => format!("not answered in full: {reason}"),
            },
        }
    }

    /// Returns the end of the connection if the caller may lack a part of the answer.
    fn lost_answer(&self) -> Option<&Line> {
        let is_lost =
            |line: &&Line| line.event() == CONNECTION_ENDED && line.get("phase") == "response";
        self.lines.iter().rev().find(is_lost)
    }

    fn last_failure(&self) -> Option<&Line> {
        let is_failed_attempt = |line: &&Line| {
            line.event() == "attempt" && !matches!(line.get("outcome"), "began" | "answered")
        };
        self.lines.iter().rev().find(is_failed_attempt)
    }

    /// Returns the timeline as JSON.
    pub fn to_json(&self) -> Value {
        json!({
            "request": self.id,
            "cause": self.cause(),
            "lines": self.lines.iter().map(|line| &line.pairs).collect::<Vec<_>>(),
            "beliefs": self.state_changes.iter().map(|line| &line.pairs).collect::<Vec<_>>(),
        })
    }
}

/// Describes how far a request had come when its connection ended, and why it ended.
fn describe_connection(line: &Line) -> String {
    let phase = match line.get("phase") {
        "head" => "while its head arrived",
        "body" => "while its body arrived",
        "waiting" => "before there was a response",
        "response" => "before all of the response was sent",
        _ => "after the response",
    };
    let cause = match line.get("cause") {
        "caller" => "its caller closed it",
        "timeout" => "its caller was silent for too long",
        "unacknowledged" => "its caller no longer acknowledged, or did not read",
        "response" => "the response broke off",
        "invalid" => "its caller sent no valid HTTP",
        "stopped" => "the host stopped",
        "panic" => "the host failed internally",
        _ => "the host closed it",
    };
    format!("the connection ended {phase}: {cause}")
}

fn is_end(event: &str) -> bool {
    matches!(
        event,
        "request_ended" | "request_refused" | "request_panicked"
    )
}

fn is_state_change(event: &str) -> bool {
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
            | "endpoint_limit"
            | "endpoint_backoff"
            | "endpoint_leaving"
            | "endpoint_suspected"
            | "helper_failed"
            | "path_doubted"
            | "path_cut"
            | "path_cleared"
            | "path_recovering"
            | "path_restored"
            | "request_blocked"
            | "part_blocked"
            | "reloaded"
    )
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "request {}", self.id)?;
        let start = self.lines.first().map_or(0.0, |line| line.time);
        for line in &self.lines {
            write_line(f, line, start)?;
        }
        writeln!(f, "cause: {}", self.cause())?;
        if !self.state_changes.is_empty() {
            writeln!(
                f,
                "state changes of the hosts before the end of the request:"
            )?;
        }
        for line in &self.state_changes {
            write_line(f, line, start)?;
        }
        Ok(())
    }
}

fn write_line(f: &mut fmt::Formatter<'_>, line: &Line, start: f64) -> fmt::Result {
    let offset = line.time - start;
    write!(f, "  {offset:+.3} s {} {}", line.get("host"), line.event())?;
    for (key, value) in &line.pairs {
        if !OMITTED_KEYS.contains(&key.as_str()) {
            write!(f, " {key}={value}")?;
        }
    }
    writeln!(f)
}
