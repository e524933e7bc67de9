//! A small model of an engine with continuous batching, chunked prefill, limited memory and a
//! prefix cache.

use std::collections::HashMap;

use indexmap::IndexSet;
use kumquatdrum_routing::BlockHash;
use kumquatdrum_types::Load;

use super::trace::{BLOCK_TOKENS, CONTEXT_TOKENS, PREFILL_TOKENS_PER_SECOND};

pub const MEMORY_TOKENS: u64 = 400_000;
pub const BATCH_LIMIT: usize = 64;
const CHUNK_TOKENS: u64 = 2_048;
const STEP_SECONDS: f64 = 0.006;
const DECODE_SECONDS: f64 = 0.000_1;
const MAX_CACHED_BLOCKS: usize = 1_024;

pub struct Task {
    pub arrival: usize,
    pub daemon: usize,
    pub attempt: u64,
    pub priority: u8,
    pub prompt_tokens: u64,
    pub output_tokens: u64,
    pub prefix: Vec<BlockHash>,
    prefill_left: u64,
}

impl Task {
    pub fn new(arrival: usize, daemon: usize, attempt: u64, priority: u8) -> Self {
        Self {
            arrival,
            daemon,
            attempt,
            priority,
            prompt_tokens: 0,
            output_tokens: 0,
            prefix: Vec::new(),
            prefill_left: 0,
        }
    }

    fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

/// An event of a step; requests are given as arrival, daemon and attempt.
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
    running: Vec<Task>,
    waiting: Vec<Task>,
    planned_tokens: Vec<u64>,
    used_memory: u64,
    reports: u64,
    seen: HashMap<usize, u64>,
}

impl Engine {
    pub fn push(&mut self, task: Task) {
        let seen = self.seen.entry(task.daemon).or_default();
        *seen = task.attempt.max(*seen);
        self.waiting.push(task);
    }

    /// Plans the next step and returns its duration in seconds, or `None` if the engine is idle.
    pub fn plan_step(&mut self) -> Option<f64> {
        self.admit();
        if self.running.is_empty() {
            return None;
        }
        let mut order: Vec<usize> = (0..self.running.len()).collect();
        order.sort_by_key(|&index| u8::MAX - self.running[index].priority);
        self.planned_tokens = vec![0; self.running.len()];
        let (mut budget, mut time) = (CHUNK_TOKENS, STEP_SECONDS);
        for index in order {
            let task = &self.running[index];
            if task.prefill_left == 0 {
                time += DECODE_SECONDS;
                continue;
            }
            let tokens = task.prefill_left.min(budget);
            let context = (task.prompt_tokens - task.prefill_left) as f64;
            budget -= tokens;
            self.planned_tokens[index] = tokens;
            time += tokens as f64 / PREFILL_TOKENS_PER_SECOND * (1.0 + context / CONTEXT_TOKENS);
        }
        Some(time)
    }

    fn admit(&mut self) {
        self.waiting.sort_by_key(|task| u8::MAX - task.priority);
        while let Some(task) = self.waiting.first() {
            if self.running.len() >= BATCH_LIMIT
                || self.used_memory + task.memory_tokens() > MEMORY_TOKENS
            {
                return;
            }
            let mut task = self.waiting.remove(0);
            let cached = task
                .prefix
                .iter()
                .take_while(|block| self.cached.contains(*block));
            task.prefill_left = task
                .prompt_tokens
                .saturating_sub(cached.count() as u64 * BLOCK_TOKENS)
                .max(1);
            self.used_memory += task.memory_tokens();
            self.running.push(task);
        }
    }

    /// Completes the planned step.
    pub fn step(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        let planned_tokens = std::mem::take(&mut self.planned_tokens);
        for (task, tokens) in self.running.iter_mut().zip(planned_tokens) {
            let prefill_before = task.prefill_left;
            task.prefill_left -= tokens;
            if task.prefill_left > 0 {
                continue;
            }
            task.output_tokens = task.output_tokens.saturating_sub(1);
            if prefill_before > 0 {
                events.push(Event::FirstToken(task.arrival, task.daemon, task.attempt));
                store(&mut self.cached, &task.prefix, &mut events);
            }
        }
        let ended = self
            .running
            .extract_if(.., |task| task.prefill_left == 0 && task.output_tokens == 0);
        for task in ended {
            events.push(Event::Finished(task.arrival, task.daemon, task.attempt));
        }
        self.used_memory = self.running.iter().map(Task::memory_tokens).sum();
        events
    }

    pub fn report(&mut self) -> Load {
        self.reports += 1;
        let waiting: u64 = self.waiting.iter().map(|task| task.prompt_tokens).sum();
        let running: u64 = self.running.iter().map(|task| task.prefill_left).sum();
        let seen = self.seen.iter();
        Load {
            sequence: self.reports,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill_tokens: waiting + running,
            memory_used_tokens: self.used_memory,
            seen: seen
                .map(|(owner, count)| (owner.to_string(), *count))
                .collect(),
        }
    }

    /// Kills the engine; returns the arrival, daemon and attempt of every lost request.
    pub fn kill(&mut self) -> Vec<(usize, usize, u64)> {
        self.is_dead = true;
        let lost = self.running.drain(..).chain(self.waiting.drain(..));
        lost.map(|task| (task.arrival, task.daemon, task.attempt))
            .collect()
    }
}

fn store(cached: &mut IndexSet<BlockHash>, prefix: &[BlockHash], events: &mut Vec<Event>) {
    let stored = prefix.iter().take(MAX_CACHED_BLOCKS);
    let stored: Vec<BlockHash> = stored
        .filter(|block| cached.insert(**block))
        .copied()
        .collect();
    let excess = cached.len().saturating_sub(MAX_CACHED_BLOCKS);
    let evicted: Vec<BlockHash> = cached.drain(..excess).collect();
    events.push(Event::Stored(stored));
    events.push(Event::Evicted(evicted));
}
