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
    let gzip = ("transfer-encoding", "gzip");
    let cases = [
        (200, vec![length], Framing::Length),
        (200, vec![length, length], Framing::Length),
        (200, vec![("content-length", "5, 5")], Framing::Length),
        (200, vec![chunked], Framing::Chunked),
        (
            200,
            vec![("transfer-encoding", " Chunked ")],
            Framing::Chunked,
        ),
        (500, vec![], Framing::Close),
        (204, vec![], Framing::Empty),
        (204, vec![gzip], Framing::Empty),
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

#[test]
fn a_head_that_leaves_open_where_the_body_ends_is_no_response() {
    let length = |value| ("content-length", value);
    let coding = |value| ("transfer-encoding", value);
    for headers in [
        vec![length("5"), length("6")],
        vec![length("5, 6")],
        vec![length("5"), length("-5")],
        vec![length("-5")],
        vec![length("+5")],
        vec![length("")],
        vec![length("5,")],
        vec![length("5"), coding("chunked")],
        vec![length("5"), coding("identity")],
        vec![coding("")],
        vec![coding("identity")],
        vec![coding("gzip")],
        vec![coding("gzip, chunked")],
        vec![coding("chunked, gzip"), length("5")],
        vec![coding("chunked, chunked")],
        vec![coding("chunked"), coding("chunked")],
        vec![coding("gzip"), coding("chunked")],
        vec![coding("chunked;x=1")],
    ] {
        let framing = framing(&Method::POST, 200, &headers);
        assert_eq!(framing, Err(Error::UnclearEnd), "{headers:?}");
    }
}
