//! Event streams that are split and cut at every byte.

use kumquatdrum_response::event::{MAX_EVENT_BYTES, OversizedEvent, Splitter};
use kumquatdrum_response::{Completeness, Framing};

/// Streams of two events, with the number of bytes of the first one.
const STREAMS: [(&str, usize); 4] = [
    ("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 15),
    ("id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", 18),
    ("id: 1\rdata: a\r\rid: 2\rdata: b\r\r", 15),
    (": comment\n\ndata: b\ndata: c\n\n", 11),
];

/// Returns the events of a text that arrives in parts, and the splitter after it.
fn split(text: &str, part_bytes: usize) -> (String, Splitter) {
    let mut splitter = Splitter::new(false);
    let mut events = Vec::new();
    for part in text.as_bytes().chunks(part_bytes) {
        let complete = splitter.push(part).expect("short events");
        events.extend_from_slice(&complete.bytes);
    }
    (String::from_utf8(events).expect("text"), splitter)
}

#[test]
fn a_stream_that_is_cut_anywhere_is_broken_but_between_events() {
    for (text, first) in STREAMS {
        for length in 0..=text.len() {
            for part_bytes in 1..=text.len() {
                let (events, splitter) = split(&text[..length], part_bytes);
                let complete = match length {
                    length if length == text.len() => length,
                    length if length >= first => first,
                    _ => 0,
                };
                assert_eq!(events, text[..complete], "{text:?} cut at {length}");
                let is_between = length == complete;
                let (chunked, close) = match complete {
                    _ if !is_between => (Completeness::Broken, Completeness::Broken),
                    0 => (Completeness::Complete, Completeness::Broken),
                    _ => (Completeness::Complete, Completeness::Unknown),
                };
                assert_eq!(splitter.completeness(Framing::Chunked), chunked);
                assert_eq!(splitter.completeness(Framing::Close), close);
            }
        }
    }
}

#[test]
fn a_stream_that_resumes_another_one_may_have_no_event() {
    let splitter = Splitter::new(true);
    let completeness = splitter.completeness(Framing::Close);
    assert_eq!(completeness, Completeness::Unknown);
}

#[test]
fn the_id_of_the_last_complete_event_is_found_with_any_line_end() {
    for (text, _) in &STREAMS[..3] {
        let mut splitter = Splitter::new(false);
        let events = splitter.push(text.as_bytes()).expect("short events");
        assert_eq!(events.last_event_id, Some(2));
    }
}

/// Guards against an event without end that is held and searched as a whole again and again.
#[test]
fn an_event_may_be_long_but_not_without_end() {
    let mut splitter = Splitter::new(false);
    let part = [b'x'; 4_096];
    for _ in 0..MAX_EVENT_BYTES / part.len() {
        let events = splitter.push(&part).expect("not too long yet");
        assert!(events.bytes.is_empty());
    }
    let events = splitter.push(b"\n\n").expect("a complete event");
    assert_eq!(events.bytes.len(), MAX_EVENT_BYTES + 2);
    let mut pushes = std::iter::repeat_with(|| splitter.push(&part));
    let mut pushes = pushes.by_ref().take(MAX_EVENT_BYTES / part.len() + 1);
    assert!(pushes.any(|result| result == Err(OversizedEvent)));
}
