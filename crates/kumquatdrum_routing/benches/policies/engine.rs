//! A small model of an engine: continuous batching, chunked prefill, memory, prefix cache.

use std::collections::HashMap;

use indexmap::IndexSet;
use kumquatdrum_routing::BlockHash;
use kumquatdrum_types::Load;

use super::trace::{BLOCK, CONTEXT, RATE};

pub const MEMORY: u64 = 400_000;
pub const BATCH: usize = 64;
const CHUNK: u64 = 2_048;
const STEP: f64 = 0.006;
const DECODE: f64 = 0.000_1;
const CACHED_BLOCKS: usize = 1_024;

pub struct Part {
    pub arrival: usize,
    pub daemon: usize,
    pub attempt: u64,
    pub priority: u8,
    pub prompt: u64,
    pub output: u64,
    pub prefix: Vec<BlockHash>,
    left: u64,
}

impl Part {
    pub fn new(arrival: usize, daemon: usize, attempt: u64, priority: u8) -> Self {
        Self {
            arrival,
            daemon,
            attempt,
            priority,
            prompt: 0,
            output: 0,
            prefix: Vec::new(),
            left: 0,
        }
    }

    fn memory(&self) -> u64 {
        self.prompt + self.output
    }
}

pub enum Event {
    FirstToken(usize, usize, u64),
    Finished(usize, usize, u64),
    Stored(Vec<BlockHash>),
    Evicted(Vec<BlockHash>),
}

#[derive(Default)]
pub struct Engine {
    pub is_dead: bool,
    pub is_stepping: bool,
    pub cached: IndexSet<BlockHash>,
    running: Vec<Part>,
    waiting: Vec<Part>,
    planned: Vec<u64>,
    used: u64,
    reports: u64,
    seen: HashMap<usize, u64>,
}

impl Engine {
    pub fn push(&mut self, part: Part) {
        let seen = self.seen.entry(part.daemon).or_default();
        *seen = part.attempt.max(*seen);
        self.waiting.push(part);
    }

    /// Plans the next step; its length in seconds, or `None` where there is nothing to do.
    pub fn plan(&mut self) -> Option<f64> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        order.sort_by_key(|&place| u8::MAX - self.running[place].priority);
        self.planned = vec![0; self.running.len()];
        let (mut budget, mut time) = (CHUNK, STEP);
        for place in order {
            let part = &self.running[place];
            if part.left == 0 {
                time += DECODE;
                continue;
            }
            let tokens = part.left.min(budget);
            let context = (part.prompt - part.left) as f64;
            budget -= tokens;
            self.planned[place] = tokens;
            time += tokens as f64 / RATE * (1.0 + context / CONTEXT);
        }
        Some(time)
    }

    fn admit(&mut self) {
        self.waiting.sort_by_key(|part| u8::MAX - part.priority);
        while let Some(part) = self.waiting.first() {
            if self.running.len() >= BATCH || self.used + part.memory() > MEMORY {
                return;
            }
            let mut part = self.waiting.remove(0);
            let held = part
                .prefix
                .iter()
                .take_while(|block| self.cached.contains(*block));
            part.left = part
                .prompt
                .saturating_sub(held.count() as u64 * BLOCK)
                .max(1);
            self.used += part.memory();
            self.running.push(part);
        }
    }

    /// Ends the planned step.
    pub fn step(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        let planned = std::mem::take(&mut self.planned);
        for (part, tokens) in self.running.iter_mut().zip(planned) {
            let was_left = part.left;
            part.left -= tokens;
            if part.left > 0 {
                continue;
            }
            part.output = part.output.saturating_sub(1);
            if was_left > 0 {
                events.push(Event::FirstToken(part.arrival, part.daemon, part.attempt));
                store(&mut self.cached, &part.prefix, &mut events);
            }
        }
        let ended = self
            .running
            .extract_if(.., |part| part.left == 0 && part.output == 0);
        for part in ended {
            events.push(Event::Finished(part.arrival, part.daemon, part.attempt));
        }
        self.used = self.running.iter().map(Part::memory).sum();
        events
    }

    pub fn report(&mut self) -> Load {
        self.reports += 1;
        let waiting: u64 = self.waiting.iter().map(|part| part.prompt).sum();
        let running: u64 = self.running.iter().map(|part| part.left).sum();
        let seen = self.seen.iter();
        Load {
            sequence: self.reports,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill_tokens: waiting + running,
            memory_used_tokens: self.used,
            seen: seen
                .map(|(owner, count)| (owner.to_string(), *count))
                .collect(),
        }
    }

    /// All that it runs is lost: arrivals with their daemons and attempts.
    pub fn kill(&mut self) -> Vec<(usize, usize, u64)> {
        self.is_dead = true;
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        lost.map(|part| (part.arrival, part.daemon, part.attempt))
            .collect()
    }
}

fn store(cached: &mut IndexSet<BlockHash>, prefix: &[BlockHash], events: &mut Vec<Event>) {
    let stored = prefix.iter().take(CACHED_BLOCKS);
    let stored: Vec<BlockHash> = stored
        .filter(|block| cached.insert(**block))
        .copied()
        .collect();
    let over = cached.len().saturating_sub(CACHED_BLOCKS);
    let evicted: Vec<BlockHash> = cached.drain(..over).collect();
    events.push(Event::Stored(stored));
    events.push(Event::Evicted(evicted));
}
