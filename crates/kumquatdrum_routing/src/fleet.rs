//! The endpoints of one service, as one daemon knows them.

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::endpoint::Kind;
use kumquatdrum_types::{Announcement, BootId, EndpointId, Moment, hash};

use crate::prefix::Index;
use crate::rank;
use crate::rate::Rates;
use crate::slot::Slot;
use crate::{CacheEvent, Health, Settings};

/// The place of an endpoint in the fleet; it stays while the endpoint does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotIndex(u32);

/// Endpoints that are gone and still remembered, so that late news brings none of them back.
const REMEMBERED: usize = 1_024;

/// The last that was known of an endpoint that is gone.
#[derive(Debug)]
struct Former {
    boot: BootId,
    sequence: u64,
    was_leaving: bool,
}

impl Former {
    /// Whether an announcement is older than what was known, or of a life that has left.
    fn outlives(&self, announcement: &Announcement) -> bool {
        let is_same = announcement.boot == self.boot;
        let is_old = announcement.sequence <= self.sequence || self.was_leaving;
        announcement.boot < self.boot || (is_same && is_old)
    }
}

/// All endpoints of a service.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) settings: Settings,
    /// Learnt rates.
    pub rates: Rates,
    /// Cached prefixes.
    pub prefixes: Index,
    slots: Vec<Option<Slot>>,
    by_name: IndexMap<EndpointId, SlotIndex>,
    former: IndexMap<EndpointId, Former>,
    alive: Vec<SlotIndex>,
    suspect: Vec<SlotIndex>,
    doubtful: IndexSet<EndpointId>,
    largest_memory: u64,
    has_rate: bool,
}

impl Fleet {
    pub(crate) fn new(settings: Settings) -> Self {
        Self {
            rates: Rates::new(&settings),
            settings,
            prefixes: Index::default(),
            slots: Vec::new(),
            by_name: IndexMap::new(),
            former: IndexMap::new(),
            alive: Vec::new(),
            suspect: Vec::new(),
            doubtful: IndexSet::new(),
            largest_memory: 0,
            has_rate: false,
        }
    }

    /// Endpoints that take new work, in an order that all daemons share. Suspect ones are
    /// listed only where no other is left.
    pub fn candidates(&self) -> &[SlotIndex] {
        if self.alive.is_empty() {
            &self.suspect
        } else {
            &self.alive
        }
    }

    /// The endpoint at a place taken from [`Fleet::candidates`] or the prefix index.
    pub fn slot(&self, index: SlotIndex) -> &Slot {
        self.slots[index.0 as usize]
            .as_ref()
            .expect("an index lives no longer than its endpoint")
    }

    /// The place of an endpoint.
    pub fn find(&self, endpoint: &EndpointId) -> Option<SlotIndex> {
        self.by_name.get(endpoint).copied()
    }

    /// Whether the endpoint takes new work.
    pub fn is_candidate(&self, index: SlotIndex) -> bool {
        match self.slot(index).health {
            Health::Alive => true,
            Health::Suspect => self.alive.is_empty(),
            Health::Leaving | Health::Gone => false,
        }
    }

    /// Memory of the largest engine that takes new work, in tokens.
    pub const fn largest_memory(&self) -> u64 {
        self.largest_memory
    }

    /// How many daemons share the endpoints.
    pub fn owners(&self) -> usize {
        self.settings.owners.len().max(1)
    }

    pub(crate) fn slot_mut(&mut self, index: SlotIndex) -> &mut Slot {
        self.slots[index.0 as usize]
            .as_mut()
            .expect("an index lives no longer than its endpoint")
    }

    pub(crate) fn set_owners(&mut self, owners: Vec<String>) {
        self.settings.owners = owners;
        for slot in self.slots.iter_mut().flatten() {
            slot.rank = rank::of(&self.settings, &slot.endpoint);
        }
    }

    pub(crate) fn announce(&mut self, now: Moment, announcement: &Announcement) {
        let former = self.former.get(&announcement.endpoint);
        if former.is_some_and(|former| former.outlives(announcement)) {
            return;
        }
        self.start_rates(announcement);
        let known = self.find(&announcement.endpoint);
        let index = match known.map(|index| (index, self.slot(index))) {
            Some((_, slot)) if announcement.boot < slot.boot => return,
            Some((index, slot)) if announcement.boot == slot.boot => {
                if announcement.sequence <= slot.sequence {
                    return;
                }
                let before = (slot.health, slot.memory());
                self.slot_mut(index).describe(announcement);
                let slot = self.slot(index);
                if before != (slot.health, slot.memory()) {
                    self.list(index);
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
            let slot = self.slots[index.0 as usize].as_mut();
            slot.expect("just found").report(now, load, &self.settings);
        }
    }

    fn start_rates(&mut self, announcement: &Announcement) {
        let Kind::Engine(engine) = &announcement.kind else {
            return;
        };
        if !self.has_rate && engine.prefill_tokens_per_second > 0 {
            self.has_rate = true;
            self.rates
                .start_from(engine.prefill_tokens_per_second as f64);
        }
    }

    fn insert(&mut self, announcement: &Announcement) -> SlotIndex {
        let rank = rank::of(&self.settings, &announcement.endpoint);
        let slot = Slot::new(announcement, hash::of(announcement.endpoint.as_str()), rank);
        let free = self.slots.iter().position(Option::is_none);
        let place = free.unwrap_or(self.slots.len());
        if place == self.slots.len() {
            self.slots.push(None);
        }
        self.slots[place] = Some(slot);
        let index = SlotIndex(place as u32);
        self.by_name.insert(announcement.endpoint.clone(), index);
        self.list(index);
        index
    }

    /// Sets what membership says; a leaving endpoint stays so for the rest of its life.
    pub(crate) fn health(&mut self, endpoint: &EndpointId, health: Health) {
        let Some(index) = self.find(endpoint) else {
            return;
        };
        match (self.slot(index).health, health) {
            (_, Health::Gone) => self.remove(endpoint),
            (Health::Leaving, _) => {}
            (before, after) if before != after => {
                self.slot_mut(index).health = after;
                self.list(index);
            }
            _ => {}
        }
    }

    fn remove(&mut self, endpoint: &EndpointId) {
        let Some(index) = self.by_name.swap_remove(endpoint) else {
            return;
        };
        self.doubtful.swap_remove(endpoint);
        if let Some(mut slot) = self.slots[index.0 as usize].take() {
            self.prefixes.clear(index, &mut slot.cache);
            let former = Former {
                boot: slot.boot,
                sequence: slot.sequence,
                was_leaving: slot.health == Health::Leaving,
            };
            self.former.insert(endpoint.clone(), former);
        }
        if self.former.len() > REMEMBERED {
            self.former.shift_remove_index(0);
        }
        self.alive.retain(|&other| other != index);
        self.suspect.retain(|&other| other != index);
        self.measure();
    }

    /// Puts an endpoint into the list that its health names, and takes it off the other.
    fn list(&mut self, index: SlotIndex) {
        self.alive.retain(|&other| other != index);
        self.suspect.retain(|&other| other != index);
        let (hash, health) = (self.slot(index).hash, self.slot(index).health);
        let list = match health {
            Health::Alive => &self.alive,
            Health::Suspect => &self.suspect,
            Health::Leaving | Health::Gone => return self.measure(),
        };
        let place = list.partition_point(|&other| self.slot(other).hash < hash);
        match health {
            Health::Alive => self.alive.insert(place, index),
            _ => self.suspect.insert(place, index),
        }
        self.measure();
    }

    fn measure(&mut self) {
        let memories = self.candidates().iter();
        let largest = memories.map(|&index| self.slot(index).memory()).max();
        self.largest_memory = largest.unwrap_or(0);
    }

    /// Takes in a cache event; `true` where the endpoint should be asked for a whole list.
    pub(crate) fn cache(&mut self, endpoint: &EndpointId, event: &CacheEvent) -> bool {
        let Some(index) = self.find(endpoint) else {
            return false;
        };
        let limit = self.settings.blocks_per_endpoint;
        let slot = self.slots[index.0 as usize].as_mut();
        let Some(slot) = slot.filter(|slot| slot.boot == event.boot) else {
            return false;
        };
        let is_newly_doubtful = self.prefixes.apply(index, &mut slot.cache, event, limit);
        if slot.cache.is_doubtful() {
            self.doubtful.insert(endpoint.clone());
        } else {
            self.doubtful.swap_remove(endpoint);
        }
        is_newly_doubtful
    }

    /// Doubtful endpoints, whose whole list is still wanted.
    pub(crate) const fn doubtful(&self) -> &IndexSet<EndpointId> {
        &self.doubtful
    }
}
