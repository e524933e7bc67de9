//! Outputs of the reconciler.

use std::fmt;

use kumquatdrum_types::{EndpointId, Moment};

use crate::{Action, Order, OrderId};

/// Work for the host to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send an order once if [`Order::can_be_sent`] still holds, and report the outcome.
    Send(Order),
    /// Request a report from an engine.
    Probe(EndpointId),
    /// Write a record to the audit log.
    Audit(Record),
    /// Send the next tick at this time at the latest.
    Wake(Moment),
}

/// A step in the life cycle of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The order was handed to the host for sending.
    Sent,
    /// A report shows the order's effect.
    Done,
    /// The engine refused the order for this reason.
    Refused(String),
    /// The outcome is unknown until the next report.
    Lost(String),
    /// The order was not sent because the lease had expired.
    NotSent,
    /// No order was issued because it would take down the model's last serving replica.
    Withheld,
    /// An engine has seen this higher fencing token; the leader issues no more orders in its term.
    SteppedDown(u64),
}

/// An entry of the audit log about one order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The step in the order's life cycle.
    pub event: Event,
    /// The engine that receives the order.
    pub endpoint: EndpointId,
    /// The order's identifier; `None` if no order was issued.
    pub order: Option<OrderId>,
    /// The ordered change.
    pub action: Action,
}

impl Event {
    /// Returns the event's name in logs.
    ///
    /// ```
    /// assert_eq!(kumquatdrum_orders::Event::Sent.name(), "order_sent");
    /// ```
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Sent => "order_sent",
            Self::Done => "order_done",
            Self::Refused(_) => "order_refused",
            Self::Lost(_) => "order_lost",
            Self::NotSent => "order_not_sent",
            Self::Withheld => "order_withheld",
            Self::SteppedDown(_) => "orders_stepped_down",
        }
    }

    /// Returns the reason for the log; empty if the event needs none.
    pub fn reason(&self) -> String {
        match self {
            Self::Sent | Self::Done => String::new(),
            Self::Refused(reason) | Self::Lost(reason) => reason.clone(),
            Self::NotSent => "the lease has expired".to_owned(),
            Self::Withheld => "the engine is the model's last serving replica".to_owned(),
            Self::SteppedDown(current) => {
                format!("the engine has seen fencing token {current}")
            }
        }
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, endpoint, action) = (self.event.name(), &self.endpoint, &self.action);
        write!(f, "event={name} endpoint={endpoint} action=\"{action}\"")?;
        if let Some(order) = self.order {
            write!(f, " order={order}")?;
        }
        write!(f, " reason={:?}", self.event.reason())
    }
}
