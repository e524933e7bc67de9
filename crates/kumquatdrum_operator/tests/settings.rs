//! Validation of operators in the settings, and conversion of timestamps.

use kumquatdrum_operator::{Operator, Operators, rfc3339};
use kumquatdrum_types::digest;

fn operator(name: &str, sha256: &str) -> Operator {
    Operator {
        name: name.to_owned(),
        sha256: sha256.to_owned(),
    }
}

#[test]
fn all_invalid_operators_are_reported() {
    let first = digest::hex(b"a");
    let second = digest::hex(b"b");
    let operators = [
        operator("a", &first),
        operator("a", &second),
        operator("", "plain-secret"),
        operator("c", &first),
    ];
    let findings = Operators::new("/operators", &operators).expect_err("findings");
    let places: Vec<_> = findings
        .iter()
        .map(|finding| finding.place.as_str())
        .collect();
    let expected = [
        "/operators/1/name",
        "/operators/2/name",
        "/operators/2/sha256",
        "/operators/3/sha256",
    ];
    assert_eq!(places, expected);
    assert!(
        findings
            .iter()
            .all(|finding| !finding.message.contains("plain-secret"))
    );
}

#[test]
fn timestamps_are_parsed_and_formatted() {
    let cases = [
        ("1970-01-01T00:00:00Z", 0),
        ("2000-02-29T23:59:59.999Z", 951_868_799_999),
        ("2026-12-02T22:30:00.007Z", 1_796_250_600_007),
        ("2100-03-01T00:00:00Z", 4_107_542_400_000),
        ("9999-12-31T23:59:59.999Z", 253_402_300_799_999),
    ];
    for (text, unix_ms) in cases {
        assert_eq!(rfc3339::parse(text), Some(unix_ms), "{text}");
        assert_eq!(
            rfc3339::parse(&rfc3339::format(unix_ms)),
            Some(unix_ms),
            "{text}"
        );
    }
    assert_eq!(
        rfc3339::parse("2026-12-02T22:30:00-01:30"),
        rfc3339::parse("2026-12-03T00:00:00Z")
    );
    for day in 0..60_000 {
        let unix_ms = day * 86_400_000 + 1;
        assert_eq!(rfc3339::parse(&rfc3339::format(unix_ms)), Some(unix_ms));
    }
    for text in [
        "",
        "2026-12-02",
        "2026-12-02T22:30:00",
        "2026-02-29T00:00:00Z",
        "2026-13-01T00:00:00Z",
        "2026-12-02T24:00:00Z",
        "2026-12-02T22:60:00Z",
        "2026-12-02T22:30:00.Z",
        "2026-1-2T22:30:00Z",
        "2026-12-02T22:30:00+2:00",
        "1969-12-31T23:59:59Z",
        "2026-12-02T22:30:00ZZ",
        "é026-12-02T22:30:00Z",
    ] {
        assert_eq!(rfc3339::parse(text), None, "{text}");
    }
}
