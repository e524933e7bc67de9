//! A simulated model engine.

use std::collections::VecDeque;

use indexmap::IndexSet;
use kumquatdrum_placement::{Cost, JobId};

/// The prefill of a part of a prompt.
#[derive(Debug, Clone)]
struct Prefill {
    job: JobId,
    left_ms: f64,
    chunk_ms: f64,
    is_helper: bool,
}

#[derive(Debug, Clone)]
struct Answer {
    job: JobId,
    context: u64,
    events: u32,
}

/// An event of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// The engine has completed its part of a prefill.
    PrefillDone(JobId),
    /// An event of an answer was sent; true for the last one.
    Sent(JobId, bool),
}

/// A simulated model engine.
#[derive(Debug, Clone)]
pub struct Engine {
    cost: Cost,
    prefills: Vec<Prefill>,
    answers: Vec<Answer>,
    /// Requests that hold a slot.
    running: IndexSet<JobId>,
    queue: VecDeque<Prefill>,
    free_at: f64,
}

impl Engine {
    pub fn new(cost: Cost) -> Self {
        Self {
            cost,
            prefills: Vec::new(),
            answers: Vec::new(),
            running: IndexSet::new(),
            queue: VecDeque::new(),
            free_at: 0.0,
        }
    }

    /// Adds the prefill of a part of a prompt, which takes `part_ms` in total.
    pub fn prefill(&mut self, now: f64, job: JobId, part_ms: f64, tokens: f64, is_helper: bool) {
        self.free_at = self.free_at.max(now);
        let chunks = (tokens / f64::from(self.cost.engine().chunk_tokens)).ceil();
        let prefill = Prefill {
            job,
            left_ms: part_ms,
            chunk_ms: part_ms / chunks.max(1.0),
            is_helper,
        };
        if is_helper {
            self.prefills.push(prefill);
        } else {
            self.queue.push_back(prefill);
            self.fill_slots();
        }
    }

    fn fill_slots(&mut self) {
        while self.running.len() < self.cost.engine().slots as usize {
            let Some(prefill) = self.queue.pop_front() else {
                return;
            };
            self.running.insert(prefill.job);
            self.prefills.push(prefill);
        }
    }

    /// Frees the slot of a job whose first event was its last.
    pub fn end(&mut self, job: JobId) {
        self.running.swap_remove(&job);
        self.fill_slots();
    }

    /// Starts decoding with the next pass. All parts of the prefill must be complete.
    pub fn decode(&mut self, now: f64, job: JobId, context: u64, events: u32) {
        self.free_at = self.free_at.max(now);
        self.answers.push(Answer {
            job,
            context,
            events,
        });
    }

    pub fn is_idle(&self) -> bool {
        self.prefills.is_empty() && self.answers.is_empty()
    }

    /// Returns when the next pass starts.
    pub fn next_pass_at(&self) -> f64 {
        if self.is_idle() {
            f64::INFINITY
        } else {
            self.free_at
        }
    }

    /// Runs one pass; returns its end and its events.
    pub fn run_pass(&mut self) -> (f64, Vec<Event>) {
        let engine = self.cost.engine();
        let context: u64 = self.answers.iter().map(|answer| answer.context).sum();
        let steps = match self.answers.len() {
            0 => 1,
            _ => engine.pass_steps,
        };
        let step_ms = engine.step_ms
            + engine.decode_request_ms * self.answers.len() as f64
            + engine.context_ms_per_k_tokens * context as f64 / 1e3;
        let mut events = Vec::new();
        let mut duration = step_ms * f64::from(steps);
        for _ in 0..steps {
            duration += self.prefill_chunk(&mut events);
        }
        for answer in &mut self.answers {
            answer.events = answer.events.saturating_sub(1);
            answer.context += u64::from(steps);
            let is_last = answer.events == 0;
            events.push(Event::Sent(answer.job, is_last));
            if is_last {
                self.running.swap_remove(&answer.job);
            }
        }
        self.answers.retain(|answer| answer.events > 0);
        self.fill_slots();
        self.free_at += duration;
        (self.free_at, events)
    }

    fn prefill_chunk(&mut self, events: &mut Vec<Event>) -> f64 {
        let newest_helper = self.prefills.iter().rposition(|prefill| prefill.is_helper);
        let index = match newest_helper {
            Some(index) => index,
            None if self.prefills.is_empty() => return 0.0,
            None => 0,
        };
        let prefill = &mut self.prefills[index];
        let chunk = prefill.chunk_ms.min(prefill.left_ms);
        prefill.left_ms -= chunk;
        if prefill.left_ms <= 1e-9 {
            let done = self.prefills.remove(index);
            events.push(Event::PrefillDone(done.job));
        }
        chunk
    }
}
