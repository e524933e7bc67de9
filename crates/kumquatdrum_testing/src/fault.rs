//! Faults that a stand-in is ordered to show.

use std::time::Duration;

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// An order to fail in one way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case", deny_unknown_fields)]
pub enum Fault {
    /// Stop abruptly: connections are reset, new ones refused. A dead stand-in stays dead.
    Die,
    /// Stand still as a stopped process does.
    Freeze,
    /// Go on after a freeze.
    Thaw,
    /// Let the connections that are open now carry nothing any more; new ones work.
    SilenceOpen,
    /// Begin the next `count` answers `ms` milliseconds late; the work itself isn't delayed.
    Late {
        /// Milliseconds.
        ms: u64,
        /// How many answers.
        count: u32,
    },
    /// Answer the next `count` requests with another attempt's answer.
    Cross {
        /// How many answers.
        count: u32,
        /// Whether the `x-attempt-id` header is the other attempt's too, or only the events.
        header: bool,
    },
    /// End the next `count` streams after some tokens, without the end marker.
    Cut {
        /// Tokens that still arrive.
        after_tokens: u32,
        /// How many streams.
        count: u32,
        /// Whether the connection is broken off, or the body ends as if it were whole.
        broken: bool,
    },
    /// Lose the next `count` cancels: no answer comes.
    LoseCancel {
        /// How many cancels.
        count: u32,
        /// Whether the cancel takes effect all the same.
        done: bool,
    },
    /// Refuse the next `count` requests as full, with nothing run.
    Refuse {
        /// How many requests.
        count: u32,
    },
    /// Run each request in part and answer 500, until `Heal`.
    Fail,
    /// End all faults but death and silenced connections.
    Heal,
}

/// The faults in force.
#[derive(Debug, Default)]
pub struct Faults(Mutex<Orders>);

#[derive(Debug, Default)]
struct Orders {
    late: (Duration, u32),
    cross: (bool, u32),
    cut: (Cut, u32),
    lose_cancel: (bool, u32),
    refuse: u32,
    fail: bool,
}

/// Where and how a stream is cut.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cut {
    /// Tokens that still arrive.
    pub after_tokens: u32,
    /// Whether the connection is broken off.
    pub broken: bool,
}

impl Faults {
    /// Puts a fault in force; the ones that concern the whole stand-in are the switch's.
    pub fn inject(&self, fault: &Fault) {
        let mut orders = self.0.lock();
        match *fault {
            Fault::Late { ms, count } => orders.late = (Duration::from_millis(ms), count),
            Fault::Cross { count, header } => orders.cross = (header, count),
            Fault::Cut {
                after_tokens,
                count,
                broken,
            } => {
                let cut = Cut {
                    after_tokens,
                    broken,
                };
                orders.cut = (cut, count);
            }
            Fault::LoseCancel { count, done } => orders.lose_cancel = (done, count),
            Fault::Refuse { count } => orders.refuse = count,
            Fault::Fail => orders.fail = true,
            Fault::Heal => *orders = Orders::default(),
            Fault::Die | Fault::Freeze | Fault::Thaw | Fault::SilenceOpen => {}
        }
    }

    /// The delay of this answer.
    pub fn take_late(&self) -> Option<Duration> {
        take(&mut self.0.lock().late)
    }

    /// Whether this answer is crossed, and whether its header is too.
    pub fn take_cross(&self) -> Option<bool> {
        take(&mut self.0.lock().cross)
    }

    /// Where this stream is cut.
    pub fn take_cut(&self) -> Option<Cut> {
        take(&mut self.0.lock().cut)
    }

    /// Whether this cancel is lost, and whether it takes effect all the same.
    pub fn take_lose_cancel(&self) -> Option<bool> {
        take(&mut self.0.lock().lose_cancel)
    }

    /// Whether this request is refused.
    pub fn take_refuse(&self) -> bool {
        let mut orders = self.0.lock();
        let refused = orders.refuse > 0;
        orders.refuse = orders.refuse.saturating_sub(1);
        refused
    }

    /// Whether every request fails.
    pub fn fails(&self) -> bool {
        self.0.lock().fail
    }
}

fn take<T: Copy>(order: &mut (T, u32)) -> Option<T> {
    if order.1 == 0 {
        return None;
    }
    order.1 -= 1;
    Some(order.0)
}
