//! How the end of a response's body is marked.

use std::fmt;

use http::{HeaderMap, Method, StatusCode, header};

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
        let framing = match headers
            .get_all(header::TRANSFER_ENCODING)
            .iter()
            .next_back()
        {
            _ if has_no_body => Self::Empty,
            Some(coding) if is_chunked(coding.as_bytes()) => Self::Chunked,
            None if headers.contains_key(header::CONTENT_LENGTH) => Self::Length,
            _ => Self::Close,
        };
        Ok(framing)
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

/// Returns whether `chunked` is the last of some transfer codings.
fn is_chunked(codings: &[u8]) -> bool {
    let last = codings.rsplit(|byte| *byte == b',').next();
    last.is_some_and(|coding| coding.trim_ascii().eq_ignore_ascii_case(b"chunked"))
}
