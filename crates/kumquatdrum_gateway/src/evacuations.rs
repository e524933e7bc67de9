//! The newest evacuations known to this host, and what other hosts report about theirs.

use std::sync::Arc;

use indexmap::IndexMap;
use kumquatdrum_routes::Evacuations;
use kumquatdrum_types::{DataCentre, HostId};
use parking_lot::{Mutex, RwLock};
use serde::{Deserialize, Serialize};
use slog::info;

use crate::suspension::Suspension;

/// What a host reports about evacuations in hellos and welcomes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The newest version that the sender knows.
    pub version: u64,
    /// The newest state, if the receiver is known to lack it.
    pub newest: Option<Box<Evacuations>>,
    /// Whether the sender does not itself wait for news after a suspension.
    pub is_current: bool,
    /// The number of the sender's requests that run in each evacuated data centre.
    pub running: Vec<(DataCentre, u32)>,
}

/// What a host has reported to a control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The host.
    pub host: HostId,
    /// The newest version that it knows.
    pub version: u64,
    /// The number of its requests that run in each evacuated data centre.
    pub running: Vec<(DataCentre, u32)>,
}

/// What is known of another host.
#[derive(Debug, Clone, Default)]
struct Known {
    version: u64,
    running: Vec<(DataCentre, u32)>,
}

/// The evacuations known to this host. The highest version wins.
#[derive(Debug)]
pub struct Store {
    current: RwLock<Arc<Evacuations>>,
    /// The number of requests that run on this host's connections to the endpoints of each data
    /// centre.
    running: Mutex<IndexMap<DataCentre, u32>>,
    hosts: Mutex<IndexMap<HostId, Known>>,
    suspension: Suspension,
    logger: slog::Logger,
}

/// Counts a request as running in a data centre until it is dropped.
#[derive(Debug)]
pub struct Running {
    store: Arc<Store>,
    data_centre: DataCentre,
}

impl Store {
    /// Creates a store without evacuations.
    pub fn new(logger: slog::Logger) -> Self {
        Self {
            current: RwLock::default(),
            running: Mutex::default(),
            hosts: Mutex::default(),
            suspension: Suspension::default(),
            logger,
        }
    }

    /// Returns the newest state.
    pub fn current(&self) -> Arc<Evacuations> {
        self.current.read().clone()
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_active(&self, data_centre: &DataCentre) -> bool {
        self.current.read().is_active(data_centre)
    }

    /// Adopts a state if its version is higher than that of the current one, which is then returned.
    pub fn adopt(&self, newer: &Evacuations, from: &str) -> Option<Arc<Evacuations>> {
        let mut current = self.current.write();
        if newer.version() <= current.version() {
            return None;
        }
        let before = std::mem::replace(&mut *current, Arc::new(newer.without_audit()));
        drop(current);
        let active: Vec<&str> = newer.active().map(DataCentre::as_str).collect();
        info!(self.logger, "evacuations_adopted"; "event" => "evacuations_adopted",
            "version" => newer.version(), "before" => before.version(),
            "active" => active.join(","), "from" => from);
        Some(before)
    }

    /// Returns what this host reports to one that is known to have a version, or to have reported
    /// none.
    pub fn report_to(&self, version: Option<u64>) -> Report {
        let current = self.current();
        let is_behind = version.unwrap_or(0) < current.version();
        Report {
            version: current.version(),
            newest: is_behind.then(|| Box::new((*current).clone())),
            is_current: !self.suspension.awaits_news(),
            running: self.running_in(&current),
        }
    }

    /// Returns the version that another host has reported.
    pub fn version_of(&self, host: &HostId) -> Option<u64> {
        let hosts = self.hosts.lock();
        hosts.get(host).map(|known| known.version)
    }

    /// Records another host's report.
    pub fn record_report(&self, host: &HostId, report: &Report) {
        let known = Known {
            version: report.version,
            running: report.running.clone(),
        };
        self.hosts.lock().insert(host.clone(), known);
    }

    /// Returns what hosts have reported to this one.
    pub fn progress(&self) -> Vec<Progress> {
        let hosts = self.hosts.lock();
        let progress = hosts.iter().map(|(host, known)| Progress {
            host: host.clone(),
            version: known.version,
            running: known.running.clone(),
        });
        progress.collect()
    }

    /// Merges what hosts have reported to another control host. Each reports to a few.
    pub fn merge_progress(&self, progress: Vec<Progress>) {
        let mut hosts = self.hosts.lock();
        for Progress {
            host,
            version,
            running,
        } in progress
        {
            let known = hosts.entry(host).or_default();
            if version >= known.version {
                *known = Known { version, running };
            }
        }
    }

    /// Records that another host has a version.
    pub fn record_version(&self, host: &HostId, version: u64) {
        let mut hosts = self.hosts.lock();
        let known = hosts.entry(host.clone()).or_default();
        known.version = known.version.max(version);
    }

    /// Forgets the reports of other hosts than these.
    pub fn retain_hosts(&self, is_known: impl Fn(&HostId) -> bool) {
        self.hosts.lock().retain(|host, _| is_known(host));
    }

    /// Returns the number of requests that run in each evacuated data centre: this host's and those
    /// that other hosts reported, as far as they are live.
    pub fn count_running(&self, live: &[HostId]) -> IndexMap<DataCentre, u32> {
        let current = self.current();
        let local = self.running_in(&current);
        let hosts = self.hosts.lock();
        let reported = live.iter().filter_map(|host| hosts.get(host));
        let reported = reported.flat_map(|known| known.running.clone());
        let mut sums = IndexMap::new();
        for (data_centre, count) in local.into_iter().chain(reported) {
            *sums.entry(data_centre).or_insert(0) += count;
        }
        sums
    }

    /// Returns the number of this host's requests that run in evacuated data centres.
    pub fn count_local(&self) -> u32 {
        let running = self.running_in(&self.current());
        running.iter().map(|(_, count)| count).sum()
    }

    /// Counts a request as running in a data centre until the guard is dropped.
    pub fn begin(self: &Arc<Self>, data_centre: &DataCentre) -> Running {
        let mut running = self.running.lock();
        *running.entry(data_centre.clone()).or_insert(0) += 1;
        Running {
            store: self.clone(),
            data_centre: data_centre.clone(),
        }
    }

    /// Returns the detection of suspensions of this host.
    pub const fn suspension(&self) -> &Suspension {
        &self.suspension
    }

    fn running_in(&self, evacuations: &Evacuations) -> Vec<(DataCentre, u32)> {
        let running = self.running.lock();
        let evacuated = evacuations.active().filter_map(|data_centre| {
            let count = running.get(data_centre).copied()?;
            Some((data_centre.clone(), count))
        });
        evacuated.collect()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut running = self.store.running.lock();
        if let Some(count) = running.get_mut(&self.data_centre) {
            *count = count.saturating_sub(1);
        }
    }
}
