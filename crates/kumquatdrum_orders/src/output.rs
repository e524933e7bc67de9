//! What the reconciler wants done.

use std::fmt;

use kumquatdrum_types::{EndpointId, Moment};

use crate::{Action, Order, OrderId};

/// What the shell is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send an order, once, if [`Order::can_be_sent`] right before, and tell how it went.
    Send(Order),
    /// Ask an engine for its report.
    Probe(EndpointId),
    /// Write down what happened.
    Audit(Record),
    /// Tick at this moment at the latest.
    Wake(Moment),
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Handed to the shell.
    Sent,
    /// The engine's report shows its effect.
    Done,
    /// Not done; the reason says why.
    Refused(String),
    /// Not known; the report will tell.
    Lost(String),
    /// Not sent, as the lease had run out.
    NotSent,
    /// Not given, as it would take the model's last serving replica away.
    Withheld,
    /// Another leader has given orders; this one gives no more in its term.
    SteppedDown(u64),
}

/// One line of what happened to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// What.
    pub event: Event,
    /// To whom.
    pub endpoint: EndpointId,
    /// Which order, where one was given.
    pub order: Option<OrderId>,
    /// What it orders.
    pub action: Action,
}

impl Event {
    /// Its name in logs.
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

    /// Why, in words.
    pub fn reason(&self) -> String {
        match self {
            Self::Sent | Self::Done => String::new(),
            Self::Refused(reason) | Self::Lost(reason) => reason.clone(),
            Self::NotSent => "the lease has run out".to_owned(),
            Self::Withheld => "it is the model's last serving replica".to_owned(),
            Self::SteppedDown(current) => format!("the engine knows fencing number {current}"),
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
