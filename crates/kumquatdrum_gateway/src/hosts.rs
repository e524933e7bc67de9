//! The other hosts: who they are, and when they were last heard.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_consensus::Member as ReplicaMember;
use kumquatdrum_fanout::{Recipients, Peer};
use kumquatdrum_peer::Client;
use kumquatdrum_process::clock::Clock;
use kumquatdrum_types::{HostId, Moment};
use parking_lot::Mutex;
use slog::info;

use crate::message::{Edition, Host, Listing, Sighting, Wanted};

pub mod vouchers;

use vouchers::Vouchers;

/// A host that was not heard for so long counts as lost: four rounds of greetings.
pub const LOST: Duration = Duration::from_secs(2);
/// A host that was not heard for so long is not greeted any more, nor counted.
const FORGOTTEN: Duration = Duration::from_secs(20);
/// Control hosts of other data centres are greeted once in so many rounds: two greetings in the time
/// after which silence counts as a loss.
const FAR_ROUNDS: usize = 2;

/// The other hosts, and this one.
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
    others: IndexMap<HostId, Seen>,
    vouchers: Vouchers,
    /// Counts the changes that listings tell of.
    changes: u64,
}

impl State {
    /// How long ago a host was heard, by this host or one that vouches for it.
    fn age(&self, now: Moment, seen: &Seen) -> Duration {
        let heard = now - seen.heard;
        let vouched = self.vouchers.age(now, &seen.host.id);
        vouched.map_or(heard, |vouched| vouched.min(heard))
    }

    /// Other hosts, each with how long ago it was heard.
    fn aged(&self, now: Moment) -> impl Iterator<Item = (&Seen, Duration)> {
        let others = self.others.values();
        others.map(move |seen| (seen, self.age(now, seen)))
    }
}

struct Seen {
    host: Host,
    heard: Moment,
    is_lost: bool,
    /// The change that it was last part of.
    changed: u64,
}

impl Hosts {
    /// Knows this host and the seeds.
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
            vouchers: Vouchers::default(),
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

    /// The seeds, as the settings name them now.
    pub fn set_seeds(&self, seeds: Vec<HostId>) {
        for seed in &seeds {
            self.reach(seed);
        }
        self.state.lock().seeds = seeds;
    }

    /// This host, as it tells of itself.
    pub fn local(&self) -> Host {
        self.state.lock().local.clone()
    }

    /// This host's replica has a new identity.
    pub fn set_replica(&self, replica: Option<ReplicaMember>) {
        self.state.lock().local.replica = replica;
    }

    /// This host is about to stop.
    pub fn set_stopping(&self) {
        self.state.lock().local.stopping = true;
    }

    /// A host has spoken to this one.
    pub fn heard(&self, host: Host) {
        self.sighted(host, Duration::ZERO);
    }

    /// A control host tells of others.
    pub fn merge(&self, from: &HostId, listing: Listing) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        // Control hosts that took each other's word would keep a lost host alive among them.
        if !state.local.control {
            state.vouchers.take(now, from, &listing, LOST);
        }
        drop(state);
        for sighting in listing.hosts {
            self.sighted(sighting.host, Duration::from_millis(sighting.age_ms));
        }
    }

    /// What to ask a control host for: what has changed since it last told of hosts.
    pub fn wanted(&self, from: &HostId) -> Wanted {
        let state = self.state.lock();
        // None is known on a control host: it needs the ages of all.
        let edition = state.vouchers.edition(from);
        edition.map_or(Wanted::All, Wanted::Since)
    }

    /// What a greeting host wants to know.
    pub fn listing(&self, wanted: Wanted) -> Option<Listing> {
        let now = self.clock.now();
        let state = self.state.lock();
        let edition = Edition {
            boot: state.local.boot,
            changes: state.changes,
        };
        let since = match wanted {
            Wanted::Nothing => return None,
            Wanted::Since(known) if known.boot == edition.boot => Some(known.changes),
            Wanted::Since(_) | Wanted::All => None,
        };
        let local = Sighting {
            host: state.local.clone(),
            age_ms: 0,
        };
        let is_told = |seen: &Seen| since.is_none_or(|since| seen.changed > since);
        let others = state.aged(now).filter(|(seen, _)| is_told(seen));
        let others = others.map(|(seen, age)| Sighting {
            host: seen.host.clone(),
            age_ms: age.as_millis() as u64,
        });
        Some(Listing {
            edition,
            is_whole: since.is_none(),
            hosts: std::iter::once(local).chain(others).collect(),
        })
    }

    fn sighted(&self, host: Host, age: Duration) {
        let now = self.clock.now();
        let heard = Moment {
            micros: now.micros.saturating_sub(age.as_micros() as u64),
        };
        let mut state = self.state.lock();
        if host.id == state.local.id || age > FORGOTTEN {
            return;
        }
        let id = host.id.clone();
        let change = state.changes + 1;
        let mut has_changed = true;
        match state.others.get_mut(&id) {
            Some(seen) if host.boot < seen.host.boot => has_changed = false,
            Some(seen) => {
                has_changed = heard > seen.heard && seen.host != host;
                if heard > seen.heard {
                    seen.host = host;
                    seen.heard = heard;
                }
                if seen.is_lost && now - seen.heard <= LOST {
                    seen.is_lost = false;
                    has_changed = true;
                    info!(self.logger, "host_back"; "event" => "host_back", "peer" => id.as_str());
                }
                if has_changed {
                    seen.changed = change;
                }
            }
            None => {
                info!(self.logger, "host_known"; "event" => "host_known", "peer" => id.as_str(),
                    "data_centre" => host.data_centre.as_str(), "callers" => host.callers,
                    "control" => host.control, "boot" => host.boot);
                let is_lost = false;
                let seen = Seen {
                    host,
                    heard,
                    is_lost,
                    changed: change,
                };
                state.others.insert(id.clone(), seen);
                self.reach(&id);
            }
        }
        state.changes += u64::from(has_changed);
    }

    /// Notes who has fallen silent, and forgets who has been for long.
    pub fn sweep(&self) {
        let now = self.clock.now();
        let mut state = self.state.lock();
        let State {
            seeds,
            others,
            vouchers,
            changes,
            ..
        } = &mut *state;
        others.retain(|id, seen| {
            let heard = now - seen.heard;
            let vouched = vouchers.age(now, id);
            let age = vouched.map_or(heard, |vouched| vouched.min(heard));
            if !seen.is_lost && age > LOST {
                seen.is_lost = true;
                *changes += 1;
                seen.changed = *changes;
                info!(self.logger, "host_lost"; "event" => "host_lost", "peer" => id.as_str(),
                    "silent_ms" => age.as_millis() as u64);
            }
            let is_kept = age <= FORGOTTEN;
            if !is_kept && !seeds.contains(id) {
                self.client.remove(id);
            }
            is_kept
        });
        vouchers.retain(|id| others.contains_key(id));
    }

    /// Whom to greet in a round: control hosts of the own data centre, every other time those
    /// elsewhere, and seeds that are not known. A control host greets all others, and so does whoever
    /// has to know what is in force `at_once`.
    pub fn greeted(&self, round: usize, at_once: bool) -> Vec<HostId> {
        let state = self.state.lock();
        let greets_all = at_once || state.local.control;
        let known = state.others.values().filter(|seen| seen.host.control);
        let due = known.enumerate().filter(|(number, seen)| {
            let is_near = seen.host.data_centre == state.local.data_centre;
            greets_all || is_near || (number + round).is_multiple_of(FAR_ROUNDS)
        });
        let mut greeted: Vec<HostId> = due.map(|(_, seen)| seen.host.id.clone()).collect();
        for seed in &state.seeds {
            let is_known = state.others.contains_key(seed) || *seed == state.local.id;
            if !is_known {
                greeted.push(seed.clone());
            }
        }
        greeted
    }

    /// The control host among those that are greeted which tells this one of hosts; none where all
    /// should. Each is asked in turn, so that one which is cut off does not hide hosts for long.
    pub fn lister(&self, round: usize, greeted: &[HostId]) -> Option<HostId> {
        if self.state.lock().local.control {
            return None;
        }
        let mut control = self.control();
        control.retain(|host| greeted.contains(host));
        let turn = (round / FAR_ROUNDS).checked_rem(control.len())?;
        control.into_iter().nth(turn)
    }

    /// Control hosts that were heard lately, the nearest first; this one is not among them.
    pub fn control(&self) -> Vec<HostId> {
        let now = self.clock.now();
        let state = self.state.lock();
        let mut hosts: Vec<(bool, HostId)> = state
            .aged(now)
            .filter(|(seen, age)| seen.host.control && *age <= LOST)
            .map(|(seen, _)| {
                let is_far = seen.host.data_centre != state.local.data_centre;
                (is_far, seen.host.id.clone())
            })
            .collect();
        hosts.sort();
        hosts.into_iter().map(|(_, id)| id).collect()
    }

    /// All hosts that were heard lately, without this one.
    pub fn live(&self) -> Vec<Host> {
        let now = self.clock.now();
        let state = self.state.lock();
        let live = state.aged(now).filter(|(_, age)| *age <= LOST);
        live.map(|(seen, _)| seen.host.clone()).collect()
    }

    /// Hosts that take callers, this one included. Those that are silent but not forgotten
    /// count, as they may still serve.
    pub fn caller_hosts(&self) -> usize {
        let state = self.state.lock();
        let others = state.others.values().filter(|seen| seen.host.callers);
        others.count() + usize::from(state.local.callers)
    }

    /// Whom this host tells of its dispatches: hosts that take callers.
    pub fn audience(&self) -> Recipients {
        let now = self.clock.now();
        let state = self.state.lock();
        let others = state.aged(now);
        let others = others.filter(|(seen, age)| seen.host.callers && *age <= FORGOTTEN);
        let places = others.map(|(seen, age)| place(&seen.host, age <= LOST));
        let places: Vec<Peer> = places.collect();
        Recipients::select(&place(&state.local, true), &places)
    }

    /// Whom this host tells of endpoints: all hosts that were heard lately.
    pub fn live_audience(&self) -> Recipients {
        let live = self.live();
        let places: Vec<Peer> = live.iter().map(|host| place(host, true)).collect();
        Recipients::select(&place(&self.local(), true), &places)
    }

    /// Where the hosts that take callers in this host's data centre receive datagrams.
    pub fn near_callers(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let state = self.state.lock();
        let near = state.aged(now).filter(|(seen, age)| {
            seen.host.callers
                && seen.host.data_centre == state.local.data_centre
                && *age <= FORGOTTEN
        });
        let ids = near.map(|(seen, _)| &seen.host.id);
        ids.filter_map(|id| self.datagrams_at(id)).collect()
    }

    /// Where a host receives datagrams.
    pub fn datagrams_at(&self, id: &HostId) -> Option<SocketAddr> {
        address(id).map(|ip| SocketAddr::new(ip, self.peer_port + 1))
    }

    /// Whether a majority of the control hosts was heard lately.
    pub fn hears_majority(&self) -> bool {
        let now = self.clock.now();
        let state = self.state.lock();
        let control = state.others.values().filter(|seen| seen.host.control);
        let (mut known, mut heard) = (0, 0);
        for seen in control {
            known += 1;
            heard += usize::from(now - seen.heard <= LOST);
        }
        let own = usize::from(state.local.control);
        let known = (known + own).max(state.seeds.len());
        (heard + own) * 2 > known
    }

    fn reach(&self, id: &HostId) {
        if let Some(ip) = address(id) {
            let address = SocketAddr::new(ip, self.peer_port);
            self.client.set_address(id, address);
        }
    }
}

fn place(host: &Host, is_heard: bool) -> Peer {
    Peer {
        id: host.id.clone(),
        data_centre: host.data_centre.clone(),
        can_relay: host.callers && is_heard && !host.stopping,
    }
}

/// The address that a host's name is.
fn address(id: &HostId) -> Option<IpAddr> {
    id.as_str().parse().ok()
}
