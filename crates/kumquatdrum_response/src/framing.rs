//! How the end of a response's body is marked.

use std::fmt;

use http::{HeaderMap, HeaderValue, Method, StatusCode, header};

use crate::Completeness;

/// How the end of a response's body is marked (RFC 9112, 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The response has no body.
    Empty,
    /// The head states the length of the body.
    Length,
    /// The last chunk ends the body.
    Chunked,
    /// The body lasts until the connection is closed.
    Close,
}

/// The reason why a head does not begin the response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The status is interim or none of the protocol (RFC 9110, 15).
    #[error("{0} is no status of a response")]
    Status(u16),
    /// The headers leave open where the body ends (RFC 9112, 6.3), or name a transfer coding that
    /// requests do not ask for (RFC 9112, 7.4).
    #[error("the end of its body is not clear")]
    UnclearEnd,
}

impl Framing {
    /// Returns the framing of the response to a request.
    ///
    /// ```
    /// use http::{HeaderMap, Method, StatusCode};
    /// use kumquatdrum_response::Framing;
    ///
    /// let mut headers = HeaderMap::new();
    /// assert_eq!(Framing::of(&Method::GET, StatusCode::OK, &headers), Ok(Framing::Close));
    /// assert_eq!(Framing::of(&Method::HEAD, StatusCode::OK, &headers), Ok(Framing::Empty));
    /// headers.insert("content-length", 5.into());
    /// assert_eq!(Framing::of(&Method::GET, StatusCode::OK, &headers), Ok(Framing::Length));
    /// assert!(Framing::of(&Method::GET, StatusCode::CONTINUE, &headers).is_err());
    /// ```
    pub fn of(method: &Method, status: StatusCode, headers: &HeaderMap) -> Result<Self, Error> {
        if !(200..600).contains(&status.as_u16()) {
            return Err(Error::Status(status.as_u16()));
        }
        let has_no_body = *method == Method::HEAD
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        if has_no_body {
            return Ok(Self::Empty);
        }
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        let length = length(headers)?;
        match (codings.next(), codings.next(), length) {
            (None, _, Some(_)) => Ok(Self::Length),
            (None, _, None) => Ok(Self::Close),
            (Some(coding), None, None) if is_chunked(coding) => Ok(Self::Chunked),
            _ => Err(Error::UnclearEnd),
        }
    }

    /// Returns what is known about a body that ended without an error of its connection.
    ///
    /// ```
    /// use kumquatdrum_response::{Completeness, Framing};
    ///
    /// assert_eq!(Framing::Chunked.completeness(), Completeness::Complete);
    /// assert_eq!(Framing::Close.completeness(), Completeness::Unknown);
    /// ```
    pub const fn completeness(self) -> Completeness {
        match self {
            Self::Empty | Self::Length | Self::Chunked => Completeness::Complete,
            Self::Close => Completeness::Unknown,
        }
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "empty",
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Close => "close",
        })
    }
}

/// Returns the length that the headers state, which may be repeated.
fn length(headers: &HeaderMap) -> Result<Option<&[u8]>, Error> {
    let values = headers.get_all(header::CONTENT_LENGTH).iter();
    let mut values = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    let Some(first) = values.next().map(<[u8]>::trim_ascii) else {
        return Ok(None);
    };
    let is_number = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    if is_number && values.all(|value| value.trim_ascii() == first) {
        Ok(Some(first))
    } else {
        Err(Error::UnclearEnd)
    }
}

/// Returns whether `chunked` is the only coding of a header.
fn is_chunked(codings: &HeaderValue) -> bool {
    let codings = codings.as_bytes().trim_ascii();
    codings.eq_ignore_ascii_case(b"chunked")
}
