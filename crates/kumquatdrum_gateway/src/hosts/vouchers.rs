//! Hosts that control hosts vouch for.
//!
//! Answers load: hundreds of hosts that each have to know which of the others live. A control host
//! tells a host of all others once, and from then on of those that have changed; whoever it has told of
//! as live and has not mentioned since is live by its word.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use kumquatdrum_types::{HostId, Moment};

use crate::message::{Edition, Listing, Sighting};

/// What control hosts have told.
#[derive(Debug, Default)]
pub struct Vouchers {
    vouchers: IndexMap<HostId, Voucher>,
}

#[derive(Debug)]
struct Voucher {
    edition: Edition,
    told: Moment,
    live: IndexSet<HostId>,
}

impl Vouchers {
    /// A control host tells of hosts; those that were heard within `lost` are live.
    pub fn take(&mut self, now: Moment, from: &HostId, listing: &Listing, lost: Duration) {
        let voucher = self.vouchers.entry(from.clone());
        let voucher = voucher.or_insert_with(|| Voucher {
            edition: listing.edition,
            told: now,
            live: IndexSet::new(),
        });
        if listing.is_whole {
            voucher.live.clear();
        }
        for Sighting { host, age_ms } in &listing.hosts {
            if Duration::from_millis(*age_ms) <= lost {
                voucher.live.insert(host.id.clone());
            } else {
                voucher.live.swap_remove(&host.id);
            }
        }
        voucher.edition = listing.edition;
        voucher.told = now;
    }

    /// The newest listing of a control host that is known.
    pub fn edition(&self, from: &HostId) -> Option<Edition> {
        self.vouchers.get(from).map(|voucher| voucher.edition)
    }

    /// How long ago some control host vouched for a host.
    pub fn age(&self, now: Moment, host: &HostId) -> Option<Duration> {
        let vouchers = self.vouchers.values();
        let vouching = vouchers.filter(|voucher| voucher.live.contains(host));
        vouching.map(|voucher| now - voucher.told).min()
    }

    /// Forgets what control hosts have told that are not known any more.
    pub fn retain(&mut self, is_known: impl Fn(&HostId) -> bool) {
        self.vouchers.retain(|host, _| is_known(host));
    }
}
