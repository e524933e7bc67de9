//! The index of cached prompt prefixes, fed by late events with gaps.

use indexmap::{IndexMap, IndexSet};

use crate::fleet::SlotIndex;
use crate::{BlockHash, CacheChange, CacheEvent};

/// Holders that are remembered of one block; a sample is enough for a choice.
const HOLDERS: usize = 8;
/// What a block counts whose endpoint's events had a gap.
const DOUBTFUL_SHARE: f64 = 0.5;

/// What one endpoint is thought to hold.
#[derive(Debug, Default)]
pub struct Cache {
    blocks: IndexSet<BlockHash>,
    next_sequence: Option<u64>,
    doubtful: bool,
}

impl Cache {
    /// Whether events were lost since the last whole list.
    pub const fn is_doubtful(&self) -> bool {
        self.doubtful
    }

    /// How many of a prompt's first blocks the endpoint holds, doubt taken off.
    pub fn cached_blocks(&self, prefix: &[BlockHash]) -> f64 {
        // Hashes are chained, so whoever holds a block held all before it.
        let held = prefix.partition_point(|block| self.blocks.contains(block));
        if self.doubtful {
            held as f64 * DOUBTFUL_SHARE
        } else {
            held as f64
        }
    }
}

/// Which endpoints hold a block.
#[derive(Debug, Default)]
pub struct Index {
    holders: IndexMap<BlockHash, Vec<SlotIndex>>,
}

impl Index {
    /// Endpoints that hold the longest known part of a prefix; at most a few.
    pub fn holders(&self, prefix: &[BlockHash]) -> &[SlotIndex] {
        let known = prefix.partition_point(|block| self.holders.contains_key(block));
        known
            .checked_sub(1)
            .and_then(|last| self.holders.get(&prefix[last]))
            .map_or(&[], Vec::as_slice)
    }

    /// Takes in an event; `true` where a gap makes the endpoint's cache newly doubtful.
    pub(crate) fn apply(
        &mut self,
        slot: SlotIndex,
        cache: &mut Cache,
        event: &CacheEvent,
        limit: usize,
    ) -> bool {
        let expected = cache.next_sequence.unwrap_or(event.sequence);
        let is_snapshot = matches!(event.change, CacheChange::Snapshot(_));
        if event.sequence < expected && !is_snapshot {
            return false;
        }
        let was_doubtful = cache.doubtful;
        cache.doubtful = !is_snapshot && (was_doubtful || event.sequence > expected);
        cache.next_sequence = Some(expected.max(event.sequence + 1));
        match &event.change {
            CacheChange::Stored(blocks) => self.store(slot, cache, blocks, limit),
            CacheChange::Evicted(blocks) => self.evict(slot, cache, blocks),
            CacheChange::Snapshot(blocks) => {
                self.clear(slot, cache);
                self.store(slot, cache, blocks, limit);
                // Events between the snapshot and what came since are not in it.
                cache.doubtful = event.sequence + 1 < expected;
            }
        }
        cache.doubtful && !was_doubtful
    }

    /// Forgets all that an endpoint held.
    pub(crate) fn clear(&mut self, slot: SlotIndex, cache: &mut Cache) {
        let blocks = std::mem::take(&mut cache.blocks);
        for block in blocks {
            self.forget(slot, block);
        }
    }

    fn store(&mut self, slot: SlotIndex, cache: &mut Cache, blocks: &[BlockHash], limit: usize) {
        for &block in blocks {
            if !cache.blocks.insert(block) {
                continue;
            }
            let holders = self.holders.entry(block).or_default();
            if holders.len() < HOLDERS {
                holders.push(slot);
            }
            if cache.blocks.len() > limit {
                let Some(oldest) = cache.blocks.swap_remove_index(0) else {
                    continue;
                };
                self.forget(slot, oldest);
            }
        }
    }

    fn evict(&mut self, slot: SlotIndex, cache: &mut Cache, blocks: &[BlockHash]) {
        for &block in blocks {
            cache.blocks.swap_remove(&block);
            self.forget(slot, block);
        }
    }

    fn forget(&mut self, slot: SlotIndex, block: BlockHash) {
        let Some(holders) = self.holders.get_mut(&block) else {
            return;
        };
        holders.retain(|&holder| holder != slot);
        if holders.is_empty() {
            self.holders.swap_remove(&block);
        }
    }
}
