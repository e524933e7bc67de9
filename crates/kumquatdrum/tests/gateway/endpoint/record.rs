//! What an endpoint has received, and how it is told to answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

use super::Part;

/// The requests that an endpoint has received.
#[derive(Debug, Default)]
pub struct Record {
    pub runs: AtomicUsize,
    /// Requests without an attempt id, which are not run.
    pub probes: AtomicUsize,
    /// Connections that were closed before the answer was complete.
    pub disconnects: AtomicUsize,
    pub requests: Mutex<Vec<String>>,
    /// Number of runs by attempt id.
    pub attempts: Mutex<HashMap<String, usize>>,
    /// When each attempt arrived.
    pub arrivals: Mutex<Vec<(Instant, String)>>,
    /// The requests per second that the endpoint names in its answers.
    pub limit: Mutex<Option<f64>>,
    /// Engines that the endpoint cannot reach as helpers.
    pub unreachable: Mutex<Vec<SocketAddr>>,
    /// When the endpoint fell silent.
    pub darkened: Mutex<Option<Instant>>,
    /// When each order arrived, and its body.
    pub orders: Mutex<Vec<(Instant, String)>>,
    /// Requests that were not run because a helper could not be reached.
    pub refusals: AtomicUsize,
    /// The `Retry-After` with which the endpoint rejects all requests, in seconds.
    pub backoff: Mutex<Option<f64>>,
    /// When the endpoint rejected an attempt with a back-off, which attempt, and for how long.
    pub backoffs: Mutex<Vec<(Instant, String, Duration)>>,
    /// Whether [`CRASHING_PART`] does not crash the endpoint.
    pub is_immune: AtomicBool,
    /// Whether the endpoint says in all its answers that it is leaving.
    pub is_leaving: AtomicBool,
    /// The part without end with which the endpoint answers probes and orders.
    pub upkeep_part: Mutex<Option<Part>>,
    /// When the endpoint sent an answer that says so, and to which attempt.
    pub leaving_answers: Mutex<Vec<(Instant, String)>>,
}

impl Record {
    /// Returns the header line that says whether the endpoint is leaving.
    pub(super) fn leaving_header(&self, attempt: &str) -> &'static str {
        if !self.is_leaving.load(Ordering::Relaxed) {
            return "";
        }
        let answer = (Instant::now(), attempt.to_owned());
        self.leaving_answers.lock().push(answer);
        "Server-Leaving: 1\r\n"
    }

    /// Records a rejection with a back-off, if the endpoint requests one, and returns its headers.
    pub(super) fn reject(&self, attempt: &str) -> Option<String> {
        let seconds = (*self.backoff.lock())?;
        let delay = Duration::from_secs_f64(seconds);
        let rejection = (Instant::now(), attempt.to_owned(), delay);
        self.backoffs.lock().push(rejection);
        Some(format!(
            "Kumquatdrum-Not-Run: 1\r\nRetry-After: {seconds}\r\nContent-Length: 0\r\n"
        ))
    }
}
