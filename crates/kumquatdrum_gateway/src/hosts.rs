//! Membership: the known hosts and when they were last heard from.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_consensus::{Member as ReplicaMember, Replicas, replacement};
use kumquatdrum_fanout::{Peer, Recipients};
use kumquatdrum_peer::Client;
use kumquatdrum_process::clock::Clock;
use kumquatdrum_types::{HostId, hash};
use parking_lot::Mutex;
use slog::info;

use crate::contact::Target;
use crate::message::{Host, Listing, Selection};

pub mod reports;
pub mod table;

pub use table::LOST_AFTER;
use table::{EXPIRE_AFTER, Expiry, Table};

/// Tracks the other hosts and describes this one.
pub struct Hosts {
    clock: Clock,
    client: Arc<Client>,
    peer_port: u16,
    state: Mutex<Table>,
    logger: slog::Logger,
}

/// A host that can send requests to endpoints for this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayCandidate {
    /// The host.
    pub id: HostId,
    /// The host's incarnation.
    pub boot: u64,
    /// Whether the host is in another data centre.
    pub is_remote: bool,
}

impl Hosts {
    /// Creates a membership list with only this host.
    pub fn new(
        clock: Clock,
        client: Arc<Client>,
        peer_port: u16,
        local: Host,
        logger: slog::Logger,
    ) -> Self {
        Self {
            clock,
            client,
            peer_port,
            state: Mutex::new(Table::new(local)),
            logger,
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<HostId>) {
        for seed in &seeds {
            self.register_address(seed);
        }
        self.state.lock().set_seeds(seeds);
    }

    /// Replaces the replicas that the log names. Their hosts stay known, since after a restart no other host
    /// may tell their addresses.
    pub fn set_replicas(&self, replicas: Replicas) {
        for member in replicas.members() {
            self.register_address(&member.id.host);
        }
        self.state.lock().set_replicas(replicas);
    }

    /// Returns whether this host's replica votes although a spare could take its place.
    pub fn can_give_up_vote(&self) -> bool {
        let now = self.clock.now();
        self.state.lock().can_give_up_vote(now)
    }

    /// Returns the description of this host.
    pub fn local(&self) -> Host {
        self.state.lock().local.clone()
    }

    /// Sets the replica that this host reports.
    pub fn set_replica(&self, replica: Option<ReplicaMember>) {
        self.state.lock().local.replica = replica;
    }

    /// Marks this host as stopping.
    pub fn set_stopping(&self) {
        self.state.lock().local.is_stopping = true;
    }

    /// Records a message from a host.
    pub fn record_contact(&self, host: Host) {
        let (id, now) = (host.id.clone(), self.clock.now());
        let event = self.state.lock().record_contact(now, host);
        self.apply_event(&id, event);
    }

    /// Records whether a control host was in contact with a majority of the control hosts when it
    /// answered.
    pub fn record_majority(&self, from: &HostId, has_majority: bool) {
        self.state.lock().record_majority(from, has_majority);
    }

    /// Merges a control host's listing.
    pub fn merge_listing(&self, from: &HostId, listing: Listing) {
        let now = self.clock.now();
        let events = self.state.lock().merge_listing(now, from, listing);
        for (id, event) in events {
            self.apply_event(&id, Some(event));
        }
    }

    /// Returns the selection to request from a control host: the changes since its last listing.
    pub fn listing_selection(&self, from: &HostId) -> Selection {
        self.state.lock().listing_selection(from)
    }

    /// Returns the time since the last listing of a control host, if there was any.
    pub fn listing_age(&self) -> Option<Duration> {
        let now = self.clock.now();
        self.state.lock().reports.newest_age(now)
    }

    /// Returns a listing of the selected hosts for another host, which may be a control host.
    pub fn listing(&self, selection: Selection, for_control: bool) -> Option<Listing> {
        let now = self.clock.now();
        self.state.lock().listing(now, selection, for_control)
    }

    /// Marks silent hosts as lost, and removes those that have been silent for too long.
    pub fn expire_silent(&self) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let events = state.expire_silent(now);
        for (id, event) in events {
            match event {
                Expiry::Lost(silent) => {
                    info!(self.logger, "host_lost"; "event" => "host_lost", "peer" => id.as_str(),
                        "silent_ms" => silent.as_millis() as u64);
                }
                Expiry::Back => {
                    info!(self.logger, "host_back"; "event" => "host_back", "peer" => id.as_str());
                }
                Expiry::Removed if !state.is_pinned(&id) => self.client.remove(&id),
                Expiry::Removed => {}
            }
        }
    }

    /// Logs a change, and makes a new host known to the client.
    fn apply_event(&self, id: &HostId, event: Option<table::Event>) {
        match event {
            Some(table::Event::Known(host)) => {
                info!(self.logger, "host_known"; "event" => "host_known", "peer" => id.as_str(),
                    "data_centre" => host.data_centre.as_str(), "callers" => host.accepts_callers,
                    "control" => host.is_control, "boot" => host.boot);
                self.register_address(id);
            }
            Some(table::Event::Back) => {
                info!(self.logger, "host_back"; "event" => "host_back", "peer" => id.as_str());
            }
            None => {}
        }
    }

    /// Returns the hosts that hellos may be sent to: the other control hosts, and unknown ones that are seeds
    /// or that the log names.
    pub fn contact_targets(&self) -> Vec<Target> {
        self.state.lock().contact_targets()
    }

    /// Returns the other live control hosts, those of the local data centre first.
    pub fn control_hosts(&self) -> Vec<HostId> {
        let now = self.clock.now();
        let state = self.state.lock();
        let hosts = state.live_control_hosts(now);
        let hosts = hosts.map(|(is_remote, host)| (is_remote, host.id.clone()));
        let mut hosts: Vec<(bool, HostId)> = hosts.collect();
        hosts.sort();
        hosts.into_iter().map(|(_, id)| id).collect()
    }

    /// Returns the other live control hosts by the hash of each with this host, so that hosts that ask
    /// them in this order spread.
    pub fn control_hosts_by_hash(&self) -> Vec<HostId> {
        let local = self.local().id;
        let mut hosts = self.control_hosts();
        hosts.sort_by_key(|host| hash::pair(local.as_str(), host.as_str()));
        hosts
    }

    /// Returns whether a host is known, as live or as lost.
    pub fn is_known(&self, host: &HostId) -> bool {
        self.state.lock().others.contains_key(host)
    }

    /// Returns whether this host itself has lately heard from another one.
    pub fn hears(&self, host: &HostId) -> bool {
        let now = self.clock.now();
        self.state.lock().hears(now, host)
    }

    /// Returns the other live hosts.
    pub fn live_hosts(&self) -> Vec<Host> {
        let now = self.clock.now();
        let state = self.state.lock();
        state.live(now).cloned().collect()
    }

    /// Returns the other control hosts from which this host has heard itself, with their replicas.
    pub fn replica_hosts(&self) -> Vec<replacement::Host> {
        let now = self.clock.now();
        self.state.lock().replica_hosts(now)
    }

    /// Returns the other live hosts that can send requests to endpoints for this host.
    pub fn relay_candidates(&self) -> Vec<RelayCandidate> {
        let now = self.clock.now();
        let state = self.state.lock();
        let hosts = state.live(now);
        let hosts = hosts.filter(|host| host.accepts_callers && !host.is_stopping);
        let candidates = hosts.map(|host| RelayCandidate {
            id: host.id.clone(),
            boot: host.boot,
            is_remote: host.data_centre != state.local.data_centre,
        });
        candidates.collect()
    }

    /// Returns the number of hosts that accept callers, including this one. Lost hosts count until
    /// they are removed, since they may still serve.
    pub fn count_caller_hosts(&self) -> usize {
        let state = self.state.lock();
        let others = state
            .others
            .values()
            .filter(|entry| entry.host.accepts_callers);
        others.count() + usize::from(state.local.accepts_callers)
    }

    /// Returns the numbers of the hosts that [`Self::count_caller_hosts`] counts, in order.
    pub fn remembered_caller_numbers(&self) -> Vec<u32> {
        let state = self.state.lock();
        let others = state.others.values().map(|entry| &entry.host);
        let all = others.chain(std::iter::once(&state.local));
        let callers = all.filter(|host| host.accepts_callers);
        let addresses = callers.filter_map(|host| address(&host.id));
        let mut numbers: Vec<u32> = addresses.map(number).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Returns whether this host has had a complete listing and contact to a majority of the control
    /// hosts.
    pub fn has_complete_listing(&self) -> bool {
        let state = self.state.lock();
        let has_listing = state.local.is_control || !state.reports.is_empty();
        drop(state);
        has_listing && self.has_control_majority()
    }

    /// Returns the numbers of the live hosts that accept callers, including this one.
    pub fn caller_numbers(&self) -> Vec<u32> {
        let now = self.clock.now();
        let state = self.state.lock();
        let all = state.live(now).chain(std::iter::once(&state.local));
        let callers = all.filter(|host| host.accepts_callers && !host.is_stopping);
        let addresses = callers.filter_map(|host| address(&host.id));
        addresses.map(number).collect()
    }

    /// Returns whether this host is the one that rendezvous hashing selects for a key, among the live
    /// hosts that accept callers.
    pub fn is_first_by_hash(&self, key: u64) -> bool {
        let rank = |host: &u32| hash::mix(key ^ hash::mix(u64::from(*host)));
        let local = address(&self.state.lock().local.id).map(number);
        self.caller_numbers().into_iter().max_by_key(rank) == local
    }

    /// Returns the recipients of dispatch events: hosts that accept callers.
    pub fn event_recipients(&self) -> Recipients {
        let now = self.clock.now();
        let state = self.state.lock();
        let others = state.aged(now);
        let others =
            others.filter(|(entry, age)| entry.host.accepts_callers && *age <= EXPIRE_AFTER);
        let peers = others.map(|(entry, age)| to_peer(&entry.host, age <= LOST_AFTER));
        let peers: Vec<Peer> = peers.collect();
        Recipients::select(&to_peer(&state.local, true), &peers)
    }

    /// Returns the recipients of endpoint updates: all live hosts.
    pub fn live_recipients(&self) -> Recipients {
        let live = self.live_hosts();
        let peers: Vec<Peer> = live.iter().map(|host| to_peer(host, true)).collect();
        Recipients::select_groups(&to_peer(&self.local(), true), &peers)
    }

    /// Returns the datagram addresses of the hosts that accept callers in the local data centre.
    pub fn local_caller_addresses(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let state = self.state.lock();
        let local = state.aged(now).filter(|(entry, age)| {
            entry.host.accepts_callers
                && entry.host.data_centre == state.local.data_centre
                && *age <= EXPIRE_AFTER
        });
        let ids = local.map(|(entry, _)| &entry.host.id);
        ids.filter_map(|id| self.datagram_address(id)).collect()
    }

    /// Returns the address at which a host receives datagrams.
    pub fn datagram_address(&self, id: &HostId) -> Option<SocketAddr> {
        address(id).map(|ip| SocketAddr::new(ip, self.peer_port + 1))
    }

    /// Returns whether a control host has recently heard from a majority of the control hosts, itself
    /// included. For other hosts, one of those that they hear from says so.
    pub fn has_control_majority(&self) -> bool {
        let now = self.clock.now();
        self.state.lock().has_control_majority(now)
    }

    /// Returns the number of control hosts that are a majority of all known ones.
    pub fn control_majority(&self) -> usize {
        self.state.lock().count_control_hosts() / 2 + 1
    }

    fn register_address(&self, id: &HostId) {
        if let Some(ip) = address(id) {
            let address = SocketAddr::new(ip, self.peer_port);
            self.client.set_address(id, address);
        }
    }
}

fn to_peer(host: &Host, is_live: bool) -> Peer {
    Peer {
        id: host.id.clone(),
        data_centre: host.data_centre.clone(),
        can_relay: host.accepts_callers && is_live && !host.is_stopping,
    }
}

/// Returns a number that identifies a host: its IPv4 address, or the low 32 bits of its IPv6
/// address.
pub fn number(address: IpAddr) -> u32 {
    match address {
        IpAddr::V4(address) => u32::from(address),
        IpAddr::V6(address) => (u128::from(address) & u128::from(u32::MAX)) as u32,
    }
}

/// Parses a host id as an address.
fn address(id: &HostId) -> Option<IpAddr> {
    id.as_str().parse().ok()
}
