//! Which requests share a fingerprint.

use kumquatdrum_quarantine::Fingerprint;

#[test]
fn requests_that_differ_in_any_field_differ_in_fingerprint() {
    let (desk, audit) = ("desk".into(), "audit".into());
    let requests = [
        Fingerprint::of("POST", "/check/", Some(&desk), b"text"),
        Fingerprint::of("PUT", "/check/", Some(&desk), b"text"),
        Fingerprint::of("POST", "/check/?", Some(&desk), b"text"),
        Fingerprint::of("POST", "/check/", Some(&audit), b"text"),
        Fingerprint::of("POST", "/check/", None, b"text"),
        Fingerprint::of("POST", "/check/", Some(&desk), b"texts"),
        // The same bytes, split differently between fields.
        Fingerprint::of("POST", "/check/desk", None, b"text"),
        Fingerprint::of("POST", "/check/", None, b"desktext"),
    ];
    for (index, one) in requests.iter().enumerate() {
        for other in &requests[index + 1..] {
            assert_ne!(one, other);
        }
    }
}
