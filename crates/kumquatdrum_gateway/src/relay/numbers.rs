//! Detects relayed requests that arrive twice.

use indexmap::IndexMap;
use kumquatdrum_types::HostId;

/// The number of recent requests of a host that are told apart; older ones count as repeated.
const WINDOW: u64 = 128;

/// The numbers of the requests that other hosts have sent to this relay.
#[derive(Debug, Default)]
pub struct Numbers {
    hosts: IndexMap<HostId, Seen>,
}

/// The requests of a host's newest incarnation.
#[derive(Debug, Default)]
struct Seen {
    boot: u64,
    highest: u64,
    /// A bit for each of the last [`WINDOW`] numbers, the highest in the lowest bit.
    recent: u128,
}

impl Numbers {
    /// Records a request of a host's incarnation. Returns whether it is the first one with its number.
    ///
    /// ```
    /// use kumquatdrum_gateway::relay::Numbers;
    /// use kumquatdrum_types::HostId;
    ///
    /// let (mut numbers, host) = (Numbers::default(), HostId::new("10.0.0.1"));
    /// assert!(numbers.record(&host, 7, 2));
    /// assert!(numbers.record(&host, 7, 1));
    /// assert!(!numbers.record(&host, 7, 2));
    /// assert!(!numbers.record(&host, 6, 3), "an earlier incarnation");
    /// ```
    pub fn record(&mut self, host: &HostId, boot: u64, number: u64) -> bool {
        let seen = self.hosts.entry(host.clone()).or_default();
        if boot < seen.boot {
            return false;
        }
        if boot > seen.boot {
            *seen = Seen {
                boot,
                ..Seen::default()
            };
        }
        if number > seen.highest {
            let shift = number - seen.highest;
            seen.recent = if shift < WINDOW {
                seen.recent << shift
            } else {
                0
            };
            seen.highest = number;
        }
        let age = seen.highest - number;
        if age >= WINDOW || seen.recent & (1 << age) != 0 {
            return false;
        }
        seen.recent |= 1 << age;
        true
    }
}
