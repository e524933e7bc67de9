//! Prompts that one engine reads within about a pass.
//!
//! Answers load: many short prompts, whose callers wait for a first token within a fraction of a
//! second and for every event after it. They are packed on engines that write already, so that
//! the others stay free for long reads that would make their answers pause.

use crate::site::Site;
use crate::{Cost, Job};

/// A prompt whose reading takes at most this long is short, in milliseconds: the order of a pass,
/// below which sharing gains nothing.
pub(crate) const SHORT_MS: f64 = 60.0;
/// The share of an engine's slots that short answers fill before the next engine is begun. The
/// rest takes what other hosts send in the same moment.
const PACKED: f64 = 0.75;

/// The engine that gets a short prompt.
pub(crate) fn place<'a>(cost: &Cost, job: &Job, sites: &'a [Site<'a>]) -> Option<&'a Site<'a>> {
    let slots = cost.engine().slots as usize;
    let packed = (f64::from(cost.engine().slots) * PACKED) as usize;
    let fits = sites.iter().filter(|site| site.free >= job.tokens());
    let fits = fits.filter(|site| site.writers() < slots);
    fits.min_by_key(|site| {
        let backlog = (site.backlog_ms * 1e3) as u64;
        let is_quiet = site.backlog_ms <= SHORT_MS;
        let writers = site.writers();
        match (is_quiet, writers >= packed) {
            (true, false) => (0, (slots - writers) as u64, backlog),
            (true, true) => (1, writers as u64, backlog),
            (false, _) => (2, backlog, writers as u64),
        }
    })
}
