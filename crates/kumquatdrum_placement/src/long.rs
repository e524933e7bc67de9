//! Prompts that take longer to read than a pass.
//!
//! Answers load: few prompts whose reading takes a second or a minute of one engine. Several
//! engines read a part each. How many, and which, weighs the first token against the answers that
//! would pause for it. An engine reads the newest part first, and a first token waits for the last
//! of its parts: prompts whose parts meet at an engine starve each other. So one prompt after the
//! other is sent to an engine, in an order that all hosts share.

use kumquatdrum_types::Moment;

use crate::candidate::Candidate;
use crate::demand::weight;
use crate::{Cost, DataCentreKey, Job, Part, Plan};

/// The most engines that read one prompt together: the engines' own limit of sixteen helpers.
pub(crate) const WIDEST: usize = 17;
/// What an answer that an engine writes already weighs when engines are compared, in milliseconds
/// of backlog: long reads keep off engines that write, also where no pause is too long yet.
const WRITER_MS: f64 = 300.0;
/// What answers that would pause too long weigh, in milliseconds until the first token for each unit of
/// weight: a caller with a short prompt weighs one and a half.
const HARM_MS: f64 = 60.0;
/// What the answers under way may lose by pauses for each unit that a prompt's caller gains: few
/// engines that read a very long prompt make dozens of answers pause for seconds.
const HARM_BORNE: f64 = 0.3;
/// The share of an engine's free memory that a reservation may ask for: reports are late.
const RESERVED: f64 = 0.9;

/// The share of the engines that a prompt would be read by that have to be done with earlier
/// parts. Waiting for the last of them costs more than reading with fewer.
const QUORUM: f64 = 0.9;
/// What each engine that takes part loses beside its reading, in passes: the one that its part
/// waits for. A part that is short beside it is a waste of the engine's time.
const PASSES: f64 = 0.25;

/// What to do with a long prompt.
pub(crate) enum Placement {
    /// Send it.
    Send(Plan),
    /// Engines have to read first.
    Wait,
    /// Engines have to end answers first, to have memory.
    Blocked,
    /// The answers under way would lose more by its pauses than its caller gains.
    Harmful {
        /// How long its reading would take were that no matter, in milliseconds.
        part_ms: f64,
    },
}

/// The engines that read a long prompt.
pub(crate) fn place(
    cost: &Cost,
    now: Moment,
    job: &Job,
    candidates: &[Candidate<'_>],
    here: Option<DataCentreKey>,
) -> Placement {
    let read_ms = cost.read_ms(job.prompt_tokens);
    let all = sorted(candidates.iter().collect());
    let taken_ms = cost.pass_ms(1, 0) * PASSES;
    let wanted = width(&all, read_ms, taken_ms, f64::INFINITY).unwrap_or(1);
    let is_ready = |candidate: &&Candidate<'_>| candidate.parts_ms <= 0.0;
    let mut ready = sorted(candidates.iter().filter(is_ready).collect());
    let quorum = (wanted as f64 * QUORUM).ceil() as usize;
    if ready.len() < quorum {
        return Placement::Wait;
    }
    let freely = width(&ready, read_ms, taken_ms, f64::INFINITY).unwrap_or(1);
    let part_ms = read_ms / freely as f64;
    let left_ms = (job.due - now).as_secs_f64() * 1e3;
    let bound = weight(job.prompt_tokens) * HARM_BORNE;
    // What is late already, as a broken answer that goes on here, has nothing to lose by few engines.
    let is_late = left_ms <= 0.0;
    let width = match width(&ready, read_ms, taken_ms, bound) {
        Some(width) if width == freely || is_late => width,
        Some(width) if read_ms / width as f64 <= left_ms => width,
        _ if is_late => return Placement::Blocked,
        _ => return Placement::Harmful { part_ms },
    };
    ready.truncate(width);
    match allocate(job, candidates, ready, read_ms, here) {
        Some(plan) => Placement::Send(plan),
        None => Placement::Blocked,
    }
}

/// The engines in the order in which they are taken.
fn sorted<'a>(mut candidates: Vec<&'a Candidate<'a>>) -> Vec<&'a Candidate<'a>> {
    let weight =
        |candidate: &Candidate<'_>| candidate.backlog_ms + WRITER_MS * candidate.writers() as f64;
    candidates.sort_by(|one, other| weight(one).total_cmp(&weight(other)));
    candidates
}

/// How many of the engines read it soonest, with what the answers at them lose: of the widths at
/// which they lose no more than `bound`, if any.
fn width(candidates: &[&Candidate<'_>], read_ms: f64, taken_ms: f64, bound: f64) -> Option<usize> {
    let finish = |width: usize| {
        let taken = taken_ms * width as f64;
        finish_ms(&candidates[..width], read_ms / width as f64) + taken
    };
    let is_borne = |width: &usize| harm(&candidates[..*width], read_ms / *width as f64) <= bound;
    let widths = (1..=candidates.len().min(WIDEST)).filter(is_borne);
    widths.min_by(|one, other| finish(*one).total_cmp(&finish(*other)))
}

/// The weight of the answers that would pause too long.
fn harm(candidates: &[&Candidate<'_>], part_ms: f64) -> f64 {
    candidates
        .iter()
        .map(|candidate| candidate.harm(part_ms))
        .sum()
}

/// When the last of the engines has read its part, with what the answers at them lose.
fn finish_ms(candidates: &[&Candidate<'_>], part_ms: f64) -> f64 {
    let last = candidates.iter().map(|candidate| candidate.pass_ms);
    last.fold(0.0, f64::max) + part_ms + harm(candidates, part_ms) * HARM_MS
}

/// Finds memory: at one engine where that is possible, else with reservations at others. The answer
/// comes from an engine of the host's own data centre where one has the room: a cut between data
/// centres doesn't break it.
fn allocate<'a>(
    job: &Job,
    candidates: &'a [Candidate<'a>],
    mut members: Vec<&'a Candidate<'a>>,
    read_ms: f64,
    here: Option<DataCentreKey>,
) -> Option<Plan> {
    let part_ms = read_ms / members.len() as f64;
    let is_near = |candidate: &Candidate<'_>| {
        here == Some(candidate.group()) && candidate.free >= job.tokens()
    };
    let preferred = members.iter().enumerate();
    let preferred = preferred.max_by_key(|(_, candidate)| (is_near(candidate), candidate.free));
    let (mut place, mut free) = preferred.map(|(place, candidate)| (place, candidate.free))?;
    if free < job.tokens() {
        // An engine outside may have the room that those inside lack.
        let outside = candidates.iter().max_by_key(|candidate| candidate.free)?;
        if outside.free > free && members.iter().all(|candidate| candidate.key != outside.key) {
            place = members.len() - 1;
            members[place] = outside;
            free = outside.free;
        }
    }
    let first = members.swap_remove(place);
    let mut missing = job.tokens().saturating_sub(free);
    members.sort_by_key(|candidate| std::cmp::Reverse(candidate.free));
    let mut helpers = Vec::with_capacity(members.len());
    for candidate in members {
        let room = (candidate.free as f64 * RESERVED) as u64;
        let reserved = missing.min(room);
        missing -= reserved;
        helpers.push(Part {
            endpoint: candidate.key,
            reserved: u32::try_from(reserved).unwrap_or(u32::MAX),
        });
    }
    if missing > 0 {
        return None;
    }
    let tokens = job.tokens().min(free);
    Some(Plan {
        job: job.id,
        first: first.key,
        helpers,
        prompt: u32::try_from(job.prompt_tokens).unwrap_or(u32::MAX),
        target_ms: (job.due - job.arrived).as_millis() as u32,
        part_ms: part_ms as f32,
        tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        pause_ms: job.max_pause.as_millis() as u32,
    })
}
