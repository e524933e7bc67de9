//! Whose turn it is among long prompts that wait, here and at other hosts.
//!
//! Hosts tell each other of the prompts that wait at them, and all order them alike, so that the
//! prompt whose turn it is is sent by its host while the others hold theirs.

use std::time::Duration;

use indexmap::IndexMap;
use kumquatdrum_types::Moment;

use crate::demand::weight;
use crate::{JobId, Waiter};

/// How long a turn counts that its host does not speak of: hosts tell of each ten times a second.
const LIFE: Duration = Duration::from_millis(300);
/// What a first token that is late already is worth beside one on time.
const LATE: f64 = 0.25;

/// Long prompts that wait.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    turns: IndexMap<JobId, Waiting>,
}

#[derive(Debug)]
struct Waiting {
    turn: Waiter,
    arrived: Moment,
    due: Moment,
    heard: Moment,
}

impl Turns {
    /// A prompt waits.
    pub(crate) fn put(&mut self, now: Moment, turn: Waiter) {
        let waited = Duration::from_millis(turn.waited_ms.into()).as_micros() as u64;
        let waiting = Waiting {
            turn,
            arrived: Moment {
                micros: now.micros.saturating_sub(waited),
            },
            due: now + Duration::from_millis(turn.left_ms.into()),
            heard: now,
        };
        self.turns.insert(turn.job, waiting);
    }

    /// Whether a prompt waits already.
    pub(crate) fn contains(&self, job: JobId) -> bool {
        self.turns.contains_key(&job)
    }

    /// A prompt waits no longer.
    pub(crate) fn remove(&mut self, job: JobId) {
        self.turns.swap_remove(&job);
    }

    /// Forgets turns that nobody speaks of.
    pub(crate) fn forget(&mut self, now: Moment) {
        self.turns.retain(|_, waiting| now - waiting.heard <= LIFE);
    }

    /// Whether no other prompt's turn comes before this one's.
    pub(crate) fn is_next(&self, now: Moment, turn: Waiter) -> bool {
        let left = Duration::from_millis(turn.left_ms.into());
        let waited = Duration::from_millis(turn.waited_ms.into());
        let own = rank(&turn, waited, left);
        let others = self.turns.values();
        let mut others = others.filter(|other| !other.turn.blocked && other.turn.job != turn.job);
        others.all(|other| {
            let rank = rank(&other.turn, now - other.arrived, other.due - now);
            (own, turn.job) >= (rank, other.turn.job)
        })
    }
}

/// The more a prompt weighs for each millisecond of reading, and the longer it has waited of its
/// time, the sooner its turn comes. One that is late already goes after those that are not.
fn rank(turn: &Waiter, waited: Duration, left: Duration) -> f64 {
    let weight = weight(turn.prompt.into());
    let rate = weight / f64::from(turn.read_ms).max(1.0);
    let time = (waited + left).as_secs_f64().max(f64::MIN_POSITIVE);
    let aged = rate * (1.0 + waited.as_secs_f64() / time);
    if left.is_zero() { aged * LATE } else { aged }
}
