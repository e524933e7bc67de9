//! Selection of peers: local hosts, the relay, and a contact in each other data centre.

use indexmap::IndexMap;
use kumquatdrum_types::{DataCentre, HostId, Moment};

/// Known hosts by data centre.
#[derive(Debug)]
pub(crate) struct Topology {
    local: HostId,
    data_centre: DataCentre,
    hosts: IndexMap<HostId, Host>,
    remote_data_centres: IndexMap<DataCentre, Remote>,
}

#[derive(Debug)]
struct Host {
    data_centre: DataCentre,
    is_alive: bool,
}

#[derive(Debug, Default)]
struct Remote {
    hosts: Vec<HostId>,
    contact: Option<(HostId, Moment)>,
    attempts: usize,
}

impl Topology {
    pub(crate) fn new(local: HostId, data_centre: DataCentre) -> Self {
        Self {
            local,
            data_centre,
            hosts: IndexMap::new(),
            remote_data_centres: IndexMap::new(),
        }
    }

    pub(crate) fn update_host(&mut self, host: HostId, data_centre: DataCentre, is_alive: bool) {
        if host == self.local {
            return;
        }
        let is_new = !self.hosts.contains_key(&host);
        if is_new && data_centre != self.data_centre {
            let remote = self
                .remote_data_centres
                .entry(data_centre.clone())
                .or_default();
            remote.hosts.push(host.clone());
        }
        let state = Host {
            data_centre,
            is_alive,
        };
        self.hosts.insert(host, state);
    }

    pub(crate) fn is_local(&self, host: &HostId) -> bool {
        *host == self.local
            || self
                .hosts
                .get(host)
                .is_some_and(|state| state.data_centre == self.data_centre)
    }

    /// Returns the other live hosts of the data centre.
    pub(crate) fn local_hosts(&self) -> impl Iterator<Item = &HostId> {
        self.hosts
            .iter()
            .filter(|(_, host)| host.is_alive && host.data_centre == self.data_centre)
            .map(|(id, _)| id)
    }

    /// Returns the first live host of the data centre by name.
    pub(crate) fn relay(&self) -> &HostId {
        self.local_hosts().fold(&self.local, std::cmp::min)
    }

    pub(crate) fn is_relay(&self) -> bool {
        *self.relay() == self.local
    }

    pub(crate) fn data_centres(&self) -> Vec<DataCentre> {
        self.remote_data_centres.keys().cloned().collect()
    }

    /// Records a message from a host of another data centre.
    pub(crate) fn record_contact(&mut self, now: Moment, from: &HostId) {
        let Some(state) = self.hosts.get(from) else {
            return;
        };
        if let Some(remote) = self.remote_data_centres.get_mut(&state.data_centre) {
            remote.contact = Some((from.clone(), now));
        }
    }

    /// Returns the host to contact in another data centre: the sender of the last message if that
    /// arrived after `since`, otherwise each host in turn.
    pub(crate) fn select_contact(
        &mut self,
        data_centre: &DataCentre,
        since: Moment,
    ) -> Option<HostId> {
        let remote = self.remote_data_centres.get_mut(data_centre)?;
        match &remote.contact {
            Some((host, at)) if *at >= since => Some(host.clone()),
            _ if remote.hosts.is_empty() => None,
            _ => {
                remote.attempts += 1;
                Some(remote.hosts[(remote.attempts - 1) % remote.hosts.len()].clone())
            }
        }
    }

    pub(crate) fn hosts_of(&self, data_centre: &DataCentre) -> &[HostId] {
        self.remote_data_centres
            .get(data_centre)
            .map_or(&[], |remote| &remote.hosts)
    }
}
