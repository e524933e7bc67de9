//! Endpoint state in the router: incarnations, leaving, late reports, gaps in cache events.

mod support;

use std::collections::BTreeMap;

use kumquatdrum_routing::{BlockHash, CacheChange, CacheEvent, Failure, Health, Output, Progress};
use kumquatdrum_types::{BootId, Moment};
use support::{announcement, build_request, dispatches, endpoint, load, refusals, router, seconds};

const DEADLINE: Moment = Moment::from_millis(60_000);

#[test]
fn a_new_incarnation_starts_without_old_state() {
    let mut router = router("a", 1, 1);
    let now = seconds(1.0);
    let _ = router.announce(now, &announcement(0, 1, 2, Some(load(7, 300_000))));
    let outputs = router.submit(now, build_request("r1", 1_000, DEADLINE));
    assert_eq!(dispatches(&outputs).len(), 1);
    let event = CacheEvent {
        boot: BootId(1),
        sequence: 1,
        change: CacheChange::Stored(vec![BlockHash(1)]),
    };
    let _ = router.apply_cache_event(now, &endpoint(0), &event);
    let _ = router.set_health(now, &endpoint(0), Health::Leaving);

    let _ = router.announce(now, &announcement(0, 2, 1, None));
    let index = router.pool().find(&endpoint(0)).expect("announced");
    let state = router.pool().endpoint(index);
    assert_eq!(state.health, Health::Alive);
    assert_eq!(state.in_flight(), 0);
    assert_eq!(state.requests(), 0);
    assert!(state.backlog_tokens(now, 1.0) < 1.0);
    assert!(router.pool().prefixes.holders(&[BlockHash(1)]).is_empty());
    // Late events of the old incarnation have no effect on the new one.
    let _ = router.apply_cache_event(now, &endpoint(0), &event);
    let _ = router.announce(now, &announcement(0, 1, 9, Some(load(9, 300_000))));
    let _ = router.record_progress(now, 1, Progress::Failed(Failure::Broken));
    let state = router.pool().endpoint(index);
    assert_eq!(state.boot, BootId(2));
    assert!(!state.is_ejected(now));
    assert!(state.backlog_tokens(now, 1.0) < 1.0);
    assert!(router.pool().prefixes.holders(&[BlockHash(1)]).is_empty());
    assert_eq!(router.in_flight(), 0);
}

#[test]
fn a_leaving_endpoint_gets_no_new_requests() {
    let mut router = router("a", 2, 1);
    let now = seconds(1.0);
    let mut leaving = announcement(0, 1, 5, None);
    leaving.leaving = true;
    let _ = router.announce(now, &leaving);
    // Neither an older announcement nor membership can revive the incarnation.
    let _ = router.announce(now, &announcement(0, 1, 4, None));
    let _ = router.set_health(now, &endpoint(0), Health::Alive);
    for number in 0..50 {
        let outputs = router.submit(now, build_request(format!("r{number}"), 1_000, DEADLINE));
        for dispatch in dispatches(&outputs) {
            assert_eq!(dispatch.endpoints, [endpoint(1)]);
        }
    }
    let _ = router.announce(now, &announcement(0, 1, 6, None));
    let index = router.pool().find(&endpoint(0)).expect("announced");
    assert_eq!(router.pool().endpoint(index).health, Health::Leaving);
}

#[test]
fn late_announcements_do_not_restore_a_removed_endpoint() {
    let mut router = router("a", 2, 1);
    let now = seconds(1.0);
    let mut leaving = announcement(0, 1, 5, None);
    leaving.leaving = true;
    let _ = router.announce(now, &leaving);
    let _ = router.set_health(now, &endpoint(0), Health::Gone);
    let _ = router.set_health(now, &endpoint(1), Health::Gone);
    // The incarnation that left stays removed; the other endpoint ignores older announcements.
    let _ = router.announce(now, &announcement(0, 1, 9, None));
    let _ = router.announce(now, &announcement(1, 1, 1, None));
    assert!(router.pool().candidates().is_empty());
    let _ = router.announce(now, &announcement(1, 1, 2, None));
    let _ = router.announce(now, &announcement(0, 2, 1, None));
    assert_eq!(router.pool().candidates().len(), 2);
}

#[test]
fn a_suspect_endpoint_is_used_only_if_no_other_is_left() {
    let mut router = router("a", 2, 1);
    let now = seconds(1.0);
    let _ = router.set_health(now, &endpoint(0), Health::Suspect);
    let outputs = router.submit(now, build_request("r1", 1_000, DEADLINE));
    assert_eq!(dispatches(&outputs)[0].endpoints, [endpoint(1)]);
    let _ = router.set_health(now, &endpoint(1), Health::Gone);
    let outputs = router.submit(now, build_request("r2", 1_000, DEADLINE));
    assert_eq!(dispatches(&outputs)[0].endpoints, [endpoint(0)]);
}

#[test]
fn an_endpoint_without_recent_reports_stays_in_use() {
    let mut router = router("a", 1, 1);
    let _ = router.announce(seconds(1.0), &announcement(0, 1, 2, Some(load(1, 10_000))));
    let outputs = router.submit(seconds(50.0), build_request("r1", 1_000, DEADLINE));
    assert_eq!(dispatches(&outputs).len(), 1);
}

#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut router = router("a", 1, 1);
    let now = seconds(1.0);
    let _ = router.announce(now, &announcement(0, 1, 2, Some(load(5, 100_000))));
    let _ = router.announce(now, &announcement(0, 1, 3, Some(load(4, 0))));
    let index = router.pool().find(&endpoint(0)).expect("announced");
    assert!(router.pool().endpoint(index).backlog_tokens(now, 1.0) > 99_000.0);
}

#[test]
fn daemons_with_the_same_reports_do_not_all_choose_the_same_engine() {
    for seed in 0..20 {
        let mut chosen: BTreeMap<_, usize> = BTreeMap::new();
        for owner in support::OWNERS {
            let mut router = router(owner, 25, seed);
            for index in 0..25 {
                // One engine has become idle; all others have a small backlog.
                let tokens = if index == 12 { 0 } else { 1_000 };
                let report = announcement(index, 1, 2, Some(load(1, tokens)));
                let _ = router.announce(seconds(1.0), &report);
            }
            let outputs = router.submit(seconds(1.0), build_request("r", 2_000, DEADLINE));
            *chosen
                .entry(dispatches(&outputs)[0].endpoints.clone())
                .or_default() += 1;
        }
        let max_count = chosen.values().max().copied().unwrap_or(0);
        assert!(
            max_count <= 4,
            "seed {seed}: {max_count} of 9 chose one engine"
        );
    }
}

#[test]
fn daemons_mostly_choose_different_engines_for_long_prompts() {
    let mut distinct = 0;
    for seed in 0..50 {
        let mut chosen = BTreeMap::new();
        for owner in support::OWNERS {
            let mut router = router(owner, 25, seed);
            let outputs = router.submit(seconds(1.0), build_request("r", 300_000, DEADLINE));
            let endpoints = dispatches(&outputs)[0].endpoints.clone();
            *chosen.entry(endpoints).or_insert(0) += 1;
        }
        assert!(
            chosen.values().all(|&count| count <= 4),
            "seed {seed}: {chosen:?}"
        );
        distinct += chosen.len();
    }
    // Nine uniform choices among 24 engines give 7.6 different ones on average.
    assert!(
        distinct > 50 * 77 / 10,
        "{distinct} distinct choices in 50 rounds of nine"
    );
}

#[test]
fn own_dispatches_count_before_any_report_includes_them() {
    let mut router = router("a", 10, 3);
    let mut chosen: BTreeMap<_, usize> = BTreeMap::new();
    for number in 0..20 {
        let outputs = router.submit(
            seconds(1.0),
            build_request(format!("r{number}"), 8_000, DEADLINE),
        );
        for dispatch in dispatches(&outputs) {
            *chosen.entry(dispatch.endpoints.clone()).or_default() += 1;
        }
    }
    assert_eq!(chosen.len(), 10);
    assert!(chosen.values().all(|&count| count <= 3), "{chosen:?}");
}

#[test]
fn an_attempt_included_in_a_report_is_not_counted_twice() {
    let mut router = router("a", 1, 1);
    let now = seconds(1.0);
    let _ = router.submit(now, build_request("r1", 4_000, DEADLINE));
    let index = router.pool().find(&endpoint(0)).expect("announced");
    let mut report = load(1, 4_000);
    let _ = router.announce(now, &announcement(0, 1, 2, Some(report.clone())));
    assert!(router.pool().endpoint(index).backlog_tokens(now, 1.0) > 7_900.0);
    report.sequence = 2;
    report.seen = vec![("a".to_owned(), 1)];
    let _ = router.announce(now, &announcement(0, 1, 3, Some(report)));
    assert!(router.pool().endpoint(index).backlog_tokens(now, 1.0) < 4_100.0);
}

#[test]
fn without_counters_an_attempt_older_than_the_report_lag_counts_as_reported() {
    let mut router = router("a", 1, 1);
    let _ = router.submit(seconds(1.0), build_request("r1", 4_000, DEADLINE));
    let index = router.pool().find(&endpoint(0)).expect("announced");
    let report = |router: &mut kumquatdrum_routing::Router, at: f64, sequence: u64| {
        let announced = announcement(0, 1, sequence + 1, Some(load(sequence, 4_000)));
        let _ = router.announce(seconds(at), &announced);
        router
            .pool()
            .endpoint(index)
            .backlog_tokens(seconds(at), 1.0)
    };
    assert!(report(&mut router, 2.0, 1) > 7_900.0);
    assert!(report(&mut router, 4.0, 2) < 4_100.0);
}

#[test]
fn an_endpoint_that_fails_immediately_is_ejected() {
    let mut router = router("a", 5, 1);
    let now = seconds(1.0);
    let mut dispatched_to_failing = 0;
    for number in 0..100 {
        let outputs = router.submit(now, build_request(format!("r{number}"), 1_000, DEADLINE));
        for dispatch in dispatches(&outputs) {
            let is_failing = dispatch.endpoints[0] == endpoint(2);
            dispatched_to_failing += usize::from(is_failing);
            let progress = if is_failing {
                Progress::Failed(Failure::Connect)
            } else {
                Progress::Finished(kumquatdrum_routing::Usage::default())
            };
            let _ = router.record_progress(now, dispatch.attempt, progress);
        }
    }
    assert_eq!(dispatched_to_failing, 1);
}

#[test]
fn excluded_endpoints_get_no_request_and_a_request_without_others_is_refused() {
    let mut router = router("a", 2, 1);
    let mut request = build_request("r1", 1_000, DEADLINE);
    request.excluded = vec![endpoint(0)];
    let outputs = router.submit(seconds(1.0), request.clone());
    assert_eq!(dispatches(&outputs)[0].endpoints, [endpoint(1)]);
    request.excluded = vec![endpoint(0), endpoint(1)];
    let outputs = router.submit(seconds(1.0), request);
    assert_eq!(
        refusals(&outputs)[0].reason,
        kumquatdrum_types::Refusal::NoEndpoint
    );
}

#[test]
fn a_request_goes_to_the_holder_of_its_prefix() {
    let prefix: Vec<BlockHash> = (0..24).map(BlockHash).collect();
    for seed in 0..20 {
        let mut router = router("a", 25, seed);
        let event = CacheEvent {
            boot: BootId(1),
            sequence: 1,
            change: CacheChange::Stored(prefix.clone()),
        };
        let _ = router.apply_cache_event(Moment::ZERO, &endpoint(7), &event);
        let mut request = build_request("r", 24 * 256 + 100, DEADLINE);
        request.prefix.clone_from(&prefix);
        let outputs = router.submit(seconds(1.0), request);
        assert_eq!(
            dispatches(&outputs)[0].endpoints,
            [endpoint(7)],
            "seed {seed}"
        );
    }
}

#[test]
fn a_mostly_cached_long_prompt_goes_to_its_holder() {
    let prefix: Vec<BlockHash> = (0..400).map(BlockHash).collect();
    for holder in 0..12 {
        let mut router = router("a", 12, 1);
        let event = CacheEvent {
            boot: BootId(1),
            sequence: 1,
            change: CacheChange::Stored(prefix.clone()),
        };
        let _ = router.apply_cache_event(Moment::ZERO, &endpoint(holder), &event);
        let mut request = build_request("r", 400 * 256 + 100, DEADLINE);
        request.prefix.clone_from(&prefix);
        let outputs = router.submit(seconds(1.0), request);
        assert_eq!(dispatches(&outputs)[0].endpoints, [endpoint(holder)]);
    }
}

#[test]
fn a_gap_in_cache_events_requests_a_snapshot_until_it_arrives() {
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
    let index = router.pool().find(&endpoint(0)).expect("announced");
    let cached =
        |router: &kumquatdrum_routing::Router| router.pool().endpoint(index).cached_blocks(&blocks);
    assert!(cached(&router) < 9.0);
    // Without a reply, the snapshot is requested again at the announced time.
    assert!(router.next_tick() < seconds(10.0));
    let again = router.tick(router.next_tick());
    assert_eq!(again, [Output::Resync(endpoint(0))]);
    let snapshot = CacheChange::Snapshot(blocks[..4].to_vec());
    let _ = router.apply_cache_event(seconds(9.0), &endpoint(0), &event(3, snapshot));
    assert!((cached(&router) - 4.0).abs() < 1e-9);
    assert_eq!(router.next_tick(), Moment::NEVER);
}

#[test]
fn plain_requests_go_to_the_endpoint_with_the_fewest_in_flight() {
    let mut router =
        kumquatdrum_routing::Router::new(kumquatdrum_routing::Settings::new("a", ["a"]), 1);
    for index in 0..3 {
        let mut plain = announcement(index, 1, 1, None);
        plain.kind = kumquatdrum_types::endpoint::Kind::Plain;
        let _ = router.announce(Moment::ZERO, &plain);
    }
    let mut chosen: BTreeMap<_, usize> = BTreeMap::new();
    for number in 0..99 {
        let mut request = build_request(format!("r{number}"), 0, DEADLINE);
        request.kind = kumquatdrum_routing::RequestKind::Plain;
        let outputs = router.submit(seconds(1.0), request);
        for dispatch in dispatches(&outputs) {
            *chosen.entry(dispatch.endpoints.clone()).or_default() += 1;
        }
    }
    assert!(chosen.values().all(|&count| count == 33), "{chosen:?}");
}
