//! When the crashes at which a part of prompts was in flight block it.

use std::time::Duration;

use indexmap::IndexSet;

use crate::Origin;

/// The age of a first event from which on the endpoint has survived the parts of the prompt: a part
/// crashes an endpoint that begins to answer.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(400);

/// Crashes within this time count as one: a failure that ends several endpoints at once says little
/// about what they had in common.
const WAVE: Duration = Duration::from_millis(100);
/// The score at which a part is blocked.
const BLOCKING_SCORE: u32 = 6;
/// The score of a crash at which one request had the part in flight.
const SINGLE_SCORE: u32 = 2;
/// The score of a crash at which several requests had: one of them at most caused it, so that the part
/// is more likely a common one.
const SHARED_SCORE: u32 = 1;
/// The number of different requests with the part. One request that is sent again after each crash
/// would block all of its parts otherwise.
const MIN_REQUESTS: usize = 2;

/// A crash at which a part was in flight, and of which it is not cleared.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sighting {
    pub(crate) age: Duration,
    pub(crate) origin: Origin,
    /// Whether several requests had the part in flight.
    pub(crate) is_shared: bool,
}

/// Returns whether a part is blocked for a workspace. Evidence from the requests of one workspace does
/// not count for another.
pub(crate) fn is_blocked(sightings: &[Sighting], workspace: u32) -> bool {
    let requests: IndexSet<u32> = sightings.iter().map(|one| one.origin.request).collect();
    let workspaces: IndexSet<u32> = sightings.iter().map(|one| one.origin.workspace).collect();
    let is_concerned = workspaces.len() > 1 || workspaces.contains(&workspace);
    let is_suspicious = requests.len() >= MIN_REQUESTS && score(sightings) >= BLOCKING_SCORE;
    is_concerned && is_suspicious
}

/// Returns the sum of the highest scores in each wave of crashes.
fn score(sightings: &[Sighting]) -> u32 {
    let mut sightings = sightings.to_vec();
    sightings.sort_by_key(|one| one.age);
    let mut total = 0;
    let mut wave: Option<(Duration, u32)> = None;
    for sighting in sightings {
        let score = sighting.score();
        wave = match wave {
            Some((start, highest)) if sighting.age.saturating_sub(start) < WAVE => {
                Some((start, highest.max(score)))
            }
            ended => {
                total += ended.map_or(0, |(_, highest)| highest);
                Some((sighting.age, score))
            }
        };
    }
    total + wave.map_or(0, |(_, highest)| highest)
}

impl Sighting {
    const fn score(self) -> u32 {
        if self.is_shared {
            SHARED_SCORE
        } else {
            SINGLE_SCORE
        }
    }
}
