//! Classifies why a request was late, refused or cut.

use std::fmt;

use indexmap::IndexMap;

use crate::logs::Line;

/// Share of the target time to first token above which a queue wait or an engine's backlog counts
/// as the cause of a late first token. The rest is needed for the prompt's own prefill.
const DELAY_SHARE: f64 = 0.3;

/// The time after a start in which a host may not know endpoints or the setup yet.
const START_SECONDS: f64 = 5.0;

/// When hosts started, by host.
#[derive(Debug, Default)]
pub struct Starts(IndexMap<String, Vec<f64>>);

impl Starts {
    /// Collects the starts in a log.
    pub fn from_lines(lines: &[Line]) -> Self {
        let mut starts: IndexMap<String, Vec<f64>> = IndexMap::new();
        for line in lines.iter().filter(|line| line.event() == "started") {
            let host = line.get("host").to_owned();
            starts.entry(host).or_default().push(line.time);
        }
        Self(starts)
    }

    /// Returns whether the host of a line started shortly before it.
    fn precede(&self, line: &Line) -> bool {
        let is_recent = |start: &f64| (0.0..START_SECONDS).contains(&(line.time - start));
        self.of(line).iter().any(is_recent)
    }

    /// Returns whether the host of a line started after it.
    fn follow(&self, line: &Line) -> bool {
        self.of(line).iter().any(|start| *start > line.time)
    }

    fn of(&self, line: &Line) -> &[f64] {
        self.0.get(line.get("host")).map_or(&[], Vec::as_slice)
    }
}

/// Why a request was not answered in full and on time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// Refused because the prompt was too long at the current load.
    Overload,
    /// No endpoint was known, reachable or had room.
    NoEndpoint,
    /// Neither the host nor a relay reached the endpoints.
    CutOff,
    /// The endpoints had asked the host for a back-off.
    BackedOff,
    /// The host had not received the setup in force.
    NotInformed,
    /// The host had started shortly before, and knew no endpoint or no setup.
    Starting,
    /// Endpoints crashed while they ran the request.
    Blocked,
    /// An endpoint failed, and no other one was tried or left.
    EndpointFailed,
    /// The path to the endpoint was lost, and the request was not repeated.
    PathLost,
    /// An engine that shared the prefill failed, and no other plan was tried.
    HelperFailed,
    /// The deadline passed.
    TimedOut,
    /// The host restarted before the request's end.
    HostLost,
    /// No log contains the request's end, and its host ran on.
    NoEnd,
    /// Late first token: an attempt at another endpoint failed first.
    Retried,
    /// Late first token: the path to an endpoint was lost first.
    PathRetried,
    /// Late first token: an engine that shared the prefill failed first.
    HelperRetried,
    /// Late first token: an endpoint that had asked for a back-off or was leaving held it back.
    Held,
    /// Late first token: the request waited in the queue.
    Queued,
    /// Late first token: the engine had other prompts to prefill first.
    Backlog,
    /// Late first token: the engine was slower than predicted.
    SlowEngine,
    /// Pause in the stream: the endpoint failed and another one resumed the answer.
    Resumed,
    /// Pause in the stream: the engine prefilled other prompts meanwhile.
    Stalled,
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Overload => "refused: too much else is asked for",
            Self::NoEndpoint => "refused: no endpoint",
            Self::CutOff => "refused: no host reaches endpoints",
            Self::BackedOff => "refused: endpoints in back-off",
            Self::NotInformed => "refused: host not informed",
            Self::Starting => "refused: host starting",
            Self::Blocked => "refused: it crashes endpoints",
            Self::EndpointFailed => "failed: by its endpoint",
            Self::PathLost => "failed: path to its endpoint lost",
            Self::HelperFailed => "failed: by a helper",
            Self::TimedOut => "failed: time up",
            Self::HostLost => "no end: host lost",
            Self::NoEnd => "no end: caller left",
            Self::Retried => "late: retried",
            Self::PathRetried => "late: path to an endpoint lost",
            Self::HelperRetried => "late: a helper failed",
            Self::Held => "late: held back by an endpoint",
            Self::Queued => "late: waited for its turn",
            Self::Backlog => "late: behind what its engine read",
            Self::SlowEngine => "late: engine slower than foreseen",
            Self::Resumed => "pause: broken and resumed",
            Self::Stalled => "pause: engine read meanwhile",
        })
    }
}

/// Returns why a request was late, refused or cut, given its lines in order and the starts of the
/// hosts.
///
/// Returns `None` if the request was answered on time, was refused with a status other than 503, or
/// was streamed on a route without a target time to first token.
pub fn classify(lines: &[Line], starts: &Starts) -> Option<Cause> {
    let end = lines.iter().rev().find(|line| is_end(line));
    let Some(end) = end else {
        let is_lost = lines.last().is_some_and(|line| starts.follow(line));
        return Some(if is_lost {
            Cause::HostLost
        } else {
            Cause::NoEnd
        });
    };
    let reason = end.get("reason");
    let is_helper_failed = has(lines, "helper_failed");
    let is_starting = starts.precede(end);
    match (end.event(), end.get("end")) {
        ("request_refused", _) if end.get("status") == "503" && is_starting => {
            Some(Cause::Starting)
        }
        ("request_refused", _) if end.get("status") == "503" => Some(Cause::NotInformed),
        ("request_refused", _) => None,
        (_, "streamed") => classify_stream(lines, end),
        (_, "answered") if reason.starts_with('5') && is_helper_failed => Some(Cause::HelperFailed),
        (_, "answered") if reason == "503" && has(lines, "endpoint_backoff") => {
            Some(Cause::BackedOff)
        }
        (_, "answered") if reason.starts_with('5') => Some(Cause::EndpointFailed),
        (_, "answered") => None,
        _ if reason.contains("what else is asked for") => Some(Cause::Overload),
        _ if reason.contains("is blocked") => Some(Cause::Blocked),
        _ if reason.contains("asked for a back-off") => Some(Cause::BackedOff),
        _ if reason.contains("no endpoint is known") && is_starting => Some(Cause::Starting),
        _ if reason.contains("no host reaches") => Some(Cause::CutOff),
        _ if reason.contains("no room") => Some(Cause::NoEndpoint),
        _ if ends_with_lost_path(lines) => Some(Cause::PathLost),
        _ if reason.contains("time") => Some(Cause::TimedOut),
        _ => Some(Cause::EndpointFailed),
    }
}

fn has(lines: &[Line], event: &str) -> bool {
    lines.iter().any(|line| line.event() == event)
}

fn is_path_lost(line: &Line) -> bool {
    line.event() == "attempt" && line.get("outcome") == "path_lost"
}

/// Returns whether the path to the endpoint of the last attempt was lost.
fn ends_with_lost_path(lines: &[Line]) -> bool {
    let attempt = lines.iter().rev().find(|line| line.event() == "attempt");
    attempt.is_some_and(is_path_lost)
}

fn is_end(line: &Line) -> bool {
    matches!(line.event(), "request_ended" | "request_refused")
}

/// Returns why a complete stream was late, or `None` if it was on time.
fn classify_stream(lines: &[Line], end: &Line) -> Option<Cause> {
    let due_ms = end.number("due_ms")?;
    let first_ms = end.number("first_ms")?;
    let placed = lines.iter().filter(|line| line.event() == "placed");
    let placed: Vec<&Line> = placed.collect();
    let is_delayed_by = |key| {
        let placement = placed.first();
        let delay_ms = placement.and_then(|placement| placement.number(key));
        delay_ms.is_some_and(|delay_ms| delay_ms > due_ms * DELAY_SHARE)
    };
    let pause_ms = end.number("pause_ms").unwrap_or(f64::INFINITY);
    let longest_ms = end.number("longest_pause_ms").unwrap_or(0.0);
    match () {
        () if first_ms > due_ms && has(lines, "helper_failed") => Some(Cause::HelperRetried),
        () if first_ms > due_ms && has(lines, "request_held") => Some(Cause::Held),
        () if first_ms > due_ms && lines.iter().any(is_path_lost) => Some(Cause::PathRetried),
        () if first_ms > due_ms && has(lines, "retry") => Some(Cause::Retried),
        () if first_ms > due_ms && is_delayed_by("waited_ms") => Some(Cause::Queued),
        () if first_ms > due_ms && is_delayed_by("backlog_ms") => Some(Cause::Backlog),
        () if first_ms > due_ms => Some(Cause::SlowEngine),
        () if longest_ms > pause_ms && has(lines, "resume") => Some(Cause::Resumed),
        () if longest_ms > pause_ms => Some(Cause::Stalled),
        () => None,
    }
}
