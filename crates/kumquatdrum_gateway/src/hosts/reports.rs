//! Control hosts' reports of live hosts.
//!
//! A control host first sends a complete listing and then only changes, which keeps the traffic low
//! with hundreds of hosts. A host reported as live stays live until a later report changes that.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::{Checkpoint, HostId, Moment};

use crate::message::{Listing, Member};

/// The latest report of each control host.
#[derive(Debug, Default)]
pub struct Reports {
    reports: IndexMap<HostId, Report>,
}

#[derive(Debug)]
struct Report {
    version: Checkpoint,
    received: Moment,
    live: IndexSet<HostId>,
}

impl Reports {
    /// Applies a control host's listing. Hosts heard from within `lost_after` count as live.
    pub fn apply(&mut self, now: Moment, from: &HostId, listing: &Listing, lost_after: Duration) {
        let report = self.reports.entry(from.clone());
        let report = report.or_insert_with(|| Report {
            version: listing.version,
            received: now,
            live: IndexSet::new(),
        });
        if listing.is_complete {
            report.live.clear();
        }
        for Member { host, age_ms } in &listing.hosts {
            if Duration::from_millis(*age_ms) <= lost_after {
                report.live.insert(host.id.clone());
            } else {
                report.live.swap_remove(&host.id);
            }
        }
        report.version = listing.version;
        report.received = now;
    }

    /// Returns whether no control host has reported. The first report is complete.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns the version of the last listing from a control host.
    pub fn version(&self, from: &HostId) -> Option<Checkpoint> {
        self.reports.get(from).map(|report| report.version)
    }

    /// Returns the time since the most recent report in which a host is live.
    pub fn age(&self, now: Moment, host: &HostId) -> Option<Duration> {
        let reports = self.reports.values();
        let live = reports.filter(|report| report.live.contains(host));
        live.map(|report| now - report.received).min()
    }

    /// Removes the reports of unknown control hosts.
    pub fn retain(&mut self, is_known: impl Fn(&HostId) -> bool) {
        self.reports.retain(|host, _| is_known(host));
    }
}
