//! Answers that the gateway gives itself.

use std::time::Duration;

use http::{Response, StatusCode, header};

use crate::body::{self, Body};

/// When a host that starts knows what is in force, also where all hosts start at once: an election
/// and a greeting later. Callers come back once, so it has to do by then.
const UNSURE: Duration = Duration::from_secs(2);

/// Why a request got no endpoint's answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Problem {
    /// No route for its host and path.
    #[error("no such route")]
    NoRoute,
    /// Its key is not known.
    #[error("unknown key")]
    UnknownKey,
    /// Its body is too large.
    #[error("the body is too large")]
    TooLarge,
    /// It was not received in full.
    #[error("the request could not be read: {0}")]
    Unreadable(String),
    /// This host can't tell what is in force.
    #[error("this host does not know yet what is in force")]
    Unsure,
    /// It has not run, and may come back.
    #[error("no room: {reason}")]
    Refused {
        /// Why.
        reason: &'static str,
        /// When to come back.
        retry_after: Duration,
    },
    /// It was sent and may have run.
    #[error("the endpoint failed: {0}")]
    Failed(String),
    /// It was sent and had no answer in time.
    #[error("no answer in time")]
    TimedOut,
}

impl Problem {
    /// The status that says it.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Unreadable(_) => StatusCode::BAD_REQUEST,
            Self::Unsure | Self::Refused { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed(_) => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the caller may come back; only where nothing ran.
    pub const fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Refused { retry_after, .. } => Some(*retry_after),
            Self::Unsure => Some(UNSURE),
            _ => None,
        }
    }

    /// The answer.
    ///
    /// ```
    /// use kumquatdrum_gateway::problem::Problem;
    ///
    /// assert_eq!(Problem::NoRoute.response().status(), 404);
    /// ```
    pub fn response(&self) -> Response<Body> {
        let text = serde_json::json!({ "error": self.to_string() }).to_string();
        let mut response = body::json(self.status(), text);
        if let Some(wait) = self.retry_after() {
            let headers = response.headers_mut();
            headers.insert(header::RETRY_AFTER, seconds(wait));
        }
        response
    }
}

/// A duration as seconds with a fraction.
pub fn seconds(wait: Duration) -> header::HeaderValue {
    let text = format!("{:.3}", wait.as_secs_f64());
    header::HeaderValue::from_str(&text).unwrap_or(header::HeaderValue::from_static("1"))
}
