//! Membership listings by control hosts.
//!
//! Guards against sending the complete list of hosts in every hello exchange.

use std::sync::Arc;
use std::time::Duration;

use kumquatdrum_consensus::Member as Replica;
use kumquatdrum_gateway::hosts::reports::Reports;
use kumquatdrum_gateway::hosts::table::Table;
use kumquatdrum_gateway::hosts::{Hosts, LOST_AFTER};
use kumquatdrum_gateway::message::{Host, Listing, Member, Selection};
use kumquatdrum_peer::{Client, Counters, Identity, LocalDaemon, Secret};
use kumquatdrum_process::clock::Clock;
use kumquatdrum_types::{BootId, Checkpoint, HostId, Moment};
use slog::{Discard, Logger, o};

const START: Moment = Moment::from_millis(100_000);

fn host(number: u8, boot: u64, is_control: bool) -> Host {
    Host {
        id: HostId::new(format!("10.0.0.{number}")),
        data_centre: "tartu".into(),
        boot,
        accepts_callers: !is_control,
        is_control,
        replica: None,
        is_stopping: false,
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

fn listing(control: &Hosts, wanted: Selection) -> Listing {
    control.listing(wanted, false).expect("a listing")
}

fn names(listing: &Listing) -> Vec<&str> {
    let hosts = listing.hosts.iter();
    hosts.map(|member| member.host.id.as_str()).collect()
}

#[tokio::test]
async fn after_the_first_listing_only_changes_are_sent() {
    let (control, caller_host) = (host(1, 5, true), host(2, 5, false));
    let (sender, receiver) = (hosts(&control), hosts(&caller_host));
    for number in 2..=9 {
        sender.record_contact(host(number, 5, false));
    }
    assert_eq!(receiver.listing_selection(&control.id), Selection::All);
    let complete = listing(&sender, receiver.listing_selection(&control.id));
    assert!(complete.is_complete);
    assert_eq!(complete.hosts.len(), 9);
    receiver.merge_listing(&control.id, complete);

    // A hello alone is no change; a restart, a stop and a new host are.
    for number in 2..=9 {
        sender.record_contact(host(number, 5, false));
    }
    let same = listing(&sender, receiver.listing_selection(&control.id));
    assert_eq!(names(&same), ["10.0.0.1"]);
    receiver.merge_listing(&control.id, same);
    sender.record_contact(host(3, 6, false));
    sender.record_contact(Host {
        is_stopping: true,
        ..host(4, 5, false)
    });
    sender.record_contact(host(10, 5, false));
    let changed = listing(&sender, receiver.listing_selection(&control.id));
    assert!(!changed.is_complete);
    assert_eq!(
        names(&changed),
        ["10.0.0.1", "10.0.0.3", "10.0.0.4", "10.0.0.10"]
    );
    receiver.merge_listing(&control.id, changed.clone());
    // A lost listing is requested again.
    let again = listing(
        &sender,
        Selection::Since(Checkpoint {
            changes: changed.version.changes - 1,
            ..changed.version
        }),
    );
    assert_eq!(names(&again), ["10.0.0.1", "10.0.0.10"]);

    let live = receiver.live_hosts();
    let known = |id: &str| {
        live.iter()
            .find(|host| host.id.as_str() == id)
            .expect("known")
    };
    assert_eq!(known("10.0.0.3").boot, 6);
    assert!(known("10.0.0.4").is_stopping);
    assert_eq!(live.len(), 9);
}

#[tokio::test]
async fn a_restarted_control_host_sends_a_complete_listing() {
    let control = host(1, 5, true);
    let before = hosts(&control);
    before.record_contact(host(3, 5, false));
    let receiver = hosts(&host(2, 5, false));
    receiver.merge_listing(&control.id, listing(&before, Selection::All));
    let after = hosts(&host(1, 7, true));
    after.record_contact(host(4, 5, false));
    let complete = listing(&after, receiver.listing_selection(&control.id));
    assert!(complete.is_complete);
    assert_eq!(names(&complete), ["10.0.0.1", "10.0.0.4"]);
}

/// Two control hosts that repeated each other's listings would keep a lost host alive.
#[test]
fn control_hosts_list_to_each_other_only_hosts_that_they_hear_from() {
    let at = |ms| START + Duration::from_millis(ms);
    let ids = [1, 2].map(|number| host(number, 5, true).id);
    let mut tables = [1, 2].map(|number| Table::new(host(number, 5, true)));
    let silent = host(3, 5, false);
    tables[0].record_contact(at(0), silent.clone());
    for round in 0..20 {
        let now = at(round * 500);
        for (from, to) in [(0, 1), (1, 0)] {
            let selection = tables[to].listing_selection(&ids[from]);
            let listing = tables[from].listing(now, selection, true);
            let listing = listing.expect("a listing");
            let lists_silent = names(&listing).contains(&silent.id.as_str());
            assert!(from == 0 || !lists_silent, "{listing:?}");
            tables[to].merge_listing(now, &ids[from], listing);
            tables[to].expire_silent(now);
        }
        let live = tables.iter().map(|table| {
            let mut live = table.live(now);
            live.any(|host| host.id == silent.id)
        });
        let live: Vec<bool> = live.collect();
        match round {
            ..=3 => assert_eq!(live, [true, true], "round {round}"),
            4..=8 => {}
            _ => assert_eq!(live, [false, false], "round {round}"),
        }
    }
}

fn build_listing(changes: u64, is_complete: bool, hosts: &[(u8, u64)]) -> Listing {
    let hosts = hosts.iter().map(|(number, age_ms)| Member {
        host: host(*number, 5, false),
        age_ms: *age_ms,
    });
    Listing {
        version: Checkpoint { boot: 5, changes },
        is_complete,
        hosts: hosts.collect(),
    }
}

#[test]
fn a_host_is_live_until_its_loss_is_reported_or_reports_stop() {
    let mut reports = Reports::default();
    let at = |ms| START + Duration::from_millis(ms);
    let (near, far) = (HostId::new("10.0.0.1"), HostId::new("10.0.1.1"));
    let (kept, lost) = (host(3, 5, false).id, host(4, 5, false).id);
    reports.apply(
        at(0),
        &near,
        &build_listing(1, true, &[(3, 100), (4, 100)]),
        LOST_AFTER,
    );
    reports.apply(
        at(500),
        &far,
        &build_listing(1, true, &[(3, 100), (4, 100)]),
        LOST_AFTER,
    );
    // Empty reports keep a host live beyond the silence after which it would count as lost.
    for round in 1..=10 {
        reports.apply(
            at(round * 500),
            &near,
            &build_listing(1, false, &[]),
            LOST_AFTER,
        );
    }
    assert_eq!(
        reports.age(at(5_100), &kept),
        Some(Duration::from_millis(100))
    );
    reports.apply(
        at(5_500),
        &near,
        &build_listing(2, false, &[(4, 2_100)]),
        LOST_AFTER,
    );
    // The other control host has sent no report since, so its last one is too old.
    let age = reports.age(at(5_500), &lost).expect("the other report");
    assert!(age > LOST_AFTER);
    reports.apply(
        at(6_000),
        &far,
        &build_listing(2, true, &[(3, 100)]),
        LOST_AFTER,
    );
    assert_eq!(reports.age(at(6_000), &lost), None);
    // Both control hosts fall silent.
    let age = reports.age(at(9_000), &kept).expect("an old report");
    assert!(age > LOST_AFTER);
    reports.retain(|host| *host == far);
    assert_eq!(reports.version(&near), None);
    assert_eq!(
        reports.version(&far),
        Some(Checkpoint {
            boot: 5,
            changes: 2
        })
    );
}

/// Guards against a host that never greets a seed, or greets itself or hosts without control.
#[tokio::test]
async fn contact_targets_are_unknown_seeds_and_known_control_hosts() {
    let local = host(1, 5, true);
    let hosts = hosts(&local);
    hosts.set_seeds([1, 2, 3].map(|number| host(number, 5, true).id).to_vec());
    let far = Host {
        data_centre: "narva".into(),
        ..host(2, 5, true)
    };
    hosts.record_contact(far);
    hosts.record_contact(host(4, 5, true));
    hosts.record_contact(host(5, 5, false));
    let targets = hosts.contact_targets();
    let mut targets: Vec<(&str, bool)> = targets
        .iter()
        .map(|target| (target.host.as_str(), target.is_remote))
        .collect();
    targets.sort_unstable();
    let expected = [("10.0.0.2", true), ("10.0.0.3", false), ("10.0.0.4", false)];
    assert_eq!(targets, expected);
}

/// A host that chose the senders to cold endpoints among the few hosts that it knows, or only among
/// live ones, would choose others than the rest do.
#[tokio::test]
async fn a_host_knows_all_caller_hosts_with_the_listing_of_a_majority_only() {
    let local = hosts(&host(3, 5, false));
    let control = host(1, 5, true);
    local.record_contact(control.clone());
    let lost_ms = 9_000;
    let listing = build_listing(1, true, &[(4, 100), (5, lost_ms)]);
    local.merge_listing(&control.id, listing);
    local.record_majority(&control.id, false);
    assert!(!local.has_complete_listing());
    local.record_majority(&control.id, true);
    assert!(local.has_complete_listing());
    let numbers = [3, 4, 5].map(|number| 0x0a00_0000 + number);
    assert_eq!(local.remembered_caller_numbers(), numbers);
    assert_eq!(local.caller_numbers().len(), 2);
}

/// Guards against a host that trusts the word of a control host that it no longer hears from, and
/// against a control host that counts others' listings as contact.
#[test]
fn a_majority_is_heard_directly_or_by_the_word_of_a_control_host_that_is() {
    let at = |ms| START + Duration::from_millis(ms);
    let control = |number| host(number, 5, true);
    let mut entry = Table::new(host(9, 5, false));
    entry.record_contact(at(0), control(1));
    entry.record_majority(&control(1).id, true);
    entry.record_contact(at(1_000), control(2));
    entry.record_majority(&control(2).id, false);
    assert!(entry.has_control_majority(at(2_000)));
    assert!(!entry.has_control_majority(at(2_100)));

    let mut first = Table::new(control(1));
    let listing = Listing {
        version: Checkpoint::default(),
        is_complete: true,
        hosts: [2, 3, 4, 5]
            .map(|number| Member {
                host: control(number),
                age_ms: 0,
            })
            .to_vec(),
    };
    first.merge_listing(at(0), &control(2).id, listing);
    first.record_contact(at(0), control(2));
    assert!(!first.has_control_majority(at(0)), "two of five");
    first.record_contact(at(0), control(3));
    assert!(first.has_control_majority(at(0)), "three of five");
    assert!(!first.has_control_majority(at(2_100)));
}

/// A listing of control hosts alone is no report of who is live, and changes without the listing before
/// them are none either.
#[test]
fn partial_listings_are_no_reports() {
    let mut sender = Table::new(host(1, 5, true));
    sender.record_contact(START, host(2, 5, true));
    sender.record_contact(START, host(3, 5, false));
    let listing = sender.listing(START, Selection::ControlHosts, false);
    let listing = listing.expect("a listing");
    assert_eq!(names(&listing), ["10.0.0.1", "10.0.0.2"]);
    let mut receiver = Table::new(host(4, 5, false));
    let from = host(1, 5, true).id;
    receiver.merge_listing(START, &from, listing);
    assert_eq!(receiver.listing_selection(&from), Selection::All);
    assert_eq!(receiver.live(START).count(), 2);
    receiver.merge_listing(START, &from, build_listing(7, false, &[(3, 0)]));
    assert_eq!(receiver.listing_selection(&from), Selection::All);
}

/// Guards against a control host whose time of day went back before it started again with an empty disk: what
/// it says must count, or its lost replica stays a voter, and its new one is no spare.
#[test]
fn a_control_host_is_heard_after_its_time_of_day_went_back() {
    let replica = |incarnation| Some(Replica::new("10.0.0.3", incarnation, "tartu"));
    let announcing = |boot, incarnation| Host {
        replica: replica(incarnation),
        ..host(3, boot, true)
    };
    let mut table = Table::new(host(1, 5, true));
    table.record_contact(START, announcing(9_000, 1));
    for seconds in 1..=10 {
        let now = START + Duration::from_secs(seconds);
        table.record_contact(now, announcing(4_000, 2));
        table.expire_silent(now);
    }
    let now = START + Duration::from_secs(10);
    let known = table.replica_hosts(now);
    assert_eq!(known.len(), 1, "{known:?}");
    assert!(known[0].is_live, "{known:?}");
    assert_eq!(known[0].replica, replica(2));
}

/// Guards against control hosts that were lost and replaced, one at a time, and together outnumber the live ones:
/// they are remembered for 20 s.
#[test]
fn live_control_hosts_are_a_majority_after_others_were_replaced() {
    let mut table = Table::new(host(1, 5, true));
    // One of three is replaced each 6 s, at once.
    let mut now = START;
    for lost in 3..=5 {
        for _ in 0..60 {
            now = now + Duration::from_millis(100);
            table.record_contact(now, host(2, 5, true));
            let lost_at = START + Duration::from_secs(6 * (lost - 3));
            if now < lost_at + Duration::from_secs(4) {
                table.record_contact(now, host(lost as u8, 5, true));
            } else {
                table.record_contact(now, host(lost as u8 + 1, 5, true));
            }
            table.expire_silent(now);
        }
    }
    assert!(table.has_control_majority(now), "of three hosts, all live");
}
