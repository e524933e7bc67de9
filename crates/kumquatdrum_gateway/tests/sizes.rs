//! Encoded sizes of what hosts exchange about crashes and limits.

use kumquatdrum_gateway::message::{Datagram, Event, Reach};
use kumquatdrum_placement::{EndpointKey, Rate};
use kumquatdrum_quarantine::{Crash, Evidence, Fingerprint, Incarnation, Probe, Suspect};
use kumquatdrum_types::Checkpoint;

/// The maximum size of a datagram's events.
const MAX_BATCH_BYTES: usize = 1_300;
/// The maximum number of bytes that hellos carry without news.
const MAX_IDLE_BYTES: usize = 16;

fn suspect(crashes: u64) -> Suspect {
    let crash = |endpoint: u64| Crash {
        endpoint: Incarnation(u64::MAX - endpoint),
        age_ms: 3_600_000,
        had_begun: false,
        is_cleared: false,
    };
    let probe = |id: u64| Probe {
        id: u64::MAX - id,
        age_ms: 3_600_000,
        is_cleared: false,
    };
    Suspect {
        request: Fingerprint::of("POST", "/x/", None, b"text"),
        crashes: (0..crashes).map(crash).collect(),
        probes: (0..crashes / 2).map(probe).collect(),
    }
}

#[test]
fn a_suspect_with_the_most_crashes_fits_a_datagram() {
    let bytes = postcard::to_stdvec(&Event::Suspected(suspect(16))).expect("bytes");
    assert!(bytes.len() < MAX_BATCH_BYTES, "{}", bytes.len());
    println!(
        "1 crash: {}",
        postcard::to_stdvec(&Event::Suspected(suspect(1)))
            .expect("bytes")
            .len()
    );
    println!("16 crashes: {}", bytes.len());
}

#[test]
fn evidence_without_news_adds_few_bytes_to_a_hello() {
    let checkpoint = Checkpoint {
        boot: 1_768_712_430_021,
        changes: 40_000,
    };
    let evidence = Evidence {
        checkpoint,
        suspects: Vec::new(),
    };
    let answer = postcard::to_stdvec(&evidence).expect("bytes").len();
    let known = postcard::to_stdvec(&checkpoint).expect("bytes").len();
    assert!(answer <= MAX_IDLE_BYTES && known <= MAX_IDLE_BYTES);
    println!("hello: {}, answer: {answer}", answer + known);
}

#[test]
fn datagrams_about_limits_are_small() {
    let (service, key) = ("confdraft-llm", EndpointKey(u64::MAX));
    for event in [
        Event::Limited(service.into(), key, Rate::new(1.8)),
        Event::Taken(service.into(), key, u32::MAX),
    ] {
        let datagram = Datagram {
            reach: Reach::Host,
            events: vec![event],
        };
        let bytes = postcard::to_stdvec(&datagram).expect("bytes");
        assert!(bytes.len() < 60, "{}", bytes.len());
    }
}
