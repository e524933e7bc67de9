//! Late, duplicated and reordered announcements, and those of earlier incarnations.

use std::time::Duration;

use kumquatdrum_registry::{Announcement, Change, News, Presence, Refresh, Registry, Update};
use kumquatdrum_types::{DataCentre, EndpointId, Moment, ServiceName};

const NOW: Moment = Moment::from_millis(100_000);

fn announcement(id: &str, started: u64, sequence: u64) -> Announcement {
    Announcement {
        id: EndpointId::new(id),
        started,
        sequence,
        service: ServiceName::new("s"),
        address: "10.0.0.1:80".parse().expect("an address"),
        data_centre: DataCentre::new("z"),
        slots: 4,
        leaving: false,
        warming_ms: 0,
    }
}

fn leaving(id: &str, started: u64, sequence: u64) -> Announcement {
    Announcement {
        leaving: true,
        ..announcement(id, started, sequence)
    }
}

fn usable(registry: &Registry) -> Vec<(String, u64)> {
    let service = ServiceName::new("s");
    let usable = registry.usable(NOW, &service);
    usable
        .map(|(endpoint, _)| (endpoint.id.as_str().to_owned(), endpoint.started))
        .collect()
}

fn single(id: &str, started: u64) -> Vec<(String, u64)> {
    vec![(id.to_owned(), started)]
}

#[test]
fn a_late_announcement_does_not_bring_a_leaving_endpoint_back() {
    let mut registry = Registry::default();
    assert_eq!(registry.announce(NOW, announcement("a", 1, 1)), Change::New);
    assert_eq!(registry.announce(NOW, leaving("a", 1, 3)), Change::Changed);
    assert_eq!(
        registry.announce(NOW, announcement("a", 1, 2)),
        Change::Stale
    );
    assert_eq!(usable(&registry), []);
    // Nor does a later announcement of the same incarnation.
    registry.announce(NOW, announcement("a", 1, 4));
    assert_eq!(usable(&registry), []);
}

#[test]
fn leaving_without_draining_affects_only_that_incarnation() {
    let mut registry = Registry::default();
    registry.announce(NOW, announcement("a", 1, 7));
    assert!(
        registry
            .leave(NOW, &EndpointId::new("a"), Some(1))
            .is_some()
    );
    registry.announce(NOW, announcement("a", 1, 8));
    assert_eq!(usable(&registry), []);
    assert_eq!(registry.announce(NOW, announcement("a", 2, 1)), Change::New);
    assert_eq!(usable(&registry), single("a", 2));
    // The earlier incarnation's leave request arrives last.
    assert!(
        registry
            .leave(NOW, &EndpointId::new("a"), Some(1))
            .is_none()
    );
    assert_eq!(usable(&registry), single("a", 2));
}

#[test]
fn a_restart_under_the_same_id_resets_the_sequence() {
    let mut registry = Registry::default();
    registry.announce(NOW, announcement("a", 1, 900));
    assert_eq!(registry.announce(NOW, announcement("a", 2, 1)), Change::New);
    assert_eq!(
        registry.announce(NOW, announcement("a", 1, 901)),
        Change::Stale
    );
    assert_eq!(usable(&registry), single("a", 2));
}

#[test]
fn an_address_belongs_to_the_endpoint_started_last() {
    let mut registry = Registry::default();
    registry.announce(NOW, announcement("old", 1, 1));
    registry.announce(NOW, announcement("new", 2, 1));
    assert_eq!(usable(&registry), single("new", 2));
    registry.announce(NOW, announcement("old", 1, 2));
    assert_eq!(usable(&registry), single("new", 2));
    registry.announce(NOW, announcement("older", 0, 1));
    assert_eq!(usable(&registry), single("new", 2));
}

#[test]
fn an_empty_registry_learns_of_gone_endpoints_from_updates() {
    let mut full = Registry::default();
    full.announce(NOW, announcement("a", 1, 1));
    full.leave(NOW, &EndpointId::new("a"), None);
    let mut empty = Registry::default();
    for update in full.departures_since(NOW, 0) {
        empty.merge(NOW, update);
    }
    empty.announce(NOW, announcement("a", 1, 2));
    assert_eq!(usable(&empty), []);
}

type Depart = fn(&mut Registry);

/// The ways in which endpoint `a` departs.
const DEPARTURES: [(&str, Depart); 7] = [
    ("left", |registry| {
        registry.leave(NOW, &EndpointId::new("a"), None);
    }),
    ("marked", |registry| {
        registry.mark_leaving(NOW, &EndpointId::new("a"), 1);
    }),
    ("announced", |registry| {
        registry.announce(NOW, leaving("a", 1, 2));
    }),
    ("announced by a new incarnation", |registry| {
        registry.announce(NOW, leaving("a", 2, 1));
    }),
    ("merged", |registry| {
        let gone = Update {
            announcement: announcement("a", 1, 1),
            gone: true,
            age_ms: 0,
        };
        registry.merge(NOW, gone);
    }),
    ("displaced", |registry| {
        registry.announce(NOW, announcement("b", 2, 1));
    }),
    ("changed after it left", |registry| {
        registry.leave(NOW, &EndpointId::new("a"), None);
        let changed = Announcement {
            slots: 5,
            ..announcement("a", 1, 2)
        };
        registry.announce(NOW, changed);
    }),
];

/// Guards against departures that other hosts never learn of, as nothing is thought to have departed.
#[test]
fn departures_are_listed_however_an_endpoint_departs_and_only_until_they_are_known() {
    for (way, depart) in DEPARTURES {
        let mut registry = Registry::default();
        let other = Announcement {
            address: "10.0.0.2:80".parse().expect("an address"),
            ..announcement("other", 1, 1)
        };
        registry.announce(NOW, other);
        registry.announce(NOW, announcement("a", 1, 1));
        let before = registry.changes();
        assert_eq!(registry.departures_since(NOW, 0), [], "{way}");
        depart(&mut registry);
        let known = registry.changes();
        let refresh = Refresh {
            id: EndpointId::new("other"),
            started: 1,
            sequence: 2,
            age_ms: 0,
        };
        registry.refresh(NOW, &refresh);
        let listed = registry.departures_since(NOW, before);
        let listed: Vec<_> = listed
            .iter()
            .map(|update| &update.announcement.id)
            .collect();
        assert_eq!(listed, [&EndpointId::new("a")], "{way}");
        assert_eq!(registry.departures_since(NOW, known), [], "{way}");
    }
    let mut registry = Registry::default();
    registry.announce(NOW, leaving("a", 1, 1));
    assert_eq!(registry.departures_since(NOW, 0).len(), 1);
}

/// Guards against an endpoint that stays out for good because of one answer at its address.
#[test]
fn a_displaced_endpoint_is_absent_until_its_next_announcement_and_for_this_host_alone() {
    let mut registry = Registry::default();
    registry.announce(NOW, announcement("a", 2, 4));
    assert!(!registry.mark_displaced(&EndpointId::new("a"), 1));
    assert!(registry.mark_displaced(&EndpointId::new("a"), 2));
    assert!(!registry.mark_displaced(&EndpointId::new("a"), 2));
    assert_eq!(usable(&registry), []);
    assert!(registry.updates(NOW).iter().all(|update| !update.gone));
    assert_eq!(registry.departures_since(NOW, 0), []);
    for (started, sequence) in [(2, 4), (2, 3), (1, 9)] {
        registry.announce(NOW, announcement("a", started, sequence));
        assert_eq!(usable(&registry), []);
    }
    let change = registry.announce(NOW, announcement("a", 2, 5));
    assert!(change.is_news());
    assert_eq!(usable(&registry), single("a", 2));
}

#[test]
fn silent_endpoints_are_evicted() {
    let mut registry = Registry::default();
    registry.announce(NOW, announcement("a", 1, 1));
    let later = NOW + Duration::from_secs(59);
    assert_eq!(registry.evict_expired(later), []);
    let later = NOW + Duration::from_secs(61);
    assert_eq!(registry.evict_expired(later), [EndpointId::new("a")]);
}

#[test]
fn an_endpoint_whose_response_says_that_it_leaves_stays_leaving() {
    let mut registry = Registry::default();
    registry.announce(NOW, announcement("a", 1, 1));
    let id = EndpointId::new("a");
    assert_eq!(
        registry.mark_leaving(NOW, &id, 2),
        None,
        "another incarnation"
    );
    let update = registry.mark_leaving(NOW, &id, 1);
    assert!(
        update
            .as_ref()
            .is_some_and(|update| update.announcement.leaving)
    );
    assert_eq!(registry.mark_leaving(NOW, &id, 1), None, "no news");
    // Neither an announcement that overtakes nor a later one lifts it.
    registry.announce(NOW, announcement("a", 1, 1));
    registry.announce(NOW, announcement("a", 1, 7));
    assert_eq!(usable(&registry), []);
    // Another host that knows the same announcement learns of it.
    let mut other = Registry::default();
    other.announce(NOW, announcement("a", 1, 1));
    assert_eq!(
        other.merge(NOW, update.expect("an update")),
        Change::Changed
    );
    assert_eq!(usable(&other), []);
    // The same endpoint starts again.
    registry.announce(NOW, announcement("a", 2, 1));
    assert_eq!(usable(&registry), single("a", 2));
}

#[test]
fn a_leaving_endpoint_serves_for_a_time_that_later_announcements_do_not_prolong() {
    let grace = Duration::from_secs(1);
    let mut registry = Registry::default();
    let known = announcement("a", 1, 1);
    registry.announce(NOW, known.clone());
    assert_eq!(registry.presence(&known, grace), Presence::Staying);
    registry.mark_leaving(NOW, &EndpointId::new("a"), 1);
    let leaving_at = Presence::LeavingAt(NOW + grace);
    assert_eq!(registry.presence(&known, grace), leaving_at);
    registry.announce(NOW + grace / 2, leaving("a", 1, 2));
    assert_eq!(registry.presence(&known, grace), leaving_at);
    let service = ServiceName::new("s");
    let serving = |registry: &Registry, at| registry.leaving(at, &service, grace).count();
    assert_eq!(serving(&registry, NOW), 1);
    assert_eq!(serving(&registry, NOW + grace), 0);

    registry.leave(NOW, &EndpointId::new("a"), None);
    assert_eq!(registry.presence(&known, grace), Presence::Gone);
    assert_eq!(serving(&registry, NOW), 0);
    // The next incarnation stays, the earlier one is gone.
    let next = announcement("a", 2, 1);
    registry.announce(NOW, next.clone());
    assert_eq!(registry.presence(&next, grace), Presence::Staying);
    assert_eq!(registry.presence(&known, grace), Presence::Gone);
}

#[test]
fn an_endpoint_that_turns_cold_is_news_once_and_by_its_newest_announcement_only() {
    let warming = |sequence, warming_ms| Announcement {
        warming_ms,
        ..announcement("a", 1, sequence)
    };
    let mut registry = Registry::default();
    registry.announce(NOW, warming(1, 0));
    assert_eq!(registry.announce(NOW, warming(3, 9_000)), Change::Cooled);
    assert_eq!(registry.announce(NOW, warming(4, 8_000)), Change::Refreshed);
    assert_eq!(registry.announce(NOW, warming(2, 0)), Change::Stale);
    assert_eq!(registry.announce(NOW, warming(5, 0)), Change::Refreshed);
}

/// Hosts that count a silent endpoint as cold would do so until their next regular refresh.
#[test]
fn an_announcement_that_ends_a_silence_is_news_once() {
    let second = Duration::from_secs(1);
    let mut registry = Registry::with_max_gap(second * 3 / 2);
    registry.announce(NOW, announcement("a", 1, 1));
    let announce = |registry: &mut Registry, at, sequence| {
        registry.announce(at, announcement("a", 1, sequence))
    };
    let later = NOW + second * 3 / 2;
    assert_eq!(announce(&mut registry, later, 2), Change::Refreshed);
    let later = later + second * 2;
    assert_eq!(announce(&mut registry, later, 2), Change::Stale);
    assert_eq!(announce(&mut registry, later, 3), Change::Heard);
    assert!(Change::Heard.is_news());
    assert_eq!(
        announce(&mut registry, later + second, 4),
        Change::Refreshed
    );
}

/// The ages that a control host reads from its disk are raised, so that the first announcement that
/// follows reaches all hosts at once.
#[test]
fn an_announcement_of_a_remembered_endpoint_is_news() {
    let second = Duration::from_secs(1);
    let mut registry = Registry::with_max_gap(second * 3 / 2);
    let remembered = Update {
        announcement: announcement("a", 1, 1),
        gone: false,
        age_ms: 2_000,
    };
    assert_eq!(registry.merge(NOW, remembered), Change::New);
    let heard = registry.announce(NOW + second / 10, announcement("a", 1, 2));
    assert_eq!(heard, Change::Heard);
}

fn addressed(number: u8, sequence: u64) -> Announcement {
    Announcement {
        address: format!("10.0.0.{number}:80").parse().expect("an address"),
        ..announcement(&format!("e{number}"), 1, sequence)
    }
}

/// Merges news as another host does that has the registry's endpoints up to a version.
fn follow(follower: &mut Registry, news: News) -> bool {
    for update in news.updates {
        follower.merge(NOW, update);
    }
    let mut refreshes = news.refreshes.iter();
    refreshes.all(|refresh| follower.refresh(NOW, refresh).is_some())
}

#[test]
fn announcements_that_change_nothing_else_are_small_news() {
    let mut registry = Registry::default();
    for number in 1..=100 {
        registry.announce(NOW, addressed(number, 1));
    }
    let mut follower = Registry::default();
    assert!(follow(&mut follower, registry.news_since(NOW, 0)));
    let known = registry.changes();
    assert_eq!(registry.news_since(NOW, known), News::default());
    for number in 1..=100 {
        registry.announce(NOW, addressed(number, 2));
    }
    registry.announce(
        NOW,
        Announcement {
            leaving: true,
            ..addressed(7, 3)
        },
    );
    registry.announce(
        NOW,
        Announcement {
            warming_ms: 900,
            ..addressed(8, 3)
        },
    );
    registry.leave(NOW, &"e9".into(), None);
    let news = registry.news_since(NOW, known);
    let updated: Vec<&str> = news
        .updates
        .iter()
        .map(|it| it.announcement.id.as_str())
        .collect();
    assert_eq!(updated, ["e7", "e8", "e9"]);
    assert_eq!(news.refreshes.len(), 97);
    assert!(follow(&mut follower, news));
    let by_id = |registry: &Registry| {
        let mut all = registry.updates(NOW);
        all.sort_by_key(|update| update.announcement.id.clone());
        all
    };
    assert_eq!(by_id(&follower), by_id(&registry));
}

/// Plays registries that follow another one with lost answers, restarts of endpoints and departures: a
/// follower with a version ends with what the other one has, or knows that it lacks something.
#[test]
fn a_follower_ends_with_the_endpoints_of_the_other_registry() {
    arbtest::arbtest(|random| {
        let mut registry = Registry::default();
        let mut follower = Registry::default();
        let (mut version, mut sequence) = (0, 0);
        for _ in 0..random.int_in_range(1..=40)? {
            sequence += 1;
            let number = random.int_in_range(1..=4)?;
            let announced = Announcement {
                started: random.int_in_range(1..=2)?,
                leaving: random.ratio(1, 8)?,
                ..addressed(number, sequence)
            };
            match random.int_in_range(0..=5)? {
                0 => {
                    registry.leave(NOW, &announced.id, None);
                }
                1 => {
                    registry.leave(NOW, &announced.id, Some(announced.started));
                }
                _ => {
                    registry.announce(NOW, announced);
                }
            }
            if random.ratio(1, 2)? {
                let news = registry.news_since(NOW, version);
                assert!(follow(&mut follower, news));
                version = registry.changes();
            }
        }
        assert!(follow(&mut follower, registry.news_since(NOW, version)));
        let service = ServiceName::new("s");
        let usable = |registry: &Registry| {
            let usable = registry.usable(NOW, &service);
            let usable = usable.map(|(it, _)| (it.id.clone(), it.started, it.sequence));
            let mut usable: Vec<_> = usable.collect();
            usable.sort();
            usable
        };
        assert_eq!(usable(&follower), usable(&registry));
        Ok(())
    });
}

#[test]
fn a_refresh_of_an_unknown_incarnation_is_not_applied() {
    let mut registry = Registry::default();
    let refresh = |started, sequence| Refresh {
        id: "a".into(),
        started,
        sequence,
        age_ms: 100,
    };
    assert_eq!(registry.refresh(NOW, &refresh(1, 2)), None);
    registry.announce(NOW, announcement("a", 2, 5));
    assert_eq!(registry.refresh(NOW, &refresh(3, 6)), None);
    assert_eq!(registry.refresh(NOW, &refresh(1, 9)), Some(Change::Stale));
    assert_eq!(registry.refresh(NOW, &refresh(2, 4)), Some(Change::Stale));
    assert_eq!(
        registry.refresh(NOW, &refresh(2, 6)),
        Some(Change::Refreshed)
    );
}
