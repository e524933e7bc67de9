//! Reports of evacuations that hosts send to a few control hosts each.

use kumquatdrum_gateway::evacuations::{Report, Store};
use kumquatdrum_types::{DataCentre, HostId};
use slog::{Discard, Logger, o};

fn report(version: u64, running: u32) -> Report {
    Report {
        version,
        running: vec![(DataCentre::new("tartu"), running)],
        ..Report::default()
    }
}

/// Guards against a status that lists the hosts of other control hosts as behind.
#[test]
fn a_control_host_knows_the_versions_that_hosts_report_to_others() {
    let stores = [(); 2].map(|()| Store::new(Logger::root(Discard, o!())));
    let [first, second] = &stores;
    let (own, other) = (HostId::new("10.0.0.1"), HostId::new("10.0.0.2"));
    first.record_report(&own, &report(3, 1));
    second.record_report(&other, &report(3, 4));
    first.merge_progress(second.progress());
    assert_eq!(first.version_of(&own), Some(3));
    assert_eq!(first.version_of(&other), Some(3));
    // An older version does not replace a newer one.
    second.record_report(&other, &report(2, 9));
    first.merge_progress(second.progress());
    assert_eq!(first.version_of(&other), Some(3));
}
