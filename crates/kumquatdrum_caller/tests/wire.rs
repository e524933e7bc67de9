//! The reader of model requests' bodies, on anything that a caller may send.

use arbtest::{arbitrary, arbtest};
use kumquatdrum_caller::wire;

const SIZE: u64 = 1_024;
const SEEDS: u64 = 400;

/// Pieces out of which bodies are made that come close to right ones.
const PIECES: [&str; 24] = [
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

fn body(u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<Vec<u8>> {
    if u.ratio(1, 4)? {
        return u.arbitrary();
    }
    let count = u.int_in_range(0..=40)?;
    let mut body = String::new();
    for _ in 0..count {
        body.push_str(u.choose(&PIECES)?);
    }
    Ok(body.into_bytes())
}

#[test]
fn whatever_comes_is_read_or_told_what_is_wrong() {
    for index in 0..SEEDS {
        arbtest(|u| {
            let body = body(u)?;
            match wire::model(&body) {
                Ok(model) => {
                    let prompt = &body[model.prompt];
                    assert!(serde_json::from_slice::<serde_json::Value>(prompt).is_ok());
                }
                Err(malformed) => assert!(!malformed.to_string().is_empty()),
            }
            Ok(())
        })
        .seed(SIZE | index << 32);
    }
}

#[test]
fn a_body_of_the_right_shape_is_read_whole() {
    for index in 0..SEEDS {
        arbtest(|u| {
            let (service, prompt): (String, String) = u.arbitrary()?;
            let (stream, max_tokens): (bool, Option<u64>) = u.arbitrary()?;
            let body = serde_json::json!({
                "model": service, "prompt": prompt, "stream": stream, "max_tokens": max_tokens,
                "temperature": 0.5,
            });
            let body = body.to_string();
            let model = wire::model(body.as_bytes()).expect("the right shape");
            let read: String = serde_json::from_str(&body[model.prompt]).expect("a text");
            assert_eq!((model.service, read), (service, prompt));
            assert_eq!((model.stream, model.max_tokens), (stream, max_tokens));
            Ok(())
        })
        .seed(SIZE | index << 32);
    }
}
