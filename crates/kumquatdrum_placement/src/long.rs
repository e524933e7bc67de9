//! Prompts that take longer to read than a pass.
//!
//! Answers load: few prompts whose reading takes a second or a minute of one engine. Their parts
//! are read by several engines. How many, and which, weighs the first token against the answers
//! that would pause for it. A prompt waits while the engines have much to read, the longer ones
//! sooner, so that short ones pass and little is committed when the load turns.

use std::time::Duration;

use kumquatdrum_types::Moment;

use crate::site::Site;
use crate::{Cost, Job, Part, Plan};

/// The most engines that read one prompt together: the engines' own limit of sixteen helpers.
const WIDEST: usize = 17;
/// The share of the time to its due moment after which a first token counts as at risk; from
/// there on the risk grows up to certainty at that moment. Estimates miss by passes.
const AT_RISK: f64 = 0.6;
/// The backlog at which a prompt of a second's reading is still sent, in milliseconds: about what
/// its own parts add.
const BACKLOG_MS: f64 = 150.0;
/// The reading that `BACKLOG_MS` is meant for, in milliseconds.
const REFERENCE_MS: f64 = 1_000.0;
/// Milliseconds of backlog that are borne for each millisecond that a prompt has waited.
const AGEING: f64 = 0.25;
/// What a millisecond until the first token weighs beside risks and pauses: it only decides
/// between ways that are alike in these.
const TIME: f64 = 1e-4;
/// The share of an engine's free memory that a reservation may ask for: reports are late.
const RESERVED: f64 = 0.9;

/// What to do with a long prompt.
pub(crate) enum Placement {
    Send(Plan),
    Wait,
}

struct Choice {
    sites: Vec<usize>,
    part_ms: f64,
    loss: f64,
    backlog_ms: f64,
}

/// The engines that read a long prompt.
pub(crate) fn place(cost: &Cost, now: Moment, job: &Job, sites: &[Site<'_>]) -> Placement {
    let read_ms = cost.read_ms(job.prompt);
    let left_ms = (job.due - now).as_secs_f64() * 1e3;
    let widest = sites.len().min(WIDEST);
    let choices = (1..=widest).map(|width| choose(job, sites, width, read_ms, left_ms));
    let Some(best) = choices.min_by(|one, other| one.loss.total_cmp(&other.loss)) else {
        return Placement::Wait;
    };
    if best.backlog_ms > borne_ms(now, job, read_ms) {
        return Placement::Wait;
    }
    match hold(job, sites, &best) {
        Some(plan) => Placement::Send(plan),
        None => Placement::Wait,
    }
}

/// The backlog that is borne before it waits no longer.
fn borne_ms(now: Moment, job: &Job, read_ms: f64) -> f64 {
    let waited: Duration = now - job.arrived;
    let ratio = REFERENCE_MS / read_ms.max(1.0);
    BACKLOG_MS * ratio.sqrt() + AGEING * waited.as_secs_f64() * 1e3
}

fn choose(job: &Job, sites: &[Site<'_>], width: usize, read_ms: f64, left_ms: f64) -> Choice {
    let part_ms = read_ms / width as f64;
    let price = |site: &Site<'_>| site.harm(part_ms) + TIME * (site.backlog_ms + site.pass_ms);
    let mut order: Vec<usize> = (0..sites.len()).collect();
    order.sort_by(|one, other| price(&sites[*one]).total_cmp(&price(&sites[*other])));
    order.truncate(width);
    let backlogs = order.iter().map(|place| sites[*place].backlog_ms);
    let backlog_ms = backlogs.fold(0.0, f64::max);
    let passes = order.iter().map(|place| sites[*place].pass_ms);
    let finish_ms = backlog_ms + part_ms + 2.0 * passes.fold(0.0, f64::max);
    let harm: f64 = order.iter().map(|place| sites[*place].harm(part_ms)).sum();
    let risk = risk(finish_ms, left_ms) * f64::from(job.weight());
    Choice {
        sites: order,
        part_ms,
        loss: harm + risk + TIME * finish_ms,
        backlog_ms,
    }
}

/// How likely a first token is late.
fn risk(finish_ms: f64, left_ms: f64) -> f64 {
    if left_ms <= 0.0 {
        return 1.0;
    }
    let share = finish_ms / left_ms;
    ((share - AT_RISK) / (1.0 - AT_RISK)).clamp(0.0, 1.0)
}

/// Finds memory: at one engine where that is possible, else with reservations at others.
fn hold(job: &Job, sites: &[Site<'_>], choice: &Choice) -> Option<Plan> {
    let mut members: Vec<&Site<'_>> = choice.sites.iter().map(|place| &sites[*place]).collect();
    let roomiest = |members: &[&Site<'_>]| {
        let free = members.iter().map(|site| site.free).enumerate();
        free.max_by_key(|(_, free)| *free)
    };
    let (mut place, mut free) = roomiest(&members)?;
    if free < job.tokens() {
        // An engine outside may have the room that those inside lack.
        let outside = sites.iter().max_by_key(|site| site.free)?;
        if outside.free > free && members.iter().all(|site| site.key != outside.key) {
            let last = members.len() - 1;
            members[last] = outside;
            (place, free) = (last, outside.free);
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
        part_ms: choice.part_ms as f32,
        tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
        pause_ms: job.pause.as_millis() as u32,
        weight: job.weight(),
    })
}
