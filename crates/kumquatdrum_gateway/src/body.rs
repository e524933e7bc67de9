//! Bodies of answers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// Why a body broke off.
pub type Error = Box<dyn std::error::Error + Send + Sync>;

/// The body of an answer to a caller.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// A body in one piece.
///
/// ```
/// use http_body::Body;
///
/// assert_eq!(kumquatdrum_gateway::body::whole("done").size_hint().exact(), Some(4));
/// ```
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}
