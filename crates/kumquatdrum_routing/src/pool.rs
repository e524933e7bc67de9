//! The pool of endpoints of one service.

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::endpoint::Kind;
use kumquatdrum_types::{Announcement, BootId, EndpointId, Moment, hash};

use crate::endpoint::Endpoint;
use crate::prefix::Index;
use crate::rank;
use crate::rate::Rates;
use crate::{CacheEvent, Health, Settings};

/// The index of an endpoint, valid until the endpoint is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(u32);

/// The most removed endpoints that are remembered, so that late announcements do not restore them.
const MAX_TOMBSTONES: usize = 1_024;

/// The last known state of a removed endpoint.
#[derive(Debug)]
struct Tombstone {
    boot: BootId,
    sequence: u64,
    was_leaving: bool,
}

impl Tombstone {
    /// Returns whether an announcement is outdated, or of an incarnation that has left.
    fn rejects(&self, announcement: &Announcement) -> bool {
        let is_same = announcement.boot == self.boot;
        let is_old = announcement.sequence <= self.sequence || self.was_leaving;
        announcement.boot < self.boot || (is_same && is_old)
    }
}

/// Holds the endpoints of a service, their cached prefixes and the service rates.
#[derive(Debug)]
pub struct Pool {
    pub(crate) settings: Settings,
    /// Estimated service rates.
    pub rates: Rates,
    /// The index of cached prefixes.
    pub prefixes: Index,
    endpoints: Vec<Option<Endpoint>>,
    by_id: IndexMap<EndpointId, EndpointIndex>,
    tombstones: IndexMap<EndpointId, Tombstone>,
    alive: Vec<EndpointIndex>,
    suspect: Vec<EndpointIndex>,
    out_of_sync: IndexSet<EndpointId>,
    largest_memory: u64,
    /// Whether an announced rate has initialised the rates.
    has_rate: bool,
}

impl Pool {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            rates: Rates::new(&settings),
            settings,
            prefixes: Index::default(),
            endpoints: Vec::new(),
            by_id: IndexMap::new(),
            tombstones: IndexMap::new(),
            alive: Vec::new(),
            suspect: Vec::new(),
            out_of_sync: IndexSet::new(),
            largest_memory: 0,
            has_rate: false,
        }
    }

    /// Returns the endpoints that accept new requests, in an order common to all daemons. Suspect
    /// ones are included only if there are no others.
    pub fn candidates(&self) -> &[EndpointIndex] {
        if self.alive.is_empty() {
            &self.suspect
        } else {
            &self.alive
        }
    }

    /// Returns the endpoint at an index from [`Pool::candidates`] or the prefix index.
    pub fn endpoint(&self, index: EndpointIndex) -> &Endpoint {
        self.endpoints[index.0 as usize]
            .as_ref()
            .expect("an index is used only while its endpoint exists")
    }

    /// Returns the index of an endpoint.
    pub fn find(&self, id: &EndpointId) -> Option<EndpointIndex> {
        self.by_id.get(id).copied()
    }

    /// Returns whether the endpoint accepts new requests.
    pub fn is_candidate(&self, index: EndpointIndex) -> bool {
        match self.endpoint(index).health {
            Health::Alive => true,
            Health::Suspect => self.alive.is_empty(),
            Health::Leaving | Health::Gone => false,
        }
    }

    /// Returns the memory of the largest engine that accepts new requests, in tokens.
    pub const fn largest_memory(&self) -> u64 {
        self.largest_memory
    }

    /// Returns the number of daemons that share the endpoints.
    pub fn owner_count(&self) -> usize {
        self.settings.owners.len().max(1)
    }

    pub(crate) fn endpoint_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        self.endpoints[index.0 as usize]
            .as_mut()
            .expect("an index is used only while its endpoint exists")
    }

    pub(crate) fn set_owners(&mut self, owners: Vec<String>) {
        self.settings.owners = owners;
        for endpoint in self.endpoints.iter_mut().flatten() {
            endpoint.rank = rank::compute(&self.settings, &endpoint.id);
        }
    }

    pub(crate) fn announce(&mut self, now: Moment, announcement: &Announcement) {
        let tombstone = self.tombstones.get(&announcement.endpoint);
        if tombstone.is_some_and(|tombstone| tombstone.rejects(announcement)) {
            return;
        }
        self.initialise_rates(announcement);
        let known = self.find(&announcement.endpoint);
        let index = match known.map(|index| (index, self.endpoint(index))) {
            Some((_, endpoint)) if announcement.boot < endpoint.boot => return,
            Some((index, endpoint)) if announcement.boot == endpoint.boot => {
                if announcement.sequence <= endpoint.sequence {
                    return;
                }
                let before = (endpoint.health, endpoint.memory_tokens());
                self.endpoint_mut(index).apply_announcement(announcement);
                let endpoint = self.endpoint(index);
                if before != (endpoint.health, endpoint.memory_tokens()) {
                    self.update_lists(index);
                }
                index
            }
            Some(_) => {
                self.remove(&announcement.endpoint);
                self.insert(announcement)
            }
            None => self.insert(announcement),
        };
        if let Kind::Engine(engine) = &announcement.kind
            && let Some(load) = &engine.load
        {
            let endpoint = self.endpoints[index.0 as usize].as_mut();
            endpoint
                .expect("the endpoint was found or inserted above")
                .apply_report(now, load, &self.settings);
        }
    }

    fn initialise_rates(&mut self, announcement: &Announcement) {
        let Kind::Engine(engine) = &announcement.kind else {
            return;
        };
        if !self.has_rate && engine.prefill_tokens_per_second > 0 {
            self.has_rate = true;
            self.rates
                .initialise(engine.prefill_tokens_per_second as f64);
        }
    }

    fn insert(&mut self, announcement: &Announcement) -> EndpointIndex {
        let rank = rank::compute(&self.settings, &announcement.endpoint);
        let endpoint = Endpoint::new(announcement, hash::of(announcement.endpoint.as_str()), rank);
        let vacant = self.endpoints.iter().position(Option::is_none);
        let position = vacant.unwrap_or(self.endpoints.len());
        if position == self.endpoints.len() {
            self.endpoints.push(None);
        }
        self.endpoints[position] = Some(endpoint);
        let index = EndpointIndex(position as u32);
        self.by_id.insert(announcement.endpoint.clone(), index);
        self.update_lists(index);
        index
    }

    /// Sets the health according to membership. A leaving endpoint remains leaving for the rest of
    /// its incarnation.
    pub(crate) fn set_health(&mut self, id: &EndpointId, health: Health) {
        let Some(index) = self.find(id) else {
            return;
        };
        match (self.endpoint(index).health, health) {
            (_, Health::Gone) => self.remove(id),
            (Health::Leaving, _) => {}
            (before, after) if before != after => {
                self.endpoint_mut(index).health = after;
                self.update_lists(index);
            }
            _ => {}
        }
    }

    fn remove(&mut self, id: &EndpointId) {
        let Some(index) = self.by_id.swap_remove(id) else {
            return;
        };
        self.out_of_sync.swap_remove(id);
        if let Some(mut endpoint) = self.endpoints[index.0 as usize].take() {
            self.prefixes.clear(index, &mut endpoint.cache);
            let tombstone = Tombstone {
                boot: endpoint.boot,
                sequence: endpoint.sequence,
                was_leaving: endpoint.health == Health::Leaving,
            };
            self.tombstones.insert(id.clone(), tombstone);
        }
        if self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.shift_remove_index(0);
        }
        self.alive.retain(|&other| other != index);
        self.suspect.retain(|&other| other != index);
        self.update_largest_memory();
    }

    /// Moves an endpoint to the list that matches its health.
    fn update_lists(&mut self, index: EndpointIndex) {
        self.alive.retain(|&other| other != index);
        self.suspect.retain(|&other| other != index);
        let (hash, health) = (self.endpoint(index).hash, self.endpoint(index).health);
        let list = match health {
            Health::Alive => &self.alive,
            Health::Suspect => &self.suspect,
            Health::Leaving | Health::Gone => return self.update_largest_memory(),
        };
        let position = list.partition_point(|&other| self.endpoint(other).hash < hash);
        match health {
            Health::Alive => self.alive.insert(position, index),
            _ => self.suspect.insert(position, index),
        }
        self.update_largest_memory();
    }

    fn update_largest_memory(&mut self) {
        let memories = self.candidates().iter();
        let largest = memories
            .map(|&index| self.endpoint(index).memory_tokens())
            .max();
        self.largest_memory = largest.unwrap_or(0);
    }

    /// Applies a cache event; returns whether a snapshot is needed from the endpoint.
    pub(crate) fn apply_cache_event(&mut self, id: &EndpointId, event: &CacheEvent) -> bool {
        let Some(index) = self.find(id) else {
            return false;
        };
        let limit = self.settings.blocks_per_endpoint;
        let endpoint = self.endpoints[index.0 as usize].as_mut();
        let Some(endpoint) = endpoint.filter(|endpoint| endpoint.boot == event.boot) else {
            return false;
        };
        let is_newly_out_of_sync = self
            .prefixes
            .apply(index, &mut endpoint.cache, event, limit);
        if endpoint.cache.is_out_of_sync() {
            self.out_of_sync.insert(id.clone());
        } else {
            self.out_of_sync.swap_remove(id);
        }
        is_newly_out_of_sync
    }

    /// Returns the endpoints whose cache state is out of sync.
    pub(crate) const fn out_of_sync(&self) -> &IndexSet<EndpointId> {
        &self.out_of_sync
    }
}
