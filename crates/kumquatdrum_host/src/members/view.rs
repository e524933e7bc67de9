//! What is known of hosts and endpoints.

use std::time::Duration;

use kumquatdrum_membership::Condition;
use kumquatdrum_process::clock::unix_ms;
use kumquatdrum_types::{BootId, DataCentre, EndpointId, HostId, hash};

use super::Members;

/// The maximum number of hosts that act as coordinators, which bounds the number of messages.
const MAX_COORDINATORS: usize = 9;

impl Members {
    /// Returns the hosts that aren't known to be dead, including this one.
    pub fn live_hosts(&self) -> Vec<HostId> {
        let state = self.state.lock();
        let others = state.membership.hosts();
        let live = others.filter(|view| view.condition != Condition::Dead);
        let live = live.map(|view| view.member.host.clone());
        live.chain([self.local.host.clone()]).collect()
    }

    /// Returns the hosts through which all hosts exchange state: the first live ones by name.
    pub fn coordinators(&self) -> Vec<HostId> {
        let mut live = self.live_hosts();
        live.sort();
        live.truncate(MAX_COORDINATORS);
        live
    }

    /// Returns whether this host is the one that rendezvous hashing selects for a key, among the live
    /// hosts.
    pub fn is_first_by_hash(&self, key: u64) -> bool {
        let rank = |host: &HostId| {
            let bytes = host.as_str().bytes();
            hash::mix(key ^ hash::extend(hash::OFFSET_BASIS, bytes))
        };
        let first = self.live_hosts().into_iter().max_by_key(rank);
        first.is_some_and(|first| first == self.local.host)
    }

    /// Returns whether an incarnation of an endpoint is known to accept new work.
    pub fn is_staying(&self, endpoint: &EndpointId, boot: BootId) -> bool {
        let state = self.state.lock();
        let record = state.membership.endpoint(endpoint);
        record.is_some_and(|record| {
            let known = &record.announcement;
            known.boot == boot && !known.leaving
        })
    }

    /// Returns whether this host has lost contact with the majority of the replicas.
    pub fn is_cut_off(&self) -> bool {
        self.state.lock().propagation.cut_off_since().is_some()
    }

    /// Returns the time of the last contact with a majority; now, unless this host is cut off.
    pub fn last_majority_unix_ms(&self) -> Option<u64> {
        let since = self.state.lock().propagation.cut_off_since();
        let ago = since.map_or(Duration::ZERO, |since| {
            self.dependencies.clock.now() - since
        });
        Some(unix_ms().saturating_sub(ago.as_millis() as u64))
    }

    /// Returns the data centres without a reachable host.
    pub fn unreachable_data_centres(&self) -> Vec<DataCentre> {
        let state = self.state.lock();
        let unreachable = state.membership.unreachable_data_centres();
        unreachable.cloned().collect()
    }
}
