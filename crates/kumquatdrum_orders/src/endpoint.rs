//! What the reconciler knows of one engine.

use kumquatdrum_types::{BootId, Moment, ServiceName};

use crate::{Action, Order, Report, Role};

/// An order that was given, and how often in a row.
#[derive(Debug)]
pub struct Attempt {
    pub order: Order,
    pub count: u32,
    pub retry_at: Moment,
    pub is_done: bool,
}

/// A question for a report that is under way.
#[derive(Debug)]
pub struct Question {
    pub asked_at: Moment,
    /// It was asked before this leader led, so that its answer proves nothing.
    pub is_void: bool,
}

/// One engine.
#[derive(Debug)]
pub struct Endpoint {
    pub boot: BootId,
    pub service: ServiceName,
    pub is_present: bool,
    /// It has taken note of this leader's fencing number.
    pub is_fenced: bool,
    /// Its last report, and when it was asked for.
    pub report: Option<(Report, Moment)>,
    pub question: Option<Question>,
    pub ask_at: Moment,
    pub failed_questions: u32,
    /// The order whose answer is awaited.
    pub pending: Option<Order>,
    pub last: Option<Attempt>,
    /// It was told to load a model and has not reported itself ready since.
    pub is_away: bool,
    pub withheld_since: Option<Moment>,
    pub withheld_told: bool,
}

impl Endpoint {
    pub fn new(now: Moment, boot: BootId, service: ServiceName) -> Self {
        Self {
            boot,
            service,
            is_present: true,
            is_fenced: false,
            report: None,
            question: None,
            ask_at: now,
            failed_questions: 0,
            pending: None,
            last: None,
            is_away: false,
            withheld_since: None,
            withheld_told: false,
        }
    }

    /// Starts over with another life of the engine. What is under way stays awaited.
    pub fn reboot(&mut self, now: Moment, boot: BootId, service: ServiceName) {
        let pending = self.pending.take();
        let question = self.question.take();
        *self = Self::new(now, boot, service);
        self.pending = pending;
        self.question = question;
        self.void_question();
    }

    /// Forgets what an earlier leadership knew.
    pub fn start_over(&mut self, now: Moment) {
        self.reboot(now, self.boot, self.service.clone());
    }

    fn void_question(&mut self) {
        if let Some(question) = &mut self.question {
            question.is_void = true;
        }
    }

    /// Nothing is under way to it.
    pub const fn is_idle(&self) -> bool {
        self.pending.is_none() && self.question.is_none()
    }

    /// Whether it may take no requests at present because of an order.
    pub fn is_changing(&self) -> bool {
        let loads = |order: &Order| matches!(order.action, Action::LoadModel { .. });
        let reported = |(report, _): &(Report, Moment)| report.role == Role::Loading;
        self.is_away
            || self.pending.as_ref().is_some_and(loads)
            || self.report.as_ref().is_some_and(reported)
    }

    /// Whether it reports to stand by and nothing is under way to change that.
    pub fn stands_by(&self) -> bool {
        let reported = |(report, _): &(Report, Moment)| report.role == Role::Standby;
        self.pending.is_none() && self.report.as_ref().is_some_and(reported)
    }

    /// Whether it reports to serve a model.
    pub fn serves(&self, model: &str) -> bool {
        let Some((report, _)) = &self.report else {
            return false;
        };
        let same = report
            .model
            .as_ref()
            .is_some_and(|held| held.as_str() == model);
        self.is_present && same && report.role == Role::Serving
    }
}
