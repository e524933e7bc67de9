//! Prompts that one engine reads without making its other answers pause too long.
//!
//! Answers load: many short prompts, whose callers wait for a first token within a fraction of a
//! second and for every event after it. They are packed on engines that write already, so that
//! the others stay free for long reads that would make their answers pause.

use std::time::Duration;

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
/// A short prompt is drawn among as many engines as prompts are sent in so long. What another host has
/// sent in the last milliseconds is not known here, and hosts that all choose the engine with the
/// least room to spare fill it beyond its slots: a first token then waits for another's last. Ten
/// times the age of such a view keeps two of them from meeting, and opens few engines more than
/// needed. With 85 hosts before 78 engines and views 8 ms old, 0.97 of the short prompts are answered
/// on time, 0.67 without; 40 ms gives 0.95 (bench `policy`).
const SPREAD: Duration = Duration::from_millis(80);
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

/// The engine that gets a short prompt: one of those that write most among those that are soon
/// enough, else the soonest. `rate` is how many prompts all hosts send a second.
pub(crate) fn place<'a>(
    cost: &Cost,
    now: Moment,
    job: &Job,
    sites: &'a [Site<'a>],
    rate: f64,
) -> Option<&'a Site<'a>> {
    let slots = cost.engine().slots as usize;
    let left_ms = (job.due - now).as_secs_f64() * 1e3;
    let read_ms = cost.read_ms(job.prompt).min(PART_MS);
    let fits = sites.iter().filter(|site| site.free >= job.tokens());
    let fits = fits.filter(|site| site.writers() < slots);
    let key = |site: &&Site<'_>| {
        let pass_ms = cost.pass_ms(site.writers() + 1, site.tokens());
        let others_ms = site.backlog_ms + PASSES * pass_ms;
        let first = ((others_ms + read_ms) * 1e3) as u64;
        let is_soon = others_ms <= left_ms * PACKED && site.parts_ms <= 0.0;
        if is_soon {
            (0, (slots - site.writers()) as u64, first)
        } else {
            (1, first, 0)
        }
    };
    let mut keyed: Vec<_> = fits.map(|site| (key(&site), site)).collect();
    keyed.sort_by_key(|(key, site)| (*key, site.key));
    let soon = keyed.iter().filter(|((late, ..), _)| *late == 0).count();
    let among = (1 + (rate * SPREAD.as_secs_f64()) as usize).min(soon.max(1));
    let place = job.id.draw() % among as u64;
    keyed.get(place as usize).map(|(_, site)| *site)
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
