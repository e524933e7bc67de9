//! Suspects engines that could not be reached, by the evidence of all hosts.
//!
//! An engine that has crashed or is cut off fails each prompt whose prefill it shares. It is avoided
//! until it has announced itself since the failure. Load: long prompts while engines crash, and while
//! a data centre is cut off.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::Moment;

use crate::DataCentreKey;

/// The shortest suspicion. An announcement that was on its way at the failure does not end it.
const MIN_SUSPICION: Duration = Duration::from_millis(400);
/// The longest suspicion, if no announcement arrives. A host without announcements cannot tell
/// whether an engine still runs.
const MAX_SUSPICION: Duration = Duration::from_secs(5);

/// The engines of a data centre that must have failed for it to appear cut off; fewer may have
/// crashed.
const MIN_FAILED_ENGINES: usize = 2;

/// The last failure to reach an engine, and its last announcement.
#[derive(Debug, Default)]
pub(crate) struct Suspicion {
    failed_at: Option<Moment>,
    announced_at: Moment,
}

impl Suspicion {
    /// Records that the engine could not be reached. Returns whether it was not suspected before.
    pub(crate) fn record_failure(&mut self, now: Moment) -> bool {
        let is_new = !self.is_active(now);
        self.failed_at = Some(now);
        is_new
    }

    /// Records an announcement of the engine.
    pub(crate) fn record_announcement(&mut self, at: Moment) {
        self.announced_at = self.announced_at.max(at);
    }

    /// Forgets the last failure.
    pub(crate) fn forget_failure(&mut self) {
        self.failed_at = None;
    }

    /// Returns whether the engine is suspected at `now`.
    pub(crate) fn is_active(&self, now: Moment) -> bool {
        let Some(failed_at) = self.failed_at else {
            return false;
        };
        let age = now - failed_at;
        age < MIN_SUSPICION || (age < MAX_SUSPICION && self.announced_at <= failed_at)
    }

    /// Returns whether the engine failed lately, and after `moment`.
    fn has_failed_since(&self, now: Moment, moment: Moment) -> bool {
        let is_recent = |failed_at: Moment| now - failed_at < MAX_SUSPICION && failed_at > moment;
        self.failed_at.is_some_and(is_recent)
    }
}

/// Returns the remote data centres that appear to be cut off: several of their engines could not be
/// reached, and none has announced itself since.
pub(crate) fn cut_off<'a>(
    now: Moment,
    engines: impl Iterator<Item = (DataCentreKey, &'a Suspicion)> + Clone,
    local_data_centre: Option<DataCentreKey>,
) -> IndexSet<DataCentreKey> {
    let is_remote = |data_centre| Some(data_centre) != local_data_centre;
    let remote = engines.filter(|(data_centre, _)| is_remote(*data_centre));
    if !remote.clone().any(|(_, engine)| engine.is_active(now)) {
        return IndexSet::new();
    }
    let mut data_centres: IndexMap<DataCentreKey, Vec<&Suspicion>> = IndexMap::new();
    for (data_centre, engine) in remote {
        data_centres.entry(data_centre).or_default().push(engine);
    }
    data_centres.retain(|_, engines| {
        let latest = engines.iter().map(|engine| engine.announced_at).max();
        let latest = latest.unwrap_or_default();
        let failed = engines
            .iter()
            .filter(|engine| engine.has_failed_since(now, latest));
        failed.count() >= MIN_FAILED_ENGINES
    });
    data_centres.into_keys().collect()
}
