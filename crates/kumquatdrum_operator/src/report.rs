//! The JSON that travels between the operators' routes and their client.

use std::time::Duration;

use kumquatdrum_setup::{ApplyAnswer, Failure};
use kumquatdrum_types::{DataCentre, Finding, HostId, Version};
use serde::{Deserialize, Serialize};

/// When to come back after an answer that nothing was done.
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The header with a read-back's version.
pub const VERSION_HEADER: &str = "Kumquatdrum-Version";
/// The header with the SHA-256 digest of a read-back's text.
pub const DIGEST_HEADER: &str = "Kumquatdrum-Digest";
/// The header with the time at which a read-back was accepted, in milliseconds since the epoch.
pub const ACCEPTED_HEADER: &str = "Kumquatdrum-Accepted-Unix-Ms";
/// The header with a read-back's [`kumquatdrum_setup::Standing`] as JSON.
pub const STANDING_HEADER: &str = "Kumquatdrum-Standing";

/// How an apply or another request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Report {
    /// 200: the apply got this version, now or when it was first sent.
    Accepted {
        /// The version.
        version: Version,
        /// How far it has spread, if the request asked to wait.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        spread: Option<Spread>,
    },
    /// 409: the base isn't the current version.
    Conflict {
        /// The current version.
        current: Version,
    },
    /// 409: the apply id belongs to another apply.
    IdTaken {
        /// The version that the other apply got.
        version: Version,
    },
    /// 422: the declaration has findings.
    Refused {
        /// All of them.
        findings: Vec<Finding>,
    },
    /// 503: nothing was done, and a later attempt could fare better.
    Unavailable {
        /// When to come back.
        retry_after_ms: u64,
        /// The host to ask instead, where it is known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        leader: Option<HostId>,
    },
    /// 504: whether it was done could not be learnt; the same request sent again tells.
    Unknown,
    /// 401: no operator's key.
    Unauthorized,
    /// 404: there is no such version.
    NoSuchVersion,
    /// 400 or 413: the request itself is wrong, and nothing was done.
    BadRequest {
        /// What is wrong.
        message: String,
    },
}

/// How far a version has spread.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread {
    /// Whether it is in force on every host that is known.
    pub everywhere: bool,
    /// Host by host.
    pub hosts: Vec<HostSpread>,
}

/// Whether a version has reached a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostSpread {
    /// The host.
    pub host: HostId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Whether it has it.
    pub reached: Reached,
}

/// Whether a version has reached a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reached {
    /// The version, or a later one, is in force there.
    InForce,
    /// The host can be reached and is behind.
    Behind,
    /// The host can't be reached.
    CutOff,
}

impl Report {
    /// The HTTP status code.
    pub fn code(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::BadRequest { .. } => 400,
            Self::Unauthorized => 401,
            Self::NoSuchVersion => 404,
            Self::Conflict { .. } | Self::IdTaken { .. } => 409,
            Self::Refused { .. } => 422,
            Self::Unavailable { .. } => 503,
            Self::Unknown => 504,
        }
    }

    /// The outcome in one word, for logs.
    pub fn word(&self) -> &'static str {
        match self {
            Self::Accepted { .. } => "accepted",
            Self::Conflict { .. } => "conflict",
            Self::IdTaken { .. } => "id_taken",
            Self::Refused { .. } => "refused",
            Self::Unavailable { .. } => "unavailable",
            Self::Unknown => "unknown",
            Self::Unauthorized => "unauthorized",
            Self::NoSuchVersion => "no_such_version",
            Self::BadRequest { .. } => "bad_request",
        }
    }
}

impl From<ApplyAnswer> for Report {
    fn from(answer: ApplyAnswer) -> Self {
        match answer {
            ApplyAnswer::Accepted { version } => Self::Accepted {
                version,
                spread: None,
            },
            ApplyAnswer::Conflict { current } => Self::Conflict { current },
            ApplyAnswer::IdTaken { version } => Self::IdTaken { version },
            ApplyAnswer::Refused { findings } => Self::Refused { findings },
        }
    }
}

impl From<Failure> for Report {
    fn from(failure: Failure) -> Self {
        let retry_after_ms = RETRY_AFTER.as_millis() as u64;
        match failure {
            Failure::Unknown => Self::Unknown,
            Failure::NoSuchVersion => Self::NoSuchVersion,
            Failure::Unavailable => Self::Unavailable {
                retry_after_ms,
                leader: None,
            },
            Failure::NotLeader { leader } => Self::Unavailable {
                retry_after_ms,
                leader,
            },
        }
    }
}
