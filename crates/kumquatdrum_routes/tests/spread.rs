//! How small a record travels, and who tells whom of it.

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
