//! What routers hold of endpoints: lives, leaving, late reports, cache events with gaps.

mod support;

use std::collections::BTreeMap;

use kumquatdrum_routing::{BlockHash, CacheChange, CacheEvent, Failure, Health, Output, Progress};
use kumquatdrum_types::{BootId, Moment};
use support::{announcement, ask, dispatches, endpoint, load, refusals, router, seconds};

const DEADLINE: Moment = Moment::from_millis(60_000);

#[test]
fn a_new_life_carries_no_state_of_the_old_one() {
    let mut router = router("a", 1, 1);
    let now = seconds(1.0);
    let _ = router.announce(now, &announcement(0, 1, 2, Some(load(7, 300_000))));
    let sent = router.submit(now, ask("r1", 1_000, DEADLINE));
    assert_eq!(dispatches(&sent).len(), 1);
    let event = CacheEvent {
        boot: BootId(1),
        sequence: 1,
        change: CacheChange::Stored(vec![BlockHash(1)]),
    };
    let _ = router.apply_cache_event(now, &endpoint(0), &event);
    let _ = router.set_health(now, &endpoint(0), Health::Leaving);

    let _ = router.announce(now, &announcement(0, 2, 1, None));
    let index = router.fleet().find(&endpoint(0)).expect("announced");
    let slot = router.fleet().slot(index);
    assert_eq!(slot.health, Health::Alive);
    assert_eq!(slot.in_flight(), 0);
    assert_eq!(slot.requests(), 0);
    assert!(slot.backlog_tokens(now, 1.0) < 1.0);
    assert!(router.fleet().prefixes.holders(&[BlockHash(1)]).is_empty());
    // Late news of the old life changes nothing of the new one.
    let _ = router.apply_cache_event(now, &endpoint(0), &event);
    let _ = router.announce(now, &announcement(0, 1, 9, Some(load(9, 300_000))));
    let _ = router.record_progress(now, 1, Progress::Failed(Failure::Broken));
    let slot = router.fleet().slot(index);
    assert_eq!(slot.boot, BootId(2));
    assert!(!slot.is_resting(now));
    assert!(slot.backlog_tokens(now, 1.0) < 1.0);
    assert!(router.fleet().prefixes.holders(&[BlockHash(1)]).is_empty());
    assert_eq!(router.in_flight(), 0);
}

#[test]
fn a_leaving_endpoint_gets_no_new_work_at_once() {
    let mut router = router("a", 2, 1);
    let now = seconds(1.0);
    let mut leaving = announcement(0, 1, 5, None);
    leaving.leaving = true;
    let _ = router.announce(now, &leaving);
    // Neither a late renewal nor membership's word brings it back in the same life.
    let _ = router.announce(now, &announcement(0, 1, 4, None));
    let _ = router.set_health(now, &endpoint(0), Health::Alive);
    for number in 0..50 {
        let sent = router.submit(now, ask(format!("r{number}"), 1_000, DEADLINE));
        for dispatch in dispatches(&sent) {
            assert_eq!(dispatch.endpoints, [endpoint(1)]);
        }
    }
    let _ = router.announce(now, &announcement(0, 1, 6, None));
    let index = router.fleet().find(&endpoint(0)).expect("announced");
    assert_eq!(router.fleet().slot(index).health, Health::Leaving);
}

#[test]
fn late_news_of_a_life_that_is_gone_brings_nothing_back() {
    let mut router = router("a", 2, 1);
    let now = seconds(1.0);
    let mut leaving = announcement(0, 1, 5, None);
    leaving.leaving = true;
    let _ = router.announce(now, &leaving);
    let _ = router.set_health(now, &endpoint(0), Health::Gone);
    let _ = router.set_health(now, &endpoint(1), Health::Gone);
    // Of the one that left, nothing of that life; of the other, nothing that is older.
    let _ = router.announce(now, &announcement(0, 1, 9, None));
    let _ = router.announce(now, &announcement(1, 1, 1, None));
    assert!(router.fleet().candidates().is_empty());
    let _ = router.announce(now, &announcement(1, 1, 2, None));
    let _ = router.announce(now, &announcement(0, 2, 1, None));
    assert_eq!(router.fleet().candidates().len(), 2);
}

#[test]
fn a_suspect_endpoint_gets_work_only_where_nothing_else_is_left() {
    let mut router = router("a", 2, 1);
    let now = seconds(1.0);
    let _ = router.set_health(now, &endpoint(0), Health::Suspect);
    let sent = router.submit(now, ask("r1", 1_000, DEADLINE));
    assert_eq!(dispatches(&sent)[0].endpoints, [endpoint(1)]);
    let _ = router.set_health(now, &endpoint(1), Health::Gone);
    let sent = router.submit(now, ask("r2", 1_000, DEADLINE));
    assert_eq!(dispatches(&sent)[0].endpoints, [endpoint(0)]);
}

#[test]
fn silence_is_not_death() {
    let mut router = router("a", 1, 1);
    let _ = router.announce(seconds(1.0), &announcement(0, 1, 2, Some(load(1, 10_000))));
    let sent = router.submit(seconds(50.0), ask("r1", 1_000, DEADLINE));
    assert_eq!(dispatches(&sent).len(), 1);
}

#[test]
fn an_older_report_replaces_no_newer_one() {
    let mut router = router("a", 1, 1);
    let now = seconds(1.0);
    let _ = router.announce(now, &announcement(0, 1, 2, Some(load(5, 100_000))));
    let _ = router.announce(now, &announcement(0, 1, 3, Some(load(4, 0))));
    let index = router.fleet().find(&endpoint(0)).expect("announced");
    assert!(router.fleet().slot(index).backlog_tokens(now, 1.0) > 99_000.0);
}

#[test]
fn after_a_report_nine_daemons_do_not_all_choose_the_same_engine() {
    for seed in 0..20 {
        let mut chosen: BTreeMap<_, usize> = BTreeMap::new();
        for owner in support::OWNERS {
            let mut router = router(owner, 25, seed);
            for index in 0..25 {
                // One engine has just become idle; all others look a little busy.
                let tokens = if index == 12 { 0 } else { 1_000 };
                let report = announcement(index, 1, 2, Some(load(1, tokens)));
                let _ = router.announce(seconds(1.0), &report);
            }
            let sent = router.submit(seconds(1.0), ask("r", 2_000, DEADLINE));
            *chosen
                .entry(dispatches(&sent)[0].endpoints.clone())
                .or_default() += 1;
        }
        let most = chosen.values().max().copied().unwrap_or(0);
        assert!(most <= 4, "seed {seed}: {most} of 9 chose one engine");
    }
}

#[test]
fn nine_daemons_with_a_long_prompt_each_mostly_choose_different_engines() {
    let mut distinct = 0;
    for seed in 0..50 {
        let mut chosen = BTreeMap::new();
        for owner in support::OWNERS {
            let mut router = router(owner, 25, seed);
            let sent = router.submit(seconds(1.0), ask("r", 300_000, DEADLINE));
            let endpoints = dispatches(&sent)[0].endpoints.clone();
            *chosen.entry(endpoints).or_insert(0) += 1;
        }
        assert!(
            chosen.values().all(|&count| count <= 4),
            "seed {seed}: {chosen:?}"
        );
        distinct += chosen.len();
    }
    // Nine blind choices among 24 engines name 7.6 different ones on average.
    assert!(distinct > 50 * 77 / 10, "{distinct} in 50 rounds of nine");
}

#[test]
fn own_dispatches_count_before_any_report_includes_them() {
    let mut router = router("a", 10, 3);
    let mut chosen: BTreeMap<_, usize> = BTreeMap::new();
    for number in 0..20 {
        let sent = router.submit(seconds(1.0), ask(format!("r{number}"), 8_000, DEADLINE));
        for dispatch in dispatches(&sent) {
            *chosen.entry(dispatch.endpoints.clone()).or_default() += 1;
        }
    }
    assert_eq!(chosen.len(), 10);
    assert!(chosen.values().all(|&count| count <= 3), "{chosen:?}");
}

#[test]
fn a_counted_attempt_is_not_added_again() {
    let mut router = router("a", 1, 1);
    let now = seconds(1.0);
    let _ = router.submit(now, ask("r1", 4_000, DEADLINE));
    let index = router.fleet().find(&endpoint(0)).expect("announced");
    let mut report = load(1, 4_000);
    let _ = router.announce(now, &announcement(0, 1, 2, Some(report.clone())));
    assert!(router.fleet().slot(index).backlog_tokens(now, 1.0) > 7_900.0);
    report.sequence = 2;
    report.seen = vec![("a".to_owned(), 1)];
    let _ = router.announce(now, &announcement(0, 1, 3, Some(report)));
    assert!(router.fleet().slot(index).backlog_tokens(now, 1.0) < 4_100.0);
}

#[test]
fn without_counters_an_attempt_older_than_the_lag_is_taken_as_counted() {
    let mut router = router("a", 1, 1);
    let _ = router.submit(seconds(1.0), ask("r1", 4_000, DEADLINE));
    let index = router.fleet().find(&endpoint(0)).expect("announced");
    let report = |router: &mut kumquatdrum_routing::Router, at: f64, sequence: u64| {
        let news = announcement(0, 1, sequence + 1, Some(load(sequence, 4_000)));
        let _ = router.announce(seconds(at), &news);
        router.fleet().slot(index).backlog_tokens(seconds(at), 1.0)
    };
    assert!(report(&mut router, 2.0, 1) > 7_900.0);
    assert!(report(&mut router, 4.0, 2) < 4_100.0);
}

#[test]
fn an_endpoint_that_fails_at_once_attracts_no_more_work() {
    let mut router = router("a", 5, 1);
    let now = seconds(1.0);
    let mut at_broken = 0;
    for number in 0..100 {
        let sent = router.submit(now, ask(format!("r{number}"), 1_000, DEADLINE));
        for dispatch in dispatches(&sent) {
            let is_broken = dispatch.endpoints[0] == endpoint(2);
            at_broken += usize::from(is_broken);
            let progress = if is_broken {
                Progress::Failed(Failure::Connect)
            } else {
                Progress::Finished(kumquatdrum_routing::Usage::default())
            };
            let _ = router.record_progress(now, dispatch.attempt, progress);
        }
    }
    assert_eq!(at_broken, 1);
}

#[test]
fn excluded_endpoints_get_nothing_and_none_left_is_a_refusal() {
    let mut router = router("a", 2, 1);
    let mut request = ask("r1", 1_000, DEADLINE);
    request.excluded = vec![endpoint(0)];
    let sent = router.submit(seconds(1.0), request.clone());
    assert_eq!(dispatches(&sent)[0].endpoints, [endpoint(1)]);
    request.excluded = vec![endpoint(0), endpoint(1)];
    let sent = router.submit(seconds(1.0), request);
    assert_eq!(
        refusals(&sent)[0].reason,
        kumquatdrum_types::Refusal::NoEndpoint
    );
}

#[test]
fn a_cached_prefix_draws_the_request() {
    let prefix: Vec<BlockHash> = (0..24).map(BlockHash).collect();
    for seed in 0..20 {
        let mut router = router("a", 25, seed);
        let event = CacheEvent {
            boot: BootId(1),
            sequence: 1,
            change: CacheChange::Stored(prefix.clone()),
        };
        let _ = router.apply_cache_event(Moment::ZERO, &endpoint(7), &event);
        let mut request = ask("r", 24 * 256 + 100, DEADLINE);
        request.prefix.clone_from(&prefix);
        let sent = router.submit(seconds(1.0), request);
        assert_eq!(dispatches(&sent)[0].endpoints, [endpoint(7)], "seed {seed}");
    }
}

#[test]
fn a_mostly_cached_long_prompt_goes_to_its_holder_wherever_that_stands() {
    let prefix: Vec<BlockHash> = (0..400).map(BlockHash).collect();
    for holder in 0..12 {
        let mut router = router("a", 12, 1);
        let event = CacheEvent {
            boot: BootId(1),
            sequence: 1,
            change: CacheChange::Stored(prefix.clone()),
        };
        let _ = router.apply_cache_event(Moment::ZERO, &endpoint(holder), &event);
        let mut request = ask("r", 400 * 256 + 100, DEADLINE);
        request.prefix.clone_from(&prefix);
        let sent = router.submit(seconds(1.0), request);
        assert_eq!(dispatches(&sent)[0].endpoints, [endpoint(holder)]);
    }
}

#[test]
fn a_gap_in_cache_events_asks_for_the_whole_list_until_it_comes() {
    let mut router = router("a", 1, 1);
    let blocks: Vec<BlockHash> = (0..10).map(BlockHash).collect();
    let event = |sequence, change| CacheEvent {
        boot: BootId(1),
        sequence,
        change,
    };
    let stored = CacheChange::Stored(blocks.clone());
    let first = router.apply_cache_event(seconds(1.0), &endpoint(0), &event(1, stored));
    assert!(first.is_empty());
    let evicted = CacheChange::Evicted(vec![BlockHash(9)]);
    let gap = router.apply_cache_event(seconds(1.0), &endpoint(0), &event(3, evicted));
    assert_eq!(gap, [Output::Resync(endpoint(0))]);
    let index = router.fleet().find(&endpoint(0)).expect("announced");
    let held =
        |router: &kumquatdrum_routing::Router| router.fleet().slot(index).cached_blocks(&blocks);
    assert!(held(&router) < 9.0);
    // The answer got lost: it is asked again, at the time that the router named.
    assert!(router.next_wake() < seconds(10.0));
    let again = router.tick(router.next_wake());
    assert_eq!(again, [Output::Resync(endpoint(0))]);
    let snapshot = CacheChange::Snapshot(blocks[..4].to_vec());
    let _ = router.apply_cache_event(seconds(9.0), &endpoint(0), &event(3, snapshot));
    assert!((held(&router) - 4.0).abs() < 1e-9);
    assert_eq!(router.next_wake(), Moment::NEVER);
}

#[test]
fn plain_calls_go_where_the_fewest_are_open() {
    let mut router =
        kumquatdrum_routing::Router::new(kumquatdrum_routing::Settings::new("a", ["a"]), 1);
    for index in 0..3 {
        let mut plain = announcement(index, 1, 1, None);
        plain.kind = kumquatdrum_types::endpoint::Kind::Plain;
        let _ = router.announce(Moment::ZERO, &plain);
    }
    let mut chosen: BTreeMap<_, usize> = BTreeMap::new();
    for number in 0..99 {
        let mut request = ask(format!("r{number}"), 0, DEADLINE);
        request.kind = kumquatdrum_routing::RequestKind::Plain;
        let sent = router.submit(seconds(1.0), request);
        for dispatch in dispatches(&sent) {
            *chosen.entry(dispatch.endpoints.clone()).or_default() += 1;
        }
    }
    assert!(chosen.values().all(|&count| count == 33), "{chosen:?}");
}
