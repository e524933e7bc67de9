//! Compression of records and their distribution to hosts.

use kumquatdrum_routes::distribution::Queue;
use kumquatdrum_routes::{Record, distribution, record};
use kumquatdrum_types::HostId;

fn hosts(kind: &str, count: usize) -> Vec<HostId> {
    (1..=count)
        .map(|number| HostId::new(format!("{kind}-{number}")))
        .collect()
}

#[test]
fn similar_routes_compress_to_a_tenth() {
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
        "{} of {} bytes",
        record.packed_len(),
        text.len()
    );
    assert_eq!(record.text().expect("its text"), text.as_bytes());
}

#[test]
fn an_oversized_text_is_rejected_before_compression() {
    let text = vec![b' '; Record::MAX_TEXT_BYTES + 1];
    let rejected = Record::new(3, &text);
    assert!(matches!(rejected, Err(record::Error::TooLarge)));
    assert!(Record::new(3, &text[1..]).is_ok());
}

#[test]
fn corrupt_bytes_are_an_error() {
    let record = Record::new(3, b"routes, services and workspaces").expect("a short text");
    let mut bytes = postcard::to_stdvec(&record).expect("its bytes");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0xff;
    let damaged: Record = postcard::from_bytes(&bytes).expect("a decoded record");
    assert!(matches!(damaged.text(), Err(record::Error::Damaged(_))));
}

#[test]
fn hosts_are_spread_over_senders_and_a_lost_sender_moves_only_its_share() {
    let (control, caller_hosts) = (hosts("control", 6), hosts("entry", 640));
    let sender = |host: &HostId, control: &[HostId]| {
        let sender = distribution::sender(host, control);
        sender.cloned().expect("a sender")
    };
    for host in &control {
        let share = caller_hosts
            .iter()
            .filter(|caller_host| sender(caller_host, &control) == *host);
        let share = share.count();
        // The average is 107.
        assert!((70..150).contains(&share), "{host} sends to {share} of 640");
    }
    let (lost, remaining) = control.split_first().expect("six control hosts");
    for caller_host in &caller_hosts {
        let before = sender(caller_host, &control);
        if before != *lost {
            assert_eq!(sender(caller_host, remaining), before);
        }
    }
    assert_eq!(distribution::sender(&caller_hosts[0], &[]), None);
}

/// The bandwidth of a control host's link in bytes per millisecond.
const CONTROL_LINK_BYTES_PER_MS: usize = 170_000_000 / 8 / 1_000;
/// The bandwidth of a caller-facing host's link in bytes per millisecond.
const CALLER_LINK_BYTES_PER_MS: usize = 20_000_000 / 8 / 1_000;
/// The interval between a leader's heartbeats; it steps down after six go unanswered.
const HEARTBEAT_MS: usize = 100;
/// The number of hosts that one of six control hosts sends to in a cluster of 85.
const HOSTS_PER_SENDER: usize = 16;

/// Simulates setup changes of `bytes` bytes each. Returns the longest delay of a heartbeat and the
/// time from the last change until all hosts had it, in milliseconds.
fn simulate(bytes: usize, change_every_ms: usize, changes: usize) -> (usize, usize) {
    let hosts = hosts("entry", HOSTS_PER_SENDER);
    let mut queue = Queue::default();
    let (mut backlog, mut longest_wait, mut last_arrival) = (0_usize, 0, 0);
    let mut arrivals: Vec<(usize, HostId)> = Vec::new();
    for now in 0.. {
        let change = now / change_every_ms;
        if now % change_every_ms == 0 && change < changes {
            queue.add(hosts.iter().cloned());
        }
        arrivals.retain(|(at, host)| {
            let is_in_flight = *at > now;
            if !is_in_flight {
                queue.finish(host);
                last_arrival = now;
            }
            is_in_flight
        });
        while let Some(host) = queue.start_next(bytes) {
            backlog += bytes;
            let arrival =
                now + backlog / CONTROL_LINK_BYTES_PER_MS + bytes / CALLER_LINK_BYTES_PER_MS + 2;
            arrivals.push((arrival, host));
        }
        if now % HEARTBEAT_MS == 0 {
            longest_wait = longest_wait.max(backlog / CONTROL_LINK_BYTES_PER_MS);
        }
        backlog = backlog.saturating_sub(CONTROL_LINK_BYTES_PER_MS);
        if change >= changes && arrivals.is_empty() {
            break;
        }
    }
    let last_change = (changes - 1) * change_every_ms;
    (longest_wait, last_arrival - last_change)
}

/// Guards against a leader that loses its quorum because heartbeats queue behind records on its
/// link.
#[test]
fn records_delay_a_heartbeat_by_at_most_its_interval() {
    for bytes in [20_000, 70_000, 250_000, 600_000] {
        let (wait, arrival) = simulate(bytes, 360, 10);
        assert!(wait <= HEARTBEAT_MS, "{bytes} bytes: {wait} ms");
        // A change takes at most half a second to commit before it is distributed.
        assert!(
            arrival <= 2_000,
            "{bytes} bytes: received after {arrival} ms"
        );
    }
}

/// Guards against a leader whose link is flooded by many hosts that request a large record at once.
#[test]
fn requested_records_are_bounded_together_with_sent_ones() {
    const RECORD_BYTES: usize = 250_000;
    const MAX_COPIES: usize = 8;
    let hosts = hosts("entry", 1_009);
    let mut queue = Queue::default();
    queue.add(hosts.iter().take(100).cloned());
    let sent = (0..3).filter_map(|_| queue.start_next(RECORD_BYTES));
    assert_eq!(sent.count(), 3);
    let mut answered = Vec::new();
    answered.extend(
        hosts
            .iter()
            .filter(|host| queue.start_answer(host, 7, RECORD_BYTES)),
    );
    assert_eq!(answered.len(), MAX_COPIES - 3);
    assert_eq!(queue.start_next(RECORD_BYTES), None);
    // The confirmation of an earlier revision frees nothing.
    queue.finish_answer(answered[0], 6);
    assert!(!queue.start_answer(&hosts[500], 7, RECORD_BYTES));
    queue.finish_answer(answered[0], 7);
    assert!(queue.start_answer(&hosts[500], 7, RECORD_BYTES));
    // A host that was answered is no longer queued.
    let mut rest = Vec::new();
    queue.finish_answer(&hosts[500], 7);
    while let Some(host) = queue.start_next(1) {
        rest.push(host);
    }
    assert!(!rest.contains(answered[0]));
}
