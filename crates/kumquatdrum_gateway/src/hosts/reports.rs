//! Control hosts' reports of live hosts.
//!
//! A control host first sends a complete listing and then only changes, which keeps the traffic low
//! with hundreds of hosts. A host reported as live stays live until a later report changes that.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{Checkpoint, HostId, Moment};

use crate::message::{Listing, Member};

/// The latest report of each control host.
#[derive(Debug, Default)]
pub struct Reports {
    reports: IndexMap<HostId, Report>,
    /// The control hosts in whose reports a host is live, so that its age takes as many look-ups as
    /// there are of these, at any number of control hosts.
    reporters: IndexMap<HostId, Vec<HostId>>,
}

#[derive(Debug)]
struct Report {
    version: Checkpoint,
    received: Moment,
}

impl Reports {
    /// Applies a control host's listing. Hosts heard from within `lost_after` count as live. Changes
    /// without an earlier listing are no report.
    pub fn apply(&mut self, now: Moment, from: &HostId, listing: &Listing, lost_after: Duration) {
        if listing.is_complete {
            self.remove_reporter(|reporter| reporter == from);
        } else if !self.reports.contains_key(from) {
            return;
        }
        for Member { host, age_ms } in &listing.hosts {
            let is_live = Duration::from_millis(*age_ms) <= lost_after;
            let reporters = self.reporters.entry(host.id.clone()).or_default();
            let place = reporters.iter().position(|reporter| reporter == from);
            match place {
                None if is_live => reporters.push(from.clone()),
                Some(place) if !is_live => {
                    reporters.swap_remove(place);
                }
                _ => {}
            }
        }
        let report = Report {
            version: listing.version,
            received: now,
        };
        self.reports.insert(from.clone(), report);
    }

    /// Returns whether no control host has reported. The first report is complete.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Returns the version of the last listing from a control host.
    pub fn version(&self, from: &HostId) -> Option<Checkpoint> {
        self.reports.get(from).map(|report| report.version)
    }

    /// Returns the time since the most recent report.
    pub fn newest_age(&self, now: Moment) -> Option<Duration> {
        let reports = self.reports.values();
        reports.map(|report| now - report.received).min()
    }

    /// Returns the time since the most recent report in which a host is live.
    pub fn age(&self, now: Moment, host: &HostId) -> Option<Duration> {
        let reporters = self.reporters.get(host)?.iter();
        let reports = reporters.filter_map(|reporter| self.reports.get(reporter));
        reports.map(|report| now - report.received).min()
    }

    /// Removes the reports of unknown control hosts.
    pub fn retain(&mut self, is_known: impl Fn(&HostId) -> bool) {
        let before = self.reports.len();
        self.reports.retain(|host, _| is_known(host));
        if self.reports.len() < before {
            self.remove_reporter(|reporter| !is_known(reporter));
        }
    }

    fn remove_reporter(&mut self, is_removed: impl Fn(&HostId) -> bool) {
        self.reporters.retain(|_, reporters| {
            reporters.retain(|reporter| !is_removed(reporter));
            !reporters.is_empty()
        });
    }
}
