//! Which hosts have which version in force.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{BootId, HostId, Moment, Version};

/// What is known of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holding {
    /// The life of its daemon.
    pub boot: BootId,
    /// The version in force on it.
    pub version: Version,
    pub(crate) changed: Moment,
}

/// What is known of all hosts; only upwards within one life.
#[derive(Debug, Default)]
pub(crate) struct Holdings {
    hosts: IndexMap<HostId, Holding>,
}

impl Holdings {
    /// Takes word of a host; returns whether it is news.
    pub(crate) fn take(
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
        let holding = Holding {
            boot,
            version,
            changed: now,
        };
        self.hosts.insert(host.clone(), holding);
        true
    }

    pub(crate) fn get(&self, host: &HostId) -> Option<&Holding> {
        self.hosts.get(host)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&HostId, &Holding)> {
        self.hosts.iter()
    }

    /// When the latest news came.
    pub(crate) fn last_change(&self) -> Option<Moment> {
        self.hosts.values().map(|holding| holding.changed).max()
    }

    /// What changed within `age`, of the hosts that `is_own` names.
    pub(crate) fn news(
        &self,
        now: Moment,
        age: Duration,
        is_own: impl Fn(&HostId) -> bool,
    ) -> Vec<(HostId, BootId, Version)> {
        self.hosts
            .iter()
            .filter(|(host, holding)| now - holding.changed <= age && is_own(host))
            .map(|(host, holding)| (host.clone(), holding.boot, holding.version))
            .collect()
    }
}
