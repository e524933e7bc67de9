//! The queue: shedding, deadlines, priorities, fair shares, and no starvation.

mod support;

use std::time::Duration;

use kumquatdrum_routing::limits::{Limit, Limiter};
use kumquatdrum_routing::{Progress, Usage};
use kumquatdrum_types::{Moment, Refusal};
use support::{Fleet, STEP, ask, dispatches, refusals, router, seconds};

#[test]
fn nothing_to_route_to_is_said_at_once() {
    let mut router = router("a", 0, 1);
    let sent = router.submit(Moment::ZERO, ask("r", 1_000, seconds(10.0)));
    assert_eq!(refusals(&sent)[0].reason, Refusal::NoEndpoint);
    assert!(refusals(&sent)[0].retry_after.is_some());
}

#[test]
fn a_prompt_beyond_all_engines_is_refused_for_good() {
    let mut router = router("a", 2, 1);
    let sent = router.submit(Moment::ZERO, ask("r", 900_000, seconds(600.0)));
    assert_eq!(refusals(&sent)[0].reason, Refusal::PromptTooLong);
    assert_eq!(refusals(&sent)[0].retry_after, None);
}

#[test]
fn a_prompt_beyond_one_engine_goes_to_several_in_name_order() {
    let mut router = router("a", 6, 1);
    let sent = router.submit(Moment::ZERO, ask("r", 1_000_000, seconds(600.0)));
    let endpoints = &dispatches(&sent)[0].endpoints;
    assert_eq!(endpoints.len(), 3);
    assert!(endpoints.is_sorted());
}

#[test]
fn the_only_engine_that_is_large_enough_is_found_wherever_it_stands() {
    for large in 0..12 {
        let mut router = router("a", 0, 1);
        for index in 0..12 {
            let mut news = support::announcement(index, 1, 1, None);
            if let kumquatdrum_types::endpoint::Kind::Engine(engine) = &mut news.kind {
                engine.memory_tokens = if index == large { 400_000 } else { 50_000 };
            }
            let _ = router.announce(Moment::ZERO, &news);
        }
        let sent = router.submit(Moment::ZERO, ask("r", 300_000, seconds(600.0)));
        assert_eq!(dispatches(&sent)[0].endpoints, [support::endpoint(large)]);
    }
}

#[test]
fn a_long_prompt_goes_to_whatever_is_not_excluded() {
    for excluded in 0..2 {
        let mut router = router("a", 2, 1);
        let mut request = ask("r", 300_000, seconds(600.0));
        request.excluded = vec![support::endpoint(excluded)];
        let sent = router.submit(Moment::ZERO, request);
        assert_eq!(
            dispatches(&sent)[0].endpoints,
            [support::endpoint(1 - excluded)]
        );
    }
}

#[test]
fn several_engines_are_several_also_in_a_large_fleet() {
    for seed in 0..50 {
        let mut router = router("a", 90, seed);
        let sent = router.submit(Moment::ZERO, ask("r", 1_000_000, seconds(600.0)));
        let mut endpoints = dispatches(&sent)[0].endpoints.clone();
        endpoints.dedup();
        assert_eq!(endpoints.len(), 3, "seed {seed}");
    }
}

#[test]
fn a_passed_deadline_is_refused_at_once() {
    let mut router = router("a", 2, 1);
    let sent = router.submit(seconds(5.0), ask("r", 1_000, seconds(4.0)));
    assert_eq!(refusals(&sent)[0].reason, Refusal::DeadlineBeforeDispatch);
}

#[test]
fn what_cannot_start_in_time_is_given_up_when_that_is_known() {
    let mut fleet = router("a", 1, 1);
    let mut waiting = Vec::new();
    for number in 0..20 {
        let sent = fleet.submit(
            Moment::ZERO,
            ask(format!("r{number}"), 100_000, seconds(30.0)),
        );
        if sent.is_empty() {
            waiting.push(number);
        }
    }
    assert!(!waiting.is_empty());
    // Two seconds and a half are the least time for such a prompt, answer aside.
    let wake = fleet.next_wake();
    assert!(wake < seconds(30.0));
    let given_up = fleet.tick(seconds(28.5));
    assert_eq!(refusals(&given_up).len(), waiting.len());
    assert_eq!(fleet.queued(), 0);
}

#[test]
fn overload_is_refused_early_with_a_time_that_grows_with_the_backlog() {
    let mut fleet = Fleet::new(2);
    let mut times = Vec::new();
    for tick in 0..1_000 {
        let now = seconds(f64::from(tick) * STEP);
        for part in 0..2 {
            let request = ask(
                format!("{tick}-{part}"),
                8_000,
                now + Duration::from_secs(5),
            );
            let before = fleet.refused.len();
            let outputs = fleet.router.submit(now, request);
            let refused = refusals(&outputs);
            times.extend(refused.iter().map(|refuse| (now, refuse.retry_after)));
            assert!(refused.iter().all(|refuse| refuse.retry_after.is_some()));
            assert_eq!(before, fleet.refused.len());
        }
        // Each engine ends one every 0.4 s.
        if tick % 20 == 0 {
            let oldest = 1 + u64::try_from(tick).expect("small") / 10;
            for attempt in oldest..oldest + 2 {
                let _ = fleet.router.record_progress(
                    now,
                    attempt,
                    Progress::Finished(Usage::default()),
                );
            }
        }
    }
    // The load is tenfold: most is refused on arrival, none stays beyond its deadline.
    assert!(times.len() > 1_000, "{} refusals", times.len());
    assert!(
        fleet.router.queued() < 200,
        "{} queued",
        fleet.router.queued()
    );
}

#[test]
fn the_higher_level_goes_first_and_aging_makes_up_for_levels() {
    let mut router = router("a", 1, 1);
    // The engine is full of work.
    for number in 0..4 {
        let _ = router.submit(
            Moment::ZERO,
            ask(format!("w{number}"), 200_000, seconds(900.0)),
        );
    }
    let queued_before = router.queued();
    let mut low = ask("low", 200_000, seconds(900.0));
    low.priority.level = 0;
    let mut high = ask("high", 200_000, seconds(900.0));
    high.priority.level = 3;
    let _ = router.submit(seconds(0.1), low);
    let _ = router.submit(seconds(0.2), high);
    assert_eq!(router.queued(), queued_before + 2);
    let mut order = Vec::new();
    let mut now = seconds(0.3);
    let mut open = vec![1];
    while order.len() < queued_before + 2 && now < seconds(300.0) {
        now = now + Duration::from_millis(500);
        let mut outputs = Vec::new();
        for attempt in std::mem::take(&mut open) {
            outputs.extend(router.record_progress(
                now,
                attempt,
                Progress::Finished(Usage::default()),
            ));
        }
        outputs.extend(router.tick(now));
        for dispatch in dispatches(&outputs) {
            order.push(dispatch.request.as_str().to_owned());
            open.push(dispatch.attempt);
        }
    }
    assert_eq!(order.first().map(String::as_str), Some("high"));
    assert!(order.contains(&"low".to_owned()));
}

#[test]
fn a_higher_level_for_ever_does_not_starve_a_lower_one() {
    let mut router = router("a", 1, 1);
    let mut now = Moment::ZERO;
    let mut open = Vec::new();
    let mut low_at = None;
    let mut low = ask("low", 100_000, seconds(600.0));
    low.priority.level = 0;
    for round in 0..200 {
        now = seconds(f64::from(round) * 0.5);
        let mut high = ask(format!("high{round}"), 100_000, seconds(600.0));
        high.priority.level = 5;
        let mut outputs = router.submit(now, high);
        if round == 4 {
            outputs.extend(router.submit(now, low.clone()));
        }
        if round % 2 == 1 {
            for attempt in std::mem::take(&mut open) {
                let ended = Progress::Finished(Usage::default());
                outputs.extend(router.record_progress(now, attempt, ended));
            }
        }
        for dispatch in dispatches(&outputs) {
            open.push(dispatch.attempt);
            if dispatch.request.as_str() == "low" {
                low_at = Some(now);
            }
        }
    }
    assert!(low_at.is_some(), "not dispatched by {now:?}");
    // Five levels of two seconds each, and what was queued before.
    assert!(low_at < Some(seconds(30.0)), "{low_at:?}");
}

/// First-token times of a light workspace beside a busy one, 95th percentile in seconds.
fn light_beside(offered: u32, limit: f64) -> f64 {
    let mut fleet = Fleet::new(8);
    let mut holder = Limiter::new("a".into(), 1, Moment::ZERO);
    let tokens = Limit {
        tokens_per_second: Some(limit / kumquatdrum_routing::limits::RESERVE),
        ..Limit::default()
    };
    holder.set_limit(Moment::ZERO, "busy".into(), tokens);
    let mut sent = std::collections::HashMap::new();
    for tick in 0..1_500 {
        let now = seconds(f64::from(tick) * STEP);
        for part in 0..offered {
            let mut request = ask(
                format!("b{tick}-{part}"),
                1_500,
                now + Duration::from_secs(5),
            );
            request.workspace = "busy".into();
            if holder.admit(now, &request.workspace, 1_600).is_ok() {
                fleet.submit(now, request);
            }
        }
        if tick % 10 == 0 {
            let request = ask(format!("light{tick}"), 2_000, now + Duration::from_secs(5));
            sent.insert(format!("light{tick}"), now);
            fleet.submit(now, request);
        }
        fleet.step(now);
        if tick % 25 == 0 {
            fleet.report(now);
        }
    }
    let light = fleet
        .first_tokens
        .iter()
        .filter(|(name, _)| name.starts_with("light"));
    let mut times: Vec<f64> = light
        .map(|(name, at)| (*at - sent[name]).as_secs_f64())
        .collect();
    assert!(
        times.len() > 140,
        "{} of 150 light requests ran",
        times.len()
    );
    times.sort_by(f64::total_cmp);
    times[times.len() * 95 / 100]
}

#[test]
fn a_flooding_workspace_leaves_anothers_first_token_within_a_fifth() {
    // The limit is 40% of the engines; the flood offers more than twice all of them.
    let within = light_beside(1, 60_000.0);
    let flooded = light_beside(10, 60_000.0);
    assert!(flooded <= within * 1.2, "{flooded} against {within}");
}

#[test]
fn a_flood_without_a_limit_leaves_another_workspace_before_it() {
    let within = light_beside(1, 60_000.0);
    let flooded = light_beside(10, f64::INFINITY);
    // Nothing bounds the flood, so the engines' depth is felt; it stays far below the queue.
    assert!(flooded <= within * 3.0, "{flooded} against {within}");
}

#[test]
fn workspaces_share_by_weight_while_both_wait() {
    let mut router = router("a", 1, 1);
    for number in 0..30 {
        for (workspace, weight) in [("one", 1), ("three", 3)] {
            let name = format!("{workspace}-{number}");
            let mut request = ask(name, 100_000, seconds(10_000.0));
            request.workspace = workspace.into();
            request.weight = weight;
            let _ = router.submit(Moment::ZERO, request);
        }
    }
    let mut order = Vec::new();
    let mut attempt = 1;
    for round in 1..25 {
        let now = seconds(f64::from(round) * 20.0);
        let outputs = router.record_progress(now, attempt, Progress::Finished(Usage::default()));
        for dispatch in dispatches(&outputs) {
            order.push(dispatch.request.as_str().to_owned());
            attempt = dispatch.attempt;
        }
    }
    let first = &order[..20.min(order.len())];
    let threes = first
        .iter()
        .filter(|name| name.starts_with("three"))
        .count();
    assert!((13..=17).contains(&threes), "{threes} of {}", first.len());
}

#[test]
fn the_longest_prompt_starts_within_its_deadline_under_a_flood_of_short_ones() {
    for workspaces in [1, 10] {
        the_longest_prompt_starts_beside(workspaces);
    }
}

fn the_longest_prompt_starts_beside(workspaces: u32) {
    let mut fleet = Fleet::new(4);
    let long = ask("long", 390_000, seconds(120.0));
    for tick in 0..6_000 {
        let now = seconds(f64::from(tick) * STEP);
        // More than the four engines can do.
        let mut request = ask(format!("s{tick}"), 2_000, now + Duration::from_secs(8));
        request.workspace = format!("w{}", tick % workspaces).as_str().into();
        fleet.submit(now, request);
        if tick == 500 {
            fleet.submit(now, long.clone());
        }
        fleet.step(now);
        if tick % 25 == 0 {
            fleet.report(now);
        }
    }
    let found = fleet.first_tokens.iter().find(|(name, _)| name == "long");
    let at = found.map(|(_, at)| *at);
    assert!(at.is_some(), "no first token in two minutes");
    assert!(at < Some(seconds(120.0)), "{at:?}");
    // The short ones were served all the while.
    assert!(
        fleet.first_tokens.len() > 3_000,
        "{}",
        fleet.first_tokens.len()
    );
}

#[test]
fn overtaking_a_long_prompt_teaches_no_higher_rate() {
    let mut router = Fleet::new(1).router;
    let _ = router.submit(Moment::ZERO, ask("long", 300_000, seconds(600.0)));
    let before = router
        .fleet()
        .rates
        .prefill(kumquatdrum_routing::Size::Short);
    for number in 0..100 {
        let now = seconds(f64::from(number) * 0.5);
        let sent = router.submit(now, ask(format!("s{number}"), 2_000, seconds(600.0)));
        for dispatch in dispatches(&sent) {
            let first = now + Duration::from_millis(100);
            let _ = router.record_progress(first, dispatch.attempt, Progress::FirstToken);
        }
    }
    let after = router
        .fleet()
        .rates
        .prefill(kumquatdrum_routing::Size::Short);
    assert!(after < before * 1.1, "{after} against {before}");
}

#[test]
fn a_queue_that_nothing_has_left_yet_foretells_nothing() {
    let mut router = router("a", 1, 1);
    for number in 0..6 {
        let now = seconds(f64::from(number) * 2.0);
        let sent = router.submit(now, ask(format!("r{number}"), 300_000, seconds(600.0)));
        assert!(refusals(&sent).is_empty(), "{sent:?}");
    }
    assert!(router.queued() > 0);
}
