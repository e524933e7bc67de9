//! What becomes of requests, and whether that is a failure.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use tokio::time::Instant;

use super::setup::LOWERED_IDLE_MS;
use crate::caller::{Answer, End};
use crate::cluster::{CONTROL_HOSTS, Cluster};

/// The time that a request's last bytes may take to reach the host.
pub const LOSS_SLACK: Duration = Duration::from_millis(200);
/// The time after SIGTERM within which a request may have been sent that is cut at the end of a stop.
const LATE_AFTER_STOP: Duration = Duration::from_secs(3);
/// The part of a request's time limit that a host keeps for the way of the answer.
const ANSWER_RESERVE: Duration = Duration::from_millis(100);
/// The start of the last sixth of a stop.
const LAST_SIXTH_OF_STOP: Duration = Duration::from_millis(6_667);
/// The duration of a stop, and some time for callers to see its end.
const MAX_STOP: Duration = Duration::from_millis(8_500);
/// The longest a caller may be idle, four fifths of the lowered idle timeout.
const MAX_IDLE: Duration = Duration::from_millis(LOWERED_IDLE_MS / 5 * 4);
/// The failures of a kind that are printed in full.
const MAX_HISTORIES: usize = 2;

/// A request that a caller has sent, and what became of it.
#[derive(Debug)]
pub struct Call {
    pub attempt: String,
    pub host: usize,
    pub path: String,
    /// How it was sent.
    pub way: String,
    pub sent_at: Instant,
    pub is_whole: bool,
    /// The time that the caller gives it.
    pub limit: Duration,
    /// The previous request on the connection.
    pub before: String,
    /// How long the caller had been idle before.
    pub idle: Duration,
    pub ended_at: Instant,
    /// `None` if the caller left.
    pub end: Option<End>,
    /// Whether an earlier answer on the connection said that it closes, or was cut off.
    pub is_behind_close: bool,
}

/// What becomes of a request, by its name in the summary.
type Verdict = Result<String, String>;

impl Call {
    /// Judges the end of the request, with the number of its runs, whether a host has read its head,
    /// and when hosts were stopped.
    pub fn judge(&self, runs: usize, is_read: bool, stops: &[(usize, Instant)]) -> Verdict {
        let may_repeat = ["/safe/", "/stream/", "/model/", "/extra0/", "/extra2/"]
            .iter()
            .any(|prefix| self.path.starts_with(prefix));
        if runs > 1 && !may_repeat {
            return Err(format!("ran {runs} times"));
        }
        let Some(end) = &self.end else {
            return Ok("left".to_owned());
        };
        let is_always_in_force = !["/none/", "/extra", "/model"]
            .iter()
            .any(|prefix| self.path.starts_with(prefix))
            && !self.way.contains("key-2");
        match end {
            End::Answered(Answer { status, .. })
                if matches!(status, 408 | 421 | 429 | 503) && runs > 0 && !may_repeat =>
            {
                Err(format!("refused with {status} and ran"))
            }
            End::Answered(Answer {
                status: 401 | 404, ..
            }) if is_always_in_force => Err("denied".to_owned()),
            End::Answered(Answer {
                status: 200, body, ..
            }) if *body != expected(&self.path) => {
                Err("another answer than its endpoint sent".to_owned())
            }
            _ if is_read && !self.is_whole => Err("reset while it was sent".to_owned()),
            End::Answered(answer) => Ok(answer.status.to_string()),
            _ if runs > 0 && self.may_be_cut(stops) => Ok("cut at the end of its time".to_owned()),
            End::Broken(status) => Err(format!("answer {status} cut off")),
            End::Lost(_) if runs > 0 => Err("ran, and its caller got nothing".to_owned()),
            End::Lost(_) if self.is_behind_close => Ok("behind the last answer".to_owned()),
            End::Lost(reason) if is_read => Err(format!("read, and got nothing: {reason}")),
            End::Lost(reason) if self.is_whole && self.ended_at > self.sent_at + LOSS_SLACK => {
                Err(format!("sent whole, and got nothing: {reason}"))
            }
            End::Lost(_) if self.idle > MAX_IDLE || self.is_in_stop(stops) => {
                Ok("crossed a close".to_owned())
            }
            End::Lost(reason) => Err(format!("closed for no known reason: {reason}")),
        }
    }

    /// Returns the end with the head of an answer.
    pub fn describe_end(&self) -> String {
        match &self.end {
            Some(End::Answered(answer)) => format!("{} {:?}", answer.status, answer.head),
            end => format!("{end:?}"),
        }
    }

    fn may_be_cut(&self, stops: &[(usize, Instant)]) -> bool {
        let is_overdue = self.ended_at + ANSWER_RESERVE >= self.sent_at + self.limit;
        let is_cut_by_stop = stops.iter().any(|(host, at)| {
            *host == self.host
                && self.sent_at <= *at + LATE_AFTER_STOP
                && self.ended_at >= *at + LAST_SIXTH_OF_STOP
        });
        is_overdue || is_cut_by_stop && self.is_in_stop(stops)
    }

    fn is_in_stop(&self, stops: &[(usize, Instant)]) -> bool {
        stops.iter().any(|(host, at)| {
            *host == self.host && self.ended_at >= *at && self.ended_at <= *at + MAX_STOP
        })
    }

    /// Judges the request; returns its history with the hosts' log lines if it failed.
    pub fn check(&self, log: &Log, runs: usize, stops: &[(usize, Instant)]) -> Verdict {
        let lines = log.0.get(&self.attempt).map_or(&[][..], Vec::as_slice);
        let verdict = self.judge(runs, !lines.is_empty(), stops);
        verdict.map_err(|reason| {
            let stops = stops.iter().filter(|(host, _)| *host == self.host);
            let stops: Vec<_> = stops
                .map(|(_, at)| self.sent_at.saturating_duration_since(*at))
                .collect();
            format!(
                "{reason}\n  idle {:?}, before: {}\n  {} to host {}, {}, {}\n  whole: {}, ended {:?} after it was sent, \
                 {runs} runs, sent {stops:?} after a stop\n  {}\n  {}",
                self.idle,
                self.before,
                self.attempt,
                self.host,
                self.path,
                self.way,
                self.is_whole,
                self.ended_at - self.sent_at,
                self.describe_end(),
                lines.join("\n  ")
            )
        })
    }
}

/// The log lines of the hosts that take callers, by the attempt that they name.
pub struct Log(HashMap<String, Vec<String>>);

impl Log {
    pub fn read(cluster: &Cluster) -> Self {
        let mut lines = HashMap::<String, Vec<String>>::new();
        for host in CONTROL_HOSTS..cluster.hosts() {
            for line in cluster.read_log(host).lines() {
                let attempt = line.split(" request=").nth(1);
                if let Some(attempt) = attempt.and_then(|rest| rest.split(' ').next()) {
                    let named = lines.entry(attempt.to_owned()).or_default();
                    named.push(format!("host {host}: {line}"));
                }
            }
        }
        Self(lines)
    }
}

/// Returns the body that an endpoint sends for a path.
fn expected(path: &str) -> Vec<u8> {
    let numbers = path.rsplit('/').next().unwrap_or_default();
    let events = numbers
        .split('-')
        .nth(1)
        .and_then(|events| events.parse().ok());
    let events: u64 = events.unwrap_or(0);
    if events == 0 {
        return b"whole".to_vec();
    }
    let events = (1..=events).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
    events.collect::<String>().into_bytes()
}

/// Returns how often each kind of failure was seen, and the first of each kind in full.
pub fn summarize(failures: &[String]) -> String {
    let mut kinds = BTreeMap::<&str, Vec<&str>>::new();
    for failure in failures {
        let (kind, _) = failure.split_once('\n').unwrap_or((failure, ""));
        kinds.entry(kind).or_default().push(failure);
    }
    let mut text = format!("{} failures", failures.len());
    for (kind, histories) in kinds {
        let first = histories.iter().take(MAX_HISTORIES).copied();
        let first: Vec<_> = first.collect();
        let count = histories.len();
        text = format!("{text}\n\n{kind}: {count}\n{}", first.join("\n"));
    }
    text
}
