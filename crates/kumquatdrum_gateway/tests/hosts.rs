//! Who lives, as control hosts tell hundreds of others.
//!
//! Each host took a list of all hosts twice a second: before 295 hosts, 590 lists of eleven kilobytes a
//! second, four in five of them from another data centre.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_gateway::hosts::vouchers::Vouchers;
use kumquatdrum_gateway::hosts::{Hosts, LOST};
use kumquatdrum_gateway::message::{Edition, Host, Listing, Sighting, Wanted};
use kumquatdrum_peer::{Client, Counters, Identity, LocalDaemon, Secret};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_types::{BootId, HostId, Moment};
use slog::{Discard, Logger, o};

const START: Moment = Moment::from_millis(100_000);

fn host(number: u8, boot: u64, control: bool) -> Host {
    Host {
        id: HostId::new(format!("10.0.0.{number}")),
        data_centre: "tartu".into(),
        boot,
        callers: !control,
        control,
        replica: None,
        stopping: false,
    }
}

fn hosts(local: &Host) -> Hosts {
    let logger = Logger::root(Discard, o!());
    let client = Client::new(LocalDaemon {
        cluster: "test".into(),
        secret: Secret::new("secret"),
        identity: Identity {
            host: local.id.clone(),
            boot: BootId(local.boot),
        },
        counters: Arc::new(Counters::default()),
        logger: logger.clone(),
    });
    Hosts::new(
        Clock::start(),
        Arc::new(client),
        7_000,
        local.clone(),
        logger,
    )
}

fn listing(control: &Hosts, wanted: Wanted) -> Listing {
    control.listing(wanted).expect("a listing")
}

fn names(listing: &Listing) -> Vec<&str> {
    let hosts = listing.hosts.iter();
    hosts.map(|sighting| sighting.host.id.as_str()).collect()
}

#[tokio::test]
async fn after_the_first_listing_only_changes_are_told() {
    let (control, entry) = (host(1, 5, true), host(2, 5, false));
    let (teller, taker) = (hosts(&control), hosts(&entry));
    for number in 2..=9 {
        teller.heard(host(number, 5, false));
    }
    assert_eq!(taker.wanted(&control.id), Wanted::All);
    let whole = listing(&teller, taker.wanted(&control.id));
    assert!(whole.is_whole);
    assert_eq!(whole.hosts.len(), 9);
    taker.merge(&control.id, whole);

    // Greetings alone change nothing; a restart, a stop and a new host do.
    for number in 2..=9 {
        teller.heard(host(number, 5, false));
    }
    let same = listing(&teller, taker.wanted(&control.id));
    assert_eq!(names(&same), ["10.0.0.1"]);
    taker.merge(&control.id, same);
    teller.heard(host(3, 6, false));
    teller.heard(Host {
        stopping: true,
        ..host(4, 5, false)
    });
    teller.heard(host(10, 5, false));
    let changed = listing(&teller, taker.wanted(&control.id));
    assert!(!changed.is_whole);
    assert_eq!(
        names(&changed),
        ["10.0.0.1", "10.0.0.3", "10.0.0.4", "10.0.0.10"]
    );
    taker.merge(&control.id, changed.clone());
    // An answer that is lost is asked for again.
    let again = listing(
        &teller,
        Wanted::Since(Edition {
            changes: changed.edition.changes - 1,
            ..changed.edition
        }),
    );
    assert_eq!(names(&again), ["10.0.0.1", "10.0.0.10"]);

    let live = taker.live();
    let known = |id: &str| {
        live.iter()
            .find(|host| host.id.as_str() == id)
            .expect("known")
    };
    assert_eq!(known("10.0.0.3").boot, 6);
    assert!(known("10.0.0.4").stopping);
    assert_eq!(live.len(), 9);
}

#[tokio::test]
async fn a_control_host_that_has_started_again_tells_all() {
    let control = host(1, 5, true);
    let before = hosts(&control);
    before.heard(host(3, 5, false));
    let taker = hosts(&host(2, 5, false));
    taker.merge(&control.id, listing(&before, Wanted::All));
    let after = hosts(&host(1, 7, true));
    after.heard(host(4, 5, false));
    let whole = listing(&after, taker.wanted(&control.id));
    assert!(whole.is_whole);
    assert_eq!(names(&whole), ["10.0.0.1", "10.0.0.4"]);
}

#[tokio::test]
async fn control_hosts_elsewhere_are_greeted_every_other_round() {
    let far = |number| Host {
        data_centre: "riga".into(),
        ..host(number, 5, true)
    };
    let entry = hosts(&host(9, 5, false));
    let seeds = [1, 2, 3, 4].map(|number| host(number, 5, true).id);
    entry.set_seeds(seeds.to_vec());
    assert_eq!(entry.greeted(0, false).len(), 4, "nobody is known yet");
    entry.heard(host(1, 5, true));
    (2..=4).for_each(|number| entry.heard(far(number)));
    let mut greetings = [0; 4];
    for round in 0..8 {
        let greeted = entry.greeted(round, false);
        let teller = entry.lister(round, &greeted).expect("a teller");
        assert!(greeted.contains(&teller));
        for (count, seed) in greetings.iter_mut().zip(&seeds) {
            *count += u32::from(greeted.contains(seed));
        }
        assert_eq!(entry.greeted(round, true).len(), 4);
    }
    assert_eq!(greetings, [8, 4, 4, 4]);
    let control = hosts(&host(8, 5, true));
    (2..=4).for_each(|number| control.heard(far(number)));
    assert_eq!(control.greeted(1, false).len(), 3);
}

#[tokio::test]
async fn control_hosts_do_not_take_each_others_word() {
    let (one, other) = (hosts(&host(1, 5, true)), hosts(&host(2, 5, true)));
    other.heard(host(3, 5, false));
    one.merge(&HostId::new("10.0.0.2"), listing(&other, Wanted::All));
    assert_eq!(one.wanted(&HostId::new("10.0.0.2")), Wanted::All);
}

fn told(changes: u64, is_whole: bool, hosts: &[(u8, u64)]) -> Listing {
    let hosts = hosts.iter().map(|(number, age_ms)| Sighting {
        host: host(*number, 5, false),
        age_ms: *age_ms,
    });
    Listing {
        edition: Edition { boot: 5, changes },
        is_whole,
        hosts: hosts.collect(),
    }
}

#[test]
fn a_host_is_live_by_word_until_its_loss_is_told_or_nobody_speaks_any_more() {
    let mut vouchers = Vouchers::default();
    let at = |ms| START + Duration::from_millis(ms);
    let (near, far) = (HostId::new("10.0.0.1"), HostId::new("10.0.1.1"));
    let (kept, lost) = (host(3, 5, false).id, host(4, 5, false).id);
    vouchers.take(at(0), &near, &told(1, true, &[(3, 100), (4, 100)]), LOST);
    vouchers.take(at(500), &far, &told(1, true, &[(3, 100), (4, 100)]), LOST);
    // Nothing has changed for longer than a host may be silent.
    for round in 1..=10 {
        vouchers.take(at(round * 500), &near, &told(1, false, &[]), LOST);
    }
    assert_eq!(
        vouchers.age(at(5_100), &kept),
        Some(Duration::from_millis(100))
    );
    vouchers.take(at(5_500), &near, &told(2, false, &[(4, 2_100)]), LOST);
    // The other control host has not been asked since, so its word is old.
    let age = vouchers.age(at(5_500), &lost).expect("the other's word");
    assert!(age > LOST);
    vouchers.take(at(6_000), &far, &told(2, true, &[(3, 100)]), LOST);
    assert_eq!(vouchers.age(at(6_000), &lost), None);
    // Both fall silent.
    let age = vouchers.age(at(9_000), &kept).expect("an old word");
    assert!(age > LOST);
    vouchers.retain(|host| *host == far);
    assert_eq!(vouchers.edition(&near), None);
    assert_eq!(
        vouchers.edition(&far),
        Some(Edition {
            boot: 5,
            changes: 2
        })
    );
}
