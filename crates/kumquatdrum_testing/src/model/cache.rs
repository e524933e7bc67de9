//! The prefix cache: an LRU cache of prompt block names and sizes.

use std::collections::btree_map::OccupiedEntry;
use std::collections::{BTreeMap, VecDeque};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Maximum number of events kept; older ones are dropped.
const MAX_EVENTS: usize = 8_192;

/// Change of a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The block was stored.
    Stored,
    /// The block was evicted.
    Evicted,
}

/// One cache event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number within one boot; a gap means lost events.
    pub seq: u64,
    /// Whether the block was stored or evicted.
    pub op: Change,
    /// Name of the block, which also identifies all blocks before it.
    pub prefix: String,
    /// Size of the block, in tokens.
    pub tokens: u64,
}

#[derive(Debug)]
pub(super) struct Cache {
    limit_tokens: u64,
    used_tokens: u64,
    blocks: IndexMap<String, Block>,
    /// Block names in order of last use.
    names_by_last_use: BTreeMap<u64, String>,
    /// Use counter, incremented each time that a block is used.
    last_use: u64,
    next_seq: u64,
    events: VecDeque<Event>,
}

#[derive(Debug)]
struct Block {
    tokens: u64,
    /// Value of the cache's use counter at the block's last use.
    last_used: u64,
}

impl Cache {
    pub(super) fn new(limit_tokens: u64) -> Self {
        Self {
            limit_tokens,
            used_tokens: 0,
            blocks: IndexMap::new(),
            names_by_last_use: BTreeMap::new(),
            last_use: 0,
            next_seq: 1,
            events: VecDeque::new(),
        }
    }

    /// Returns the length of the longest cached prefix in tokens, and marks its blocks as used.
    pub(super) fn lookup(&mut self, names: &[String]) -> u64 {
        let mut tokens = 0;
        for name in names {
            match self.blocks.get(name) {
                Some(block) => tokens += block.tokens,
                None => break,
            }
            self.touch(name);
        }
        tokens
    }

    /// Stores a prompt's blocks, each of size `tokens`.
    pub(super) fn store(&mut self, names: &[String], tokens: u64) {
        let latest_use = self.last_use;
        for name in names {
            if self.blocks.contains_key(name) {
                self.touch(name);
                continue;
            }
            if !self.evict_for(tokens, latest_use) {
                return;
            }
            self.used_tokens += tokens;
            let block = Block {
                tokens,
                last_used: 0,
            };
            self.blocks.insert(name.clone(), block);
            self.touch(name);
            self.record(Change::Stored, name.clone(), tokens);
        }
    }

    fn touch(&mut self, name: &str) {
        let Some(block) = self.blocks.get_mut(name) else {
            return;
        };
        self.last_use += 1;
        self.names_by_last_use.remove(&block.last_used);
        block.last_used = self.last_use;
        self.names_by_last_use
            .insert(self.last_use, name.to_owned());
    }

    /// Evicts blocks last used at `latest_use` or before until `tokens` fit; false if they can't.
    fn evict_for(&mut self, tokens: u64, latest_use: u64) -> bool {
        while self.used_tokens + tokens > self.limit_tokens {
            let oldest = self
                .names_by_last_use
                .first_entry()
                .filter(|entry| *entry.key() <= latest_use);
            let Some(name) = oldest.map(OccupiedEntry::remove) else {
                return false;
            };
            let freed = self
                .blocks
                .swap_remove(&name)
                .map_or(0, |block| block.tokens);
            self.used_tokens -= freed;
            self.record(Change::Evicted, name, freed);
        }
        true
    }

    fn record(&mut self, op: Change, prefix: String, tokens: u64) {
        let seq = self.next_seq;
        self.next_seq += 1;
        self.events.push_back(Event {
            seq,
            op,
            prefix,
            tokens,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    pub(super) fn events_after(&self, seq: u64) -> impl Iterator<Item = &Event> {
        self.events.iter().filter(move |event| event.seq > seq)
    }

    pub(super) fn last_seq(&self) -> u64 {
        self.next_seq - 1
    }
}
