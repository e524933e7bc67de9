//! Tests the parser of model requests with arbitrary input.

use arbtest::{arbitrary, arbtest};
use kumquatdrum_caller::wire;

const ENTROPY_BYTES: u64 = 1_024;
const SEEDS: u64 = 400;

/// Fragments that are joined to bodies close to valid JSON.
const FRAGMENTS: [&str; 24] = [
    "{",
    "}",
    "[",
    "]",
    ":",
    ",",
    "\"",
    "\\",
    "\"model\"",
    "\"prompt\"",
    "\"messages\"",
    "\"stream\"",
    "\"max_tokens\"",
    "\"formula\"",
    "true",
    "false",
    "null",
    "17",
    "-1",
    "1e999",
    "\\u0000",
    "\u{fc}",
    " ",
    "\n",
];

fn arbitrary_body(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<Vec<u8>> {
    if u.ratio(1, 4)? {
        return u.arbitrary();
    }
    let count = u.int_in_range(0..=40)?;
    let mut body = String::new();
    for _ in 0..count {
        body.push_str(u.choose(&FRAGMENTS)?);
    }
    Ok(body.into_bytes())
}

#[test]
fn any_input_is_parsed_or_yields_an_error() {
    for index in 0..SEEDS {
        arbtest(|u| {
            let body = arbitrary_body(u)?;
            match wire::parse(&body) {
                Ok(request) => {
                    let prompt = &body[request.prompt];
                    assert!(serde_json::from_slice::<serde_json::Value>(prompt).is_ok());
                }
                Err(error) => assert!(!error.to_string().is_empty()),
            }
            Ok(())
        })
        .seed(ENTROPY_BYTES | index << 32);
    }
}

#[test]
fn a_valid_body_yields_all_its_fields() {
    for index in 0..SEEDS {
        arbtest(|u| {
            let (service, prompt): (String, String) = u.arbitrary()?;
            let (stream, max_tokens): (bool, Option<u64>) = u.arbitrary()?;
            let body = serde_json::json!({
                "model": service, "prompt": prompt, "stream": stream, "max_tokens": max_tokens,
                "temperature": 0.5,
            });
            let body = body.to_string();
            let request = wire::parse(body.as_bytes()).expect("valid request");
            let parsed: String =
                serde_json::from_str(&body[request.prompt]).expect("valid JSON string");
            assert_eq!((request.service, parsed), (service, prompt));
            assert_eq!(
                (request.is_streamed, request.max_tokens),
                (stream, max_tokens)
            );
            Ok(())
        })
        .seed(ENTROPY_BYTES | index << 32);
    }
}
