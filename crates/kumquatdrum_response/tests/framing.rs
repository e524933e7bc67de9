//! The framing of responses.

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use kumquatdrum_response::Framing;
use kumquatdrum_response::framing::Error;

fn framing(
    method: &Method,
    status: u16,
    headers: &[(&'static str, &'static str)],
) -> Result<Framing, Error> {
    let status = StatusCode::from_u16(status).expect("a status");
    let headers: HeaderMap = headers
        .iter()
        .map(|(name, value)| {
            let name = HeaderName::from_static(name);
            (name, HeaderValue::from_static(value))
        })
        .collect();
    Framing::of(method, status, &headers)
}

#[test]
fn the_head_of_a_response_tells_its_framing() {
    let (length, chunked) = (("content-length", "5"), ("transfer-encoding", "chunked"));
    let cases = [
        (200, vec![length], Framing::Length),
        (200, vec![chunked], Framing::Chunked),
        (200, vec![length, chunked], Framing::Chunked),
        (
            200,
            vec![("transfer-encoding", "gzip, Chunked")],
            Framing::Chunked,
        ),
        (200, vec![("transfer-encoding", "gzip")], Framing::Close),
        (
            200,
            vec![("transfer-encoding", "chunked, gzip"), length],
            Framing::Close,
        ),
        (500, vec![], Framing::Close),
        (204, vec![], Framing::Empty),
        (304, vec![length], Framing::Empty),
    ];
    for (status, headers, expected) in cases {
        assert_eq!(
            framing(&Method::POST, status, &headers),
            Ok(expected),
            "{headers:?}"
        );
    }
    assert_eq!(framing(&Method::HEAD, 200, &[length]), Ok(Framing::Empty));
}

#[test]
fn a_head_whose_status_is_none_of_a_response_is_no_response() {
    for status in [100, 101, 103, 199, 600, 999] {
        let framing = framing(&Method::POST, status, &[("content-length", "5")]);
        assert_eq!(framing, Err(Error::Status(status)));
    }
}
