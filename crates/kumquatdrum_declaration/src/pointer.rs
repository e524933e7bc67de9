//! JSON pointers (RFC 6901) into the operators' file.

use std::fmt::Display;

/// A place below another one.
pub fn join(place: &str, token: impl Display) -> String {
    let token = token.to_string().replace('~', "~0").replace('/', "~1");
    format!("{place}/{token}")
}
