//! Why one request was late, refused or cut.

use std::fmt;

use crate::logs::Line;

/// The share of the time to its first token that a prompt may wait, or find before it at its engine,
/// and still be on time: what is left is for its own reading and a pass of the answers.
const HELD_UP: f64 = 0.3;

/// Why one request was not answered in full and on time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// It was refused by what else is asked for.
    Refused,
    /// No endpoint was known, reached or had room.
    NoEndpoint,
    /// Its host did not know what is in force.
    Unsure,
    /// An endpoint failed it, and no other was tried or left.
    EndpointFailed,
    /// The time was up.
    TimedOut,
    /// Its end is in no log.
    NoEnd,
    /// First token: an endpoint had failed before.
    Retried,
    /// First token: it waited for its turn.
    Waited,
    /// First token: its engine had much to read before it.
    Backlog,
    /// First token: its engine took longer than what was known of it says.
    Unforeseen,
    /// Pause: its endpoint broke off and another one went on.
    Resumed,
    /// Pause: its engine read in the midst of it.
    Paused,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Refused => "refused: too much else is asked for",
            Self::NoEndpoint => "refused: no endpoint",
            Self::Unsure => "refused: host not informed",
            Self::EndpointFailed => "failed: by its endpoint",
            Self::TimedOut => "failed: time up",
            Self::NoEnd => "no end: host lost or caller left",
            Self::Retried => "late: retried",
            Self::Waited => "late: waited for its turn",
            Self::Backlog => "late: behind what its engine read",
            Self::Unforeseen => "late: engine slower than foreseen",
            Self::Resumed => "pause: broken and resumed",
            Self::Paused => "pause: engine read meanwhile",
        })
    }
}

/// Why a request's lines, in their order, show a loss; nothing where it was answered on time, or
/// where no route tells what on time is.
pub fn of(lines: &[Line]) -> Option<Cause> {
    let end = lines.iter().rev().find(|line| is_end(line));
    let Some(end) = end else {
        return Some(Cause::NoEnd);
    };
    let reason = end.get("reason");
    match (end.event(), end.get("end")) {
        ("request_refused", _) if end.get("status") == "503" => Some(Cause::Unsure),
        ("request_refused", _) => None,
        (_, "streamed") => late(lines, end),
        (_, "answered") if reason.starts_with('5') => Some(Cause::EndpointFailed),
        (_, "answered") => None,
        _ if reason.contains("what else is asked for") => Some(Cause::Refused),
        _ if reason.contains("no room") => Some(Cause::NoEndpoint),
        _ if reason.contains("time") => Some(Cause::TimedOut),
        _ => Some(Cause::EndpointFailed),
    }
}

fn is_end(line: &Line) -> bool {
    matches!(line.event(), "request_ended" | "request_refused")
}

/// Why a whole stream was late, if it was.
fn late(lines: &[Line], end: &Line) -> Option<Cause> {
    let due_ms = end.number("due_ms")?;
    let first_ms = end.number("first_ms")?;
    let placed = lines.iter().filter(|line| line.event() == "placed");
    let placed: Vec<&Line> = placed.collect();
    let held_up = |key| {
        let place = placed.first();
        let held = place.and_then(|place| place.number(key));
        held.is_some_and(|held| held > due_ms * HELD_UP)
    };
    let is_retried = lines.iter().any(|line| line.event() == "retry");
    let is_resumed = lines.iter().any(|line| line.event() == "resume");
    let pause_ms = end.number("pause_ms").unwrap_or(f64::INFINITY);
    let longest_ms = end.number("longest_pause_ms").unwrap_or(0.0);
    match () {
        () if first_ms > due_ms && is_retried => Some(Cause::Retried),
        () if first_ms > due_ms && held_up("waited_ms") => Some(Cause::Waited),
        () if first_ms > due_ms && held_up("backlog_ms") => Some(Cause::Backlog),
        () if first_ms > due_ms => Some(Cause::Unforeseen),
        () if longest_ms > pause_ms && is_resumed => Some(Cause::Resumed),
        () if longest_ms > pause_ms => Some(Cause::Paused),
        () => None,
    }
}
