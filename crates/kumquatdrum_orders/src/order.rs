//! Orders and reports, as they travel to and from engines.

use std::fmt;

use kumquatdrum_types::{BootId, EndpointId, ModelName, Moment};
use serde::{Deserialize, Serialize};

/// Names an order over all leaders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderId {
    /// The fencing number: the term of the leader that gives it.
    pub fencing: u64,
    /// Its place among the leader's orders.
    pub sequence: u64,
}

/// What an engine is to do. Doing it again changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Only take note of the fencing number.
    Fence,
    /// Finish what runs, then load these weights in place of the loaded ones.
    LoadModel {
        /// The model.
        model: ModelName,
        /// The version of its weights.
        version: String,
    },
    /// Load an adapter, in place of another version of it.
    LoadAdapter(Adapter),
    /// Unload an adapter.
    UnloadAdapter {
        /// Its name.
        name: String,
    },
    /// Change the role.
    ChangeRole {
        /// The new one.
        role: Role,
    },
}

/// An adapter of the loaded model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: String,
}

/// What an engine does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Takes requests.
    Serving,
    /// Has weights but takes no requests.
    Standby,
    /// Loads weights and takes no requests meanwhile.
    Loading,
}

/// An order to one life of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Its name.
    pub id: OrderId,
    /// To whom.
    pub endpoint: EndpointId,
    /// To which life; another one refuses it.
    pub boot: BootId,
    /// What to do.
    pub action: Action,
    /// It must not be sent after this moment of the leader's clock; [`Moment::NEVER`] where the
    /// engine itself refuses old fencing numbers.
    pub send_until: Moment,
}

/// What an engine says of what it has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The life that speaks.
    pub boot: BootId,
    /// The loaded model; none before the first load.
    pub model: Option<ModelName>,
    /// The version of its weights.
    pub version: Option<String>,
    /// The loaded adapters.
    pub adapters: Vec<Adapter>,
    /// What it does.
    pub role: Role,
}

impl Order {
    /// Whether it may still be sent. The shell asks right before it hands the bytes over.
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
    /// Whether it reads from the weight store.
    pub(crate) const fn loads(&self) -> bool {
        matches!(self, Self::LoadModel { .. } | Self::LoadAdapter(_))
    }

    /// Whether a report shows its effect.
    pub(crate) fn is_done(&self, report: &Report) -> bool {
        match self {
            // Reports don't show fencing numbers; the answer tells.
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
