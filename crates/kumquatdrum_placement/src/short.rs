//! Prompts that one engine reads without making its other answers pause too long.
//!
//! Answers load: many short prompts, whose callers wait for a first token within a fraction of a
//! second and for every event after it. They are packed on engines that write such answers already,
//! so that the others stay free for long reads that would make their answers pause; and on engines
//! of the host's own data centre, so that no answer breaks when it is cut off from the others.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::IndexSet;
use kumquatdrum_types::Moment;

use crate::candidate::Candidate;
use crate::{Cost, DataCentreKey, Job, Part};

/// The share of a pause that a prompt's reading may take: the rest is for a pass of the answers.
/// What takes longer is long.
const PAUSE: f64 = 0.8;
/// The share of the time to its due moment that a first token may be held up by others for an
/// engine to be packed further. The rest is for its own reading, and for what other hosts send in
/// the same moment. Lower shares spread short answers over engines whose long reads make them
/// pause, higher ones make first tokens late.
const PACKED: f64 = 0.36;
/// The share of the time to its due moment within which a first token is awaited behind what an
/// engine reads already, rather than given to an engine that writes no such answers. The rest is for
/// what other hosts send in the same moment.
const BEHIND: f64 = 0.7;
/// A short prompt is drawn among as many engines as prompts are sent in so long. What another host has
/// sent in the last milliseconds is not known here, and hosts that all choose the engine with the
/// least room to spare fill it beyond its slots: a first token then waits for another's last. Ten
/// times the age of such a view keeps two of them from meeting, and opens few engines more than
/// needed.
const SPREAD: Duration = Duration::from_millis(80);
/// Passes until a first token, beside the reading: half of the present one, and the one in which
/// the prompt is read.
const PASSES: f64 = 1.5;
/// A part that is worth an engine of its own, in milliseconds of reading: the order of a pass.
pub(crate) const PART_MS: f64 = 60.0;

/// Whether a prompt is short: neither its own caller nor any of an answer under way would be kept
/// from an event for too long by its reading.
pub(crate) fn is_short(job: &Job, candidates: &[Candidate<'_>], read_ms: f64) -> bool {
    let own = job.max_pause.as_secs_f64() * 1e3;
    let tightest = candidates.iter().map(Candidate::tightest_pause_ms);
    read_ms <= tightest.fold(own, f64::min) * PAUSE
}

/// What a short prompt's host knows beside the engines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    /// Prompts that all hosts send a second.
    pub(crate) rate: f64,
    /// The data centre that the host stands in, if that is known.
    pub(crate) here: Option<DataCentreKey>,
}

/// How gladly an engine is taken, the best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// It writes answers that bear as short a pause, and starts this one soon.
    Packed,
    /// It writes such answers, and has something to read before this prompt, which is on time.
    Behind,
    /// It writes no such answers: they would keep long reads off it from now on.
    Clean,
    /// The first token would be late, or nearly.
    Late,
}

/// An engine's place among others, the best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    is_late: bool,
    /// It stands in another data centre; of no matter where the first token would be late. A cut between
    /// data centres breaks the streams that cross it.
    is_far: bool,
    rank: Rank,
    /// What it writes, where that counts.
    fullness: Reverse<usize>,
    /// When the first token would come, in microseconds from now.
    first_us: u64,
}

/// The engine that gets a short prompt: the first by rank, or one of the next, where many hosts
/// would meet at the first.
pub(crate) fn place<'a>(
    cost: &Cost,
    now: Moment,
    job: &Job,
    candidates: &'a [Candidate<'a>],
    load: &Load,
) -> Option<&'a Candidate<'a>> {
    let slots = cost.engine().slots as usize;
    let left_ms = (job.due - now).as_secs_f64() * 1e3;
    let fits = candidates
        .iter()
        .filter(|candidate| candidate.free >= job.tokens());
    let fits = fits.filter(|candidate| candidate.writers() < slots);
    let keyed = fits.map(|candidate| (place_of(cost, job, candidate, left_ms, load), candidate));
    let mut keyed: Vec<(Place, &Candidate<'_>)> = keyed.collect();
    keyed.sort_by_key(|(place, candidate)| (*place, candidate.key));
    let (best, _) = keyed.first()?;
    let is_alike = |place: &Place| !place.is_late && place.is_far == best.is_far;
    let alike = keyed.iter().filter(|(place, _)| is_alike(place)).count();
    let among = (1 + (senders(candidates, load) * SPREAD.as_secs_f64()) as usize).min(alike.max(1));
    let drawn = job.id.draw() % among as u64;
    keyed.get(drawn as usize).map(|(_, candidate)| *candidate)
}

fn place_of(cost: &Cost, job: &Job, candidate: &Candidate<'_>, left_ms: f64, load: &Load) -> Place {
    let read_ms = cost.read_ms(job.prompt_tokens).min(PART_MS);
    let pass_ms = cost.pass_ms(candidate.writers() + 1, candidate.tokens());
    let others_ms = candidate.backlog_ms + PASSES * pass_ms;
    let first_us = ((others_ms + read_ms) * 1e3) as u64;
    let answers = candidate.answers_as_tight(job.max_pause.as_secs_f64() * 1e3);
    let is_soon = others_ms <= left_ms * PACKED && candidate.parts_ms <= 0.0;
    let is_on_time = others_ms + read_ms <= left_ms * BEHIND;
    let is_far = load.here.is_some_and(|here| here != candidate.group());
    let (rank, fullness) = match answers {
        1.. if is_soon => (Rank::Packed, answers),
        1.. if is_on_time => (Rank::Behind, 0),
        _ if is_soon => (Rank::Clean, candidate.writers()),
        _ => (Rank::Late, 0),
    };
    let is_late = rank == Rank::Late;
    Place {
        is_late,
        is_far: is_far && !is_late,
        rank,
        fullness: Reverse(fullness),
        first_us,
    }
}

/// Prompts a second that are sent by hosts that choose among the same engines first.
fn senders(candidates: &[Candidate<'_>], load: &Load) -> f64 {
    if load.here.is_none() {
        return load.rate;
    }
    let groups: IndexSet<DataCentreKey> = candidates.iter().map(Candidate::group).collect();
    load.rate / groups.len().max(1) as f64
}

/// Engines that share the reading of a prompt that is short, but longer than a pass: quiet ones,
/// those that write least first.
pub(crate) fn helpers(
    candidates: &[Candidate<'_>],
    first: &Candidate<'_>,
    read_ms: f64,
) -> Vec<Part> {
    let wanted = (read_ms / PART_MS) as usize;
    let quiet = candidates
        .iter()
        .filter(|candidate| candidate.key != first.key);
    let mut quiet: Vec<&Candidate<'_>> = quiet
        .filter(|candidate| candidate.parts_ms <= 0.0)
        .collect();
    quiet.sort_by_key(|candidate| candidate.writers());
    let helpers = quiet.into_iter().take(wanted);
    helpers
        .map(|candidate| Part {
            endpoint: candidate.key,
            reserved: 0,
        })
        .collect()
}
