//! The engine's batch: admission, chunked prefill, decoding, cancels and deadlines.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::{AttemptId, Load, Moment};
use thiserror::Error;

use super::Stage;
use super::attempt::{Attempt, Request};
use super::cache::{Cache, Event};
use super::ledger::{Hold, HoldError, Ledger};
use super::options::Options;

/// Why an engine takes no request. In every case nothing of it ran by this call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Rejection {
    /// The identifier is known: what became of the attempt.
    #[error("the attempt is known")]
    Known(Fate),
    /// Too many requests wait.
    #[error("the queue is full")]
    Full,
    /// The request could never fit into the memory.
    #[error("the request exceeds the engine's memory")]
    TooLong,
    /// The reservation named is not held.
    #[error("the reservation is unknown or has expired")]
    NoReservation,
}

/// What is remembered of an attempt, also once it is no longer kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fate {
    /// Where it stands.
    pub state: Stage,
    /// Whether it ever entered the batch.
    pub started: bool,
}

/// What one step changed in an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// The attempt.
    pub id: AttemptId,
    /// Where it stands after the step.
    pub state: Stage,
    /// Tokens of its answer after the step.
    pub tokens: u32,
}

/// A step: its cost, and what it changed once that time has passed.
#[derive(Debug, Default)]
pub struct Step {
    /// How long the step takes; zero where there was nothing to compute.
    pub cost: Duration,
    /// The attempts that changed.
    pub progress: Vec<Progress>,
    /// The attempts that entered the batch, which is when they count as run.
    pub started: Vec<AttemptId>,
}

/// The engine.
///
/// ```
/// use kumquatdrum_testing::model::{Model, Options, Request, Stage};
/// use kumquatdrum_types::{AttemptId, Moment};
///
/// let mut model = Model::new(Options::default());
/// let request = Request {
///     id: AttemptId::new("a"),
///     owner: "host-1".into(),
///     counter: 1,
///     priority: 0,
///     deadline: Moment::from_millis(1_000),
///     prompt_tokens: 100,
///     max_tokens: 2,
///     digest: kumquatdrum_types::digest::hex(b"prompt"),
///     blocks: Vec::new(),
///     reservation: None,
/// };
/// model.submit(Moment::ZERO, request).unwrap();
/// assert_eq!(model.step(Moment::ZERO).progress[0].tokens, 1);
/// assert_eq!(model.step(Moment::ZERO).progress[0].state, Stage::Finished);
/// assert_eq!(model.memory_used(), 0);
/// ```
#[derive(Debug)]
pub struct Model {
    options: Options,
    attempts: IndexMap<AttemptId, Attempt>,
    waiting: Vec<AttemptId>,
    running: Vec<AttemptId>,
    ended: VecDeque<AttemptId>,
    known: IndexMap<AttemptId, Fate>,
    ledger: Ledger,
    cache: Cache,
    seen: IndexMap<String, u64>,
    reports: u64,
}

impl Model {
    /// An idle engine.
    pub fn new(options: Options) -> Self {
        Self {
            ledger: Ledger::new(options.memory_tokens),
            cache: Cache::new(options.cache_tokens),
            options,
            attempts: IndexMap::new(),
            waiting: Vec::new(),
            running: Vec::new(),
            ended: VecDeque::new(),
            known: IndexMap::new(),
            seen: IndexMap::new(),
            reports: 0,
        }
    }

    /// Sizes and costs.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Takes a request into the queue.
    pub fn submit(&mut self, now: Moment, request: Request) -> Result<(), Rejection> {
        self.ledger.expire(now);
        // A refused request adds nothing to the load, so that reports include it in full.
        self.note_owner(&request);
        let fate = self.fate(&request.id);
        let own_tokens = request.prompt_tokens + u64::from(request.max_tokens);
        match &request.reservation {
            _ if fate.state != Stage::NeverSeen => return Err(Rejection::Known(fate)),
            None if own_tokens > self.options.memory_tokens => return Err(Rejection::TooLong),
            _ if self.waiting.len() >= self.options.queue_limit as usize => {
                return Err(Rejection::Full);
            }
            _ => {}
        }
        let held = match &request.reservation {
            Some(id) => self.take_over(id)?,
            None => 0,
        };
        self.remember(request.id.clone(), Stage::Waiting, false);
        self.enqueue(&request);
        self.attempts
            .insert(request.id.clone(), Attempt::new(request, held));
        Ok(())
    }

    fn take_over(&mut self, reservation: &str) -> Result<u64, Rejection> {
        let tokens = self
            .ledger
            .release(reservation)
            .ok_or(Rejection::NoReservation)?;
        self.ledger.take(tokens);
        Ok(tokens)
    }

    fn note_owner(&mut self, request: &Request) {
        let highest = self.seen.entry(request.owner.clone()).or_default();
        *highest = request.counter.max(*highest);
    }

    /// Keeps the queue by priority, then arrival.
    fn enqueue(&mut self, request: &Request) {
        let place = self
            .waiting
            .partition_point(|id| self.attempts[id].request.priority <= request.priority);
        self.waiting.insert(place, request.id.clone());
    }

    fn remember(&mut self, id: AttemptId, state: Stage, started: bool) {
        self.known.insert(id, Fate { state, started });
        // The older half goes at once, as removing one by one would move all the others.
        if self.known.len() > 2 * self.options.known_limit {
            self.known.drain(..self.options.known_limit);
        }
    }

    /// Computes one step.
    pub fn step(&mut self, now: Moment) -> Step {
        self.ledger.expire(now);
        let mut step = Step::default();
        self.give_up_late(now, &mut step);
        self.fill_batch(&mut step);
        if self.running.is_empty() {
            return step;
        }
        let decoded = self.decode(&mut step);
        let computed = self.prefill(self.options.chunk_tokens.saturating_sub(decoded), &mut step);
        self.retire(&step);
        step.cost = self.options.step
            + scale(self.options.decode_token, decoded)
            + scale(self.options.prefill_token, computed);
        step
    }

    fn give_up_late(&mut self, now: Moment, step: &mut Step) {
        let late: Vec<AttemptId> = self
            .waiting
            .iter()
            .chain(&self.running)
            .filter(|id| self.attempts[*id].request.deadline <= now)
            .cloned()
            .collect();
        for id in late {
            self.end(&id, Stage::Failed);
            step.progress.push(self.progress(&id));
        }
    }

    /// Admits by priority and arrival; the first that doesn't fit waits, and all behind it.
    fn fill_batch(&mut self, step: &mut Step) {
        while self.running.len() < self.options.batch_limit as usize {
            let Some(id) = self.waiting.first().cloned() else {
                return;
            };
            let attempt = &mut self.attempts[&id];
            let needed = match attempt.request.reservation {
                Some(_) => 0,
                None => attempt.request.prompt_tokens + u64::from(attempt.request.max_tokens),
            };
            if !self.ledger.has_room(needed) {
                return;
            }
            self.ledger.take(needed);
            attempt.held_tokens += needed;
            attempt.state = Stage::Running;
            attempt.started = true;
            // At least one token is computed, so that the first answer token follows from it.
            let most = attempt.request.prompt_tokens.saturating_sub(1);
            attempt.cached_tokens = self.cache.lookup(&attempt.request.blocks).min(most);
            attempt.computed_tokens = attempt.cached_tokens;
            self.waiting.remove(0);
            step.started.push(id.clone());
            self.running.push(id);
        }
    }

    fn decode(&mut self, step: &mut Step) -> u64 {
        let mut decoded = 0;
        for id in &self.running {
            let attempt = &mut self.attempts[id];
            if attempt.remaining_prompt() > 0 {
                continue;
            }
            decoded += 1;
            step.progress.push(emit(attempt));
        }
        decoded
    }

    /// Spends the budget on prompts; a prompt's last chunk yields the first token of its answer.
    fn prefill(&mut self, budget: u64, step: &mut Step) -> u64 {
        let mut order: Vec<AttemptId> = self.running.clone();
        order.sort_by_key(|id| self.attempts[id].request.priority);
        let mut left = budget.max(1);
        for id in order {
            let attempt = &mut self.attempts[&id];
            let remaining = attempt.remaining_prompt();
            let chunk = remaining.min(left);
            if chunk == 0 {
                continue;
            }
            left -= chunk;
            attempt.computed_tokens += chunk;
            if chunk == remaining {
                step.progress.push(emit(attempt));
                let count = attempt.request.blocks.len().max(1) as u64;
                let each = attempt.request.prompt_tokens.div_ceil(count);
                self.cache.store(&attempt.request.blocks, each);
            }
        }
        budget.max(1) - left
    }

    fn retire(&mut self, step: &Step) {
        for progress in &step.progress {
            if progress.state == Stage::Finished {
                self.end(&progress.id, Stage::Finished);
            }
        }
    }

    fn progress(&self, id: &AttemptId) -> Progress {
        let attempt = &self.attempts[id];
        Progress {
            id: id.clone(),
            state: attempt.state,
            tokens: attempt.tokens,
        }
    }

    fn end(&mut self, id: &AttemptId, state: Stage) {
        let attempt = &mut self.attempts[id];
        attempt.state = state;
        // Ended attempts are kept for a while; a long prompt's block names are large.
        attempt.request.blocks = Vec::new();
        self.ledger
            .give_back(std::mem::take(&mut attempt.held_tokens));
        self.waiting.retain(|other| other != id);
        self.running.retain(|other| other != id);
        let started = attempt.started;
        self.remember(id.clone(), state, started);
        self.ended.push_back(id.clone());
        if self.ended.len() > self.options.ended_limit {
            let oldest = self.ended.pop_front();
            oldest.map(|oldest| self.attempts.swap_remove(&oldest));
        }
    }

    /// Cancels an attempt; an unknown one is remembered, so that it is refused if it comes late.
    pub fn cancel(&mut self, id: &AttemptId) -> Stage {
        match self.fate(id).state {
            Stage::NeverSeen => {
                self.remember(id.clone(), Stage::Cancelled, false);
                Stage::Cancelled
            }
            Stage::Waiting | Stage::Running => {
                self.end(id, Stage::Cancelled);
                Stage::Cancelled
            }
            ended => ended,
        }
    }

    /// Takes an attempt and fails it at once, as if it had run in part.
    pub fn fail(&mut self, now: Moment, request: Request) -> Result<(), Rejection> {
        let id = request.id.clone();
        self.submit(now, request)?;
        self.attempts[&id].started = true;
        self.end(&id, Stage::Failed);
        Ok(())
    }

    /// What became of an attempt.
    pub fn fate(&self, id: &AttemptId) -> Fate {
        let kept = self.attempts.get(id).map(|attempt| Fate {
            state: attempt.state,
            started: attempt.started,
        });
        let never_seen = Fate {
            state: Stage::NeverSeen,
            started: false,
        };
        kept.or_else(|| self.known.get(id).copied())
            .unwrap_or(never_seen)
    }

    /// An attempt that still runs or is still kept.
    pub fn attempt(&self, id: &AttemptId) -> Option<&Attempt> {
        self.attempts.get(id)
    }

    /// Attempts that wait or run.
    pub fn live(&self) -> impl Iterator<Item = &Attempt> {
        let ids = self.running.iter().chain(&self.waiting);
        ids.map(|id| &self.attempts[id])
    }

    /// Whether nothing waits or runs.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// KV memory in use, in tokens.
    pub fn memory_used(&self) -> u64 {
        self.ledger.used()
    }

    /// Reserves memory until `now + ttl`; the same reservation again renews it.
    pub fn reserve(&mut self, now: Moment, hold: Hold, ttl: Duration) -> Result<(), HoldError> {
        self.ledger.expire(now);
        self.ledger.reserve(now, hold, ttl)
    }

    /// Frees a reservation; false where none is held.
    pub fn release(&mut self, id: &str) -> bool {
        self.ledger.release(id).is_some()
    }

    /// Reservations held.
    pub fn reservations(&self) -> impl Iterator<Item = &Hold> {
        self.ledger.reservations()
    }

    /// Keeps a copy of an attempt's KV until it is dropped.
    pub fn export_kv(&mut self, id: &AttemptId) -> Result<Hold, HoldError> {
        let attempt = self.attempts.get(id).ok_or(HoldError::Unknown)?;
        let hold = Hold {
            id: id.to_string(),
            owner: attempt.request.owner.clone(),
            tokens: attempt.computed_tokens + u64::from(attempt.tokens),
        };
        self.ledger.store_kv(hold.clone())?;
        Ok(hold)
    }

    /// Takes in KV of another engine until it is dropped.
    pub fn import_kv(&mut self, hold: Hold) -> Result<(), HoldError> {
        self.ledger.store_kv(hold)
    }

    /// Drops exported or imported KV; false where none is held.
    pub fn drop_kv(&mut self, id: &str) -> bool {
        self.ledger.drop_kv(id).is_some()
    }

    /// Exported and imported KV.
    pub fn kv(&self) -> impl Iterator<Item = &Hold> {
        self.ledger.kv()
    }

    /// Cache events later than `seq`, oldest first, and the number of the last one.
    pub fn cache_events(&self, seq: u64) -> (impl Iterator<Item = &Event>, u64) {
        (self.cache.events_after(seq), self.cache.last_seq())
    }

    /// A load report of this moment.
    pub fn load(&mut self) -> Load {
        self.reports += 1;
        Load {
            sequence: self.reports,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill_tokens: self.live().map(Attempt::remaining_prompt).sum(),
            memory_used_tokens: self.ledger.used(),
            seen: self
                .seen
                .iter()
                .map(|(owner, counter)| (owner.clone(), *counter))
                .collect(),
        }
    }
}

fn emit(attempt: &mut Attempt) -> Progress {
    attempt.tokens += 1;
    let state = if attempt.tokens >= attempt.request.max_tokens {
        Stage::Finished
    } else {
        Stage::Running
    };
    Progress {
        id: attempt.request.id.clone(),
        state,
        tokens: attempt.tokens,
    }
}

fn scale(cost: Duration, count: u64) -> Duration {
    Duration::from_nanos((cost.as_nanos() as u64).saturating_mul(count))
}
