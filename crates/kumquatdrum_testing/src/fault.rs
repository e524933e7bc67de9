//! Faults that can be injected into a stand-in.

use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// A fault to inject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Stop abruptly: open connections are reset, new ones refused. It can't be undone.
    Die,
    /// Stop abruptly, with the listener closed a little later than the connections.
    DieSlowly,
    /// Stop all work and answer nothing, with connections open.
    Freeze,
    /// Continue after a freeze.
    Thaw,
    /// Stop forwarding bytes on the open connections; new ones work.
    SilenceOpen,
    /// Delay the next `count` answers by `ms` milliseconds; the run itself isn't delayed.
    Late {
        /// Delay in milliseconds.
        ms: u64,
        /// Number of answers.
        count: u32,
    },
    /// Answer the next `count` requests with another attempt's answer.
    Cross {
        /// Number of answers.
        count: u32,
        /// Whether the `x-attempt-id` header also names the other attempt.
        header: bool,
    },
    /// End the next `count` streams after `after_tokens` tokens, without the end marker.
    Cut {
        /// Tokens sent before the cut.
        after_tokens: u32,
        /// Number of streams.
        count: u32,
        /// Whether the connection is reset, rather than the body ended normally.
        broken: bool,
    },
    /// Leave the next `count` cancels unanswered.
    LoseCancel {
        /// Number of cancels.
        count: u32,
        /// Whether the cancel takes effect nevertheless.
        done: bool,
    },
    /// Refuse the next `count` requests as full, without running them.
    Refuse {
        /// Number of requests.
        count: u32,
    },
    /// Run each request in part and answer 500, until `Heal`.
    Fail,
    /// End all faults except `Die`, `DieSlowly` and `SilenceOpen`.
    Heal,
}

/// The active faults.
#[derive(Debug, Default)]
pub struct Faults(Mutex<Active>);

/// Parameters of each fault, with the number of times that it still applies.
#[derive(Debug, Default)]
struct Active {
    late: (Duration, u32),
    cross: (bool, u32),
    cut: (Cut, u32),
    lose_cancel: (bool, u32),
    refuse: u32,
    fail: bool,
}

/// How a stream is cut.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cut {
    /// Tokens sent before the cut.
    pub after_tokens: u32,
    /// Whether the connection is reset.
    pub broken: bool,
}

impl Faults {
    /// Activates a fault; [`crate::process`] applies those that affect the whole stand-in.
    pub fn inject(&self, fault: &Fault) {
        let mut active = self.0.lock();
        match *fault {
            Fault::Late { ms, count } => active.late = (Duration::from_millis(ms), count),
            Fault::Cross { count, header } => active.cross = (header, count),
            Fault::Cut {
                after_tokens,
                count,
                broken,
            } => {
                let cut = Cut {
                    after_tokens,
                    broken,
                };
                active.cut = (cut, count);
            }
            Fault::LoseCancel { count, done } => active.lose_cancel = (done, count),
            Fault::Refuse { count } => active.refuse = count,
            Fault::Fail => active.fail = true,
            Fault::Heal => *active = Active::default(),
            Fault::Die | Fault::DieSlowly | Fault::Freeze | Fault::Thaw | Fault::SilenceOpen => {}
        }
    }

    /// Returns the delay of the current answer.
    pub fn take_late(&self) -> Option<Duration> {
        take(&mut self.0.lock().late)
    }

    /// Returns `Some` if the current request gets another attempt's answer, with `true` if the
    /// header names the other attempt too.
    pub fn take_cross(&self) -> Option<bool> {
        take(&mut self.0.lock().cross)
    }

    /// Returns how the current stream is cut.
    pub fn take_cut(&self) -> Option<Cut> {
        take(&mut self.0.lock().cut)
    }

    /// Returns `Some` if the current cancel is lost, with `true` if it takes effect nevertheless.
    pub fn take_lose_cancel(&self) -> Option<bool> {
        take(&mut self.0.lock().lose_cancel)
    }

    /// Whether the current request is refused.
    pub fn take_refuse(&self) -> bool {
        let mut active = self.0.lock();
        let is_refused = active.refuse > 0;
        active.refuse = active.refuse.saturating_sub(1);
        is_refused
    }

    /// Whether every request fails.
    pub fn fails(&self) -> bool {
        self.0.lock().fail
    }
}

/// Consumes one use of a fault and returns its parameter.
fn take<T: Copy>(fault: &mut (T, u32)) -> Option<T> {
    if fault.1 == 0 {
        return None;
    }
    fault.1 -= 1;
    Some(fault.0)
}
