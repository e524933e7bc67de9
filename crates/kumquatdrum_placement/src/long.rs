//! Prompts that take longer to read than a pass.
//!
//! Answers load: few prompts whose reading takes a second or a minute of one engine. Several
//! engines read a part each. How many, and which, weighs the first token against the answers that
//! would pause for it.

use crate::site::Site;
use crate::{Cost, Job, Part, Plan};

/// The most engines that read one prompt together: the engines' own limit of sixteen helpers.
const WIDEST: usize = 17;
/// What an answer that an engine writes already weighs when engines are compared, in milliseconds
/// of backlog: long reads keep off engines that write, also where no pause is too long yet.
const WRITER_MS: f64 = 100.0;
/// What an answer that would pause too long weighs, in milliseconds until the first token.
const HARM_MS: f64 = 100.0;
/// The share of an engine's free memory that a reservation may ask for: reports are late.
const RESERVED: f64 = 0.9;

/// The backlog at which an engine counts as almost done, in milliseconds: what passes until a
/// first token is known here, so that engines don't stand idle between two prompts.
const ALMOST_DONE_MS: f64 = 150.0;
/// The share of the engines that a prompt would be read by that have to be almost done. Waiting
/// for the last of them costs more than reading with fewer.
const QUORUM: f64 = 0.7;

/// What to do with a long prompt.
pub(crate) enum Placement {
    /// Send it.
    Send(Plan),
    /// Engines have to read first.
    Wait,
    /// Engines have to end answers first, to have memory.
    Blocked,
}

/// The engines that read a long prompt.
pub(crate) fn place(cost: &Cost, job: &Job, sites: &[Site<'_>]) -> Placement {
    let read_ms = cost.read_ms(job.prompt);
    let all = sorted(sites.iter().collect());
    let wanted = width(&all, read_ms);
    let is_ready = |site: &&Site<'_>| site.backlog_ms <= ALMOST_DONE_MS;
    let mut ready = sorted(sites.iter().filter(is_ready).collect());
    let quorum = (wanted as f64 * QUORUM).ceil() as usize;
    if ready.len() < quorum {
        return Placement::Wait;
    }
    ready.truncate(width(&ready, read_ms));
    match hold(job, sites, ready, read_ms) {
        Some(plan) => Placement::Send(plan),
        None => Placement::Blocked,
    }
}

/// The engines in the order in which they are taken.
fn sorted<'a>(mut sites: Vec<&'a Site<'a>>) -> Vec<&'a Site<'a>> {
    let weight = |site: &Site<'_>| almost_ms(site) + WRITER_MS * site.writers() as f64;
    sites.sort_by(|one, other| weight(one).total_cmp(&weight(other)));
    sites
}

/// The backlog, once an engine is almost done.
fn almost_ms(site: &Site<'_>) -> f64 {
    site.backlog_ms.min(ALMOST_DONE_MS)
}

/// How many of the engines read it soonest, with what the answers at them lose.
fn width(sites: &[&Site<'_>], read_ms: f64) -> usize {
    let finish = |width: usize| finish_ms(&sites[..width], read_ms / width as f64);
    let widths = 1..=sites.len().min(WIDEST);
    let best = widths.min_by(|one, other| finish(*one).total_cmp(&finish(*other)));
    best.unwrap_or(1)
}

/// When the last of the engines has read its part, with what the answers at them lose.
fn finish_ms(sites: &[&Site<'_>], part_ms: f64) -> f64 {
    let last = sites.iter().map(|site| almost_ms(site) + site.pass_ms);
    let harm = sites
        .iter()
        .map(|site| site.harmed(almost_ms(site) + part_ms));
    last.fold(0.0, f64::max) + part_ms + harm.sum::<usize>() as f64 * HARM_MS
}

/// Finds memory: at one engine where that is possible, else with reservations at others.
fn hold<'a>(
    job: &Job,
    sites: &'a [Site<'a>],
    mut members: Vec<&'a Site<'a>>,
    read_ms: f64,
) -> Option<Plan> {
    let part_ms = read_ms / members.len() as f64;
    let roomiest = members.iter().enumerate().max_by_key(|(_, site)| site.free);
    let (mut place, mut free) = roomiest.map(|(place, site)| (place, site.free))?;
    if free < job.tokens() {
        // An engine outside may have the room that those inside lack.
        let outside = sites.iter().max_by_key(|site| site.free)?;
        if outside.free > free && members.iter().all(|site| site.key != outside.key) {
            place = members.len() - 1;
            members[place] = outside;
            free = outside.free;
        }
    }
    let first = members.swap_remove(place);
    let mut missing = job.tokens().saturating_sub(free);
    members.sort_by_key(|site| std::cmp::Reverse(site.free));
    let mut helpers = Vec::with_capacity(members.len());
    for site in members {
        let room = (site.free as f64 * RESERVED) as u64;
        let reserved = missing.min(room);
        missing -= reserved;
        helpers.push(Part {
            endpoint: site.key,
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
        part_ms: part_ms as f32,
        tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        pause_ms: job.pause.as_millis() as u32,
    })
}
