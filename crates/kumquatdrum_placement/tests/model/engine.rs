//! One engine.

use std::collections::VecDeque;

use indexmap::IndexSet;
use kumquatdrum_placement::{Cost, JobId};

/// A part of a prompt that an engine reads.
#[derive(Debug, Clone)]
struct Reading {
    job: JobId,
    left_ms: f64,
    chunk_ms: f64,
    helps: bool,
}

#[derive(Debug, Clone)]
struct Writing {
    job: JobId,
    context: u64,
    events: u32,
}

/// What happened at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// It has read its part of a job.
    Read(JobId),
    /// It has sent an event of an answer; true with the last one.
    Sent(JobId, bool),
}

/// One engine.
#[derive(Debug, Clone)]
pub struct Engine {
    cost: Cost,
    reading: Vec<Reading>,
    writing: Vec<Writing>,
    /// Requests that have a slot.
    held: IndexSet<JobId>,
    /// Requests that wait for a slot.
    queue: VecDeque<Reading>,
    free_at: f64,
}

impl Engine {
    pub fn new(cost: Cost) -> Self {
        Self {
            cost,
            reading: Vec::new(),
            writing: Vec::new(),
            held: IndexSet::new(),
            queue: VecDeque::new(),
            free_at: 0.0,
        }
    }

    /// Adds a part of a prompt; `part_ms` is its whole cost.
    pub fn read(&mut self, now: f64, job: JobId, part_ms: f64, tokens: f64, helps: bool) {
        self.free_at = self.free_at.max(now);
        let chunks = (tokens / f64::from(self.cost.engine().chunk_tokens)).ceil();
        let reading = Reading {
            job,
            left_ms: part_ms,
            chunk_ms: part_ms / chunks.max(1.0),
            helps,
        };
        if helps {
            self.reading.push(reading);
        } else {
            self.queue.push_back(reading);
            self.fill_slots();
        }
    }

    fn fill_slots(&mut self) {
        while self.held.len() < self.cost.engine().slots as usize {
            let Some(reading) = self.queue.pop_front() else {
                return;
            };
            self.held.insert(reading.job);
            self.reading.push(reading);
        }
    }

    /// A job has ended with its first event.
    pub fn end(&mut self, job: JobId) {
        self.held.swap_remove(&job);
        self.fill_slots();
    }

    /// All parts of a job are read: its answer begins with the next pass.
    pub fn write(&mut self, now: f64, job: JobId, context: u64, events: u32) {
        self.free_at = self.free_at.max(now);
        self.writing.push(Writing {
            job,
            context,
            events,
        });
    }

    pub fn is_idle(&self) -> bool {
        self.reading.is_empty() && self.writing.is_empty()
    }

    /// When its next pass starts.
    pub fn next_at(&self) -> f64 {
        if self.is_idle() {
            f64::INFINITY
        } else {
            self.free_at
        }
    }

    /// Runs one pass; what happened is told with the moment of the pass's end.
    pub fn pass(&mut self) -> (f64, Vec<Event>) {
        let engine = self.cost.engine();
        let context: u64 = self.writing.iter().map(|writing| writing.context).sum();
        let steps = match self.writing.len() {
            0 => 1,
            _ => engine.pass_steps,
        };
        let step_ms = engine.step_ms
            + engine.decode_request_ms * self.writing.len() as f64
            + engine.context_ms_per_k_tokens * context as f64 / 1e3;
        let mut events = Vec::new();
        let mut took = step_ms * f64::from(steps);
        for _ in 0..steps {
            took += self.read_chunk(&mut events);
        }
        for writing in &mut self.writing {
            writing.events = writing.events.saturating_sub(1);
            writing.context += u64::from(steps);
            let is_last = writing.events == 0;
            events.push(Event::Sent(writing.job, is_last));
            if is_last {
                self.held.swap_remove(&writing.job);
            }
        }
        self.writing.retain(|writing| writing.events > 0);
        self.fill_slots();
        self.free_at += took;
        (self.free_at, events)
    }

    fn read_chunk(&mut self, events: &mut Vec<Event>) -> f64 {
        let newest = self.reading.iter().rposition(|reading| reading.helps);
        let place = match newest {
            Some(place) => place,
            None if self.reading.is_empty() => return 0.0,
            None => 0,
        };
        let reading = &mut self.reading[place];
        let chunk = reading.chunk_ms.min(reading.left_ms);
        reading.left_ms -= chunk;
        if reading.left_ms <= 1e-9 {
            let done = self.reading.remove(place);
            events.push(Event::Read(done.job));
        }
        chunk
    }
}
