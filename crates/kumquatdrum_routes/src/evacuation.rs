//! The replicated state of evacuations: data centres to whose endpoints nothing is sent.

use std::collections::VecDeque;

use indexmap::IndexMap;
use kumquatdrum_types::DataCentre;
use serde::{Deserialize, Serialize};

/// An operator's order, proposed with the state that it was based on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether the data centre is to be evacuated.
    pub is_active: bool,
    /// The value of [`Evacuations::base`] when the order was handled.
    pub base: u64,
    /// The operator's address.
    pub by: String,
    /// The time of the order in Unix milliseconds.
    pub at_ms: u64,
}

/// The state of one data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// Whether nothing may be sent to the endpoints.
    pub is_active: bool,
    /// The number of applied orders, including those that changed nothing.
    pub orders: u64,
    /// The number of changes.
    pub changes: u64,
    /// The time of the last change in Unix milliseconds.
    pub changed_ms: u64,
}

/// A change that was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The version after the change.
    pub version: u64,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Whether the evacuation started; otherwise it ended.
    pub is_active: bool,
    /// The operator's address.
    pub by: String,
    /// The time of the order in Unix milliseconds.
    pub at_ms: u64,
}

/// What became of a [`Change`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The evacuation started or ended.
    Changed,
    /// The state was already as ordered.
    Unchanged,
    /// Another order was applied since the base was read, so this one was not.
    Stale,
}

impl Outcome {
    /// Returns the outcome's name as logged.
    ///
    /// ```
    /// assert_eq!(kumquatdrum_routes::evacuation::Outcome::Stale.name(), "stale");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Changed => "changed",
            Self::Unchanged => "unchanged",
            Self::Stale => "stale",
        }
    }
}

/// The evacuations of all data centres.
///
/// ```
/// use kumquatdrum_routes::evacuation::{Change, Evacuations, Outcome};
/// use kumquatdrum_types::DataCentre;
///
/// let mut evacuations = Evacuations::default();
/// let data_centre = DataCentre::new("ams-1");
/// let change = Change {
///     base: evacuations.base(&data_centre),
///     data_centre: data_centre.clone(),
///     is_active: true,
///     by: "10.0.0.9".to_owned(),
///     at_ms: 1_790_000_000_000,
/// };
/// assert_eq!(evacuations.apply(&change), Outcome::Changed);
/// assert!(evacuations.is_active(&data_centre));
/// assert_eq!(evacuations.apply(&change), Outcome::Stale);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    version: u64,
    data_centres: IndexMap<DataCentre, Evacuation>,
    audit: VecDeque<Entry>,
}

impl Evacuations {
    /// The number of changes that are kept for audits.
    pub const MAX_AUDIT_ENTRIES: usize = 1_024;

    /// Applies an order unless another one was applied since its base was read.
    ///
    /// An order that changes nothing still invalidates others with the same base. An earlier order
    /// that is delayed could otherwise be applied after it.
    pub fn apply(&mut self, change: &Change) -> Outcome {
        if change.base != self.base(&change.data_centre) {
            return Outcome::Stale;
        }
        let state = self.data_centres.entry(change.data_centre.clone());
        let state = state.or_default();
        state.orders += 1;
        if state.is_active == change.is_active {
            return Outcome::Unchanged;
        }
        state.is_active = change.is_active;
        state.changes += 1;
        state.changed_ms = change.at_ms;
        self.version += 1;
        if self.audit.len() >= Self::MAX_AUDIT_ENTRIES {
            self.audit.pop_front();
        }
        self.audit.push_back(Entry {
            version: self.version,
            data_centre: change.data_centre.clone(),
            is_active: change.is_active,
            by: change.by.clone(),
            at_ms: change.at_ms,
        });
        Outcome::Changed
    }

    /// Returns the total number of changes.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the base for the next order to a data centre.
    pub fn base(&self, data_centre: &DataCentre) -> u64 {
        let state = self.data_centres.get(data_centre);
        state.map_or(0, |state| state.orders)
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_active(&self, data_centre: &DataCentre) -> bool {
        let state = self.data_centres.get(data_centre);
        state.is_some_and(|state| state.is_active)
    }

    /// Returns the data centres that were ever evacuated, each with its state.
    pub fn data_centres(&self) -> impl Iterator<Item = (&DataCentre, &Evacuation)> {
        self.data_centres.iter()
    }

    /// Returns the evacuated data centres.
    pub fn active(&self) -> impl Iterator<Item = &DataCentre> {
        let active = self
            .data_centres
            .iter()
            .filter(|(_, state)| state.is_active);
        active.map(|(data_centre, _)| data_centre)
    }

    /// Returns the data centres whose evacuation ended since an earlier state, each with the time of the
    /// end in Unix milliseconds.
    pub fn ended_since<'a>(
        &'a self,
        earlier: &'a Self,
    ) -> impl Iterator<Item = (&'a DataCentre, u64)> {
        self.data_centres.iter().filter_map(|(data_centre, state)| {
            let known = earlier.data_centres.get(data_centre);
            let changes = known.map_or(0, |known| known.changes);
            (!state.is_active && state.changes > changes).then_some((data_centre, state.changed_ms))
        })
    }

    /// Returns the last changes, oldest first.
    pub fn audit(&self) -> impl Iterator<Item = &Entry> {
        self.audit.iter()
    }

    /// Returns the state without the audit entries, as it is sent to hosts.
    #[must_use]
    pub fn without_audit(&self) -> Self {
        Self {
            version: self.version,
            data_centres: self.data_centres.clone(),
            audit: VecDeque::new(),
        }
    }
}
