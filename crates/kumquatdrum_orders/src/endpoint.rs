//! The reconciler's state of one engine.

use kumquatdrum_types::{BootId, Moment, ServiceName};

use crate::{Action, Order, Report, Role};

/// The latest order to an engine and the number of consecutive attempts at it.
#[derive(Debug)]
pub struct Attempt {
    pub order: Order,
    pub count: u32,
    pub retry_at: Moment,
    pub is_done: bool,
}

/// A request for a report that is in flight.
#[derive(Debug)]
pub struct Probe {
    pub sent_at: Moment,
    /// Sent before this term or to an earlier incarnation of the engine; the report is discarded.
    pub is_stale: bool,
}

/// The state of one engine.
#[derive(Debug)]
pub struct Endpoint {
    pub boot: BootId,
    pub service: ServiceName,
    pub is_present: bool,
    /// Whether the engine has accepted this leader's fencing token.
    pub is_fenced: bool,
    /// The last report and the time at which its probe was sent.
    pub report: Option<(Report, Moment)>,
    pub probe: Option<Probe>,
    pub next_probe_at: Moment,
    pub failed_probes: u32,
    /// The order in flight.
    pub pending_order: Option<Order>,
    pub last_attempt: Option<Attempt>,
    /// Whether a model load was ordered and no later report has shown its end.
    pub is_load_ordered: bool,
    pub withheld_since: Option<Moment>,
    pub is_withheld_logged: bool,
}

impl Endpoint {
    pub fn new(now: Moment, boot: BootId, service: ServiceName) -> Self {
        Self {
            boot,
            service,
            is_present: true,
            is_fenced: false,
            report: None,
            probe: None,
            next_probe_at: now,
            failed_probes: 0,
            pending_order: None,
            last_attempt: None,
            is_load_ordered: false,
            withheld_since: None,
            is_withheld_logged: false,
        }
    }

    /// Resets the state for a new incarnation of the engine, but keeps the order and probe in
    /// flight.
    pub fn reset_for_boot(&mut self, now: Moment, boot: BootId, service: ServiceName) {
        let pending = self.pending_order.take();
        let probe = self.probe.take();
        *self = Self::new(now, boot, service);
        self.pending_order = pending;
        self.probe = probe;
        self.mark_probe_stale();
    }

    /// Resets the state for a new term, but keeps the order and probe in flight.
    pub fn reset(&mut self, now: Moment) {
        self.reset_for_boot(now, self.boot, self.service.clone());
    }

    fn mark_probe_stale(&mut self) {
        if let Some(probe) = &mut self.probe {
            probe.is_stale = true;
        }
    }

    /// Returns whether no order and no probe is in flight.
    pub const fn is_idle(&self) -> bool {
        self.pending_order.is_none() && self.probe.is_none()
    }

    /// Returns whether the engine may refuse requests because of a model load.
    pub fn is_loading(&self) -> bool {
        let loads = |order: &Order| matches!(order.action, Action::LoadModel { .. });
        let reported = |(report, _): &(Report, Moment)| report.role == Role::Loading;
        self.is_load_ordered
            || self.pending_order.as_ref().is_some_and(loads)
            || self.report.as_ref().is_some_and(reported)
    }

    /// Returns whether the last report shows the standby role and no order is in flight.
    pub fn is_standby(&self) -> bool {
        let reported = |(report, _): &(Report, Moment)| report.role == Role::Standby;
        self.pending_order.is_none() && self.report.as_ref().is_some_and(reported)
    }

    /// Returns whether the last report shows that the engine serves `model`.
    pub fn is_serving(&self, model: &str) -> bool {
        let Some((report, _)) = &self.report else {
            return false;
        };
        let is_same = report
            .model
            .as_ref()
            .is_some_and(|held| held.as_str() == model);
        self.is_present && is_same && report.role == Role::Serving
    }
}
