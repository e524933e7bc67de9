//! How small a record travels, and who tells whom of it.

use kumquatdrum_routes::spread::Round;
use kumquatdrum_routes::{Record, record, spread};
use kumquatdrum_types::HostId;

fn hosts(kind: &str, count: usize) -> Vec<HostId> {
    (1..=count)
        .map(|number| HostId::new(format!("{kind}-{number}")))
        .collect()
}

#[test]
fn many_like_routes_are_packed_to_a_tenth() {
    let route = |number: usize| {
        format!(
            "{{\"name\":\"route-{number}\",\"host\":\"salon-{number}.example\",\
             \"pathPrefix\":\"/swap/{number}/\",\"timeoutMs\":8000,\"service\":\"swap\"}}"
        )
    };
    let text: Vec<String> = (0..1_200).map(route).collect();
    let text = text.join(",");
    let record = Record::new(3, text.as_bytes()).expect("a text within the limit");
    assert!(
        record.packed_len() * 10 < text.len(),
        "{}",
        record.packed_len()
    );
    assert_eq!(record.text().expect("its text"), text.as_bytes());
}

#[test]
fn a_text_that_is_too_long_is_refused_before_it_is_packed() {
    let text = vec![b' '; Record::LARGEST + 1];
    let refused = Record::new(3, &text);
    assert!(matches!(refused, Err(record::Error::TooLarge)));
    assert!(Record::new(3, &text[1..]).is_ok());
}

#[test]
fn damaged_bytes_are_an_error_and_no_text() {
    let record = Record::new(3, b"routes, services and workspaces").expect("a short text");
    let mut bytes = postcard::to_stdvec(&record).expect("its bytes");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    let damaged: Record = postcard::from_bytes(&bytes).expect("a record all the same");
    assert!(matches!(damaged.text(), Err(record::Error::Damaged(_))));
}

#[test]
fn shares_are_even_and_a_lost_host_moves_only_its_own() {
    let (control, entries) = (hosts("control", 6), hosts("entry", 640));
    let sender = |host: &HostId, control: &[HostId]| {
        let sender = spread::sender(host, control);
        sender.cloned().expect("a sender")
    };
    for one in &control {
        let share = entries
            .iter()
            .filter(|entry| sender(entry, &control) == *one);
        let share = share.count();
        // 107 each on average.
        assert!((70..150).contains(&share), "{one} tells {share} of 640");
    }
    let (lost, left) = control.split_first().expect("six");
    for entry in &entries {
        let before = sender(entry, &control);
        if before != *lost {
            assert_eq!(sender(entry, left), before);
        }
    }
    assert_eq!(spread::sender(&entries[0], &[]), None);
}

// What callers saw: for seconds after a change no operator could read the setup back, and further
// changes were not acknowledged. Each leader lost its quorum half a second after it had taken a record,
// the next one likewise. Cause: it sent the record to its whole share of hosts at once and to each host
// that heard of the revision meanwhile, and its heartbeats waited behind that on its own link, for
// longer than an election timeout. The logs: `stepped_down reason="quorum lost"` 0.5 to 0.7 s after
// each `became_leader`, with the last answers of *all* voters 650 to 750 ms old; with either of the
// two left out the same play kept its leader.

/// A control host's link, and a link that carries callers, in bytes a millisecond.
const CONTROL_LINK: usize = 170_000_000 / 8 / 1_000;
const CALLER_LINK: usize = 20_000_000 / 8 / 1_000;
/// Between two heartbeats of a leader; it steps down after six without an answer.
const HEARTBEAT_MS: usize = 100;
/// Hosts that one of six control hosts tells in a fleet of 85.
const SHARE: usize = 16;

/// Plays changes of one size on the links; the longest wait of a heartbeat, and when each change
/// had reached all hosts, in milliseconds.
fn play(bytes: usize, change_every_ms: usize, changes: usize) -> (usize, usize) {
    let hosts = hosts("entry", SHARE);
    let mut round = Round::default();
    let (mut backlog, mut longest_wait, mut last_told) = (0_usize, 0, 0);
    let mut arrivals: Vec<(usize, HostId)> = Vec::new();
    for now in 0.. {
        let change = now / change_every_ms;
        if now % change_every_ms == 0 && change < changes {
            round.add(hosts.iter().cloned());
        }
        arrivals.retain(|(at, host)| {
            let is_under_way = *at > now;
            if !is_under_way {
                round.end(host);
                last_told = now;
            }
            is_under_way
        });
        while let Some(host) = round.next(bytes) {
            backlog += bytes;
            let arrival = now + backlog / CONTROL_LINK + bytes / CALLER_LINK + 2;
            arrivals.push((arrival, host));
        }
        if now % HEARTBEAT_MS == 0 {
            longest_wait = longest_wait.max(backlog / CONTROL_LINK);
        }
        backlog = backlog.saturating_sub(CONTROL_LINK);
        if change >= changes && arrivals.is_empty() {
            break;
        }
    }
    let last_change = (changes - 1) * change_every_ms;
    (longest_wait, last_told - last_change)
}

#[test]
fn a_heartbeat_never_waits_longer_than_its_interval_behind_records() {
    for bytes in [20_000, 70_000, 250_000, 600_000] {
        let (wait, told) = play(bytes, 360, 10);
        assert!(wait <= HEARTBEAT_MS, "{bytes} bytes: {wait} ms");
        // Of the time that a change may take to be in force everywhere, half a second is the log's.
        assert!(told <= 2_000, "{bytes} bytes: told after {told} ms");
    }
}
