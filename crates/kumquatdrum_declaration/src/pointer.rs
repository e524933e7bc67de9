//! JSON pointers (RFC 6901) into the declaration file.

use std::fmt::Display;

/// Appends an escaped token to a pointer.
pub fn join(place: &str, token: impl Display) -> String {
    let token = token.to_string().replace('~', "~0").replace('/', "~1");
    format!("{place}/{token}")
}
