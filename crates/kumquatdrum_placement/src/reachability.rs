//! Detects data centres that cannot be reached.
//!
//! Without it, each endpoint of an unreachable data centre would have to fail a request before it
//! is ejected.

use indexmap::IndexMap;
use kumquatdrum_types::Moment;
use serde::{Deserialize, Serialize};

use crate::{Failure, Health};

/// Identifies a data centre, whose endpoints become unreachable together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DataCentreKey(pub u64);

/// Tracks failures to reach each data centre.
#[derive(Debug, Default)]
pub(crate) struct Reachability {
    data_centres: IndexMap<DataCentreKey, Health>,
}

impl Reachability {
    /// Records a response from a data centre.
    pub(crate) fn record_success(&mut self, data_centre: DataCentreKey) {
        self.data_centres.swap_remove(&data_centre);
    }

    /// Records a failure. Only unreachable endpoints count, and only several in a row, because a
    /// single endpoint may be down.
    pub(crate) fn record_failure(
        &mut self,
        now: Moment,
        data_centre: DataCentreKey,
        failure: Failure,
    ) {
        if failure == Failure::Unreachable {
            let health = self.data_centres.entry(data_centre).or_default();
            health.record_failure(now, Failure::Broken);
        }
    }

    /// Returns whether a data centre is treated as unreachable at `now`.
    pub(crate) fn is_unreachable(&self, now: Moment, data_centre: DataCentreKey) -> bool {
        let health = self.data_centres.get(&data_centre);
        health.is_some_and(|health| health.is_ejected(now))
    }
}
