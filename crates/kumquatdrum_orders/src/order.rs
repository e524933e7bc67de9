//! Orders to engines and reports from engines.

use std::fmt;

use kumquatdrum_types::{BootId, EndpointId, ModelName, Moment};
use serde::{Deserialize, Serialize};

/// Identifies an order among those of all leaders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderId {
    /// The fencing token: the term of the leader that issues the order.
    pub fencing: u64,
    /// The position among the leader's orders.
    pub sequence: u64,
}

/// A change that an engine is ordered to make. All actions are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Record the fencing token and do nothing else.
    Fence,
    /// Finish running requests, then replace the loaded weights by these.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version of the weights.
        version: String,
    },
    /// Load an adapter, replacing any other version of it.
    LoadAdapter(Adapter),
    /// Unload an adapter.
    UnloadAdapter {
        /// The adapter's name.
        name: String,
    },
    /// Change the role.
    ChangeRole {
        /// The new role.
        role: Role,
    },
}

/// An adapter of the loaded model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// The adapter's name.
    pub name: String,
    /// The adapter's version.
    pub version: String,
}

/// Whether an engine takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The engine takes requests.
    Serving,
    /// Weights are loaded, but the engine takes no requests.
    Standby,
    /// The engine loads weights and takes no requests.
    Loading,
}

/// An order to one incarnation of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The order's identifier.
    pub id: OrderId,
    /// The engine that receives the order.
    pub endpoint: EndpointId,
    /// The incarnation that the order is for; any other incarnation refuses it.
    pub boot: BootId,
    /// The ordered change.
    pub action: Action,
    /// The time on the leader's clock after which the order must not be sent; [`Moment::NEVER`]
    /// if the engine checks fencing tokens.
    pub send_until: Moment,
}

/// An engine's report of its loaded model, adapters and role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The engine's incarnation.
    pub boot: BootId,
    /// The loaded model; `None` before the first load.
    pub model: Option<ModelName>,
    /// The version of the loaded weights.
    pub version: Option<String>,
    /// The loaded adapters.
    pub adapters: Vec<Adapter>,
    /// The engine's role.
    pub role: Role,
}

impl Order {
    /// Returns whether the order can still be sent. Checked right before the bytes are written.
    ///
    /// ```
    /// use kumquatdrum_orders::{Action, Order, OrderId};
    /// use kumquatdrum_types::{BootId, Moment};
    /// let order = Order {
    ///     id: OrderId { fencing: 7, sequence: 1 },
    ///     endpoint: "e1".into(),
    ///     boot: BootId(3),
    ///     action: Action::Fence,
    ///     send_until: Moment::from_millis(500),
    /// };
    /// assert!(order.can_be_sent(Moment::from_millis(500)));
    /// assert!(!order.can_be_sent(Moment::from_millis(501)));
    /// ```
    pub fn can_be_sent(&self, now: Moment) -> bool {
        now <= self.send_until
    }
}

impl Action {
    /// Returns whether the action reads from the weight store.
    pub(crate) const fn is_load(&self) -> bool {
        matches!(self, Self::LoadModel { .. } | Self::LoadAdapter(_))
    }

    /// Returns whether a report shows the action's effect.
    pub(crate) fn is_done(&self, report: &Report) -> bool {
        match self {
            // Reports hold no fencing token; the order's answer confirms it.
            Self::Fence => false,
            Self::LoadModel { model, version } => {
                report.role != Role::Loading
                    && report.model.as_ref() == Some(model)
                    && report.version.as_ref() == Some(version)
            }
            Self::LoadAdapter(adapter) => report.adapters.contains(adapter),
            Self::UnloadAdapter { name } => report.adapters.iter().all(|held| held.name != *name),
            Self::ChangeRole { role } => report.role == *role,
        }
    }
}

impl fmt::Display for OrderId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.fencing, self.sequence)
    }
}

impl fmt::Display for Action {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fence => f.write_str("fence"),
            Self::LoadModel { model, version } => write!(f, "load_model {model} {version}"),
            Self::LoadAdapter(adapter) => {
                write!(f, "load_adapter {} {}", adapter.name, adapter.version)
            }
            Self::UnloadAdapter { name } => write!(f, "unload_adapter {name}"),
            Self::ChangeRole { role } => write!(f, "change_role {role:?}"),
        }
    }
}
