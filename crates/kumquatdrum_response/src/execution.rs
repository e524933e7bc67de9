//! Whether a request has run, as far as its attempts tell, and the answer that goes with it.

use http::StatusCode;

/// Whether a request has run, according to an endpoint's complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Execution {
    /// The request has run.
    Ran,
    /// The request has run and failed.
    Failed,
    /// The request has not run.
    NotRun,
}

/// What a caller is to get once no further attempt is made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply<A> {
    /// An endpoint's answer to a request that has run.
    Answer(A),
    /// An endpoint's answer to a request that has not run.
    Rejection(A),
    /// A refusal by this host: the request has not run.
    Refusal,
    /// The request may have run, and nothing else is known.
    Failure,
    /// The request may have run, and its time is up.
    Timeout,
}

/// What the attempts made so far tell about a request.
///
/// The answer of an attempt is kept only as long as it speaks for all of them. A [`Reply`] that promises
/// that the request has not run thus exists only while no attempt may have run it.
#[derive(Debug)]
pub struct Record<A>(State<A>);

#[derive(Debug)]
enum State<A> {
    /// No attempt has run the request. The last rejection, if any.
    NotRun(Option<A>),
    /// An attempt may have run the request.
    MayHaveRun,
    /// The last answer of an attempt that ran the request and failed.
    Failed(A),
    /// The answer of the attempt that ran the request.
    Ran(A),
}

impl<A> Default for Record<A> {
    fn default() -> Self {
        Self(State::NotRun(None))
    }
}

impl<A> Record<A> {
    /// Records an endpoint's complete answer. One whose status promises more than is known is dropped.
    ///
    /// ```
    /// use http::StatusCode;
    /// use kumquatdrum_response::execution::{Execution, Record, Reply};
    ///
    /// let mut record = Record::default();
    /// record.record_answer(Execution::NotRun, StatusCode::SERVICE_UNAVAILABLE, "full");
    /// assert_eq!(record.take_reply(false), Reply::Rejection("full"));
    /// ```
    pub fn record_answer(&mut self, execution: Execution, status: StatusCode, answer: A) {
        match (execution, &self.0) {
            (Execution::NotRun, State::NotRun(_)) => self.0 = State::NotRun(Some(answer)),
            (Execution::NotRun, _) | (_, State::Ran(_)) => {}
            _ if is_promise(status) => self.record_loss(),
            (Execution::Failed, _) => self.0 = State::Failed(answer),
            (Execution::Ran, _) => self.0 = State::Ran(answer),
        }
    }

    /// Records that the request was sent, and that the answer to it is lost.
    ///
    /// ```
    /// use http::StatusCode;
    /// use kumquatdrum_response::execution::{Execution, Record, Reply};
    ///
    /// let mut record = Record::default();
    /// record.record_answer(Execution::NotRun, StatusCode::SERVICE_UNAVAILABLE, "full");
    /// record.record_loss();
    /// assert_eq!(record.take_reply(false), Reply::Failure);
    /// ```
    pub fn record_loss(&mut self) {
        if let State::NotRun(_) = self.0 {
            self.0 = State::MayHaveRun;
        }
    }

    /// Returns whether the request may be sent once more.
    ///
    /// ```
    /// use kumquatdrum_response::execution::Record;
    ///
    /// let mut record = Record::<&str>::default();
    /// assert!(record.can_repeat(false));
    /// record.record_loss();
    /// assert!(!record.can_repeat(false));
    /// assert!(record.can_repeat(true));
    /// ```
    pub fn can_repeat(&self, is_idempotent: bool) -> bool {
        match self.0 {
            State::NotRun(_) => true,
            State::MayHaveRun | State::Failed(_) => is_idempotent,
            State::Ran(_) => false,
        }
    }

    /// Returns what the caller is to get if no further attempt is made. `is_time_up` says whether the
    /// last attempt was given up at the deadline. Afterwards, the request counts as one that may have run.
    ///
    /// ```
    /// use kumquatdrum_response::execution::{Record, Reply};
    ///
    /// let mut record = Record::<&str>::default();
    /// record.record_loss();
    /// assert_eq!(record.take_reply(true), Reply::Timeout);
    /// ```
    pub fn take_reply(&mut self, is_time_up: bool) -> Reply<A> {
        match std::mem::replace(&mut self.0, State::MayHaveRun) {
            State::NotRun(None) => Reply::Refusal,
            State::NotRun(Some(answer)) => Reply::Rejection(answer),
            State::MayHaveRun | State::Failed(_) if is_time_up => Reply::Timeout,
            State::Failed(answer) | State::Ran(answer) => Reply::Answer(answer),
            State::MayHaveRun => Reply::Failure,
        }
    }
}

/// Returns whether a status promises that the request has not run and never will.
const fn is_promise(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}
