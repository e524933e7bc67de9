//! Schedules the batch: admission, chunked prefill, decode, cancels and deadlines.

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

/// Reason why a request is refused without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Rejection {
    /// An attempt with this identifier exists.
    #[error("the attempt is known")]
    Known(Summary),
    /// Too many requests are waiting.
    #[error("the queue is full")]
    Full,
    /// The request needs more memory than the engine has.
    #[error("the request exceeds the engine's memory")]
    TooLong,
    /// The reservation is unknown or has expired.
    #[error("the reservation is unknown or has expired")]
    NoReservation,
}

/// Stage of an attempt, remembered after its details are discarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Summary {
    /// Stage of the attempt.
    pub state: Stage,
    /// Whether the attempt ever entered the batch.
    pub started: bool,
}

/// Progress of an attempt in one step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// Identifier of the attempt.
    pub id: AttemptId,
    /// Stage after the step.
    pub state: Stage,
    /// Tokens of the answer after the step.
    pub tokens: u32,
}

/// Result of a step. The engine publishes the progress once the cost has elapsed.
#[derive(Debug, Default)]
pub struct Step {
    /// Duration of the step; zero if nothing was computed.
    pub cost: Duration,
    /// Attempts that progressed or ended.
    pub progress: Vec<Progress>,
    /// Attempts that entered the batch, and so count as run.
    pub started: Vec<AttemptId>,
}

/// State of an engine.
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
    /// Summaries by attempt identifier, to refuse duplicates.
    known: IndexMap<AttemptId, Summary>,
    ledger: Ledger,
    cache: Cache,
    /// Highest attempt counter by owner.
    counters: IndexMap<String, u64>,
    report_sequence: u64,
}

impl Model {
    /// Creates an idle engine.
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
            counters: IndexMap::new(),
            report_sequence: 0,
        }
    }

    /// Returns sizes and step costs.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// Adds a request to the queue.
    pub fn submit(&mut self, now: Moment, request: Request) -> Result<(), Rejection> {
        self.ledger.expire(now);
        // A refused request adds no load, so later load reports already account for it.
        self.record_counter(&request);
        let summary = self.summary(&request.id);
        let own_tokens = request.prompt_tokens + u64::from(request.max_tokens);
        match &request.reservation {
            _ if summary.state != Stage::NeverSeen => return Err(Rejection::Known(summary)),
            None if own_tokens > self.options.memory_tokens => return Err(Rejection::TooLong),
            _ if self.waiting.len() >= self.options.queue_limit as usize => {
                return Err(Rejection::Full);
            }
            _ => {}
        }
        let reserved = match &request.reservation {
            Some(id) => self.take_over(id)?,
            None => 0,
        };
        self.remember(request.id.clone(), Stage::Waiting, false);
        self.enqueue(&request);
        self.attempts
            .insert(request.id.clone(), Attempt::new(request, reserved));
        Ok(())
    }

    /// Converts a reservation into memory of an attempt.
    fn take_over(&mut self, reservation: &str) -> Result<u64, Rejection> {
        let tokens = self
            .ledger
            .release(reservation)
            .ok_or(Rejection::NoReservation)?;
        self.ledger.allocate(tokens);
        Ok(tokens)
    }

    /// Updates the highest attempt counter of the request's owner.
    fn record_counter(&mut self, request: &Request) {
        let highest = self.counters.entry(request.owner.clone()).or_default();
        *highest = request.counter.max(*highest);
    }

    /// Inserts a request into the queue, ordered by priority, then arrival.
    fn enqueue(&mut self, request: &Request) {
        let position = self
            .waiting
            .partition_point(|id| self.attempts[id].request.priority <= request.priority);
        self.waiting.insert(position, request.id.clone());
    }

    fn remember(&mut self, id: AttemptId, state: Stage, started: bool) {
        self.known.insert(id, Summary { state, started });
        // Dropping the older half at once amortises the cost of moving the entries.
        if self.known.len() > 2 * self.options.known_limit {
            self.known.drain(..self.options.known_limit);
        }
    }

    /// Computes one step.
    pub fn step(&mut self, now: Moment) -> Step {
        self.ledger.expire(now);
        let mut step = Step::default();
        self.fail_expired(now, &mut step);
        self.admit_waiting(&mut step);
        if self.running.is_empty() {
            return step;
        }
        let decoded = self.decode(&mut step);
        let computed = self.prefill(self.options.chunk_tokens.saturating_sub(decoded), &mut step);
        self.end_finished(&step);
        step.cost = self.options.step
            + multiply(self.options.decode_token, decoded)
            + multiply(self.options.prefill_token, computed);
        step
    }

    /// Fails the attempts whose deadline has passed.
    fn fail_expired(&mut self, now: Moment, step: &mut Step) {
        let expired: Vec<AttemptId> = self
            .waiting
            .iter()
            .chain(&self.running)
            .filter(|id| self.attempts[*id].request.deadline <= now)
            .cloned()
            .collect();
        for id in expired {
            self.end(&id, Stage::Failed);
            step.progress.push(self.progress(&id));
        }
    }

    /// Admits waiting requests in queue order until one doesn't fit.
    fn admit_waiting(&mut self, step: &mut Step) {
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
            self.ledger.allocate(needed);
            attempt.held_tokens += needed;
            attempt.state = Stage::Running;
            attempt.started = true;
            // At least one prompt token is computed, which yields the first token of the answer.
            let max_cached = attempt.request.prompt_tokens.saturating_sub(1);
            attempt.cached_tokens = self.cache.lookup(&attempt.request.blocks).min(max_cached);
            attempt.computed_tokens = attempt.cached_tokens;
            self.waiting.remove(0);
            step.started.push(id.clone());
            self.running.push(id);
        }
    }

    /// Decodes one token for each request whose prefill is complete; returns the token count.
    fn decode(&mut self, step: &mut Step) -> u64 {
        let mut decoded = 0;
        for id in &self.running {
            let attempt = &mut self.attempts[id];
            if attempt.remaining_prompt() > 0 {
                continue;
            }
            decoded += 1;
            step.progress.push(emit_token(attempt));
        }
        decoded
    }

    /// Spends the budget on prompts and returns the tokens computed.
    ///
    /// A prompt's last chunk yields the first token of its answer.
    fn prefill(&mut self, budget: u64, step: &mut Step) -> u64 {
        let mut order: Vec<AttemptId> = self.running.clone();
        order.sort_by_key(|id| self.attempts[id].request.priority);
        let mut remaining_budget = budget.max(1);
        for id in order {
            let attempt = &mut self.attempts[&id];
            let remaining = attempt.remaining_prompt();
            let chunk = remaining.min(remaining_budget);
            if chunk == 0 {
                continue;
            }
            remaining_budget -= chunk;
            attempt.computed_tokens += chunk;
            if chunk == remaining {
                step.progress.push(emit_token(attempt));
                let count = attempt.request.blocks.len().max(1) as u64;
                let block_tokens = attempt.request.prompt_tokens.div_ceil(count);
                self.cache.store(&attempt.request.blocks, block_tokens);
            }
        }
        budget.max(1) - remaining_budget
    }

    fn end_finished(&mut self, step: &Step) {
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
        // The block names of a long prompt are large, and ended attempts are kept for a while.
        attempt.request.blocks = Vec::new();
        self.ledger.free(std::mem::take(&mut attempt.held_tokens));
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

    /// Cancels an attempt; an unknown identifier is remembered, so that a later request is refused.
    pub fn cancel(&mut self, id: &AttemptId) -> Stage {
        match self.summary(id).state {
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

    /// Submits a request and fails it at once, as if it had run in part.
    pub fn fail(&mut self, now: Moment, request: Request) -> Result<(), Rejection> {
        let id = request.id.clone();
        self.submit(now, request)?;
        self.attempts[&id].started = true;
        self.end(&id, Stage::Failed);
        Ok(())
    }

    /// Returns the stage of an attempt, and whether it has run.
    pub fn summary(&self, id: &AttemptId) -> Summary {
        let kept = self.attempts.get(id).map(|attempt| Summary {
            state: attempt.state,
            started: attempt.started,
        });
        let never_seen = Summary {
            state: Stage::NeverSeen,
            started: false,
        };
        kept.or_else(|| self.known.get(id).copied())
            .unwrap_or(never_seen)
    }

    /// Returns an attempt that is live or still kept.
    pub fn attempt(&self, id: &AttemptId) -> Option<&Attempt> {
        self.attempts.get(id)
    }

    /// Returns the attempts that are waiting or running.
    pub fn live(&self) -> impl Iterator<Item = &Attempt> {
        let ids = self.running.iter().chain(&self.waiting);
        ids.map(|id| &self.attempts[id])
    }

    /// Whether no attempt is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    /// Returns the KV memory in use, in tokens.
    pub fn memory_used(&self) -> u64 {
        self.ledger.used()
    }

    /// Reserves memory until `now + ttl`; an identical reservation is renewed.
    pub fn reserve(&mut self, now: Moment, hold: Hold, ttl: Duration) -> Result<(), HoldError> {
        self.ledger.expire(now);
        self.ledger.reserve(now, hold, ttl)
    }

    /// Frees a reservation; false if the name is unknown.
    pub fn release(&mut self, id: &str) -> bool {
        self.ledger.release(id).is_some()
    }

    /// Returns the reservations.
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

    /// Imports KV of another engine, which is kept until it is dropped.
    pub fn import_kv(&mut self, hold: Hold) -> Result<(), HoldError> {
        self.ledger.store_kv(hold)
    }

    /// Drops exported or imported KV; false if the name is unknown.
    pub fn drop_kv(&mut self, id: &str) -> bool {
        self.ledger.drop_kv(id).is_some()
    }

    /// Returns exported and imported KV.
    pub fn kv(&self) -> impl Iterator<Item = &Hold> {
        self.ledger.kv()
    }

    /// Returns the cache events after `seq`, oldest first, and the number of the last event.
    pub fn cache_events(&self, seq: u64) -> (impl Iterator<Item = &Event>, u64) {
        (self.cache.events_after(seq), self.cache.last_seq())
    }

    /// Returns a report of the current load.
    pub fn load(&mut self) -> Load {
        self.report_sequence += 1;
        Load {
            sequence: self.report_sequence,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill_tokens: self.live().map(Attempt::remaining_prompt).sum(),
            memory_used_tokens: self.ledger.used(),
            seen: self
                .counters
                .iter()
                .map(|(owner, counter)| (owner.clone(), *counter))
                .collect(),
        }
    }
}

fn emit_token(attempt: &mut Attempt) -> Progress {
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

fn multiply(cost: Duration, count: u64) -> Duration {
    Duration::from_nanos((cost.as_nanos() as u64).saturating_mul(count))
}
