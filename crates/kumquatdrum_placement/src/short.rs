//! Prompts that one engine reads without making its other answers pause too long.
//!
//! Answers load: many short prompts, whose callers wait for a first token within a fraction of a
//! second and for every event after it. They are packed on engines that write already, so that
//! the others stay free for long reads that would make their answers pause.

use kumquatdrum_types::Moment;

use crate::site::Site;
use crate::{Cost, Job, Part};

/// The share of a pause that a prompt's reading may take: the rest is for a pass of the answers.
/// What takes longer is long.
const PAUSE: f64 = 0.8;
/// The share of the time to its due moment that a first token may be held up by others for an
/// engine to be packed further. The rest is for its own reading, and for what other hosts send in
/// the same moment. Lower shares spread short answers over engines whose long reads make them
/// pause, higher ones make first tokens late: 0.28 and 0.4 both cost 0.01 to 0.02 of all worth.
const PACKED: f64 = 0.36;
/// Passes until a first token, beside the reading: half of the present one, and the one in which
/// the prompt is read.
const PASSES: f64 = 1.5;
/// A part that is worth an engine of its own, in milliseconds of reading: the order of a pass.
pub(crate) const PART_MS: f64 = 60.0;

/// Whether a prompt is short: neither its own caller nor any of an answer under way would be kept
/// from an event for too long by its reading.
pub(crate) fn is_short(job: &Job, sites: &[Site<'_>], read_ms: f64) -> bool {
    let own = job.pause.as_secs_f64() * 1e3;
    let tightest = sites.iter().map(Site::tightest_pause_ms);
    read_ms <= tightest.fold(own, f64::min) * PAUSE
}

/// The engine that gets a short prompt: the one that writes most among those that are soon enough,
/// else the soonest.
pub(crate) fn place<'a>(
    cost: &Cost,
    now: Moment,
    job: &Job,
    sites: &'a [Site<'a>],
) -> Option<&'a Site<'a>> {
    let slots = cost.engine().slots as usize;
    let left_ms = (job.due - now).as_secs_f64() * 1e3;
    let read_ms = cost.read_ms(job.prompt).min(PART_MS);
    let fits = sites.iter().filter(|site| site.free >= job.tokens());
    let fits = fits.filter(|site| site.writers() < slots);
    fits.min_by_key(|site| {
        let pass_ms = cost.pass_ms(site.writers() + 1, site.tokens());
        let others_ms = site.backlog_ms + PASSES * pass_ms;
        let first = ((others_ms + read_ms) * 1e3) as u64;
        let is_soon = others_ms <= left_ms * PACKED && site.parts_ms <= 0.0;
        if is_soon {
            (0, (slots - site.writers()) as u64, first)
        } else {
            (1, first, 0)
        }
    })
}

/// Engines that share the reading of a prompt that is short, but longer than a pass: quiet ones,
/// those that write least first.
pub(crate) fn helpers(sites: &[Site<'_>], first: &Site<'_>, read_ms: f64) -> Vec<Part> {
    let wanted = (read_ms / PART_MS) as usize;
    let quiet = sites.iter().filter(|site| site.key != first.key);
    let mut quiet: Vec<&Site<'_>> = quiet.filter(|site| site.parts_ms <= 0.0).collect();
    quiet.sort_by_key(|site| site.writers());
    let helpers = quiet.into_iter().take(wanted);
    helpers
        .map(|site| Part {
            endpoint: site.key,
            reserved: 0,
        })
        .collect()
}
