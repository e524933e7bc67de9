//! Versions in force on all hosts.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{BootId, HostId, Moment, Version};

/// Known version of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Installation {
    /// Incarnation of the host's daemon.
    pub boot: BootId,
    /// Version in force on the host.
    pub version: Version,
    pub(crate) changed_at: Moment,
}

/// Known versions of all hosts, which never decrease within an incarnation.
#[derive(Debug, Default)]
pub(crate) struct Installations {
    hosts: IndexMap<HostId, Installation>,
}

impl Installations {
    /// Updates the version of a host and returns whether it changed.
    pub(crate) fn update(
        &mut self,
        now: Moment,
        host: &HostId,
        boot: BootId,
        version: Version,
    ) -> bool {
        let known = self.hosts.get(host);
        if known.is_some_and(|known| (known.boot, known.version) >= (boot, version)) {
            return false;
        }
        let installation = Installation {
            boot,
            version,
            changed_at: now,
        };
        self.hosts.insert(host.clone(), installation);
        true
    }

    pub(crate) fn get(&self, host: &HostId) -> Option<&Installation> {
        self.hosts.get(host)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&HostId, &Installation)> {
        self.hosts.iter()
    }

    /// Returns the time of the latest change.
    pub(crate) fn last_change(&self) -> Option<Moment> {
        self.hosts
            .values()
            .map(|installation| installation.changed_at)
            .max()
    }

    /// Returns the changes within the last `age` on hosts that satisfy `is_local`.
    pub(crate) fn recent_changes(
        &self,
        now: Moment,
        age: Duration,
        is_local: impl Fn(&HostId) -> bool,
    ) -> Vec<(HostId, BootId, Version)> {
        self.hosts
            .iter()
            .filter(|(host, installation)| now - installation.changed_at <= age && is_local(host))
            .map(|(host, installation)| (host.clone(), installation.boot, installation.version))
            .collect()
    }
}
