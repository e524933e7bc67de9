//! Findings of checks.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A problem found by a check, with its location.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Finding {
    /// JSON pointer into the checked file, such as `/models/2/replicas`.
    pub place: String,
    /// Description of the problem.
    pub message: String,
}

impl Finding {
    /// Creates a finding at a JSON pointer.
    ///
    /// ```
    /// let finding = kumquatdrum_types::Finding::new("/models/2/replicas", "must be at least 1");
    /// assert_eq!(finding.to_string(), "/models/2/replicas: must be at least 1");
    /// ```
    pub fn new(place: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            place: place.into(),
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let place = if self.place.is_empty() {
            "/"
        } else {
            &self.place
        };
        write!(f, "{place}: {}", self.message)
    }
}
