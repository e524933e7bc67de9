//! Simulated network in virtual time with seeded delays, losses, duplicates and cuts.

use std::collections::{BTreeMap, HashMap, HashSet};

use kumquatdrum_types::{BootId, HostId, Moment};
use rand_core::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// Faults that the network applies to messages.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub delay_millis: (u64, u64),
}

/// Network with short delays and no losses.
pub const RELIABLE: Faults = Faults {
    loss_percent: 0,
    duplicate_percent: 0,
    delay_millis: (1, 5),
};

/// Network with losses, duplicates and reordering within 400 ms.
pub const LOSSY: Faults = Faults {
    loss_percent: 15,
    duplicate_percent: 10,
    delay_millis: (1, 400),
};

/// Message in transit.
#[derive(Debug, Clone)]
pub struct Delivery {
    pub from: HostId,
    pub boot: BootId,
    pub to: HostId,
    pub body: Vec<u8>,
}

pub struct Network {
    pub now: Moment,
    pub faults: Faults,
    /// Messages and bytes sent by each host.
    pub sent: HashMap<HostId, (u64, u64)>,
    random: Pcg32,
    queue: BTreeMap<(Moment, u64), Delivery>,
    order: u64,
    cuts: HashSet<(HostId, HostId)>,
}

impl Network {
    pub fn new(seed: u64, faults: Faults) -> Self {
        Self {
            now: Moment::ZERO,
            faults,
            sent: HashMap::new(),
            random: Pcg32::seed_from_u64(seed),
            queue: BTreeMap::new(),
            order: 0,
            cuts: HashSet::new(),
        }
    }

    /// Returns a random number from `low` to `high` inclusive.
    pub fn pick(&mut self, low: u64, high: u64) -> u64 {
        low + u64::from(self.random.next_u32()) % (high - low + 1)
    }

    pub fn chance(&mut self, percent: u32) -> bool {
        self.pick(0, 99) < u64::from(percent)
    }

    pub fn send(&mut self, delivery: Delivery) {
        let (messages, bytes) = self.sent.entry(delivery.from.clone()).or_default();
        *messages += 1;
        *bytes += delivery.body.len() as u64;
        if self.chance(self.faults.loss_percent) {
            return;
        }
        if self.chance(self.faults.duplicate_percent) {
            self.enqueue(delivery.clone());
        }
        self.enqueue(delivery);
    }

    fn enqueue(&mut self, delivery: Delivery) {
        let (low, high) = self.faults.delay_millis;
        let at = self.now + std::time::Duration::from_millis(self.pick(low, high));
        self.order += 1;
        self.queue.insert((at, self.order), delivery);
    }

    /// Returns the next message that arrives by `until`, skipping messages on cut paths.
    pub fn next(&mut self, until: Moment) -> Option<Delivery> {
        loop {
            let (at, _) = *self.queue.keys().next().filter(|(at, _)| *at <= until)?;
            let (_, delivery) = self.queue.pop_first()?;
            self.now = self.now.max(at);
            let path = (delivery.from.clone(), delivery.to.clone());
            if !self.cuts.contains(&path) {
                return Some(delivery);
            }
        }
    }

    /// Drops all messages from one host to another.
    pub fn cut(&mut self, from: &HostId, to: &HostId) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    pub fn is_cut(&self, from: &HostId, to: &HostId) -> bool {
        self.cuts.contains(&(from.clone(), to.clone()))
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Drops the in-flight messages of a host that died.
    pub fn drop_in_flight(&mut self, from: &HostId) {
        self.queue.retain(|_, delivery| delivery.from != *from);
    }
}
