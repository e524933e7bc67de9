//! Tests the parser of server-sent events with arbitrary chunk boundaries and input.

use arbtest::arbtest;
use kumquatdrum_engine::sse::Reader;

const ENTROPY_BYTES: u64 = 2_048;
const SEEDS: u64 = 300;

#[test]
fn events_are_parsed_across_any_chunk_boundaries() {
    for index in 0..SEEDS {
        arbtest(|u| {
            let texts: Vec<u32> = u.arbitrary()?;
            let events = texts.iter().enumerate();
            let events =
                events.map(|(id, text)| format!(": comment\nid: {id}\r\ndata: {text}\n\n"));
            let stream = events.collect::<Vec<_>>().concat();
            let mut reader = Reader::default();
            let mut found = Vec::new();
            let mut rest = stream.as_bytes();
            while !rest.is_empty() {
                let length = u.int_in_range(1..=rest.len()).unwrap_or(rest.len());
                reader.push(&rest[..length]).expect("short lines");
                found.extend(reader.by_ref().map(|event| (event.id, event.data)));
                rest = &rest[length..];
            }
            let expected: Vec<_> = texts
                .iter()
                .enumerate()
                .map(|(id, text)| (Some(id as u64), text.to_string().into()))
                .collect();
            assert_eq!(found, expected);
            Ok(())
        })
        .seed(ENTROPY_BYTES | index << 32);
    }
}

#[test]
fn any_input_is_parsed_without_a_panic() {
    for index in 0..SEEDS {
        arbtest(|u| {
            let mut reader = Reader::default();
            while !u.is_empty() {
                let bytes: Vec<u8> = u.arbitrary()?;
                if reader.push(&bytes).is_err() {
                    break;
                }
                reader.by_ref().for_each(drop);
            }
            Ok(())
        })
        .seed(ENTROPY_BYTES | index << 32);
    }
}
