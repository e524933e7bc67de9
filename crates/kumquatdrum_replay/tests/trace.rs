//! Generated traces, validation of traces, and the traces in `examples/traces`.

use indexmap::IndexMap;
use kumquatdrum_replay::generator::Options;
use kumquatdrum_replay::latency::{Quantiles, Ratio};
use kumquatdrum_replay::{Entry, Mix, generate, trace};

const SHIPPED: [(Mix, &str); 2] = [
    (
        Mix::Toonikaart,
        include_str!("../../../examples/traces/toonikaart.jsonl"),
    ),
    (
        Mix::Treasury,
        include_str!("../../../examples/traces/treasury.jsonl"),
    ),
];

fn share(entries: &[Entry], matches: impl Fn(&Entry) -> bool) -> f64 {
    entries.iter().filter(|entry| matches(entry)).count() as f64 / entries.len() as f64
}

#[test]
fn shipped_traces_equal_generated_ones() {
    for (mix, text) in SHIPPED {
        let options = Options {
            mix,
            ..Options::default()
        };
        assert_eq!(trace::read(text).unwrap(), generate(&options));
        assert_eq!(trace::write(&generate(&options)), text);
    }
}

#[test]
fn mixes_have_the_configured_lengths_and_keys() {
    for mix in [Mix::Toonikaart, Mix::Treasury] {
        let entries = generate(&Options {
            mix,
            requests: 5_000,
            span_ms: 100_000,
            ..Options::default()
        });
        let long = share(&entries, |entry| entry.prompt_tokens >= 100_000);
        assert!((long - 0.02).abs() < 1e-9, "{long}");
        let outside = share(&entries, |entry| {
            !entry.is_plain() && !(1_000..=1_000_000).contains(&entry.prompt_tokens)
        });
        assert_eq!(outside.to_bits(), 0_f64.to_bits());
        assert!(entries.is_sorted_by_key(|entry| entry.at_ms));
        assert_eq!(entries.last().unwrap().at_ms, 100_000);
        let has_key_if_needed = |entry: &Entry| entry.idempotency_key.is_some() != entry.idempotent;
        assert!(entries.iter().all(has_key_if_needed));
    }
}

#[test]
fn a_few_workspaces_send_most_requests() {
    let entries = generate(&Options {
        requests: 5_000,
        ..Options::default()
    });
    let mut sizes: IndexMap<&str, usize> = IndexMap::new();
    for entry in &entries {
        *sizes.entry(&entry.workspace).or_default() += 1;
    }
    sizes.sort_unstable_by(|_, left, _, right| right.cmp(left));
    let largest: usize = sizes.values().take(3).sum();
    assert_eq!(sizes.len(), 10);
    assert!(largest > 5_000 / 2, "{sizes:?}");
    assert_eq!(sizes.get_index(0).unwrap().0, &"salon-01");
}

#[test]
fn arrivals_come_in_bursts() {
    let entries = generate(&Options {
        requests: 8_000,
        span_ms: 80_000,
        ..Options::default()
    });
    let mut per_second = vec![0_u32; 81];
    for entry in &entries {
        per_second[(entry.at_ms / 1_000) as usize] += 1;
    }
    let highest = per_second.iter().max().unwrap();
    // The mean is 100 a second.
    assert!(*highest > 200, "{per_second:?}");
}

#[test]
fn different_seeds_give_different_traces() {
    let seeded = |seed| {
        generate(&Options {
            seed,
            ..Options::default()
        })
    };
    assert_eq!(seeded(7), seeded(7));
    assert_ne!(seeded(7), seeded(8));
}

#[test]
fn resends_repeat_an_earlier_keyed_request() {
    let entries = generate(&Options {
        resend_one_in: 4,
        ..Options::default()
    });
    let resends: Vec<&Entry> = entries
        .iter()
        .filter(|entry| entry.resend_of.is_some())
        .collect();
    assert!(!resends.is_empty());
    for resend in resends {
        let original = &entries[resend.resend_of.unwrap()];
        assert_eq!(resend.idempotency_key, original.idempotency_key);
        assert!(resend.idempotency_key.is_some());
        assert!(resend.at_ms > original.at_ms);
    }
    assert_eq!(trace::read(&trace::write(&entries)).unwrap(), entries);
}

#[test]
fn all_findings_are_reported_with_their_place() {
    let good = r#"{"at_ms":0,"workspace":"w","key":"w","service":"s","path":"/v1/completions","prompt_tokens":9,"max_tokens":1,"deadline_ms":9,"idempotent":true}"#;
    let cases = [
        ("\"deadline_ms\":9", "\"deadline_ms\":0", "/1/deadline_ms"),
        ("\"prompt_tokens\":9,", "", "/1/prompt_tokens"),
        ("\"max_tokens\":1", "\"max_tokens\":0", "/1/max_tokens"),
        ("/v1/completions", "orders", "/1/path"),
        ("true}", "true,\"prefix_tokens\":10}", "/1/prefix_tokens"),
        ("true}", "true,\"resend_of\":2}", "/1/resend_of"),
        ("\"at_ms\":0", "\"at_ms\":-1", "/1"),
        ("\"key\"", "\"kee\"", "/1"),
        ("true}", "true", "/1"),
    ];
    for (from, to, place) in cases {
        let bad = good.replace(from, to);
        let error = trace::read(&format!("{good}\n{bad}\n{bad}\n")).unwrap_err();
        assert_eq!(error.findings[0].place, place, "{bad}");
        assert_eq!(error.findings.len(), 2, "{bad}");
    }
}

#[test]
fn any_text_is_read_without_panic() {
    const SEEDS: u64 = 200;
    const ENTROPY_BYTES: u64 = 512;
    for seed in 0..SEEDS {
        arbtest::arbtest(|entropy| {
            let line = SHIPPED[0].1.lines().next().unwrap();
            let at = entropy.choose_index(line.len())?;
            let inserted: String = entropy.arbitrary()?;
            let text = format!("{}{inserted}{}", &line[..at], &line[at..]);
            let _ = trace::read(&text);
            Ok(())
        })
        .seed(ENTROPY_BYTES | (seed << 32));
    }
}

/// Guards against ratios with more digits than JSON preserves.
#[test]
fn ratios_survive_a_round_trip_through_json() {
    let quantiles = |micros: u64| Quantiles {
        count: 1,
        p50_us: micros,
        p95_us: micros,
        p99_us: micros,
    };
    for top in 1..2_000 {
        let ratio = quantiles(top).ratio_to(&quantiles(1_777)).unwrap();
        let json = serde_json::to_string(&ratio).unwrap();
        assert_eq!(serde_json::from_str::<Ratio>(&json).unwrap(), ratio);
    }
}
