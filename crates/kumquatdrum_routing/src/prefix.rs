//! Indexes cached prompt prefixes from cache events, which may be late or lost.

use indexmap::{IndexMap, IndexSet};

use crate::pool::EndpointIndex;
use crate::{BlockHash, CacheChange, CacheEvent};

/// The most holders kept for one block; a sample is enough for placement.
const MAX_HOLDERS: usize = 8;
/// The weight of cached blocks of an endpoint that is out of sync.
const OUT_OF_SYNC_SHARE: f64 = 0.5;

/// The known cache content of one endpoint.
#[derive(Debug, Default)]
pub struct Cache {
    blocks: IndexSet<BlockHash>,
    next_sequence: Option<u64>,
    is_out_of_sync: bool,
}

impl Cache {
    /// Returns whether events were lost since the last snapshot.
    pub const fn is_out_of_sync(&self) -> bool {
        self.is_out_of_sync
    }

    /// Returns the number of leading blocks of a prompt that are cached, reduced if out of sync.
    pub fn cached_blocks(&self, prefix: &[BlockHash]) -> f64 {
        // Hashes are chained, so a cached block implies that all blocks before it were cached.
        let cached = prefix.partition_point(|block| self.blocks.contains(block));
        if self.is_out_of_sync {
            cached as f64 * OUT_OF_SYNC_SHARE
        } else {
            cached as f64
        }
    }
}

/// The known holders of each block.
#[derive(Debug, Default)]
pub struct Index {
    holders: IndexMap<BlockHash, Vec<EndpointIndex>>,
}

impl Index {
    /// Returns some of the endpoints that hold the longest known part of a prefix.
    pub fn holders(&self, prefix: &[BlockHash]) -> &[EndpointIndex] {
        let known = prefix.partition_point(|block| self.holders.contains_key(block));
        known
            .checked_sub(1)
            .and_then(|last| self.holders.get(&prefix[last]))
            .map_or(&[], Vec::as_slice)
    }

    /// Applies an event; returns whether the cache has become out of sync.
    pub(crate) fn apply(
        &mut self,
        endpoint: EndpointIndex,
        cache: &mut Cache,
        event: &CacheEvent,
        limit: usize,
    ) -> bool {
        let expected = cache.next_sequence.unwrap_or(event.sequence);
        let is_snapshot = matches!(event.change, CacheChange::Snapshot(_));
        if event.sequence < expected && !is_snapshot {
            return false;
        }
        let was_out_of_sync = cache.is_out_of_sync;
        cache.is_out_of_sync = !is_snapshot && (was_out_of_sync || event.sequence > expected);
        cache.next_sequence = Some(expected.max(event.sequence + 1));
        match &event.change {
            CacheChange::Stored(blocks) => self.store(endpoint, cache, blocks, limit),
            CacheChange::Evicted(blocks) => self.evict(endpoint, cache, blocks),
            CacheChange::Snapshot(blocks) => {
                self.clear(endpoint, cache);
                self.store(endpoint, cache, blocks, limit);
                // The snapshot does not include later events that were already applied.
                cache.is_out_of_sync = event.sequence + 1 < expected;
            }
        }
        cache.is_out_of_sync && !was_out_of_sync
    }

    /// Removes all blocks of an endpoint.
    pub(crate) fn clear(&mut self, endpoint: EndpointIndex, cache: &mut Cache) {
        let blocks = std::mem::take(&mut cache.blocks);
        for block in blocks {
            self.remove_holder(endpoint, block);
        }
    }

    fn store(
        &mut self,
        endpoint: EndpointIndex,
        cache: &mut Cache,
        blocks: &[BlockHash],
        limit: usize,
    ) {
        for &block in blocks {
            if !cache.blocks.insert(block) {
                continue;
            }
            let holders = self.holders.entry(block).or_default();
            if holders.len() < MAX_HOLDERS {
                holders.push(endpoint);
            }
            if cache.blocks.len() > limit {
                let Some(oldest) = cache.blocks.swap_remove_index(0) else {
                    continue;
                };
                self.remove_holder(endpoint, oldest);
            }
        }
    }

    fn evict(&mut self, endpoint: EndpointIndex, cache: &mut Cache, blocks: &[BlockHash]) {
        for &block in blocks {
            cache.blocks.swap_remove(&block);
            self.remove_holder(endpoint, block);
        }
    }

    fn remove_holder(&mut self, endpoint: EndpointIndex, block: BlockHash) {
        let Some(holders) = self.holders.get_mut(&block) else {
            return;
        };
        holders.retain(|&holder| holder != endpoint);
        if holders.is_empty() {
            self.holders.swap_remove(&block);
        }
    }
}
