//! Membership: the known hosts and when they were last heard from.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_consensus::Member as ReplicaMember;
use kumquatdrum_fanout::{Peer, Recipients};
use kumquatdrum_peer::Client;
use kumquatdrum_process::clock::Clock;
use kumquatdrum_types::{Checkpoint, HostId, Moment, hash};
use parking_lot::Mutex;
use slog::info;

use crate::contact::Target;
use crate::message::{Host, Listing, Member, Selection};

pub mod reports;

use reports::Reports;

/// The silence after which a host counts as lost.
pub const LOST_AFTER: Duration = Duration::from_secs(2);
/// The silence after which a host is removed.
const EXPIRE_AFTER: Duration = Duration::from_secs(20);
/// Tracks the other hosts and describes this one.
pub struct Hosts {
    clock: Clock,
    client: Arc<Client>,
    peer_port: u16,
    state: Mutex<State>,
    logger: slog::Logger,
}

struct State {
    local: Host,
    seeds: Vec<HostId>,
    others: IndexMap<HostId, Entry>,
    reports: Reports,
    /// The number of membership changes so far, used as the version of the listings.
    changes: u64,
}

impl State {
    /// Returns the time since a host was last heard from, directly or through a control host's
    /// report.
    fn age(&self, now: Moment, entry: &Entry) -> Duration {
        let direct = now - entry.last_contact;
        let reported = self.reports.age(now, &entry.host.id);
        reported.map_or(direct, |reported| reported.min(direct))
    }

    /// Returns the other hosts, each with the time since it was last heard from.
    fn aged(&self, now: Moment) -> impl Iterator<Item = (&Entry, Duration)> {
        let others = self.others.values();
        others.map(move |entry| (entry, self.age(now, entry)))
    }

    /// Returns the number of known control hosts, including this one if it is one.
    fn count_control_hosts(&self) -> usize {
        let others = self.others.values().filter(|entry| entry.host.is_control);
        let known = others.count() + usize::from(self.local.is_control);
        known.max(self.seeds.len())
    }

    /// Returns the other live control hosts, each with whether its data centre is a remote one.
    fn live_control_hosts(&self, now: Moment) -> impl Iterator<Item = (bool, &Host)> {
        let control = self.aged(now);
        let control = control.filter(|(entry, age)| entry.host.is_control && *age <= LOST_AFTER);
        let is_remote = |host: &Host| host.data_centre != self.local.data_centre;
        control.map(move |(entry, _)| (is_remote(&entry.host), &entry.host))
    }
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

struct Entry {
    host: Host,
    last_contact: Moment,
    is_lost: bool,
    /// The value of [`State::changes`] at the host's last change.
    changed: u64,
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
        let state = State {
            local,
            seeds: Vec::new(),
            others: IndexMap::new(),
            reports: Reports::default(),
            changes: 0,
        };
        Self {
            clock,
            client,
            peer_port,
            state: Mutex::new(state),
            logger,
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<HostId>) {
        for seed in &seeds {
            self.register_address(seed);
        }
        self.state.lock().seeds = seeds;
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
        self.observe(host, Duration::ZERO);
    }

    /// Merges a control host's listing.
    pub fn merge_listing(&self, from: &HostId, listing: Listing) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        // Control hosts ignore each other's reports, which would otherwise keep a lost host alive.
        if !state.local.is_control {
            state.reports.apply(now, from, &listing, LOST_AFTER);
        }
        drop(state);
        for member in listing.hosts {
            self.observe(member.host, Duration::from_millis(member.age_ms));
        }
    }

    /// Returns the selection to request from a control host: the changes since its last listing.
    pub fn listing_selection(&self, from: &HostId) -> Selection {
        let state = self.state.lock();
        // Control hosts store no reports, so they always request all hosts.
        let version = state.reports.version(from);
        version.map_or(Selection::All, Selection::Since)
    }

    /// Returns a listing of the selected hosts.
    pub fn listing(&self, selection: Selection) -> Option<Listing> {
        let now = self.clock.now();
        let state = self.state.lock();
        let version = Checkpoint {
            boot: state.local.boot,
            changes: state.changes,
        };
        let since = match selection {
            Selection::Nothing => return None,
            Selection::Since(known) if known.boot == version.boot => Some(known.changes),
            Selection::Since(_) | Selection::All => None,
        };
        let local = Member {
            host: state.local.clone(),
            age_ms: 0,
        };
        let is_selected = |entry: &Entry| since.is_none_or(|since| entry.changed > since);
        let others = state.aged(now).filter(|(entry, _)| is_selected(entry));
        let others = others.map(|(entry, age)| Member {
            host: entry.host.clone(),
            age_ms: age.as_millis() as u64,
        });
        Some(Listing {
            version,
            is_complete: since.is_none(),
            hosts: std::iter::once(local).chain(others).collect(),
        })
    }

    fn observe(&self, host: Host, age: Duration) {
        let now = self.clock.now();
        let last_contact = now.saturating_sub(age);
        let mut state = self.state.lock();
        if host.id == state.local.id || age > EXPIRE_AFTER {
            return;
        }
        let id = host.id.clone();
        let change = state.changes + 1;
        let mut has_changed = true;
        match state.others.get_mut(&id) {
            Some(entry) if host.boot < entry.host.boot => has_changed = false,
            Some(entry) => {
                has_changed = last_contact > entry.last_contact && entry.host != host;
                if last_contact > entry.last_contact {
                    entry.host = host;
                    entry.last_contact = last_contact;
                }
                if entry.is_lost && now - entry.last_contact <= LOST_AFTER {
                    entry.is_lost = false;
                    has_changed = true;
                    info!(self.logger, "host_back"; "event" => "host_back", "peer" => id.as_str());
                }
                if has_changed {
                    entry.changed = change;
                }
            }
            None => {
                info!(self.logger, "host_known"; "event" => "host_known", "peer" => id.as_str(),
                    "data_centre" => host.data_centre.as_str(), "callers" => host.accepts_callers,
                    "control" => host.is_control, "boot" => host.boot);
                let is_lost = false;
                let entry = Entry {
                    host,
                    last_contact,
                    is_lost,
                    changed: change,
                };
                state.others.insert(id.clone(), entry);
                self.register_address(&id);
            }
        }
        state.changes += u64::from(has_changed);
    }

    /// Marks silent hosts as lost, and removes those that have been silent for too long.
    pub fn expire_silent(&self) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let State {
            seeds,
            others,
            reports,
            changes,
            ..
        } = &mut *state;
        others.retain(|id, entry| {
            let direct = now - entry.last_contact;
            let reported = reports.age(now, id);
            let age = reported.map_or(direct, |reported| reported.min(direct));
            if !entry.is_lost && age > LOST_AFTER {
                entry.is_lost = true;
                *changes += 1;
                entry.changed = *changes;
                info!(self.logger, "host_lost"; "event" => "host_lost", "peer" => id.as_str(),
                    "silent_ms" => age.as_millis() as u64);
            }
            let is_kept = age <= EXPIRE_AFTER;
            if !is_kept && !seeds.contains(id) {
                self.client.remove(id);
            }
            is_kept
        });
        reports.retain(|id| others.contains_key(id));
    }

    /// Returns the hosts to send hellos to: unknown seeds and the other control hosts.
    pub fn contact_targets(&self) -> Vec<Target> {
        let state = self.state.lock();
        let known = state.others.values().map(|entry| &entry.host);
        let known = known.filter(|host| host.is_control);
        let known = known.map(|host| Target {
            host: host.id.clone(),
            is_remote: host.data_centre != state.local.data_centre,
        });
        let is_unknown =
            |seed: &&HostId| !state.others.contains_key(*seed) && **seed != state.local.id;
        let unknown = state.seeds.iter().filter(is_unknown).map(|seed| Target {
            host: seed.clone(),
            is_remote: false,
        });
        known.chain(unknown).collect()
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

    /// Returns the other live hosts.
    pub fn live_hosts(&self) -> Vec<Host> {
        let now = self.clock.now();
        let state = self.state.lock();
        let live = state.aged(now).filter(|(_, age)| *age <= LOST_AFTER);
        live.map(|(entry, _)| entry.host.clone()).collect()
    }

    /// Returns the other live hosts that can send requests to endpoints for this host.
    pub fn relay_candidates(&self) -> Vec<RelayCandidate> {
        let now = self.clock.now();
        let state = self.state.lock();
        let live = state.aged(now).filter(|(_, age)| *age <= LOST_AFTER);
        let hosts = live.map(|(entry, _)| &entry.host);
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
        let others = state.aged(now);
        let others = others.filter(|(_, age)| *age <= LOST_AFTER);
        let all = others.map(|(entry, _)| &entry.host);
        let all = all.chain(std::iter::once(&state.local));
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
        Recipients::select(&to_peer(&self.local(), true), &peers)
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

    /// Returns whether this host has recently heard from a majority of the control hosts, itself
    /// included.
    pub fn has_control_majority(&self) -> bool {
        let now = self.clock.now();
        let state = self.state.lock();
        let control = state.others.values().filter(|entry| entry.host.is_control);
        let live = control.filter(|entry| now - entry.last_contact <= LOST_AFTER);
        let own = usize::from(state.local.is_control);
        (live.count() + own) * 2 > state.count_control_hosts()
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
