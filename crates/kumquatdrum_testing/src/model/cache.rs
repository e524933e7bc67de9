//! The prefix cache: names of prompt blocks with their sizes, least recently used out first.

use std::collections::btree_map::OccupiedEntry;
use std::collections::{BTreeMap, VecDeque};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Events that stay readable.
const EVENT_LIMIT: usize = 8_192;

/// What happened to a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The block is in the cache now.
    Stored,
    /// The block is no longer in the cache.
    Evicted,
}

/// One cache event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Grows by one with each event of one boot; a gap means lost events.
    pub seq: u64,
    /// What happened.
    pub op: Change,
    /// The block's chained name.
    pub prefix: String,
    /// Tokens of the block.
    pub tokens: u64,
}

#[derive(Debug)]
pub(super) struct Cache {
    limit_tokens: u64,
    used_tokens: u64,
    blocks: IndexMap<String, Block>,
    /// Names by their last use, the least recent first.
    uses: BTreeMap<u64, String>,
    clock: u64,
    next_seq: u64,
    events: VecDeque<Event>,
}

#[derive(Debug)]
struct Block {
    tokens: u64,
    used_at: u64,
}

impl Cache {
    pub(super) fn new(limit_tokens: u64) -> Self {
        Self {
            limit_tokens,
            used_tokens: 0,
            blocks: IndexMap::new(),
            uses: BTreeMap::new(),
            clock: 0,
            next_seq: 1,
            events: VecDeque::new(),
        }
    }

    /// Tokens of the longest cached prefix; the blocks found count as used.
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

    /// Stores a prompt's blocks, each of `tokens` tokens.
    pub(super) fn store(&mut self, names: &[String], tokens: u64) {
        let begin = self.clock;
        for name in names {
            if self.blocks.contains_key(name) {
                self.touch(name);
                continue;
            }
            if !self.make_room(tokens, begin) {
                return;
            }
            self.used_tokens += tokens;
            let block = Block { tokens, used_at: 0 };
            self.blocks.insert(name.clone(), block);
            self.touch(name);
            self.record(Change::Stored, name.clone(), tokens);
        }
    }

    fn touch(&mut self, name: &str) {
        let Some(block) = self.blocks.get_mut(name) else {
            return;
        };
        self.clock += 1;
        self.uses.remove(&block.used_at);
        block.used_at = self.clock;
        self.uses.insert(self.clock, name.to_owned());
    }

    /// Evicts blocks that were last used at `begin` or before, until there is room.
    fn make_room(&mut self, tokens: u64, begin: u64) -> bool {
        while self.used_tokens + tokens > self.limit_tokens {
            let oldest = self
                .uses
                .first_entry()
                .filter(|entry| *entry.key() <= begin);
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
        if self.events.len() > EVENT_LIMIT {
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
