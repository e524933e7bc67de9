//! Which hosts have which version in force.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{BootId, HostId, Moment, Version};

/// What is known of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Installation {
    /// The life of its daemon.
    pub boot: BootId,
    /// The version in force on it.
    pub version: Version,
    pub(crate) changed_at: Moment,
}

/// What is known of all hosts; only upwards within one life.
#[derive(Debug, Default)]
pub(crate) struct Installations {
    hosts: IndexMap<HostId, Installation>,
}

impl Installations {
    /// Takes word of a host; returns whether it is news.
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

    /// When the latest news came.
    pub(crate) fn last_change(&self) -> Option<Moment> {
        self.hosts
            .values()
            .map(|installation| installation.changed_at)
            .max()
    }

    /// What changed within `age`, of the hosts that `is_local` names.
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
