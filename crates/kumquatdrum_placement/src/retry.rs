//! Limits this host's retries to its share of a budget common to all hosts.

use std::collections::VecDeque;
use std::time::Duration;

use kumquatdrum_types::Moment;

/// The share of the budget that is used: hosts may disagree on the number of hosts, and a request
/// counted on this host may end in a later window.
const USED_SHARE: f64 = 0.7;

/// The retries of one service that this host may make.
#[derive(Debug)]
pub struct Budget {
    ratio: f64,
    slack: f64,
    window: Duration,
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl Budget {
    /// Creates a budget of `ratio` times the requests plus `slack` retries per window, over all
    /// hosts.
    pub const fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            slack,
            window,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Records a caller's request.
    pub fn record_request(&mut self, now: Moment) {
        self.requests.push_back(now);
        self.expire(now);
    }

    /// Takes one retry if this host, as one of `hosts`, has any left.
    pub fn try_take(&mut self, now: Moment, hosts: usize) -> bool {
        self.expire(now);
        let slack = self.slack / hosts.max(1) as f64;
        let allowed = (self.ratio * self.requests.len() as f64 + slack) * USED_SHARE;
        let is_allowed = ((self.retries.len() + 1) as f64) <= allowed;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    fn expire(&mut self, now: Moment) {
        let is_expired = |at: &Moment| now - *at > self.window;
        while self.requests.front().is_some_and(is_expired) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(is_expired) {
            self.retries.pop_front();
        }
    }
}
