//! JSON format of the reports that the operators' routes send to their client.

use std::time::Duration;

use kumquatdrum_setup::{ApplyAnswer, Failure};
use kumquatdrum_types::{DataCentre, Finding, HostId, Version};
use serde::{Deserialize, Serialize};

/// Delay before a request may be retried after [`Report::Unavailable`].
pub const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Header with the version of a declaration.
pub const VERSION_HEADER: &str = "Kumquatdrum-Version";
/// Header with the SHA-256 digest of a declaration's text.
pub const DIGEST_HEADER: &str = "Kumquatdrum-Digest";
/// Header with the time at which a declaration was accepted, in milliseconds since the Unix epoch.
pub const ACCEPTED_HEADER: &str = "Kumquatdrum-Accepted-Unix-Ms";
/// Header with the [`kumquatdrum_setup::Standing`] of a declaration as JSON.
pub const STANDING_HEADER: &str = "Kumquatdrum-Standing";

/// Outcome of an apply or another request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Report {
    /// 200: the apply was accepted, by this request or an earlier one with the same apply id.
    Accepted {
        /// Version of the applied declaration.
        version: Version,
        /// Rollout of the version, if the request has a maximum wait.
        #[serde(rename = "spread", default, skip_serializing_if = "Option::is_none")]
        rollout: Option<Rollout>,
    },
    /// 409: the base is not the current version.
    Conflict {
        /// Current version.
        current: Version,
    },
    /// 409: the apply id belongs to another apply.
    IdTaken {
        /// Version of the other apply.
        version: Version,
    },
    /// 422: the declaration has findings.
    Refused {
        /// All findings.
        findings: Vec<Finding>,
    },
    /// 503: nothing was applied. A retry may succeed.
    Unavailable {
        /// Delay before a retry, in milliseconds.
        retry_after_ms: u64,
        /// Current leader to send the request to, if known.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        leader: Option<HostId>,
    },
    /// 504: the outcome is unknown. The same request can be repeated to learn it.
    Unknown,
    /// 401: the key does not belong to an operator.
    Unauthorized,
    /// 404: the version does not exist.
    NoSuchVersion,
    /// 400 or 413: the request is invalid. Nothing was applied.
    BadRequest {
        /// Description of the error.
        message: String,
    },
}

/// Rollout of a version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Whether the version is in force on all known hosts.
    #[serde(rename = "everywhere")]
    pub is_everywhere: bool,
    /// Rollout on each host.
    pub hosts: Vec<HostRollout>,
}

/// Rollout of a version on one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRollout {
    /// Host id.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// State of the rollout on the host.
    #[serde(rename = "reached")]
    pub state: HostState,
}

/// State of a rollout on a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The version or a later one is in force.
    InForce,
    /// The host is reachable and has an older version.
    Behind,
    /// The host is unreachable.
    CutOff,
}

impl Report {
    /// Returns the HTTP status code.
    pub fn status_code(&self) -> u16 {
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

    /// Returns the name of the outcome for logs.
    pub fn outcome(&self) -> &'static str {
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
                rollout: None,
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
