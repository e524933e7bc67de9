//! Decides what is done while the endpoint of an answer that has begun is silent.
//!
//! The load: sound endpoints that fall silent for a second or so and go on, beside endpoints that went
//! away without closing their connections.

use std::time::Duration;

use kumquatdrum_types::Moment;

/// How long a silence may last.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The silence after which another endpoint is tried, and the least time between two tries.
    pub resume: Duration,
    /// The silence after which the endpoint is checked, and the time between two checks.
    pub check: Duration,
}

/// What is done next. None of it ends the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Wait until then, unless events arrive.
    Wait(Moment),
    /// Find out whether the endpoint is gone.
    Check,
    /// Try another endpoint, and keep the answer until that one has answered.
    Try,
}

/// A silence of an endpoint since its last events.
#[derive(Debug)]
pub struct Silence {
    limits: Limits,
    check_at: Moment,
    try_at: Moment,
    is_cut: bool,
}

impl Silence {
    /// Creates a silence that begins now.
    pub fn new(now: Moment, limits: Limits) -> Self {
        Self {
            limits,
            check_at: now + limits.check,
            try_at: now + limits.resume,
            is_cut: false,
        }
    }

    /// Returns what is done now. `can_resume` states whether another endpoint may get the request.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use kumquatdrum_response::silence::{Limits, Silence, Step};
    /// use kumquatdrum_types::Moment;
    ///
    /// let limit = Duration::from_secs(2);
    /// let limits = Limits { resume: limit, check: limit };
    /// let silence = Silence::new(Moment::ZERO, limits);
    /// let end = Moment::ZERO + limit;
    /// assert_eq!(silence.step(Moment::ZERO, true), Step::Wait(end));
    /// assert_eq!(silence.step(end, true), Step::Try);
    /// assert_eq!(silence.step(end, false), Step::Check);
    /// ```
    pub fn step(&self, now: Moment, can_resume: bool) -> Step {
        match self.try_at {
            try_at if can_resume && now >= try_at => Step::Try,
            _ if now >= self.check_at => Step::Check,
            try_at if can_resume => Step::Wait(try_at.min(self.check_at)),
            _ => Step::Wait(self.check_at),
        }
    }

    /// Records that the endpoint was checked and is not gone.
    pub fn record_check(&mut self, now: Moment) {
        self.check_at = now + self.limits.check;
    }

    /// Records that no other endpoint has answered, or that none may be tried.
    pub fn record_failed_try(&mut self, now: Moment) {
        self.try_at = now + self.limits.resume;
    }

    /// Records that the path to the endpoint is cut, so that another one is tried at once. Its connection
    /// may live on.
    pub fn record_cut(&mut self, now: Moment) {
        if !self.is_cut {
            self.is_cut = true;
            self.try_at = self.try_at.min(now);
        }
    }

    /// Returns whether the path to the endpoint is known to be cut.
    pub const fn is_cut(&self) -> bool {
        self.is_cut
    }
}
