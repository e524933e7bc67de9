//! Which groups of endpoints can't be reached at all.
//!
//! Answers load under a cut: where a data centre is cut off, each of its endpoints would have to be
//! tried before it is spared, and each try costs a caller a connection that does not come about.

use indexmap::IndexMap;
use kumquatdrum_types::Moment;

use crate::{Failure, Health};

/// A group of endpoints that are cut off together: a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DataCentreKey(pub u64);

/// What is known of the ways to groups.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    groups: IndexMap<DataCentreKey, Health>,
}

impl Reach {
    /// An endpoint of a group has answered.
    pub(crate) fn succeeded(&mut self, group: DataCentreKey) {
        self.groups.swap_remove(&group);
    }

    /// An endpoint of a group could not be reached. A group is spared after several in a row, as
    /// one endpoint alone may be gone.
    pub(crate) fn failed(&mut self, now: Moment, group: DataCentreKey, failure: Failure) {
        if failure == Failure::Unreachable {
            let health = self.groups.entry(group).or_default();
            health.failed(now, Failure::Broken);
        }
    }

    /// Whether to spare a group now.
    pub(crate) fn is_cut(&self, now: Moment, group: DataCentreKey) -> bool {
        let health = self.groups.get(&group);
        health.is_some_and(|health| health.is_ejected(now))
    }
}
