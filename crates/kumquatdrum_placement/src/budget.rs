//! A host's share of the retries that all hosts may make together.

use std::collections::VecDeque;
use std::time::Duration;

use kumquatdrum_types::Moment;

/// The share of the allowance that is used: hosts differ in what they know of each other, and
/// requests that were counted here may be counted later where they end.
const MARGIN: f64 = 0.7;

/// The retries of one service that this host may make.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryBudget {
    /// Retries over all hosts in a window: `ratio` of the requests, and `slack`.
    pub const fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// A caller's request has come.
    pub fn record_request(&mut self, now: Moment) {
        self.requests.push_back(now);
        self.forget(now);
    }

    /// Takes one retry, where one is left for a host among `hosts`.
    pub fn try_take(&mut self, now: Moment, hosts: usize) -> bool {
        self.forget(now);
        let slack = self.slack / hosts.max(1) as f64;
        let allowed = (self.ratio * self.requests.len() as f64 + slack) * MARGIN;
        let is_left = ((self.retries.len() + 1) as f64) <= allowed;
        if is_left {
            self.retries.push_back(now);
        }
        is_left
    }

    fn forget(&mut self, now: Moment) {
        let is_old = |at: &Moment| now - *at > self.window;
        while self.requests.front().is_some_and(is_old) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_old) {
            self.retries.pop_front();
        }
    }
}
